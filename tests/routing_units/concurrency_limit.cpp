// Tests the limit on attempts in flight (docs/design.md, "The limit"), also where instances are many and a
// limit below 1 is the probability that a request is admitted.
#include "routing/concurrency_limit.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

const Settings kTenInstances = {{"instances", 10.0}};

// Returns the limit after answers of one latency, with a latency objective of 100 ms.
double limit_after(const Settings& settings, double limit, int in_flight, int answers, Millis latency) {
  const RequestClass read = request_class(Consistency::any);
  Components components(settings);
  Server server;
  server.concurrency_limit = limit;
  server.in_flight = in_flight;
  for (int count = 0; count < answers; ++count) {
    components.limits.record_latency(server, read, latency);
  }
  return server.concurrency_limit;
}

double limit_with_free_processors(int late_answers) {
  Components components(kTenInstances);
  Server server;
  server.concurrency_limit = 1;
  server.utilization = 0.5;
  server.utilization_seen_at = kNow;
  for (int count = 0; count < late_answers; ++count) {
    components.limits.record_latency(server, request_class(Consistency::any), 101);
  }
  return server.concurrency_limit;
}

}  // namespace

void concurrency_limit() {
  expect_near("the initial limit is an instance's share of eight attempts",
              Components({{"instances", 4.0}}).limits.initial_limit(), 2);
  expect_near("the initial limit is at least 1", Components(kTenInstances).limits.initial_limit(), 1);
  expect_near("ten answers over 0.35 of the objective shrink the limit by 15%",
              limit_after({}, 10, 0, 10, 36), 8.5);
  expect_near("nine answers do not change the limit", limit_after({}, 10, 10, 9, 36), 10);
  expect_near("the limit never shrinks below the share of four attempts",
              limit_after({{"instances", 2.0}}, 2, 0, 50, 90), 2);
  expect_near("ten answers under 0.25 of the objective add 1 to a limit in use",
              limit_after({}, 10, 9, 10, 24), 11);
  expect_near("a limit that is not in use does not grow", limit_after({}, 10, 0, 10, 24), 10);
  expect_near("a late answer cuts a limit below 1 to 0.3 of itself, not below the share of four",
              limit_after(kTenInstances, 1, 0, 1, 101), 0.4);
  expect_near("the first late answer with free processors changes nothing", limit_with_free_processors(1), 1);
  expect_near("the second one in a row cuts the limit", limit_with_free_processors(2), 0.4);

  Components components;
  const RequestClass read = request_class(Consistency::any);
  Server server;
  server.concurrency_limit = 3;
  server.in_flight = 2;
  expect("there is room below the limit", components.limits.has_room(server, read, 0), true);
  server.in_flight = 3;
  expect("there is no room at the limit", components.limits.has_room(server, read, 0), false);
  server.in_flight = 0;
  server.concurrency_limit = 0.4;
  server.backed_off_at = kNow;
  expect("an admission draw above a limit below 1 finds no room",
         components.limits.has_room(server, read, 0.5), false);
  components.context.now = kNow + 60000;
  expect("a limit below 1 grows back to it within 100 s without an answer",
         components.limits.has_room(server, read, 0.99), true);
  components.context.now = kNow;
  components.limits.record_shed(server);
  components.context.now = kNow + 99;
  expect("a server that shed an attempt is not available for 100 ms", components.health.is_available(server),
         false);
  components.context.now = kNow + 100;
  expect("it is available again after 100 ms", components.health.is_available(server), true);
}

}  // namespace reedspindle::routing::tests
