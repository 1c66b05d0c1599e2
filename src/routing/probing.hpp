// Health checks: decides when a server is to be probed, and applies the results.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "routing/due_times.hpp"
#include "routing/probe_leadership.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/sample_exchange.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// Schedules probes of servers and records their results.
class Probing {
 public:
  Probing(RouterContext& context, ServerRegistry& registry, ServerHealth& health, SlowStart& slow_start,
          ProbeLeadership& leadership, SampleExchange& exchange)
      : context_(context),
        registry_(registry),
        health_(health),
        slow_start_(slow_start),
        leadership_(leadership),
        exchange_(exchange) {}

  // Records the result of a probe and queues it as gossip if the other instances need it.
  void handle_probe_completed(const ProbeCompleted& event);

  // Decides on the probes of all groups that have changed or are due. Called once per batch, after all
  // events.
  void decide();

  // Starts the probes that decide() has found due.
  void start_due(std::vector<Decision>& decisions);

  [[nodiscard]] bool probes_in_flight() const { return in_flight_ > 0; }

  // Returns the time at which the next group is due; kForever if none is.
  [[nodiscard]] Millis next_at() const { return due_groups_.next().value_or(kForever); }

 private:
  void decide(Group& group);
  void queue_gossip(Server& server, Group& group, const ProbeCompleted& event);
  [[nodiscard]] Millis due_at(const Group& group, const Server& server) const;
  [[nodiscard]] Millis regular_due_at(const Group& group, const Server& server) const;
  [[nodiscard]] Millis gossip_missing_at(const Server& server) const;

  RouterContext& context_;
  ServerRegistry& registry_;
  ServerHealth& health_;
  SlowStart& slow_start_;
  ProbeLeadership& leadership_;
  SampleExchange& exchange_;
  DueTimes<GroupId> due_groups_;
  std::vector<Server*> due_;
  int in_flight_ = 0;
  // Whether peers were heard and whether probes were trusted in the last batch; a change of either affects
  // all groups.
  std::optional<std::pair<bool, bool>> decided_with_;
};

}  // namespace reedspindle::routing
