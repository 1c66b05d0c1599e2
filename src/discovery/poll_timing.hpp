// The time-outs and delays of polls of discovery, each a part of the time in which a change has to be known.
//
// Where lists are pushed, discovery is an agent on the same machine that answers at once and at no cost, and
// what it has counts as known: the time until a change is known is a part of the grace for draining servers.
// Where lists are polled, each poll costs discovery work, and a change counts as known 6 s after discovery
// had it. docs/design-discovery.md adds up the parts.
#pragma once

#include <cstddef>

#include "core/types.hpp"

namespace reedspindle::discovery {

// Minimum average rate of a response.
constexpr double kMinBytesPerSecond = 32 * 1024;
// Time after the first byte of a response during which a poll is not given up for its rate.
constexpr Millis kRateGracePeriod = 1000;
// The grace for draining servers if the settings do not state it.
constexpr Millis kDefaultDrainGrace = 500;

// The most polls in flight. A newer poll is sent beside one that is late, which may still be answered.
constexpr std::size_t kMaxPolls = 2;

struct PollTiming {
  // Time for which discovery may hold a long poll open until the list changes.
  Millis long_poll_wait = 0;
  // A poll is late after this time, in addition to its wait; after the second one if it has no wait.
  Millis late_after = 0, late_after_without_wait = 0;
  // A poll is aborted after this time without a byte, in addition to its wait; after the second one if it has
  // no wait. Until then, an answer to a poll that is late still counts.
  Millis silence_timeout = 0, silence_timeout_without_wait = 0;
  // Limits of the backoff after failed polls. It doubles with each consecutive failure; the delay is then
  // drawn between half of it and all of it.
  Millis min_backoff = 0, max_backoff = 0;
  // The backoff counts from the start of the failed poll instead of its end.
  bool backoff_from_start = false;
  // Delay before the next poll if the last one was answered within this time and brought nothing new.
  Millis empty_poll_delay = 0;
  // Whether a change is known in time: false if the grace is too short for any poll.
  bool meets_budget = true;
};

// Where the router decides when discovery is polled.
PollTiming polled_timing();
// Where lists are pushed. The grace is the time from the drain of a server to the last request sent to it.
PollTiming pushed_timing(Millis drain_grace);

}  // namespace reedspindle::discovery
