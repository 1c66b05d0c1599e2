// When bytes that are read now can have come, in loops that sleep, are busy, or are held up. Prints what does
// not hold.
#include <iostream>

#include "proxy/arrival_bound.hpp"

namespace {
using reedspindle::Millis;
using reedspindle::proxy::ArrivalBound;

int failed = 0;
void expect(const char* what, Millis got, Millis wanted) {
  if (got == wanted) {
    return;
  }
  std::cout << what << ": " << got << ", expected " << wanted << '\n';
  ++failed;
}

// One turn as the front's loop runs it: the marker is sent, callbacks run up to `until`, none is left where
// it is drained.
void turn(ArrivalBound& bound, Millis from, Millis until, bool drained) {
  if (bound.marker_wanted()) {
    bound.marker_sent(from);
  }
  if (!drained) {
    return;
  }
  bound.marker_returned();
  bound.none_ready(until);
}

void sleeping_loop() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1040);
  expect("woken by what has just come", bound.earliest(1041), 1041);
  turn(bound, 1040, 1042, true);
  bound.sleeps(1042, 1090);
  bound.wakes(1090.5);
  expect("woken by a timer in time", bound.earliest(1091), 1091);
}

void held_up_while_it_sleeps() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1700);
  expect("a timer was due long ago", bound.earliest(1700), 1050);
  turn(bound, 1700, 1702, true);
  bound.sleeps(1702, 1750);
  bound.wakes(1720);
  expect("and that is over", bound.earliest(1721), 1721);
}

void long_settle() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1010);
  turn(bound, 1010, 1011, true);
  // The module takes 300 ms; then the loop sleeps, and is woken at once by what came meanwhile.
  bound.sleeps(1311, 1311);
  bound.wakes(1311);
  expect("behind a long settle", bound.earliest(1311) <= 1011, true);
  turn(bound, 1311, 1312, true);
  bound.sleeps(1312, 1350);
  bound.wakes(1320);
  expect("after it", bound.earliest(1320), 1320);
}

void long_callback() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1010);
  turn(bound, 1010, 1211, false);  // one callback took 200 ms, the others wait
  bound.sleeps(1211, 1050);
  bound.wakes(1211);
  expect("behind a callback that left others", bound.earliest(1212) <= 1010, true);
}

void busy_loop() {
  ArrivalBound bound(1000);
  Millis now = 1000;
  for (int number = 0; number < 50; ++number, now += 2) {
    turn(bound, now, now + 2, true);
    if (number > 3) {
      expect("short turns one after the other", bound.earliest(now + 2), now + 2);
    }
  }
}

}  // namespace

int main() {
  sleeping_loop();
  held_up_while_it_sleeps();
  long_settle();
  long_callback();
  busy_loop();
  return failed == 0 ? 0 : 1;
}
