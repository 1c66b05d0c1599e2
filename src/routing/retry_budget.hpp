// The retry budget: limits retries to a ratio of first attempts plus a burst, so that servers that fail for
// all requests are not sent every request again (as in gRPC's proposal A6 and Finagle's RetryBudget).
#pragma once

#include <algorithm>

#include "routing/router_options.hpp"

namespace reedspindle::routing {

// A token bucket that first attempts fill and retries drain. A ratio of 0 disables it.
class RetryBudget {
 public:
  explicit RetryBudget(const RouterOptions& options)
      : ratio_(options.retry_budget_ratio),
        burst_(options.retry_budget_burst),
        balance_(options.retry_budget_burst) {}

  [[nodiscard]] bool permits_retry() const { return balance_ >= 1; }

  void record_attempt(bool is_retry) {
    if (ratio_ <= 0) {
      return;
    }
    balance_ = is_retry ? balance_ - 1 : std::min(balance_ + ratio_, burst_);
  }

 private:
  const double ratio_;
  const double burst_;
  double balance_;  // retries that may be sent now
};

}  // namespace reedspindle::routing
