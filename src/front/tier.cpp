#include "front/tier.hpp"

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
           Peers& peers, Members& members)
    : timers_(timers),
      clock_(clock),
      log_(log),
      peers_(peers),
      members_(members),
      path_(fleet.status),
      charge_(charge_of(fleet, placement)),
      membership_(membership::make_membership(charge_, placement.seed)),
      sharing_(fleet.shares),
      connections_(fleet.connections) {
  peers_.hand_over([this](int peer, std::string bytes) {
    settle(membership::Heard{{peer}, std::move(bytes)});
  });
  if (sharing_) {
    sharing_->place = charge_.place;
    shares_ = shares::make_shares(*sharing_, placement.seed);
    use_.emplace(*sharing_, connections_);
    peers_.hand_over_shares(
        [this](int peer, std::string bytes) {
          share(shares::Heard{{peer}, std::move(bytes)});
        },
        [this](int peer, std::string bytes) {
          share(shares::Refused{{peer}, std::move(bytes)});
        });
    share(std::nullopt);
    tell_need();
  }
  settle(std::nullopt);
  write_status();
}

void Tier::listed(int places) { settle(membership::Listed{places}); }

void Tier::leave() { settle(membership::Leaving{}); }

void Tier::stop() {
  // Its connections to stores are closed by now.
  if (shares_) share(shares::Leaving{});
  timers_.drop(shares_wake_);
  timers_.drop(need_);
  timers_.drop(wake_);
  timers_.drop(write_);
  write_status();
  timers_.drop(write_);
}

void Tier::settle(std::optional<membership::Event> event) {
  if (event) membership_->note(std::move(*event));
  changed_ = false;
  for (const membership::Decision& decision : membership_->settle(clock_.now()))
    std::visit([this](const auto& taken) { carry_out(taken); }, decision);
  if (!changed_) return;
  write_later();
  if (!shares_) return;
  shares::Fellows fellows;
  for (const membership::FellowView& fellow : membership_->view().fellows)
    if (fellow.standing == membership::Standing::there) fellows.there.insert(fellow.place);
  share(std::move(fellows));
}

void Tier::write_later() {
  if (path_.empty()) return;
  timers_.drop(write_);
  write_ =
      timers_.set(std::max(clock_.now(), written_ + kWriteAfter), [this] { write_.reset(), write_status(); });
}

void Tier::share(std::optional<shares::Event> event) {
  if (event) shares_->note(std::move(*event));
  for (const shares::Decision& decision : shares_->settle(clock_.now()))
    std::visit([this](const auto& taken) { carry_out(taken); }, decision);
}

void Tier::look() {
  if (shares_ && shares::connections_of(shares_->part(clock_.now()), *sharing_, connections_) != limit_)
    share(std::nullopt);
}

void Tier::tell_need() {
  need_ = timers_.set(clock_.now() + sharing_->lease / 6, [this] {
    need_.reset();
    share(use_->demand(members_.take_need()));
    tell_need();
  });
}

void Tier::carry_out(const shares::Tell& decision) { peers_.tell(decision.to.number, decision.bytes); }

void Tier::carry_out(const shares::WakeAt& decision) {
  timers_.drop(shares_wake_);
  shares_wake_ = timers_.set(decision.at, [this] { shares_wake_.reset(), share(std::nullopt); });
}

void Tier::carry_out(const shares::Found& decision) {
  const bool warns = decision.finding == shares::Finding::other_terms;
  (warns ? log_.warn("shares", word_of(decision.finding), {{"place", decision.place.number}})
         : log_.info("shares", word_of(decision.finding), {{"place", decision.place.number}}));
}

void Tier::carry_out(const shares::Changed& decision) {
  limit_ = shares::connections_of(decision.part, *sharing_, connections_);
  members_.limit(limit_.open, limit_.hold);
  log_.debug("shares", "part", {{"open", decision.part.open}, {"hold", decision.part.hold}});
  write_later();
}

void Tier::carry_out(const membership::Tell& decision) { peers_.tell(decision.to.number, decision.bytes); }

void Tier::carry_out(const membership::WakeAt& decision) {
  timers_.drop(wake_);
  wake_ = timers_.set(decision.at, [this] { wake_.reset(), settle(std::nullopt); });
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
  const membership::View view = membership_->view();
  nlohmann::json fellows = nlohmann::json::array();
  for (const membership::FellowView& fellow : view.fellows)
    fellows.push_back({{"name", fellow.name},
                       {"place", fellow.place.number},
                       {"standing", word_of(fellow.standing)},
                       {"incarnation", fellow.incarnation.number},
                       {"since", std::llround(fellow.since)}});
  nlohmann::json shares;
  if (shares_) {
    const shares::View shared = shares_->view();
    shares = {{"open", shared.part.open}, {"hold", shared.part.hold},       {"connections", limit_.hold},
              {"office", shared.office},  {"holder", shared.holder.number}, {"pool", shared.pool},
              {"given", shared.given},    {"dropped", shared.dropped}};
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
