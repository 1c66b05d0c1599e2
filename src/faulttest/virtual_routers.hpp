// Simulates the routers and the membership of many instances in virtual time: which instance probes which
// server, how samples are broadcast, and how old the samples are by which requests are routed. Simulated
// servers answer probes; there are no client requests. Runs in one thread; the same seed gives the same run.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "faulttest/virtual_fleet.hpp"
#include "routing/router.hpp"

namespace reedspindle::faulttest {

// A group has group_size servers, the first of which is the primary. Without use_membership_view, routers are
// not told the membership view and go by the broadcasts that they receive. replication_lag is that of
// replicas.
struct FleetOptions {
  int instances = 10, groups = 4, group_size = 6;
  bool use_membership_view = false;
  Millis probe_latency = 1, replication_lag = 20;
};

// Figures of one run().
struct ProbeStatistics {
  double probes = 0;                                // per second and server
  double broadcasts = 0;                            // per second, of all instances
  Millis median_age = 0, p99_age = 0, max_age = 0;  // of samples, over running instances and servers
  double stale_fraction = 0;  // fraction of samples over a second old, which are too old for any read
};

class VirtualRouters {
 public:
  VirtualRouters(const FleetOptions& options, std::uint64_t seed);

  void start(int instance);
  void kill(int instance);
  void pause(int instance);
  void resume(int instance);
  // Blocks the link between two instances in both directions, for membership and broadcasts.
  void block_link(int from, int to) { blocked_links_.insert({from, to}), blocked_links_.insert({to, from}); }
  void heal() { blocked_links_.clear(); }
  void set_loss(double fraction) { fleet_.network.loss = fraction; }
  ProbeStatistics run(Millis duration);

 private:
  struct Instance {
    std::unique_ptr<Router> router;
    int generation = 0;
    bool paused = false, view_changed = false;  // view_changed: of its membership
    std::vector<Event> pending;
  };
  struct ScheduledEvent {
    Millis at = 0;
    std::uint64_t sequence = 0;
    int instance = 0, generation = 0;
    Event event;
    bool operator>(const ScheduledEvent& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };
  Instance& instance(int index) { return instances_.at(static_cast<std::size_t>(index)); }
  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }
  [[nodiscard]] EndpointListReceived endpoint_list() const;
  void run_router(int index);
  void schedule(Millis at, int index, Event event);

  const FleetOptions options_;
  VirtualFleet fleet_;
  std::minstd_rand random_;
  std::vector<Instance> instances_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> schedule_;
  std::set<std::pair<int, int>> blocked_links_;
  std::uint64_t sequence_ = 0, probes_ = 0, broadcasts_ = 0;
};

}  // namespace reedspindle::faulttest
