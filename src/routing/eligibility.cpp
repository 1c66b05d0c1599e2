// Implements the freshness tests. Because times are rounded, the staleness bound is shortened by
// kRoundingMargin (milliseconds), so that the test is too strict rather than too lenient. The sample age and
// the session token are compared without a margin.
#include "routing/eligibility.hpp"

#include <algorithm>

namespace reedspindle::routing {
namespace {

constexpr Millis kRoundingMargin = 1;

}  // namespace

Millis staleness_bound_of(const RequestClass& request_class) {
  return request_class.consistency == Consistency::bounded ? request_class.staleness_bound
                                                           : kDefaultStalenessBound;
}

Millis fresh_until(const Server& server, Millis staleness_bound) {
  return std::min(server.samples.back().seen_at + kMaxSampleAge,
                  server.applied_position + staleness_bound - kRoundingMargin);
}

bool is_fresh(const Server& server, const RequestClass& request_class, Millis session_token, Millis now) {
  if (server.samples.empty()) {
    return false;
  }
  return now < fresh_until(server, staleness_bound_of(request_class)) &&
         server.applied_position >= session_token;
}

Millis allowed_lag(const RequestClass& request_class, Millis session_token, Millis at) {
  if (request_class.consistency == Consistency::any) {
    return kForever;
  }
  return request_class.consistency == Consistency::bounded ? request_class.staleness_bound
                                                           : at - session_token;
}

Millis smallest_sampled_lag(const Server& server) {
  Millis lag = server.samples.empty() ? 0 : kForever;
  for (const PositionSample& sample : server.samples) {
    lag = std::min(lag, sample.seen_at - sample.position);
  }
  return lag;
}

}  // namespace reedspindle::routing
