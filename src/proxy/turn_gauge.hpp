// Measures how long the turns of the event loop take, and which part of the program the longest callback of a
// turn belongs to. Has no I/O and no clock: the caller passes the current time. All times are in
// milliseconds.
#pragma once

#include <string_view>

#include "routing/router.hpp"

namespace reedspindle::proxy {

// Tracks the duration of the current, the last and the longest turn.
class TurnGauge {
 public:
  // A turn of at least this duration is logged as slow.
  static constexpr Millis kSlowTurn = 20;
  // A new longest turn is logged if it takes at least kMinLogged, and at least kMinGrowth times as long as
  // the one logged last.
  static constexpr Millis kMinLogged = 2, kMinGrowth = 1.25;

  struct Turn {
    Millis took = 0;              // duration of the whole turn
    Millis longest_callback = 0;  // duration of its longest callback
    std::string_view part;        // the part of the program to which that callback belongs
  };

  // Starts a turn.
  void begin(Millis now) {
    turn_started_ = callback_started_ = now;
    turn_ = {};
    part_ = kDefaultPart;
  }
  // Names the part of the program to which the running callback belongs. The text has to outlive the gauge.
  void set_part(std::string_view part) { part_ = part; }
  // Ends the running callback. The next one starts at once.
  void callback_ended(Millis now) {
    if (now - callback_started_ > turn_.longest_callback) {
      turn_.longest_callback = now - callback_started_;
      turn_.part = part_;
    }
    callback_started_ = now;
    part_ = kDefaultPart;
  }
  // Ends the turn. Returns whether it has to be logged as the longest one so far.
  bool end(Millis now) {
    turn_.took = now - turn_started_;
    if (turn_.took > longest_.took) {
      longest_ = turn_;
    }
    if (turn_.took < kMinLogged || turn_.took < last_logged_ * kMinGrowth) {
      return false;
    }
    last_logged_ = turn_.took;
    return true;
  }

  [[nodiscard]] const Turn& turn() const { return turn_; }        // the current or last turn
  [[nodiscard]] const Turn& longest() const { return longest_; }  // since the start

 private:
  static constexpr std::string_view kDefaultPart = "sockets";
  Millis turn_started_ = 0, callback_started_ = 0, last_logged_ = 0;
  Turn turn_, longest_;
  std::string_view part_ = kDefaultPart;
};

}  // namespace reedspindle::proxy
