// Estimates when bytes that are read now arrived, since the time limit of a request counts from its arrival
// and not from when this process was able to read it. Has no I/O and no clock; all times are in milliseconds
// of one clock.
//
// The event loop posts a marker to its queue of callbacks, one at a time. Between the posting of a marker and
// its return, the loop polls the sockets at least once. Bytes that are read now were found by such a poll.
// They were not there at the poll before, which took place after the second last marker was posted. If the
// loop sleeps until a socket is ready, the bytes arrive at the moment it wakes, unless a timer that expired
// late shows that the process was suspended meanwhile.
#pragma once

#include <algorithm>
#include <array>

#include "core/types.hpp"

namespace reedspindle::proxy {

// Computes the earliest time at which bytes that are read now can have arrived.
class ArrivalBound {
 public:
  explicit ArrivalBound(Millis now) : none_ready_(now) { marker_times_.fill(now); }

  // Shorter delays, in milliseconds, are not deducted from a request's time. Every loop has them, and the
  // network varies the clients' waiting times by more.
  static constexpr Millis kToleratedDelay = 8;
  // A timer that expires later than this, in milliseconds, shows that the process was suspended or that a
  // callback took long.
  static constexpr Millis kTimerLateness = 3;

  // Returns whether a marker has to be posted now.
  [[nodiscard]] bool marker_wanted() const { return !marker_pending_; }
  // Records that a marker has been posted.
  void marker_sent(Millis now) {
    marker_pending_ = true;
    marker_times_ = {now, marker_times_[0], marker_times_[1]};
  }
  // Records that the marker's callback has run.
  void marker_returned() { marker_pending_ = false; }

  // Records that a poll at `since` or later found no socket ready.
  void none_ready(Millis since) { none_ready_ = since; }
  // Records that the loop goes to sleep until a socket is ready or the next timer expires.
  void sleeps(Millis now, Millis next_timer) {
    sleep_started_ = now;
    next_timer_ = std::max(now, next_timer);
  }
  // Records that the loop has woken. If bytes may have waited since before it went to sleep, behind a long
  // run of the router or callbacks left for the next turn, the times of the markers still apply. Otherwise
  // the bytes that woke it have just arrived; if a late timer shows that the process was suspended, they may
  // have arrived at any time since that timer was due.
  void wakes(Millis now) {
    if (marker_pending_ || sleep_started_ - none_ready_ > kToleratedDelay) {
      return;
    }
    marker_times_.fill(now > next_timer_ + kTimerLateness ? next_timer_ : now);
  }

  // Returns the earliest time at which bytes that are read now can have arrived; `now` if the delay is
  // tolerable.
  [[nodiscard]] Millis earliest(Millis now) const {
    return now - marker_times_[2] > kToleratedDelay ? marker_times_[2] : now;
  }

 private:
  bool marker_pending_ = false;
  Millis none_ready_ = 0, sleep_started_ = 0, next_timer_ = 0;
  std::array<Millis, 3> marker_times_{};  // when the last markers were posted, the latest first
};

}  // namespace reedspindle::proxy
