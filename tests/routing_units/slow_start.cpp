// Tests the slow start of servers, by the settings rule.cold_from, rule.warm_within and rule.fall_multiple.
#include "routing/slow_start.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

const Settings kSettings = {
    {"rule.cold_from", 0.2}, {"rule.warm_within", 10000.0}, {"rule.fall_multiple", 2.0}};

Server server_started(Millis ago) {
  Server server;
  server.cold_since = kNow - ago;
  return server;
}

bool fraction_grows(const Components& components) {
  double last = 0;
  for (Millis ago = 0; ago <= 11000; ago += 100) {
    const double fraction = components.slow_start.fraction(server_started(ago));
    if (fraction < last || fraction > 1) {
      return false;
    }
    last = fraction;
  }
  return true;
}

}  // namespace

void slow_start() {
  Components components(kSettings);
  SlowStart& slow_start = components.slow_start;
  expect_near("a server starts at the fraction cold_from", slow_start.fraction(server_started(0)), 0.2);
  expect_near("after half of warm_within the fraction is halfway from cold_from to 1",
              slow_start.fraction(server_started(5000)), 0.6);
  expect_near("a server is warm after warm_within", slow_start.fraction(server_started(10000)), 1);
  expect("the fraction never falls and never exceeds 1", fraction_grows(components), true);
  expect_near("every server is warm where warm_within is not set",
              Components().slow_start.fraction(server_started(0)), 1);

  Server cold = server_started(0);
  slow_start.add(cold, 1);
  slow_start.charge_attempt(cold);
  expect_near("an attempt costs a cold server one credit", cold.slow_start_credit, 0);

  Server warm = server_started(20000);
  slow_start.update_capacity(warm);
  for (int count = 0; count < 10; ++count) {
    slow_start.record_acknowledged(warm);
  }
  // Ten answers in 5 s are 0.002 per ms. Twice that (rule.fall_multiple), times the fraction 0.24 after 500
  // ms, earns 0.00096 per ms.
  components.context.now = kNow + 500;
  expect("credit below 1 does not permit an attempt", slow_start.has_credit(cold), false);
  expect_near("credit grows by the fraction and fall_multiple times a warm server's answers",
              cold.slow_start_credit, 500 * 2 * 0.24 * 0.002);
  components.context.now = kNow + 4000;
  (void)slow_start.has_credit(cold);
  expect_near("credit never exceeds 1", cold.slow_start_credit, 1);
  slow_start.remove(warm);
}

}  // namespace reedspindle::routing::tests
