// Slow start: while a server warms up after its start, it receives a growing fraction of its full load. The
// rate of attempts to it is limited by a credit that works like a token bucket: it accrues over time, up to
// 1, and each attempt deducts 1.
#pragma once

#include <deque>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle::routing {

// Limits the load on servers that are warming up.
class SlowStart {
 public:
  SlowStart(const RouterContext& context, const ServerHealth& health)
      : context_(context), health_(health), warm_capacity_(context.options.slow_start_window) {}

  // Returns the fraction of the server's capacity that is usable according to the time since its start alone;
  // 1 once the server is warm. It is a minimum: load_fraction() may be higher.
  [[nodiscard]] double fraction(const Server& server) const;

  // Returns fraction() times the credit multiplier, which may exceed 1 while the server reports free
  // processors; the result is at most 1.
  [[nodiscard]] double load_fraction(const Server& server) const;

  // Sets the initial credit, from 0 to 1, of a newly listed server.
  void add(Server& server, double credit) const;

  // Adds the credit accrued since the last call and returns whether the total suffices for one attempt.
  bool has_credit(Server& server);

  // Deducts one attempt, which is being sent to the server, from its credit. No effect on a warm server.
  void charge_attempt(Server& server) const;

  // Counts an acknowledged attempt in the throughput of the warm servers. Ignored if the server is not warm.
  void record_acknowledged(const Server& server);

  // Adjusts the server's credit multiplier if `sample` reports the utilization. Must be called after
  // record_sample().
  void record_utilization(Server& server, const ReplicaSample& sample);

  // Updates the server's contribution to the total capacity of the warm servers. Must be called whenever the
  // server's relative capacity, start time, state or failures have changed.
  void update_capacity(Server& server);

  // Removes the server from the total capacity of the warm servers. Must be called before the server is
  // destroyed.
  void remove(Server& server);

 private:
  [[nodiscard]] double credit_multiplier(const Server& server) const;
  double credit_per_ms(const Server& server);

  const RouterContext& context_;
  const ServerHealth& health_;
  WarmCapacity warm_capacity_;
  std::deque<Millis> acknowledged_at_;  // when attempts to warm servers were acknowledged; oldest first
};

}  // namespace reedspindle::routing
