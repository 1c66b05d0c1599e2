// How long the turns of the event loop take, and which part of the program the longest callback of a turn
// belongs to. Free of I/O and of clocks: whoever runs the loop says what time it is.
#pragma once

#include <string_view>

#include "routing/router.hpp"

namespace reedspindle::proxy {

class TurnGauge {
 public:
  // A turn over this is worth a line in the log, in milliseconds.
  static constexpr Millis kHeldUp = 20;
  // A new longest turn is worth a line from here on, and when it is longer than the last one by a quarter.
  static constexpr Millis kWorthTelling = 2, kLongerBy = 1.25;

  struct Turn {
    Millis took = 0;              // the whole turn
    Millis longest_callback = 0;  // the longest callback in it
    std::string_view part;        // of the program, to which that callback belongs
  };

  void begin(Millis now) {
    began_ = callback_began_ = now;
    turn_ = {};
    part_ = kOther;
  }
  // The callback that runs now belongs to this part. The text outlives the gauge.
  void doing(std::string_view part) { part_ = part; }
  void callback_ended(Millis now) {
    if (now - callback_began_ > turn_.longest_callback) {
      turn_.longest_callback = now - callback_began_;
      turn_.part = part_;
    }
    callback_began_ = now;
    part_ = kOther;
  }
  // True: the turn is the longest by so much that it is to be told.
  bool end(Millis now) {
    turn_.took = now - began_;
    if (turn_.took > longest_.took) {
      longest_ = turn_;
    }
    if (turn_.took < kWorthTelling || turn_.took < told_ * kLongerBy) {
      return false;
    }
    told_ = turn_.took;
    return true;
  }

  [[nodiscard]] const Turn& turn() const { return turn_; }        // the one that has ended last
  [[nodiscard]] const Turn& longest() const { return longest_; }  // since the start

 private:
  static constexpr std::string_view kOther = "sockets";
  Millis began_ = 0, callback_began_ = 0, told_ = 0;
  Turn turn_, longest_;
  std::string_view part_ = kOther;
};

}  // namespace reedspindle::proxy
