// Gossip of samples: what this instance tells the others of servers, and what it takes in from them.
#pragma once

#include <optional>
#include <vector>

#include "core/types.hpp"
#include "routing/probe_leadership.hpp"
#include "routing/replica_samples.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

class SampleExchange {
 public:
  SampleExchange(RouterContext& context, ServerRegistry& registry, const ServerHealth& health,
                 SlowStart& slow_start, ProbeLeadership& leadership)
      : context_(context),
        registry_(registry),
        health_(health),
        slow_start_(slow_start),
        leadership_(leadership) {}

  void handle_peer_message(const PeerMessageReceived& message);

  // What is known of the server goes into the next message.
  void queue(Server& server);

  // To be called before the server is destroyed.
  void remove(Server& server);

  // The message that is due, if any. While probes are in flight it waits for their answers, but not for long.
  [[nodiscard]] std::optional<BroadcastToPeers> take_message(bool probes_in_flight);

  // When the next message is due at the latest; kForever where nothing waits.
  [[nodiscard]] Millis next_at() const;

 private:
  void handle_sample(const GossipedSample& gossiped, Millis sent_at, int peer);
  [[nodiscard]] GossipedSample describe(const Server& server) const;

  RouterContext& context_;
  ServerRegistry& registry_;
  const ServerHealth& health_;
  SlowStart& slow_start_;
  ProbeLeadership& leadership_;
  std::vector<Server*> queued_;
  Millis queued_since_ = kNever;  // when the first of them was queued
  Millis told_at_ = kNever;       // when the last message was sent
};

}  // namespace reedspindle::routing
