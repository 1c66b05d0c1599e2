#include "discovery/poll_timing.hpp"

#include <algorithm>

namespace reedspindle::discovery {
namespace {

// The longest wait; half of the longest time between two polls of one watch that lists are polled with.
constexpr Millis kLongPollWait = 2000;
constexpr Millis kSilenceTimeout = 1000;
constexpr Millis kMinBackoff = 100, kMaxBackoff = 1000;
// Half of the longest pause that the protocol allows between two polls of one watch.
constexpr Millis kEmptyPollDelay = 100;

// Parts of the grace for draining servers that are not left for polls.
constexpr Millis kProcessPause = 150;     // the longest time for which the process may be held up
constexpr Millis kEventLoopTurn = 5;      // until the answer is read
constexpr Millis kDecisionExecution = 5;  // from a decision to the first byte of its request

// With a poll sent in each such interval, an agent that has just come back is asked within half of what is
// left of the grace; the other half is for its response.
constexpr double kIntervalPart = 0.5;
// Bounds the cost of polls where the grace is too short.
constexpr Millis kMinInterval = 20;
// At longer graces discovery is polled as often as this.
constexpr Millis kMaxInterval = 3000;
// The part of the interval for which a long poll waits. The rest is for its response.
constexpr double kWaitPart = 2.0 / 3;
// An agent that answers each poll late, by up to this beyond the interval, is heard through the older of two
// polls.
constexpr Millis kSlowResponseTimeout = 1500;

}  // namespace

PollTiming polled_timing() {
  PollTiming timing;
  timing.long_poll_wait = kLongPollWait;
  timing.late_after = kSilenceTimeout;
  timing.late_after_without_wait = kSilenceTimeout;
  timing.silence_timeout = kSilenceTimeout;
  timing.min_backoff = kMinBackoff;
  timing.max_backoff = kMaxBackoff;
  timing.empty_poll_delay = kEmptyPollDelay;
  return timing;
}

PollTiming pushed_timing(Millis drain_grace) {
  const Millis budget = drain_grace - kProcessPause - kEventLoopTurn - kDecisionExecution;
  const Millis interval = std::clamp(budget * kIntervalPart, kMinInterval, kMaxInterval);
  PollTiming timing;
  timing.max_polls = 2;
  timing.long_poll_wait = std::min(interval * kWaitPart, kLongPollWait);
  timing.late_after = interval - timing.long_poll_wait;
  timing.late_after_without_wait = interval;
  timing.silence_timeout = interval + kSlowResponseTimeout;
  timing.min_backoff = std::min(kMinBackoff, interval / 2);
  timing.max_backoff = std::min(kMaxBackoff, interval);
  timing.backoff_from_start = true;
  timing.empty_poll_delay = std::min(kEmptyPollDelay, interval);
  timing.meets_budget = budget * kIntervalPart >= kMinInterval;
  return timing;
}

}  // namespace reedspindle::discovery
