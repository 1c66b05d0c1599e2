// The first tries of a class arrive with the same remaining time; any other remaining time is what a retry
// has left of the client's timeout. Without this estimate, retries would crowd out first tries.
#include "routing/first_try_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "routing/recent_values.hpp"

namespace reedspindle::routing {
namespace {

constexpr std::size_t kMaxRemainingTimes = 64;
// The variation of remaining times that is due to the network, in milliseconds.
constexpr Millis kJitter = 10;
// A remaining time that differs from the common one by more than this many times the jitter belongs to a
// retry.
constexpr double kRetryJitters = 3;
// A remaining time is common if it occurs at least kMinOccurrences times and in at least 1/kCommonDivisor of
// the latest requests.
constexpr std::size_t kMinOccurrences = 3;
constexpr std::size_t kCommonDivisor = 4;

struct CommonTime {
  std::size_t occurrences = 0;
  Millis time = 0;
};

// Returns the largest number of times that lie within the jitter of one another, and the longest of these
// times.
CommonTime most_common(std::deque<Millis> times) {
  std::ranges::sort(times);
  CommonTime common;
  std::size_t low = 0;
  for (std::size_t high = 0; high < times.size(); ++high) {
    while (times[high] - times[low] > kJitter) {
      ++low;
    }
    if (high - low + 1 > common.occurrences) {
      common = {high - low + 1, times[high]};
    }
  }
  return common;
}

}  // namespace

Millis FirstTryEstimate::elapsed(const RequestReceived& event, const RequestClass& request_class) {
  std::deque<Millis>& times = remaining_times_[event.request_class];
  keep_last(times, event.remaining, kMaxRemainingTimes);
  const CommonTime common = most_common(times);
  if (common.occurrences < kMinOccurrences || kCommonDivisor * common.occurrences < times.size()) {
    return 0;
  }
  if (std::abs(event.remaining - common.time) > kRetryJitters * kJitter) {
    return std::max(0.0, request_class.request_timeout - event.remaining);
  }
  if (!event.is_retry) {
    return 0;
  }
  return std::clamp(request_class.request_timeout - common.time, 0.0, request_class.latency_objective);
}

}  // namespace reedspindle::routing
