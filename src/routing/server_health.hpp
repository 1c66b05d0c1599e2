// Determines from a server's answers and from probes whether it is down, hangs or may be sent requests.
#pragma once

#include "core/types.hpp"
#include "routing/latency_stats.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// A server with attempts in flight is overdue after this multiple of its usual answer time without an answer.
constexpr double kOverdueFactor = 3;

// Judges the health of servers as this instance sees them.
class ServerHealth {
 public:
  ServerHealth(const RouterContext& context, const LatencyStats& latencies)
      : context_(context), latencies_(latencies) {}

  // Records that the server answered a request or a probe. Its part of the warm capacity must be updated
  // afterwards.
  void record_answer(Server& server);

  // Returns whether the server is neither draining nor gone.
  [[nodiscard]] bool is_in_service(const Server& server) const;

  // Returns false for a while after a server has answered although a probe of it had failed.
  [[nodiscard]] bool probes_trusted() const;

  // Returns whether requests have failed since the server's last answer, or probes, while these are trusted.
  [[nodiscard]] bool is_down(const Server& server) const;

  // Returns whether the server has given no answer of any kind for `factor` times its usual answer time, with
  // an attempt in flight for all of that time.
  [[nodiscard]] bool is_overdue(const Server& server, double factor = kOverdueFactor) const;

  // Returns whether the server hangs, has vanished or is cut off, so that its attempts in flight are to be
  // cancelled.
  [[nodiscard]] bool is_unresponsive(const Server& server) const;

  // Returns whether the server may be sent a request now.
  [[nodiscard]] bool is_available(const Server& server) const;

  // Returns the reason why the server may not be sent requests now.
  [[nodiscard]] Unavailability unavailability(const Server& server) const;

 private:
  const RouterContext& context_;
  const LatencyStats& latencies_;
  Millis probe_contradicted_at_ = kNever;  // when a server last answered after a failed probe
};

}  // namespace reedspindle::routing
