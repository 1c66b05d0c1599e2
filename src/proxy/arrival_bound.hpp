// The earliest moment at which bytes that are read now can have come: a request's time runs from when it
// came, not from when the front found the time to read it. Free of I/O and of clocks; all times are in
// milliseconds of one clock.
//
// The loop sends a marker through its queue of callbacks, one at a time. Between a marker's sending and its
// return the system is asked at least once which sockets are ready. What is read now was found by such a
// look; it was not there at the look before, which came after the second last marker was sent. Where the loop
// sleeps until something comes, it comes as it wakes, unless a timer that was due shows that the process was
// held up meanwhile.
#pragma once

#include <algorithm>
#include <array>

#include "core/types.hpp"

namespace reedspindle::proxy {

class ArrivalBound {
 public:
  explicit ArrivalBound(Millis now) : none_ready_(now) { sent_.fill(now); }

  // Waiting times below this are part of every loop and are not charged: below the figure by which the
  // network varies how long clients wait.
  static constexpr Millis kNotCharged = 8;
  // A timer this late shows that the process was held up, or a callback long.
  static constexpr Millis kLate = 3;

  // True: a marker is to be sent now.
  [[nodiscard]] bool marker_wanted() const { return !marker_out_; }
  void marker_sent(Millis now) {
    marker_out_ = true;
    sent_ = {now, sent_[0], sent_[1]};
  }
  void marker_returned() { marker_out_ = false; }

  // The system was asked at this time or later which sockets are ready, and none was.
  void none_ready(Millis since) { none_ready_ = since; }
  // The loop sleeps until something comes, or until a timer is due.
  void sleeps(Millis now, Millis next_timer) {
    slept_from_ = now;
    next_timer_ = std::max(now, next_timer);
  }
  // What was there before the loop slept, behind a long settle or callbacks that were left for the next turn,
  // has waited since the last looks. What wakes it has just come, unless a late timer shows a hold-up: then
  // it may have come since that timer was due.
  void wakes(Millis now) {
    if (marker_out_ || slept_from_ - none_ready_ > kNotCharged) {
      return;
    }
    sent_.fill(now > next_timer_ + kLate ? next_timer_ : now);
  }

  // When a request that is read now came at the earliest, or now, where that is not worth charging.
  [[nodiscard]] Millis earliest(Millis now) const { return now - sent_[2] > kNotCharged ? sent_[2] : now; }

 private:
  bool marker_out_ = false;
  Millis none_ready_ = 0, slept_from_ = 0, next_timer_ = 0;
  std::array<Millis, 3> sent_{};  // when the last markers were sent, the last one first
};

}  // namespace reedspindle::proxy
