// A limit shrinks while answers take a large part of their latency objective, and grows while they take a
// small part. That keeps the queues at servers short and diverts load from slow servers; a minimum lets
// requests continue when all servers are slow. If the objective of a class does not correspond to the work
// that its requests cause, the limit adapts wrongly.
#include "routing/concurrency_limit.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

#include "routing/eligibility.hpp"

namespace reedspindle::routing {
namespace {

// Attempts in flight at one server, summed over all instances: the limit of a new server, and the minimum
// limit.
constexpr double kInitialOfFleet = 8;
constexpr double kMinimumOfFleet = 4;

// The mean ratio of latency to objective over kAnswersPerStep answers: above kHighRatio the limit shrinks;
// below kLowRatio it grows, provided that it is nearly used up.
constexpr std::size_t kAnswersPerStep = 10;
constexpr double kHighRatio = 0.35;
constexpr double kLowRatio = 0.25;
constexpr double kShrink = 0.85;
constexpr double kGrow = 1;
constexpr double kNearlyUsedUp = 0.7;

// Limits below 1 are adjusted after every single answer.
constexpr double kBackOffFactor = 0.3;
constexpr double kFastRatio = 0.5;
constexpr double kFastGrow = 0.3;
constexpr double kFreeUtilization = 0.7;

// In milliseconds: no attempts are sent for kPauseAfterShed after the server has shed one; the admission
// probability of a limit below 1 rises by 1 per kRecovery without any answer.
constexpr Millis kPauseAfterShed = 100;
constexpr Millis kRecovery = 100000;

}  // namespace

double ConcurrencyLimits::initial_limit() const {
  return std::max(1.0, kInitialOfFleet / context_.instances);
}

double ConcurrencyLimits::minimum_limit() const { return kMinimumOfFleet / context_.instances; }

void ConcurrencyLimits::record_latency(Server& server, const RequestClass& request_class,
                                       Millis latency) const {
  if (!request_class.long_running) {
    follow_short_answer(server, request_class, latency);
  }
  server.latency_ratios.push_back(latency / std::max(1.0, request_class.latency_objective));
  if (server.latency_ratios.size() < kAnswersPerStep) {
    return;
  }
  const double sum = std::accumulate(server.latency_ratios.begin(), server.latency_ratios.end(), 0.0);
  const double mean = sum / kAnswersPerStep;
  if (mean > kHighRatio) {
    server.concurrency_limit = std::max(minimum_limit(), server.concurrency_limit * kShrink);
  }
  if (mean < kLowRatio && server.in_flight + 1 >= server.concurrency_limit * kNearlyUsedUp) {
    server.concurrency_limit += kGrow;
  }
  server.latency_ratios.clear();
}

// A late answer may be due to the request alone. If the server reports free processors, only a second late
// answer in a row counts against it.
void ConcurrencyLimits::follow_short_answer(Server& server, const RequestClass& request_class,
                                            Millis latency) const {
  const bool processors_free =
      context_.now - server.utilization_seen_at < kMaxSampleAge && server.utilization < kFreeUtilization;
  const bool late = latency > request_class.latency_objective;
  const bool was_late = std::exchange(server.last_answer_late, late);
  if (late && (was_late || !processors_free)) {
    back_off(server);
  }
  if (latency < kFastRatio * request_class.latency_objective && server.concurrency_limit < 1) {
    server.concurrency_limit = std::min(1.0, server.concurrency_limit + kFastGrow);
  }
}

// Without this back-off, a server that sheds load faster than others answer would attract ever more requests.
void ConcurrencyLimits::record_shed(Server& server) const {
  back_off(server);
  server.concurrency_limit = std::max(minimum_limit(), server.concurrency_limit * kShrink);
  server.back_off_until = context_.now + kPauseAfterShed;
}

// With many instances, each one has too few attempts at a server to limit them by number. A limit below 1 is
// therefore the probability that a request may be sent there, so that the sum over all instances follows the
// server's capacity. One late answer also reduces the load on the server for a while, even if it was late by
// chance.
void ConcurrencyLimits::back_off(Server& server) const {
  if (minimum_limit() >= 1) {
    return;
  }
  const double lowered = std::min(server.concurrency_limit, 1.0) * kBackOffFactor;
  server.concurrency_limit = std::max(minimum_limit(), lowered);
  server.backed_off_at = context_.now;
}

bool ConcurrencyLimits::has_room(Server& server, const RequestClass& request_class, double admission_draw,
                                 double share) const {
  const double limit = server.concurrency_limit * share * slow_start_.load_fraction(server);
  const double recovered = (context_.now - server.backed_off_at) / kRecovery;
  if (server.in_flight + 0.5 > std::max(1.0, limit) || admission_draw > limit + recovered) {
    return false;
  }
  if (slow_start_.fraction(server) >= 1) {
    return true;
  }
  return !request_class.long_running && slow_start_.has_credit(server);
}

}  // namespace reedspindle::routing
