// The limit on the attempts that this instance has in flight at a server. It adapts to the latency of the
// server's answers.
#pragma once

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// Adapts the concurrency limit of each server and admits attempts by it.
class ConcurrencyLimits {
 public:
  ConcurrencyLimits(const RouterContext& context, SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  // Returns the initial limit of a newly listed server.
  [[nodiscard]] double initial_limit() const;

  // Records that an attempt took `latency` milliseconds, whether it was answered or timed out.
  void record_latency(Server& server, const RequestClass& request_class, Millis latency) const;

  // Records that the server has shed an attempt.
  void record_shed(Server& server) const;

  // Returns whether one more attempt may be sent to the server. `admission_draw` is the request's random
  // number from 0 to 1; `share` is the fraction of the limit that is open to the request. Updates the
  // server's slow-start credit.
  bool has_room(Server& server, const RequestClass& request_class, double admission_draw,
                double share = 1) const;

 private:
  [[nodiscard]] double minimum_limit() const;
  void back_off(Server& server) const;
  void follow_short_answer(Server& server, const RequestClass& request_class, Millis latency) const;

  const RouterContext& context_;
  SlowStart& slow_start_;
};

}  // namespace reedspindle::routing
