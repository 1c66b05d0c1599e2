// Determines which instance probes a group on behalf of all, and whether messages of other instances arrive
// at all.
#pragma once

#include <cstddef>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_registry.hpp"

namespace reedspindle::routing {

// The interval at which a server is probed, over all instances, in milliseconds.
constexpr Millis kProbePeriod = 200;

// Tracks this instance's rank as the probe leader of each group.
class ProbeLeadership {
 public:
  ProbeLeadership(const RouterContext& context, ServerRegistry& registry)
      : context_(context), registry_(registry) {}

  // Discards all ranks, which are then determined anew. Must be called before the context is updated with the
  // new view.
  void handle_fleet_view(const FleetViewChanged& view);

  // Records that a message of another instance has arrived in time.
  void record_peer_message();

  // Returns whether gossip reaches this instance.
  [[nodiscard]] bool hears_peers() const;

  // Returns when this instance last began to receive messages again after it had received none.
  [[nodiscard]] Millis heard_again_at() const { return heard_again_at_; }

  // Determines this instance's rank for the group once the fleet view has settled, and gives up the lead if
  // no peer is heard.
  void update(Group& group);

  // Returns when the rank can be determined; kForever if it is known or there is no fleet view.
  [[nodiscard]] Millis rank_due_at(const Group& group) const;

  // Returns whether this instance keeps the lead if it and `peer` both lead the group.
  [[nodiscard]] bool precedes(const Group& group, int peer) const;

  // Returns how much longer than the probe period, in milliseconds, this instance waits for others to probe
  // the server and gossip the result.
  [[nodiscard]] Millis probe_delay(const Group& group, const Server& server) const;

 private:
  const RouterContext& context_;
  ServerRegistry& registry_;
  std::size_t groups_led_ = 0;  // number of groups in which this instance's rank is 0
  Millis peer_heard_at_ = kNever;
  Millis heard_again_at_ = kNever;
  Millis fleet_grown_at_ = kNever;  // when an instance last joined the fleet view
};

}  // namespace reedspindle::routing
