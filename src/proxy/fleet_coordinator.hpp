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

class FleetCoordinator {
 public:
  using FleetViewHandler = std::function<void(FleetViewChanged)>;
  using EndpointListHandler = std::function<void(EndpointListReceived)>;
  using ServerViews = std::function<std::vector<ServerView>()>;  // what the router holds true

  // All references have to outlive the coordinator. The handlers are called on the thread of the timers.
  // Throws InvalidInput where the configuration has no valid name or slot.
  FleetCoordinator(net::Timers& timers, const net::Clock& clock, logging::Log& log,
                   const config::InstanceConfig& config, const FleetOptions& fleet, PeerSocket& peers,
                   upstream::ConnectionPool& pool, FleetViewHandler on_fleet_view,
                   EndpointListHandler on_endpoint_list, ServerViews server_views);

  // The list of peers has that many slots now.
  void set_fleet_size(int slots);
  // One part of an endpoint list from discovery.
  void handle_endpoint_list(const net::EndpointList& list);
  // Applies an allocation that has expired since the last event; to be called before requests are sent.
  void check_allocation();
  // Begins the graceful shutdown: peers are notified at once, the coordinator goes on until stop().
  void start_leaving();
  // Releases the allocation, cancels all timers and writes the status file a last time.
  void stop();

 private:
  // One that decides, with its timer.
  template <typename Core>
  struct TimedCore {
    std::unique_ptr<Core> core;  // none: it is off
    std::optional<net::Timers::Handle> timer;
  };
  template <typename Core>
  void process(TimedCore<Core>& timed);
  void process_membership(std::optional<membership::Event> event);
  void carry_out(const membership::PeerChanged& decision);
  void carry_out(const membership::SelfReport& decision);
  void process_quota(std::optional<quota::Event> event);
  void carry_out(const quota::LeaseReport& decision);
  void carry_out(const quota::AllocationChanged& decision);
  void process_consistency(consistency::Event event);
  void carry_out(const consistency::ConsistencyReport& decision);
  void carry_out(const consistency::Admission& decision);
  void carry_out(const consistency::SuspectServers& decision);
  [[nodiscard]] std::set<SlotId> alive_peers() const;
  void report_demand();
  void report_applied_state();
  void publish_peers();
  void publish_fleet_size();
  void publish_fleet_view();
  void schedule_status_write();
  void write_status();
  [[nodiscard]] std::string status() const;

  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  PeerSocket& peers_;
  upstream::ConnectionPool& pool_;
  const std::string status_path_;
  const membership::Options membership_options_;
  TimedCore<membership::Membership> membership_;
  std::optional<quota::Options> quota_options_;  // none: each store may be used as it comes
  const int connections_;
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
  std::vector<ServerEntry> partial_list_;    // of the list that is being read
  std::set<std::uint32_t> suspect_servers_;  // marks of members
  int slots_;
  FleetViewChanged published_view_;  // the module
  std::optional<net::Timers::Handle> status_timer_, demand_timer_, state_timer_;
  Millis status_written_at_ = 0;
  bool view_changed_ = false;  // the membership's view, within a turn
};

}  // namespace reedspindle::proxy
