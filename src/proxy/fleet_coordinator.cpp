#include "proxy/fleet_coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace reedspindle::proxy {
namespace {

// The shortest interval between two writes of the status file, in milliseconds.
constexpr Millis kMinWriteInterval = 200;

}  // namespace

FleetCoordinator::FleetCoordinator(net::Timers& timers, const net::Clock& clock, logging::Log& log,
                                   const config::InstanceConfig& config, const FleetOptions& fleet,
                                   PeerSocket& peers, upstream::ConnectionPool& pool,
                                   FleetViewHandler on_fleet_view, EndpointListHandler on_endpoint_list,
                                   ServerViews server_views)
    : timers_(timers),
      clock_(clock),
      log_(log),
      peers_(peers),
      pool_(pool),
      status_path_(fleet.status_path),
      membership_options_(membership_options(fleet, config)),
      membership_{membership::make_membership(membership_options_, config.seed), {}},
      quota_options_(fleet.quota),
      connections_per_server_(fleet.connections_per_server),
      state_interval_(fleet.consistency ? fleet.consistency->poll_interval : 0),
      on_fleet_view_(std::move(on_fleet_view)),
      on_endpoint_list_(std::move(on_endpoint_list)),
      server_views_(std::move(server_views)),
      slots_(membership_options_.slots) {
  peers_.add_handler(membership::is_membership_message, [this](int peer, std::string bytes) {
    process_membership(DatagramReceived{{peer}, std::move(bytes)});
  });
  if (fleet.consistency) {
    consistency::Options options = *fleet.consistency;
    options.slot = membership_options_.slot;
    consistency_.core = consistency::make_consistency_monitor(options, config.seed);
    peers_.add_handler(consistency::is_consistency_message, [this](int peer, std::string bytes) {
      process_consistency(DatagramReceived{{peer}, std::move(bytes)});
    });
  }
  if (quota_options_) {
    quota_options_->slot = membership_options_.slot;
    quota_.core = quota::make_quota_manager(*quota_options_, config.seed);
    usage_.emplace(*quota_options_, connections_per_server_);
    peers_.add_handler(quota::is_quota_message, [this](int peer, std::string bytes) {
      process_quota(DatagramReceived{{peer}, std::move(bytes)});
    });
    peers_.on_port_unreachable([this](int peer, std::string bytes) {
      process_quota(quota::DatagramReturned{{peer}, std::move(bytes)});
    });
    process_quota(std::nullopt);
    report_demand();
  }
  process_membership(std::nullopt);
  publish_peers();
  report_applied_state();
  write_status();
}

void FleetCoordinator::set_fleet_size(int slots) {
  slots_ = slots;
  process_membership(membership::SlotCountChanged{slots});
  publish_peers();
}

// A list that is delivered in parts is compared once its last part has been received.
void FleetCoordinator::handle_endpoint_list(const net::EndpointList& list) {
  if (!consistency_.core || list.kind == EndpointListKind::failed) {
    return;
  }
  for (const net::ListedEndpoint& server : list.servers) {
    partial_list_.push_back(server.entry);
  }
  if (!list.last) {
    return;
  }
  endpoint_list_.apply(list.kind, static_cast<std::uint64_t>(std::max(0LL, list.revision)),
                       std::exchange(partial_list_, {}));
  if (list.kind != EndpointListKind::saved) {
    process_consistency(consistency::DiscoveryAnswered{});
  }
}

void FleetCoordinator::start_leaving() { process_membership(membership::Leaving{}); }

void FleetCoordinator::stop() {
  // The connections to servers have been closed by now, so that their allocation can be released.
  if (quota_.core) {
    process_quota(quota::Leaving{});
  }
  for (auto* timer : {&quota_.timer, &demand_timer_, &membership_.timer, &consistency_.timer, &state_timer_,
                      &status_timer_}) {
    timers_.cancel(*timer);
  }
  write_status();
  timers_.cancel(status_timer_);
}

// Runs the membership, the quota manager or the consistency monitor, and executes its decisions. Datagrams
// and wake-ups are the same for all of them.
template <typename Core>
void FleetCoordinator::process(TimedCore<Core>& timed) {
  for (const auto& next : timed.core->process(clock_.now())) {
    std::visit(
        [&](const auto& decision) {
          if constexpr (requires { decision.to, decision.bytes; }) {
            peers_.send(decision.to.number, decision.bytes);
          } else if constexpr (requires { decision.at; }) {
            timers_.cancel(timed.timer);
            timed.timer = timers_.set(decision.at, [this, &timed] { timed.timer.reset(), process(timed); });
          } else {
            execute(decision);
          }
        },
        next);
  }
  if (!std::exchange(view_changed_, false)) {
    return;
  }
  schedule_status_write();
  publish_peers();
}

void FleetCoordinator::process_membership(std::optional<membership::Event> event) {
  if (event) {
    membership_.core->enqueue(std::move(*event));
  }
  process(membership_);
}

void FleetCoordinator::process_quota(std::optional<quota::Event> event) {
  if (event) {
    quota_.core->enqueue(std::move(*event));
  }
  process(quota_);
}

void FleetCoordinator::process_consistency(consistency::Event event) {
  consistency_.core->enqueue(std::move(event));
  process(consistency_);
}

std::set<SlotId> FleetCoordinator::alive_peers() const {
  return membership::alive_peers(membership_.core->view());
}

// Passes the alive peers to the quota manager and the consistency monitor. To be called when the view of the
// membership has changed.
void FleetCoordinator::publish_peers() {
  if (quota_.core) {
    process_quota(quota::PeersChanged{alive_peers()});
  }
  publish_fleet_size();
}

// To be called when the alive peers or the number of instances that share the capacity have changed.
void FleetCoordinator::publish_fleet_size() {
  if (!consistency_.core) {
    return;
  }
  process_consistency(
      consistency::PeersChanged{alive_peers(), quota_.core ? allocation_.sharing_instances : slots_});
  publish_fleet_view();
}

// Passes digests of the state by which this instance routes to the consistency monitor, once per pace.
void FleetCoordinator::report_applied_state() {
  if (!consistency_.core) {
    return;
  }
  consistency::StateDigest digest;
  digest.revision = endpoint_list_.revision();
  digest.sums = {endpoint_list_.digest(), consistency::digest_of_primaries(server_views_()),
                 consistency::digest_of_view(alive_peers(), membership_options_.slot)};
  std::set<std::uint32_t> ready;
  for (const auto& [mark, entry] : endpoint_list_.ready()) {
    ready.insert(mark);
  }
  process_consistency(consistency::AppliedState{digest, std::move(ready)});
  schedule_status_write();
  state_timer_ =
      timers_.set(clock_.now() + state_interval_, [this] { state_timer_.reset(), report_applied_state(); });
}

// Passes the alive peers and the admission of requests to the router. Without a consistency monitor the
// router relies on the datagrams it receives.
void FleetCoordinator::publish_fleet_view() {
  if (!consistency_.core) {
    return;
  }
  FleetViewChanged view;
  for (const SlotId slot : alive_peers()) {
    view.alive_peers.insert(slot.number);
  }
  if (quota_.core) {
    view.live_fraction = static_cast<double>(allocation_.sharing_instances) / quota_options_->slot_count;
  }
  const consistency::Admission admission = consistency_.core->view().admission;
  view.primary_only_allowed = admission.writes, view.reads_allowed = admission.reads;
  if (view == published_view_) {
    return;
  }
  published_view_ = view;
  on_fleet_view_(std::move(view));
}

void FleetCoordinator::schedule_status_write() {
  if (status_path_.empty()) {
    return;
  }
  timers_.cancel(status_timer_);
  status_timer_ = timers_.set(std::max(clock_.now(), status_written_at_ + kMinWriteInterval),
                              [this] { status_timer_.reset(), write_status(); });
}

void FleetCoordinator::check_allocation() {
  if (quota_.core && quota::connections_of(quota_.core->allocation(clock_.now()), *quota_options_,
                                           connections_per_server_) != connection_limits_) {
    process_quota(std::nullopt);
  }
}

void FleetCoordinator::report_demand() {
  demand_timer_ = timers_.set(clock_.now() + quota_options_->lease / 6, [this] {
    demand_timer_.reset();
    process_quota(usage_->demand(pool_.take_connection_need()));
    report_demand();
  });
}

void FleetCoordinator::execute(const quota::LeaseReport& decision) {
  const bool is_warning = decision.event == quota::LeaseEvent::options_mismatch;
  (is_warning ? log_.warn("quota", to_string(decision.event), {{"slot", decision.slot.number}})
              : log_.info("quota", to_string(decision.event), {{"slot", decision.slot.number}}));
}

void FleetCoordinator::execute(const quota::AllocationChanged& decision) {
  const bool fleet_size_changed = allocation_.sharing_instances != decision.allocation.sharing_instances;
  allocation_ = decision.allocation;
  connection_limits_ = quota::connections_of(decision.allocation, *quota_options_, connections_per_server_);
  pool_.set_connection_limits(connection_limits_.open, connection_limits_.hold);
  log_.debug("quota", "allocation changed",
             {{"open", decision.allocation.open}, {"hold", decision.allocation.hold}});
  if (fleet_size_changed) {
    publish_fleet_size();
  }
  schedule_status_write();
}

void FleetCoordinator::execute(const consistency::ConsistencyReport& decision) {
  using consistency::ConsistencyEvent;
  schedule_status_write();
  const long long ms = std::llround(decision.duration);
  const char* event = to_string(decision.event);
  switch (decision.event) {
    case ConsistencyEvent::diverged:
      return log_.warn("consistency", event,
                       {{"digest_kind", to_string(decision.kind)},
                        {"peer_slot", decision.slot.number},
                        {"duration_ms", ms},
                        {"local_digest", decision.local.of(decision.kind)},
                        {"remote_digest", decision.remote.of(decision.kind)},
                        {"local_revision", decision.local.revision},
                        {"remote_revision", decision.remote.revision}});
    case ConsistencyEvent::converged:
      return log_.info("consistency", event,
                       {{"digest_kind", to_string(decision.kind)}, {"duration_ms", ms}});
    case ConsistencyEvent::reconnected:
      return log_.info("consistency", event, {{"duration_ms", ms}});
    default:
      return log_.warn("consistency", event, {{"duration_ms", ms}});
  }
}

void FleetCoordinator::execute(const consistency::Admission& /*unused*/) { publish_fleet_view(); }

// Reports suspect servers to the router as draining, as if the endpoint list said so, and servers that are no
// longer suspect in the state that the list gives them.
void FleetCoordinator::execute(const consistency::SuspectServers& decision) {
  EndpointListReceived changes{EndpointListKind::changes, {}};
  for (auto& [mark, entry] : endpoint_list_.ready()) {
    const bool suspect = decision.marks.contains(mark);
    if (suspect == suspect_servers_.contains(mark)) {
      continue;
    }
    changes.servers.push_back(entry);
    if (suspect) {
      changes.servers.back().state = ServerState::draining;
    }
    log_.warn("consistency", suspect ? "server missing from later endpoint list" : "server no longer suspect",
              {{"server", entry.id.address}});
  }
  suspect_servers_ = decision.marks;
  if (!changes.servers.empty()) {
    on_endpoint_list_(std::move(changes));
  }
}

void FleetCoordinator::execute(const membership::PeerChanged& decision) {
  view_changed_ = true;
  log_.info("membership", to_string(decision.event),
            {{"peer", decision.name},
             {"slot", decision.slot.number},
             {"incarnation", decision.incarnation.number}});
}

void FleetCoordinator::execute(const membership::SelfReport& decision) {
  using membership::SelfEvent;
  view_changed_ = true;
  const logging::Field slot_field{"slot", decision.slot.number};
  switch (decision.event) {
    case SelfEvent::paused:
      return log_.warn("membership", "process pause detected",
                       {{"pause_ms", std::llround(decision.duration)}});
    case SelfEvent::refuted:
      return log_.warn("membership", "refuted suspicion of this instance",
                       {{"suspected_by_slot", decision.slot.number}});
    case SelfEvent::name_contested:
      return log_.warn("membership", "another process may use this instance name", {slot_field});
    case SelfEvent::name_yielded:
      return log_.error("membership", "instance name taken by another process; not joining the fleet",
                        {slot_field});
    case SelfEvent::name_claimed:
      return log_.warn("membership", "instance name claimed; no other process answers to it", {slot_field});
  }
}

}  // namespace reedspindle::proxy
