// Slow start: a server that has just started gets a share of its load that grows, paid for with a credit.
#pragma once

#include <deque>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle::routing {

class SlowStart {
 public:
  SlowStart(const RouterContext& context, const ServerHealth& health)
      : context_(context), health_(health), warm_capacity_(context.options.slow_start_window) {}

  // The fraction of its capacity that a server has at least; 1 when it is warm.
  [[nodiscard]] double fraction(const Server& server) const;

  // As fraction(), raised while the server reports processors free; at most 1.
  [[nodiscard]] double load_fraction(const Server& server) const;

  // A newly listed server begins with a credit, 0 to 1.
  void add(Server& server, double credit) const;

  // Adds the credit earned since the last call; whether it pays for an attempt.
  bool has_credit(Server& server);

  // An attempt goes to the server.
  void charge_attempt(Server& server) const;

  // An attempt at the server was acknowledged.
  void record_acknowledged(const Server& server);

  // A sample was recorded; takes in the utilization, where the sample states one.
  void record_utilization(Server& server, const ReplicaSample& sample);

  // To be called after any change of its size, start, state or failures.
  void update_capacity(Server& server);

  // To be called before the server is destroyed.
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
