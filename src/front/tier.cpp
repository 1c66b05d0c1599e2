#include "front/tier.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace reedspindle::front {
namespace {

// The status file is written at most so often, and at least so often, by which readers see that it is alive.
constexpr Millis kWriteAfter = 200, kWriteAtLeast = 5000;

}  // namespace

Tier::Tier(Timers& timers, const Clock& clock, Log& log, const Placement& placement, const Fleet& fleet,
           Peers& peers, Members& members, Among among, Listed listed, Steered steered)
    : timers_(timers),
      clock_(clock),
      log_(log),
      peers_(peers),
      members_(members),
      path_(fleet.status),
      charge_(charge_of(fleet, placement)),
      membership_{membership::make_membership(charge_, placement.seed), {}},
      sharing_(fleet.shares),
      connections_(fleet.connections),
      acts_pace_(fleet.accord ? fleet.accord->pace : 0),
      among_(std::move(among)),
      listed_(std::move(listed)),
      steered_(std::move(steered)),
      places_(charge_.places) {
  peers_.hand_over(membership::is_for_membership, [this](int peer, std::string bytes) {
    settle(membership::Heard{{peer}, std::move(bytes)});
  });
  if (fleet.accord) {
    accord::Charge charge = *fleet.accord;
    charge.place = charge_.place;
    accord_.core = accord::make_accord(charge, placement.seed);
    peers_.hand_over(accord::is_for_accord, [this](int peer, std::string bytes) {
      compare(accord::Heard{{peer}, std::move(bytes)});
    });
  }
  if (sharing_) {
    sharing_->place = charge_.place;
    shares_.core = shares::make_shares(*sharing_, placement.seed);
    use_.emplace(*sharing_, connections_);
    peers_.hand_over(shares::is_for_shares, [this](int peer, std::string bytes) {
      share(shares::Heard{{peer}, std::move(bytes)});
    });
    peers_.on_refusals([this](int peer, std::string bytes) {
      share(shares::Refused{{peer}, std::move(bytes)});
    });
    share(std::nullopt);
    tell_need();
  }
  settle(std::nullopt);
  tell_fellows();
  tell_acts();
  write_status();
}

void Tier::listed(int places) {
  places_ = places;
  settle(membership::Listed{places});
  tell_fellows();
}

// A list that comes in parts is compared once the last of them is there.
void Tier::list_read(const ServerList& list) {
  if (!accord_.core || list.kind == ListKind::failed) return;
  for (const ListedServer& server : list.servers) parts_.push_back(server.entry);
  if (!list.last) return;
  list_.learn(list.kind, static_cast<std::uint64_t>(std::max(0LL, list.revision)), std::exchange(parts_, {}));
  if (list.kind != ListKind::saved) compare(accord::Confirmed{});
}

void Tier::leave() { settle(membership::Leaving{}); }

void Tier::stop() {
  // Its connections to stores are closed by now.
  if (shares_.core) share(shares::Leaving{});
  for (auto* timer : {&shares_.wake, &need_, &membership_.wake, &accord_.wake, &acts_, &write_})
    timers_.drop(*timer);
  write_status();
  timers_.drop(write_);
}

// What one has decided: datagrams and its next turn are alike for all of them.
template <typename Core>
void Tier::turn(Driven<Core>& driven) {
  for (const auto& decision : driven.core->settle(clock_.now()))
    std::visit(
        [&](const auto& taken) {
          if constexpr (requires { taken.to, taken.bytes; }) {
            peers_.tell(taken.to.number, taken.bytes);
          } else if constexpr (requires { taken.at; }) {
            timers_.drop(driven.wake);
            driven.wake = timers_.set(taken.at, [this, &driven] { driven.wake.reset(), turn(driven); });
          } else {
            carry_out(taken);
          }
        },
        decision);
  if (!std::exchange(changed_, false)) return;
  write_later();
  tell_fellows();
}

void Tier::settle(std::optional<membership::Event> event) {
  if (event) membership_.core->note(std::move(*event));
  turn(membership_);
}

void Tier::share(std::optional<shares::Event> event) {
  if (event) shares_.core->note(std::move(*event));
  turn(shares_);
}

void Tier::compare(accord::Event event) {
  accord_.core->note(std::move(event));
  turn(accord_);
}

std::set<membership::Place> Tier::there() const { return membership::there_in(membership_.core->view()); }

// The membership's view has changed.
void Tier::tell_fellows() {
  if (shares_.core) share(shares::Fellows{there()});
  tell_who_counts();
}

// That, or how many count.
void Tier::tell_who_counts() {
  if (!accord_.core) return;
  compare(accord::Fellows{there(), shares_.core ? part_.among : places_});
  tell_module();
}

// What this front acts on, looked at once a pace.
void Tier::tell_acts() {
  if (!accord_.core) return;
  accord::Account account;
  account.revision = list_.revision();
  account.sums = {list_.sum(), accord::sum_of_primaries(steered_()),
                  accord::sum_of_view(there(), charge_.place)};
  std::set<std::uint32_t> ready;
  for (const auto& [mark, entry] : list_.ready()) ready.insert(mark);
  compare(accord::Acts{account, std::move(ready)});
  write_later();
  acts_ = timers_.set(clock_.now() + acts_pace_, [this] { acts_.reset(), tell_acts(); });
}

// Without an accord the module goes by what it hears, as ever.
void Tier::tell_module() {
  if (!accord_.core) return;
  AmongPeers among;
  for (const membership::Place place : there()) among.there.insert(place.number);
  if (shares_.core) among.of_all = static_cast<double>(part_.among) / sharing_->fleet;
  const accord::Allowed allowed = accord_.core->view().allowed;
  among.writes = allowed.writes, among.reads = allowed.reads;
  if (among == told_) return;
  told_ = among;
  among_(std::move(among));
}

void Tier::write_later() {
  if (path_.empty()) return;
  timers_.drop(write_);
  write_ =
      timers_.set(std::max(clock_.now(), written_ + kWriteAfter), [this] { write_.reset(), write_status(); });
}

void Tier::look() {
  if (shares_.core &&
      shares::connections_of(shares_.core->part(clock_.now()), *sharing_, connections_) != limit_)
    share(std::nullopt);
}

void Tier::tell_need() {
  need_ = timers_.set(clock_.now() + sharing_->lease / 6, [this] {
    need_.reset();
    share(use_->demand(members_.take_need()));
    tell_need();
  });
}

void Tier::carry_out(const shares::Found& decision) {
  const bool warns = decision.finding == shares::Finding::other_terms;
  (warns ? log_.warn("shares", word_of(decision.finding), {{"place", decision.place.number}})
         : log_.info("shares", word_of(decision.finding), {{"place", decision.place.number}}));
}

void Tier::carry_out(const shares::Changed& decision) {
  const bool counts = part_.among != decision.part.among;
  part_ = decision.part;
  limit_ = shares::connections_of(decision.part, *sharing_, connections_);
  members_.limit(limit_.open, limit_.hold);
  log_.debug("shares", "part", {{"open", decision.part.open}, {"hold", decision.part.hold}});
  if (counts) tell_who_counts();
  write_later();
}

void Tier::carry_out(const accord::Found& decision) {
  using accord::Finding;
  write_later();
  const long long ms = std::llround(decision.span);
  const char* event = word_of(decision.finding);
  switch (decision.finding) {
    case Finding::differs:
      return log_.warn("accord", event,
                       {{"in", word_of(decision.matter)},
                        {"first", decision.place.number},
                        {"ms", ms},
                        {"mine", decision.mine.of(decision.matter)},
                        {"theirs", decision.theirs.of(decision.matter)},
                        {"my_revision", decision.mine.revision},
                        {"their_revision", decision.theirs.revision}});
    case Finding::agrees:
      return log_.info("accord", event, {{"in", word_of(decision.matter)}, {"ms", ms}});
    case Finding::in_touch:
      return log_.info("accord", event, {{"ms", ms}});
    default:
      return log_.warn("accord", event, {{"ms", ms}});
  }
}

void Tier::carry_out(const accord::Allowed&) { tell_module(); }

// To the module it is as if the list said that these drain, and that the others do as it says itself.
void Tier::carry_out(const accord::Doubted& decision) {
  ListRead read{ListKind::changes, {}};
  for (auto& [mark, entry] : list_.ready()) {
    const bool doubted = decision.marks.contains(mark);
    if (doubted == doubted_.contains(mark)) continue;
    read.members.push_back(entry);
    if (doubted) read.members.back().state = MemberState::draining;
    log_.warn("accord", doubted ? "a later list has it no more" : "its own list counts again",
              {{"member", entry.member.address}});
  }
  doubted_ = decision.marks;
  if (!read.members.empty()) listed_(std::move(read));
}

void Tier::carry_out(const membership::Change& decision) {
  changed_ = true;
  log_.info("fleet", word_of(decision.happening),
            {{"front", decision.name},
             {"place", decision.place.number},
             {"incarnation", decision.incarnation.number}});
}

void Tier::carry_out(const membership::Found& decision) {
  using membership::Finding;
  changed_ = true;
  const Field place{"place", decision.place.number};
  switch (decision.finding) {
    case Finding::stopped:
      return log_.warn("fleet", "this process stood still", {{"ms", std::llround(decision.span)}});
    case Finding::refuted:
      return log_.warn("fleet", "was suspected, says that it is there", {{"by", decision.place.number}});
    case Finding::contested:
      return log_.warn("fleet", "its name is heard of elsewhere", {place});
    case Finding::yields:
      return log_.error("fleet", "another front has its name, stays out of the fleet", {place});
    case Finding::claims:
      return log_.warn("fleet", "takes its name, nobody answers to it elsewhere", {place});
  }
}

std::string Tier::status() const {
  const membership::View view = membership_.core->view();
  nlohmann::json fellows = nlohmann::json::array();
  for (const membership::FellowView& fellow : view.fellows)
    fellows.push_back({{"name", fellow.name},
                       {"place", fellow.place.number},
                       {"standing", word_of(fellow.standing)},
                       {"incarnation", fellow.incarnation.number},
                       {"since", std::llround(fellow.since)}});
  nlohmann::json shares;
  if (shares_.core) {
    const shares::View shared = shares_.core->view();
    shares = {{"open", shared.part.open},   {"hold", shared.part.hold}, {"connections", limit_.hold},
              {"among", shared.part.among}, {"office", shared.office},  {"holder", shared.holder.number},
              {"pool", shared.pool},        {"given", shared.given},    {"dropped", shared.dropped}};
  }
  nlohmann::json accord;
  if (accord_.core) {
    const accord::View compared = accord_.core->view();
    accord = {{"contact", std::llround(compared.contact)},
              {"cut_off", compared.cut_off},
              {"writes", compared.allowed.writes},
              {"reads", compared.allowed.reads},
              {"doubted", compared.doubted.size()},
              {"dropped", compared.dropped},
              {"revision", list_.revision()}};
    for (int matter = 0; matter < accord::kMatters; ++matter) {
      const accord::Difference& difference = compared.differences[static_cast<std::size_t>(matter)];
      accord[word_of(static_cast<accord::Matter>(matter))] = {{"differ", difference.differ},
                                                              {"compared", difference.compared},
                                                              {"since", std::llround(difference.since)},
                                                              {"first", difference.first.number},
                                                              {"behind", difference.behind}};
    }
  }
  return nlohmann::json{{"name", charge_.name},
                        {"place", charge_.place.number},
                        {"at", std::llround(clock_.now())},
                        {"version", view.version},
                        {"incarnation", view.incarnation.number},
                        {"health", view.health},
                        {"yielded", view.yielded},
                        {"fellows", std::move(fellows)},
                        {"shares", std::move(shares)},
                        {"accord", std::move(accord)},
                        {"dropped",
                         {{"unread", view.dropped.unread},
                          {"strange", view.dropped.strange},
                          {"flood", view.dropped.flood},
                          {"late", view.dropped.late}}}}
      .dump();
}

// Whoever reads it finds a whole one: it is written beside and then takes the old one's name.
void Tier::write_status() {
  if (path_.empty()) return;
  written_ = clock_.now();
  const std::string beside = path_ + ".new";
  std::ofstream file(beside, std::ios::trunc);
  file << status() << '\n';
  file.close();
  if (!file || std::rename(beside.c_str(), path_.c_str()) != 0)
    log_.warn("fleet", "status file can't be written", {{"path", path_}});
  write_ = timers_.set(written_ + kWriteAtLeast, [this] { write_.reset(), write_status(); });
}

}  // namespace reedspindle::front
