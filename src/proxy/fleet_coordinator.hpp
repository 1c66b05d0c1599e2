// Runs the membership, the quota manager and the consistency monitor of one instance on the peers' socket:
// their datagrams, timers and log events, and the status file.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "consistency/state_digest.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"
#include "net/endpoint_list.hpp"
#include "proxy/options.hpp"
#include "proxy/peer_socket.hpp"
#include "quota/usage.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::proxy {

// Coordinates this instance with its peers: passes events to the membership, the quota manager and the
// consistency monitor, executes their decisions, and writes the status file.
class FleetCoordinator {
 public:
  using FleetViewHandler = std::function<void(FleetViewChanged)>;
  using EndpointListHandler = std::function<void(EndpointListReceived)>;
  using ServerViews = std::function<std::vector<ServerView>()>;  // of the router

  // All referenced objects have to outlive the coordinator. The handlers are called on the event loop's
  // thread. Throws InvalidInput if the configuration has no valid name or slot.
  FleetCoordinator(net::Timers& timers, const net::Clock& clock, logging::Log& log,
                   const config::InstanceConfig& config, const FleetOptions& fleet, PeerSocket& peers,
                   upstream::ConnectionPool& pool, FleetViewHandler on_fleet_view,
                   EndpointListHandler on_endpoint_list, ServerViews server_views);

  // Handles a new length of the list of peers.
  void set_fleet_size(int slots);
  // Handles one part of an endpoint list from discovery.
  void handle_endpoint_list(const net::EndpointList& list);
  // Applies the expiry of an allocation since the last event. Has to be called before requests are sent.
  void check_allocation();
  // Starts the graceful shutdown: notifies the peers at once, and continues until stop().
  void start_leaving();
  // Releases the allocation, cancels all timers, and writes the status file one last time.
  void stop();

 private:
  // The membership, the quota manager or the consistency monitor, with its wake-up timer.
  template <typename Core>
  struct TimedCore {
    std::unique_ptr<Core> core;  // null: disabled
    std::optional<net::Timers::Handle> timer;
  };
  template <typename Core>
  void process(TimedCore<Core>& timed);
  void process_membership(std::optional<membership::Event> event);
  void execute(const membership::PeerChanged& decision);
  void execute(const membership::SelfReport& decision);
  void process_quota(std::optional<quota::Event> event);
  void execute(const quota::LeaseReport& decision);
  void execute(const quota::AllocationChanged& decision);
  void process_consistency(consistency::Event event);
  void execute(const consistency::ConsistencyReport& decision);
  void execute(const consistency::Admission& decision);
  void execute(const consistency::SuspectServers& decision);
  [[nodiscard]] std::set<SlotId> alive_peers() const;
  void report_demand();
  void report_applied_state();
  void publish_peers();
  void publish_fleet_size();
  void publish_fleet_view();
  void schedule_status_write();
  void write_status();
  [[nodiscard]] std::string status_json() const;

  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  PeerSocket& peers_;
  upstream::ConnectionPool& pool_;
  const std::string status_path_;
  const membership::Options membership_options_;
  TimedCore<membership::Membership> membership_;
  std::optional<quota::Options> quota_options_;  // none: connections are not limited by quotas
  const int connections_per_server_;             // the limit for the whole fleet
  TimedCore<quota::QuotaManager> quota_;
  std::optional<quota::Usage> usage_;
  quota::Allocation allocation_;
  quota::Connections connection_limits_;
  TimedCore<consistency::ConsistencyMonitor> consistency_;
  const Millis state_interval_;
  const FleetViewHandler on_fleet_view_;
  const EndpointListHandler on_endpoint_list_;
  const ServerViews server_views_;
  consistency::EndpointListState endpoint_list_;
  std::vector<ServerEntry> partial_list_;    // the parts received so far of a list
  std::set<std::uint32_t> suspect_servers_;  // marks of servers
  int slots_;                                // length of the list of peers
  FleetViewChanged published_view_;          // as last passed to the router
  std::optional<net::Timers::Handle> status_timer_, demand_timer_, state_timer_;
  Millis status_written_at_ = 0;  // Unix time
  bool view_changed_ = false;     // the view of the membership, since the last decision was executed
};

}  // namespace reedspindle::proxy
