// Which instance probes a group for all others, and whether the others can be heard at all.
#pragma once

#include <cstddef>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_registry.hpp"

namespace reedspindle::routing {

// The interval of probes of a server over all instances, in milliseconds.
constexpr Millis kProbePeriod = 200;

class ProbeLeadership {
 public:
  ProbeLeadership(const RouterContext& context, ServerRegistry& registry)
      : context_(context), registry_(registry) {}

  // To be called before the context holds the new view. Ranks are determined anew.
  void handle_fleet_view(const FleetViewChanged& view);

  // Another instance's message has arrived in time.
  void record_peer_message();

  // Whether gossip reaches this instance.
  [[nodiscard]] bool hears_peers() const;

  // When this instance last heard from others again after it had heard nobody.
  [[nodiscard]] Millis heard_again_at() const { return heard_again_at_; }

  // Determines this instance's rank for the group once the fleet view has settled, and gives up the lead
  // where nobody is heard.
  void update(Group& group);

  // When the rank can be determined; kForever where it is known or there is no fleet view.
  [[nodiscard]] Millis rank_due_at(const Group& group) const;

  // Of two instances that both lead the group, whether this one goes on.
  [[nodiscard]] bool precedes(const Group& group, int peer) const;

  // How much longer than the probe period this instance waits for others to probe and tell, in milliseconds.
  [[nodiscard]] Millis probe_delay(const Group& group, const Server& server) const;

 private:
  const RouterContext& context_;
  ServerRegistry& registry_;
  std::size_t groups_led_ = 0;  // those in which this instance's rank is 0
  Millis peer_heard_at_ = kNever;
  Millis heard_again_at_ = kNever;
  Millis fleet_grown_at_ = kNever;  // when an instance last joined the fleet view
};

}  // namespace reedspindle::routing
