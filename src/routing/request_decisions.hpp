// Decides what happens to each request that has no attempt in flight: it is attempted, waits, is rejected or
// fails.
#pragma once

#include <map>

#include "core/types.hpp"
#include "routing/latency_stats.hpp"
#include "routing/replica_state.hpp"
#include "routing/request_state.hpp"
#include "routing/retry_budget.hpp"
#include "routing/router_context.hpp"
#include "routing/server_registry.hpp"
#include "routing/server_selection.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// Returns whether the fleet's view, if there is one, lets this instance send requests of a class.
[[nodiscard]] bool fleet_permits(const RequestClass& request_class, const RouterContext& context);

// Decides the next step of requests, within the limits on attempts, retries and deadlines.
class RequestDecisions {
 public:
  RequestDecisions(const RouterContext& context, ServerRegistry& registry, const LatencyStats& latencies,
                   const SlowStart& slow_start, ServerSelection& selection)
      : context_(context),
        registry_(registry),
        latencies_(latencies),
        slow_start_(slow_start),
        selection_(selection),
        retry_budget_(context.options) {}

  // Sets the next step and the target of every request. Called once per batch, after all events.
  void decide(std::map<RequestId, Request>& requests);

 private:
  void decide(Request& request, double long_running_share);
  [[nodiscard]] bool may_attempt(const Request& request, const RequestClass& request_class,
                                 bool is_retry) const;
  [[nodiscard]] bool fits_deadline(const Request& request, const RequestClass& request_class) const;
  [[nodiscard]] double urgency(const Request& request) const;

  const RouterContext& context_;
  ServerRegistry& registry_;
  const LatencyStats& latencies_;
  const SlowStart& slow_start_;
  ServerSelection& selection_;
  RetryBudget retry_budget_;
};

}  // namespace reedspindle::routing
