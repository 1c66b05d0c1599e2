// The limit on this instance's attempts in flight at a server, which follows the latency of its answers.
#pragma once

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

class ConcurrencyLimits {
 public:
  ConcurrencyLimits(const RouterContext& context, SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  // The limit that a newly listed server begins with.
  [[nodiscard]] double initial_limit() const;

  // An attempt took so long, be it answered or timed out.
  void record_latency(Server& server, const RequestClass& request_class, Millis latency) const;

  // The server has shed an attempt.
  void record_shed(Server& server) const;

  // Whether one more attempt may go to the server. `admission_draw` is the request's, 0 to 1; `share` is the
  // part of the limit that is open to it. Counts the server's slow-start credit anew.
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
