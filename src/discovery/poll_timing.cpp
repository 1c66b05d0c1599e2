#include "discovery/poll_timing.hpp"

#include <algorithm>

namespace reedspindle::discovery {
namespace {

// The longest time from a change until it has to be known, however discovery fails meanwhile.
constexpr Millis kMaxChangeDelay = 6000;
// Parts of each budget that are not left for polls.
constexpr Millis kProcessPause = 150;     // the longest time for which the process may be held up
constexpr Millis kEventLoopTurn = 5;      // until the answer is read
constexpr Millis kDecisionExecution = 5;  // from a decision to the first byte of its request
constexpr Millis kNotForPolls = kProcessPause + kEventLoopTurn + kDecisionExecution;

constexpr Millis kLongPollWait = 2000;
constexpr Millis kMinBackoff = 100, kMaxBackoff = 1000;
// Half of the longest pause that the protocol allows between two polls of one watch.
constexpr Millis kEmptyPollDelay = 100;

// Where lists are polled: a watch that is late has fallen silent. Polls after it are sent at this interval.
constexpr Millis kWatchSilenceTimeout = 1000;
constexpr Millis kPolledInterval = 2000;

// Where lists are pushed: with a poll sent in each such interval, an agent that has just come back is asked
// within half of what is left of the grace; the other half is for its response.
constexpr double kIntervalPart = 0.5;
// Bounds the cost of polls where the grace is too short.
constexpr Millis kMinInterval = 20;
// At longer graces discovery is polled as often as this.
constexpr Millis kMaxInterval = 3000;
// The part of the interval for which a long poll waits. The rest is for its response.
constexpr double kWaitPart = 2.0 / 3;

// Returns for how long an answer is waited for, so that a discovery that answers each poll that late is heard
// within the budget. Of two polls the older is kept: if it is lost, it takes the place of a newer one for
// all of this time, unless that is at most two intervals.
Millis longest_response(Millis budget, Millis interval) {
  const Millis left = budget - interval;
  return std::max(left / 2, std::min(left, 2 * interval));
}

}  // namespace

PollTiming polled_timing() {
  PollTiming timing;
  timing.long_poll_wait = kLongPollWait;
  timing.late_after = kWatchSilenceTimeout;
  timing.late_after_without_wait = kPolledInterval;
  timing.silence_timeout = kWatchSilenceTimeout;
  const Millis watch_lost_after = kLongPollWait + kWatchSilenceTimeout + kMinBackoff;
  timing.silence_timeout_without_wait = kMaxChangeDelay - kNotForPolls - watch_lost_after;
  timing.min_backoff = kMinBackoff;
  timing.max_backoff = kMaxBackoff;
  timing.empty_poll_delay = kEmptyPollDelay;
  return timing;
}

PollTiming pushed_timing(Millis drain_grace) {
  const Millis budget = drain_grace - kNotForPolls;
  const Millis interval = std::clamp(budget * kIntervalPart, kMinInterval, kMaxInterval);
  PollTiming timing;
  timing.long_poll_wait = std::min(interval * kWaitPart, kLongPollWait);
  timing.late_after = interval - timing.long_poll_wait;
  timing.late_after_without_wait = interval;
  timing.silence_timeout = std::max(interval, longest_response(kMaxChangeDelay - kNotForPolls, interval));
  timing.silence_timeout_without_wait = timing.silence_timeout;
  timing.min_backoff = std::min(kMinBackoff, interval / 2);
  timing.max_backoff = std::min(kMaxBackoff, interval);
  timing.backoff_from_start = true;
  timing.empty_poll_delay = std::min(kEmptyPollDelay, interval);
  timing.meets_budget = budget * kIntervalPart >= kMinInterval;
  return timing;
}

}  // namespace reedspindle::discovery
