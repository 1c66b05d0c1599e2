// Requests are decided in the order of their latency objectives, because each one takes capacity from those
// that follow.
#include "routing/request_decisions.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace reedspindle::routing {
namespace {

// The expected latency is capped at this fraction of the objective; otherwise latencies measured during an
// overload would shut out all requests.
constexpr double kMaxExpectedPart = 0.6;
// Requests whose objective has passed come after all others; in milliseconds.
constexpr Millis kAfterAllOthers = 1e9;
// The minimum duration of an attempt, in ticks.
constexpr double kShortestAttemptTicks = 2;

// Returns whether the client may repeat the request: no attempt has been executed, or a repeat does no harm,
// even at another group.
bool is_safe_to_reject(const Request& request, const RequestClass& request_class) {
  if (request.possibly_executed_at == kNever || request_class.retry_safety == RetrySafety::idempotent) {
    return true;
  }
  return request_class.retry_safety == RetrySafety::deduplicated && !request_class.token_valid_in_group_only;
}

}  // namespace

bool fleet_permits(const RequestClass& request_class, const RouterContext& context) {
  const auto& view = context.fleet_view;
  return !view || (request_class.primary_only() ? view->primary_only_allowed : view->reads_allowed);
}

void RequestDecisions::decide(std::map<RequestId, Request>& requests) {
  std::vector<std::pair<double, RequestId>> waiting;
  for (auto& [id, request] : requests) {
    request.next_step = NextStep::wait;
    if (request.in_flight == 0) {
      waiting.emplace_back(urgency(request), id);
    }
  }
  if (waiting.empty()) {
    return;
  }
  std::ranges::sort(waiting);
  const double long_running_share = latencies_.long_running_share();
  for (const auto& [urgency, id] : waiting) {
    decide(requests.at(id), long_running_share);
  }
}

// Returns the sort key of a request, the smallest first: the time left until its objective, scaled down for
// requests of a higher value density.
double RequestDecisions::urgency(const Request& request) const {
  const RequestClass& request_class = context_.class_of(request.request_class);
  const Millis left = request.objective_deadline - context_.now;
  if (left <= 0) {
    return kAfterAllOthers - left;
  }
  return left * std::sqrt(context_.options.highest_primary_density / request_class.value_density());
}

void RequestDecisions::decide(Request& request, double long_running_share) {
  const RequestClass& request_class = context_.class_of(request.request_class);
  // Attempts that were not executed cost the servers nothing.
  const bool is_retry = request.sent_attempts() > request.not_executed;
  if (!may_attempt(request, request_class, is_retry) || !fits_deadline(request, request_class)) {
    request.next_step = is_safe_to_reject(request, request_class) ? NextStep::reject : NextStep::fail;
    return;
  }
  Server* const target = selection_.select(request, request_class, long_running_share);
  request.target = target;
  if (!target) {
    // Rejects the request rather than holding it until it is late, so that its client can retry elsewhere.
    const Millis next_check = context_.now + kRecheckTicks * context_.options.tick;
    if (request.sent_attempts() == 0 && next_check > request.half_deadline) {
      request.next_step = NextStep::reject;
    }
    return;
  }
  request.next_step = NextStep::attempt;
  retry_budget_.record_attempt(is_retry);
  ++target->in_flight;
  slow_start_.charge_attempt(*target);
  target->last_selected = registry_.count_selection();
}

bool RequestDecisions::may_attempt(const Request& request, const RequestClass& request_class,
                                   bool is_retry) const {
  if (!fleet_permits(request_class, context_)) {
    return false;
  }
  if (request.sent_attempts() >= context_.options.max_attempts ||
      (is_retry && !retry_budget_.permits_retry())) {
    return false;
  }
  if (request.possibly_executed_at == kNever || request_class.retry_safety == RetrySafety::idempotent) {
    return true;
  }
  return request_class.retry_safety == RetrySafety::deduplicated &&
         remaining_idempotency_window(request, request_class, context_.now) > 0;
}

// Returns whether an answer with the usual latency would still be of value.
bool RequestDecisions::fits_deadline(const Request& request, const RequestClass& request_class) const {
  const Millis useful_until = request_class.late_value > 0
                                  ? request.deadline
                                  : std::min(request.deadline, request.objective_deadline);
  const Millis expected = std::min(latencies_.upper_quartile(request.request_class),
                                   request_class.latency_objective * kMaxExpectedPart);
  const Millis shortest = kShortestAttemptTicks * context_.options.tick;
  return context_.now + std::max(expected, shortest) <= useful_until;
}

}  // namespace reedspindle::routing
