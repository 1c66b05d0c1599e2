// Whether a server is down, hangs or may be sent requests, from its answers and from probes.
#pragma once

#include "core/types.hpp"
#include "routing/latency_stats.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// How many times its usual answer time a server with attempts in flight may give no answer.
constexpr double kOverdueFactor = 3;

class ServerHealth {
 public:
  ServerHealth(const RouterContext& context, const LatencyStats& latencies)
      : context_(context), latencies_(latencies) {}

  // The server answered a request or a probe. Its part in the warm capacity must be updated afterwards.
  void record_answer(Server& server);

  // Neither draining nor gone.
  [[nodiscard]] bool is_in_service(const Server& server) const;

  // False for a while after a server has answered requests although a probe of it had failed.
  [[nodiscard]] bool probes_trusted() const;

  // Requests, or probes while they are trusted, have failed since its last answer.
  [[nodiscard]] bool is_down(const Server& server) const;

  // It has given no answer of any kind for `factor` times its usual answer time, with an attempt in flight
  // for all of it.
  [[nodiscard]] bool is_overdue(const Server& server, double factor = kOverdueFactor) const;

  // It hangs, has vanished or is cut off: attempts in flight there are to be cancelled.
  [[nodiscard]] bool is_unresponsive(const Server& server) const;

  // It may be sent a request now.
  [[nodiscard]] bool is_available(const Server& server) const;

  // Why it may not be sent requests now.
  [[nodiscard]] Unavailability unavailability(const Server& server) const;

 private:
  const RouterContext& context_;
  const LatencyStats& latencies_;
  Millis probe_contradicted_at_ = kNever;  // when a server last answered after a failed probe
};

}  // namespace reedspindle::routing
