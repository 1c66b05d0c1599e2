// First tries of a class arrive with the same remaining time; any other remaining time is what a retry has
// left of the client's timeout. Without this retries would crowd out first tries.
#include "routing/first_try_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "routing/recent_values.hpp"

namespace reedspindle::routing {
namespace {

constexpr std::size_t kTimesKept = 64;
// By how much the network varies remaining times, in milliseconds.
constexpr Millis kJitter = 10;
// A remaining time that differs by more than so many times the jitter is a retry's.
constexpr double kRetryJitters = 3;
// A remaining time is common if it occurs so often, and in this part of the last requests.
constexpr std::size_t kMinOccurrences = 3;
constexpr std::size_t kCommonPart = 4;

struct CommonTime {
  std::size_t occurrences = 0;
  Millis time = 0;
};

// The largest number of times that lie within the jitter of one another, and the longest of them.
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
  keep_last(times, event.remaining, kTimesKept);
  const CommonTime common = most_common(times);
  if (common.occurrences < kMinOccurrences || kCommonPart * common.occurrences < times.size()) {
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
