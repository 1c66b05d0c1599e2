// Tests the retry budget, which the settings resends.share (its ratio) and resends.burst define.
#include "routing/retry_budget.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

RouterOptions budget(double ratio, double burst) {
  RouterOptions options;
  options.retry_budget_ratio = ratio;
  options.retry_budget_burst = burst;
  return options;
}

void record(RetryBudget& budget, int attempts, bool is_retry) {
  for (int count = 0; count < attempts; ++count) {
    budget.record_attempt(is_retry);
  }
}

}  // namespace

void retry_budget() {
  RetryBudget used_up(budget(0.5, 3));
  record(used_up, 2, true);
  expect("the whole burst may be spent", used_up.permits_retry(), true);
  record(used_up, 1, true);
  expect("no retry is permitted once the burst is spent", used_up.permits_retry(), false);
  record(used_up, 1, false);
  record(used_up, 1, false);
  expect("at a ratio of 0.5 two first attempts earn a retry", used_up.permits_retry(), true);

  RetryBudget saved_up(budget(0.5, 1));
  record(saved_up, 100, false);
  record(saved_up, 1, true);
  expect("the budget never holds more than the burst", saved_up.permits_retry(), false);

  RetryBudget unlimited(budget(0, 1));
  record(unlimited, 100, true);
  expect("at a ratio of 0 retries are not limited", unlimited.permits_retry(), true);

  expect("the burst is shared among the instances",
         parse_router_options({{"instances", 4.0}, {"resends.burst", 20.0}}).retry_budget_burst, 5);
  expect("an instance's share of the burst is at least 1",
         parse_router_options({{"instances", 40.0}, {"resends.burst", 20.0}}).retry_budget_burst, 1);
}

}  // namespace reedspindle::routing::tests
