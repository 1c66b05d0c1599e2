// Gossip of samples: sends this instance's samples of servers to the others and applies theirs.
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

// Exchanges samples of servers with the other instances.
class SampleExchange {
 public:
  SampleExchange(RouterContext& context, ServerRegistry& registry, const ServerHealth& health,
                 SlowStart& slow_start, ProbeLeadership& leadership)
      : context_(context),
        registry_(registry),
        health_(health),
        slow_start_(slow_start),
        leadership_(leadership) {}

  // Applies the samples of a gossip message.
  void handle_peer_message(const PeerMessageReceived& message);

  // Queues the server's state for the next message.
  void queue(Server& server);

  // Must be called before the server is destroyed.
  void remove(Server& server);

  // Returns the message that is due, if any. While probes are in flight the message waits for their answers,
  // but only for a short time.
  [[nodiscard]] std::optional<BroadcastToPeers> take_message(bool probes_in_flight);

  // Returns the time by which the next message is due; kForever if nothing is queued.
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
  Millis last_sent_at_ = kNever;  // when the last message was sent
};

}  // namespace reedspindle::routing
