#include "proxy/fleet_coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace reedspindle::proxy {
namespace {

// The status file is written at most so often, and at least so often, by which readers see that it is alive.
constexpr Millis kWriteAfter = 200, kWriteAtLeast = 5000;

}  // namespace

FleetCoordinator::FleetCoordinator(net::Timers& timers, const net::Clock& clock, logging::Log& log,
                                   const config::InstanceConfig& config, const FleetOptions& fleet,
                                   PeerSocket& peers, upstream::ConnectionPool& members, Among among,
                                   Listed listed, Steered steered)
    : timers_(timers),
      clock_(clock),
      log_(log),
      peers_(peers),
      members_(members),
      path_(fleet.status),
      membership_options_(membership_options(fleet, config)),
      membership_{membership::make_membership(membership_options_, config.seed), {}},
      quota_options_(fleet.quota),
      connections_(fleet.connections),
      acts_pace_(fleet.consistency ? fleet.consistency->pace : 0),
      among_(std::move(among)),
      listed_(std::move(listed)),
      steered_(std::move(steered)),
      places_(membership_options_.slots) {
  peers_.hand_over(membership::is_membership_message, [this](int peer, std::string bytes) {
    settle(DatagramReceived{{peer}, std::move(bytes)});
  });
  if (fleet.consistency) {
    consistency::Options options = *fleet.consistency;
    options.slot = membership_options_.slot;
    consistency_.core = consistency::make_consistency_monitor(options, config.seed);
    peers_.hand_over(consistency::is_consistency_message, [this](int peer, std::string bytes) {
      compare(DatagramReceived{{peer}, std::move(bytes)});
    });
  }
  if (quota_options_) {
    quota_options_->slot = membership_options_.slot;
    quota_.core = quota::make_quota_manager(*quota_options_, config.seed);
    usage_.emplace(*quota_options_, connections_);
    peers_.hand_over(quota::is_quota_message, [this](int peer, std::string bytes) {
      share(DatagramReceived{{peer}, std::move(bytes)});
    });
    peers_.on_refusals([this](int peer, std::string bytes) {
      share(quota::DatagramReturned{{peer}, std::move(bytes)});
    });
    share(std::nullopt);
    tell_need();
  }
  settle(std::nullopt);
  tell_fellows();
  tell_acts();
  write_status();
}

void FleetCoordinator::listed(int places) {
  places_ = places;
  settle(membership::SlotCountChanged{places});
  tell_fellows();
}

// A list that comes in parts is compared once the last of them is there.
void FleetCoordinator::list_read(const net::EndpointList& list) {
  if (!consistency_.core || list.kind == EndpointListKind::failed) {
    return;
  }
  for (const net::ListedEndpoint& server : list.servers) {
    parts_.push_back(server.entry);
  }
  if (!list.last) {
    return;
  }
  list_.apply(list.kind, static_cast<std::uint64_t>(std::max(0LL, list.revision)), std::exchange(parts_, {}));
  if (list.kind != EndpointListKind::saved) {
    compare(consistency::DiscoveryAnswered{});
  }
}

void FleetCoordinator::leave() { settle(membership::Leaving{}); }

void FleetCoordinator::stop() {
  // Its connections to stores are closed by now.
  if (quota_.core) {
    share(quota::Leaving{});
  }
  for (auto* timer : {&quota_.wake, &need_, &membership_.wake, &consistency_.wake, &acts_, &write_}) {
    timers_.drop(*timer);
  }
  write_status();
  timers_.drop(write_);
}

// What one has decided: datagrams and its next turn are alike for all of them.
template <typename Core>
void FleetCoordinator::turn(Driven<Core>& driven) {
  for (const auto& decision : driven.core->process(clock_.now())) {
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
  }
  if (!std::exchange(changed_, false)) {
    return;
  }
  write_later();
  tell_fellows();
}

void FleetCoordinator::settle(std::optional<membership::Event> event) {
  if (event) {
    membership_.core->enqueue(std::move(*event));
  }
  turn(membership_);
}

void FleetCoordinator::share(std::optional<quota::Event> event) {
  if (event) {
    quota_.core->enqueue(std::move(*event));
  }
  turn(quota_);
}

void FleetCoordinator::compare(consistency::Event event) {
  consistency_.core->enqueue(std::move(event));
  turn(consistency_);
}

std::set<SlotId> FleetCoordinator::there() const { return membership::alive_peers(membership_.core->view()); }

// The membership's view has changed.
void FleetCoordinator::tell_fellows() {
  if (quota_.core) {
    share(quota::PeersChanged{there()});
  }
  tell_who_counts();
}

// That, or how many count.
void FleetCoordinator::tell_who_counts() {
  if (!consistency_.core) {
    return;
  }
  compare(consistency::PeersChanged{there(), quota_.core ? allocation_.sharing_instances : places_});
  tell_module();
}

// What this front acts on, looked at once a pace.
void FleetCoordinator::tell_acts() {
  if (!consistency_.core) {
    return;
  }
  consistency::StateDigest digest;
  digest.revision = list_.revision();
  digest.sums = {list_.digest(), consistency::digest_of_primaries(steered_()),
                 consistency::digest_of_view(there(), membership_options_.slot)};
  std::set<std::uint32_t> ready;
  for (const auto& [mark, entry] : list_.ready()) {
    ready.insert(mark);
  }
  compare(consistency::AppliedState{digest, std::move(ready)});
  write_later();
  acts_ = timers_.set(clock_.now() + acts_pace_, [this] { acts_.reset(), tell_acts(); });
}

// Without an accord the module goes by what it hears, as ever.
void FleetCoordinator::tell_module() {
  if (!consistency_.core) {
    return;
  }
  FleetViewChanged among;
  for (const SlotId place : there()) {
    among.alive_peers.insert(place.number);
  }
  if (quota_.core) {
    among.fleet_share = static_cast<double>(allocation_.sharing_instances) / quota_options_->fleet;
  }
  const consistency::Admission admission = consistency_.core->view().admission;
  among.primary_only_allowed = admission.writes, among.reads_allowed = admission.reads;
  if (among == told_) {
    return;
  }
  told_ = among;
  among_(std::move(among));
}

void FleetCoordinator::write_later() {
  if (path_.empty()) {
    return;
  }
  timers_.drop(write_);
  write_ =
      timers_.set(std::max(clock_.now(), written_ + kWriteAfter), [this] { write_.reset(), write_status(); });
}

void FleetCoordinator::look() {
  if (quota_.core &&
      quota::connections_of(quota_.core->allocation(clock_.now()), *quota_options_, connections_) != limit_) {
    share(std::nullopt);
  }
}

void FleetCoordinator::tell_need() {
  need_ = timers_.set(clock_.now() + quota_options_->lease / 6, [this] {
    need_.reset();
    share(usage_->demand(members_.take_need()));
    tell_need();
  });
}

void FleetCoordinator::carry_out(const quota::LeaseReport& decision) {
  const bool warns = decision.event == quota::LeaseEvent::options_mismatch;
  (warns ? log_.warn("shares", word_of(decision.event), {{"place", decision.slot.number}})
         : log_.info("shares", word_of(decision.event), {{"place", decision.slot.number}}));
}

void FleetCoordinator::carry_out(const quota::AllocationChanged& decision) {
  const bool counts = allocation_.sharing_instances != decision.allocation.sharing_instances;
  allocation_ = decision.allocation;
  limit_ = quota::connections_of(decision.allocation, *quota_options_, connections_);
  members_.limit(limit_.open, limit_.hold);
  log_.debug("shares", "part", {{"open", decision.allocation.open}, {"hold", decision.allocation.hold}});
  if (counts) {
    tell_who_counts();
  }
  write_later();
}

void FleetCoordinator::carry_out(const consistency::ConsistencyReport& decision) {
  using consistency::ConsistencyEvent;
  write_later();
  const long long ms = std::llround(decision.duration);
  const char* event = word_of(decision.event);
  switch (decision.event) {
    case ConsistencyEvent::diverged:
      return log_.warn("accord", event,
                       {{"in", word_of(decision.kind)},
                        {"first", decision.slot.number},
                        {"ms", ms},
                        {"mine", decision.local.of(decision.kind)},
                        {"theirs", decision.remote.of(decision.kind)},
                        {"my_revision", decision.local.revision},
                        {"their_revision", decision.remote.revision}});
    case ConsistencyEvent::converged:
      return log_.info("accord", event, {{"in", word_of(decision.kind)}, {"ms", ms}});
    case ConsistencyEvent::reconnected:
      return log_.info("accord", event, {{"ms", ms}});
    default:
      return log_.warn("accord", event, {{"ms", ms}});
  }
}

void FleetCoordinator::carry_out(const consistency::Admission& /*unused*/) { tell_module(); }

// To the module it is as if the list said that these drain, and that the others do as it says itself.
void FleetCoordinator::carry_out(const consistency::SuspectServers& decision) {
  EndpointListReceived read{EndpointListKind::changes, {}};
  for (auto& [mark, entry] : list_.ready()) {
    const bool suspect = decision.marks.contains(mark);
    if (suspect == suspect_servers_.contains(mark)) {
      continue;
    }
    read.servers.push_back(entry);
    if (suspect) {
      read.servers.back().state = ServerState::draining;
    }
    log_.warn("accord", suspect ? "a later list has it no more" : "its own list counts again",
              {{"member", entry.id.address}});
  }
  suspect_servers_ = decision.marks;
  if (!read.servers.empty()) {
    listed_(std::move(read));
  }
}

void FleetCoordinator::carry_out(const membership::PeerChanged& decision) {
  changed_ = true;
  log_.info("fleet", word_of(decision.event),
            {{"front", decision.name},
             {"place", decision.slot.number},
             {"incarnation", decision.incarnation.number}});
}

void FleetCoordinator::carry_out(const membership::SelfReport& decision) {
  using membership::SelfEvent;
  changed_ = true;
  const logging::Field place{"place", decision.slot.number};
  switch (decision.event) {
    case SelfEvent::paused:
      return log_.warn("fleet", "this process stood still", {{"ms", std::llround(decision.duration)}});
    case SelfEvent::refuted:
      return log_.warn("fleet", "was suspected, says that it is there", {{"by", decision.slot.number}});
    case SelfEvent::name_contested:
      return log_.warn("fleet", "its name is heard of elsewhere", {place});
    case SelfEvent::name_yielded:
      return log_.error("fleet", "another front has its name, stays out of the fleet", {place});
    case SelfEvent::name_claimed:
      return log_.warn("fleet", "takes its name, nobody answers to it elsewhere", {place});
  }
}

std::string FleetCoordinator::status() const {
  const membership::View view = membership_.core->view();
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::PeerView& peer : view.peers) {
    peers.push_back({{"name", peer.name},
                     {"place", peer.slot.number},
                     {"standing", word_of(peer.state)},
                     {"incarnation", peer.incarnation.number},
                     {"since", std::llround(peer.since)}});
  }
  nlohmann::json quota;
  if (quota_.core) {
    const quota::View shared = quota_.core->view();
    quota = {{"open", shared.allocation.open},
             {"hold", shared.allocation.hold},
             {"connections", limit_.hold},
             {"among", shared.allocation.sharing_instances},
             {"office", shared.holds_lease},
             {"holder", shared.holder.number},
             {"pool", shared.pool},
             {"given", shared.allocated},
             {"dropped", shared.dropped}};
  }
  nlohmann::json consistency;
  if (consistency_.core) {
    const consistency::View compared = consistency_.core->view();
    consistency = {{"contact", std::llround(compared.last_contact)},
                   {"cut_off", compared.isolated},
                   {"writes", compared.admission.writes},
                   {"reads", compared.admission.reads},
                   {"doubted", compared.suspect_servers.size()},
                   {"dropped", compared.dropped},
                   {"revision", list_.revision()}};
    for (int kind = 0; kind < consistency::kDigestKinds; ++kind) {
      const consistency::Difference& difference = compared.differences[static_cast<std::size_t>(kind)];
      consistency[word_of(static_cast<consistency::DigestKind>(kind))] = {
          {"differ", difference.differ},
          {"compared", difference.compared},
          {"since", std::llround(difference.since)},
          {"first", difference.first.number},
          {"behind", difference.behind}};
    }
  }
  return nlohmann::json{{"name", membership_options_.name},
                        {"place", membership_options_.slot.number},
                        {"at", std::llround(clock_.now())},
                        {"version", view.version},
                        {"incarnation", view.incarnation.number},
                        {"health", view.health},
                        {"yielded", view.yielded},
                        {"fellows", std::move(peers)},
                        {"shares", std::move(quota)},
                        {"accord", std::move(consistency)},
                        {"dropped",
                         {{"unread", view.dropped.malformed},
                          {"strange", view.dropped.unexpected_sender},
                          {"flood", view.dropped.rate_limited},
                          {"late", view.dropped.stale_reply}}}}
      .dump();
}

// Whoever reads it finds a whole one: it is written beside and then takes the old one's name.
void FleetCoordinator::write_status() {
  if (path_.empty()) {
    return;
  }
  written_ = clock_.now();
  const std::string beside = path_ + ".new";
  std::ofstream file(beside, std::ios::trunc);
  file << status() << '\n';
  file.close();
  if (!file || std::rename(beside.c_str(), path_.c_str()) != 0) {
    log_.warn("fleet", "status file can't be written", {{"path", path_}});
  }
  write_ = timers_.set(written_ + kWriteAtLeast, [this] { write_.reset(), write_status(); });
}

}  // namespace reedspindle::proxy
