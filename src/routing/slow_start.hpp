// Slow start: a server that has recently started receives a growing fraction of its load. Attempts at it are
// paid for from a credit.
#pragma once

#include <deque>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle::routing {

// Limits the load of servers that warm up.
class SlowStart {
 public:
  SlowStart(const RouterContext& context, const ServerHealth& health)
      : context_(context), health_(health), warm_capacity_(context.options.slow_start_window) {}

  // Returns the minimum fraction of its capacity that a server has; 1 once it is warm.
  [[nodiscard]] double fraction(const Server& server) const;

  // Returns fraction(), raised while the server reports free processors; at most 1.
  [[nodiscard]] double load_fraction(const Server& server) const;

  // Gives a newly listed server its initial credit, from 0 to 1.
  void add(Server& server, double credit) const;

  // Adds the credit earned since the last call and returns whether it covers one attempt.
  bool has_credit(Server& server);

  // Deducts an attempt that is sent to the server.
  void charge_attempt(Server& server) const;

  // Records that an attempt at the server was acknowledged.
  void record_acknowledged(const Server& server);

  // Adjusts the credit multiplier by a recorded sample, if the sample states the utilization.
  void record_utilization(Server& server, const ReplicaSample& sample);

  // Updates the server's part of the warm capacity. Must be called after any change of its size, start, state
  // or failures.
  void update_capacity(Server& server);

  // Must be called before the server is destroyed.
  void remove(Server& server);

 private:
  [[nodiscard]] double credit_multiplier(const Server& server) const;
  double credit_per_ms(const Server& server);

  const RouterContext& context_;
  const ServerHealth& health_;
  WarmCapacity warm_capacity_;
  std::deque<Millis> acknowledged_at_;  // of attempts at warm servers
};

}  // namespace reedspindle::routing
