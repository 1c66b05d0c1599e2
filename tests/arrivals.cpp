// Tests ArrivalBound with event loops that sleep, are busy, or are suspended. Prints each failed expectation.
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

// One turn of the event loop: posts the marker if one is wanted, then runs callbacks up to `until`.
// `drained`: no callback is left for the next turn.
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
  expect("woken by bytes that have just arrived", bound.earliest(1041), 1041);
  turn(bound, 1040, 1042, true);
  bound.sleeps(1042, 1090);
  bound.wakes(1090.5);
  expect("woken by a timer on time", bound.earliest(1091), 1091);
}

void suspended_while_sleeping() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1700);
  expect("woken long after a timer was due", bound.earliest(1700), 1050);
  turn(bound, 1700, 1702, true);
  bound.sleeps(1702, 1750);
  bound.wakes(1720);
  expect("in the turn after that", bound.earliest(1721), 1721);
}

void long_router_run() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1010);
  turn(bound, 1010, 1011, true);
  // The router runs for 300 ms. Then the loop goes to sleep, and bytes that arrived meanwhile wake it at
  // once.
  bound.sleeps(1311, 1311);
  bound.wakes(1311);
  expect("behind a long run of the router", bound.earliest(1311) <= 1011, true);
  turn(bound, 1311, 1312, true);
  bound.sleeps(1312, 1350);
  bound.wakes(1320);
  expect("in the turn after the long run", bound.earliest(1320), 1320);
}

void long_callback() {
  ArrivalBound bound(1000);
  bound.sleeps(1000, 1050);
  bound.wakes(1010);
  turn(bound, 1010, 1211, false);  // one callback takes 200 ms, the others wait
  bound.sleeps(1211, 1050);
  bound.wakes(1211);
  expect("behind a long callback that left others waiting", bound.earliest(1212) <= 1010, true);
}

void busy_loop() {
  ArrivalBound bound(1000);
  Millis now = 1000;
  for (int number = 0; number < 50; ++number, now += 2) {
    turn(bound, now, now + 2, true);
    if (number > 3) {
      expect("short turns in succession", bound.earliest(now + 2), now + 2);
    }
  }
}

}  // namespace

int main() {
  sleeping_loop();
  suspended_while_sleeping();
  long_router_run();
  long_callback();
  busy_loop();
  return failed == 0 ? 0 : 1;
}
