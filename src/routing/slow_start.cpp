// A server that warms up earns credit per millisecond: the permitted multiple of its fraction of the recent
// throughput of a warm server of its size, as measured by this instance. That may be far below one attempt;
// the limit holds for the sum over all instances. Utilization that the server reports takes precedence over
// this estimate.
#include "routing/slow_start.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "routing/eligibility.hpp"
#include "routing/recent_values.hpp"

namespace reedspindle::routing {
namespace {

// The window in which acknowledged attempts are counted, in milliseconds; even an instance with little
// traffic has some in it.
constexpr Millis kThroughputWindow = 5000;
constexpr std::size_t kMaxAcknowledgedKept = 10000;
constexpr double kMaxCredit = 1;

// The credit multiplier is raised while utilization is below kLowUtilization and credit holds attempts back,
// lowered above kHighUtilization, and lowered slightly while credit holds no attempts back.
constexpr double kLowUtilization = 0.5;
constexpr double kHighUtilization = 0.7;
constexpr double kRaise = 1.1;
constexpr double kLower = 0.7;
constexpr double kLowerUnused = 0.9;
constexpr double kMinMultiplier = 1;
constexpr double kMaxMultiplier = 4;
// The time for which a report of utilization is valid, in milliseconds.
constexpr Millis kUtilizationAge = kMaxSampleAge / 2;

}  // namespace

double SlowStart::fraction(const Server& server) const {
  const RouterOptions& options = context_.options;
  const Millis age = context_.now - server.cold_since;
  if (age >= options.slow_start_window || options.slow_start_window <= 0) {
    return 1;
  }
  return options.slow_start_minimum +
         (1 - options.slow_start_minimum) * std::max(0.0, age) / options.slow_start_window;
}

double SlowStart::load_fraction(const Server& server) const {
  return std::min(1.0, fraction(server) * credit_multiplier(server));
}

void SlowStart::add(Server& server, double credit) const {
  server.slow_start_credit = credit;
  server.credit_updated_at = context_.now;
}

bool SlowStart::has_credit(Server& server) {
  const Millis updated_at = std::exchange(server.credit_updated_at, context_.now);
  const Millis since = std::max(updated_at, server.cold_since);
  const double earned = (context_.now - since) * credit_per_ms(server) * credit_multiplier(server);
  server.slow_start_credit = std::min(kMaxCredit, server.slow_start_credit + earned);
  return server.slow_start_credit >= 1;
}

void SlowStart::charge_attempt(Server& server) const {
  if (fraction(server) < 1) {
    server.slow_start_credit -= 1;
  }
}

void SlowStart::record_acknowledged(const Server& server) {
  if (fraction(server) >= 1) {
    keep_last(acknowledged_at_, context_.now, kMaxAcknowledgedKept);
  }
}

// Without this adjustment, a group in which all servers are new would remain at the estimate, which is 0
// without warm servers. Reports are late by one or two samples; an excess of credit is corrected afterwards.
void SlowStart::record_utilization(Server& server, const ReplicaSample& sample) {
  if (sample.utilization < 0) {
    return;
  }
  const bool overloaded = fraction(server) >= 1 || server.utilization > kHighUtilization;
  const bool unused = !overloaded && has_credit(server);
  if (!overloaded && !unused && server.utilization >= kLowUtilization) {
    return;
  }
  double change = kRaise;
  if (overloaded) {
    change = kLower;
  } else if (unused) {
    change = kLowerUnused;
  }
  server.credit_multiplier = std::clamp(server.credit_multiplier * change, kMinMultiplier, kMaxMultiplier);
}

void SlowStart::update_capacity(Server& server) {
  const WarmCapacity::Condition condition{
      .capacity = server.entry.relative_capacity,
      .cold_since = server.cold_since,
      .sendable = health_.is_in_service(server),
      .failed_by_requests = server.request_failed_at > server.last_answer_at,
      .failed_by_probes = server.probe_failed_at > server.last_answer_at};
  warm_capacity_.update(server.capacity_slot, condition, context_.now);
}

void SlowStart::remove(Server& server) { warm_capacity_.remove(server.capacity_slot); }

double SlowStart::credit_multiplier(const Server& server) const {
  const bool recent = context_.now - server.utilization_seen_at < kUtilizationAge;
  return recent ? server.credit_multiplier : 1;
}

double SlowStart::credit_per_ms(const Server& server) {
  while (!acknowledged_at_.empty() && acknowledged_at_.front() < context_.now - kThroughputWindow) {
    acknowledged_at_.pop_front();
  }
  const double warm = warm_capacity_.sum(context_.now, health_.probes_trusted());
  if (warm <= 0) {
    return 0;
  }
  return fraction(server) * context_.options.slow_start_multiple *
         static_cast<double>(acknowledged_at_.size()) / kThroughputWindow * server.entry.relative_capacity /
         warm;
}

}  // namespace reedspindle::routing
