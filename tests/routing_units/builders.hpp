// Shared by the unit tests of the router: named checks, and builders of small states to check.
#pragma once

#include <initializer_list>
#include <iostream>
#include <string>
#include <type_traits>

#include "routing/concurrency_limit.hpp"
#include "routing/latency_stats.hpp"
#include "routing/probe_leadership.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing::tests {

inline int tests_run = 0;
inline int tests_failed = 0;

// Checks one value. The name says what is expected, and is printed if the check fails.
template <typename T>
void expect(const char* name, const T& actual, const std::type_identity_t<T>& expected) {
  ++tests_run;
  if (actual == expected) {
    return;
  }
  ++tests_failed;
  std::cout << name;
  if constexpr (requires { std::cout << actual; }) {
    std::cout << ": " << actual << ", expected " << expected;
  }
  std::cout << '\n';
}

// Checks a number with a tolerance of 1e-9: sums of fractions are not exact.
inline void expect_near(const char* name, double actual, double expected) {
  const double difference = actual > expected ? actual - expected : expected - actual;
  expect(name, difference < 1e-9 ? expected : actual, expected);
}

constexpr Millis kNow = 1000000;

// The components of the router that the tested ones depend on, at the time kNow.
struct Components {
  explicit Components(const Settings& settings = {}) : context(settings, 1) {
    context.now = kNow;
    context.started_at = kNow;
  }

  RouterContext context;
  ServerRegistry registry;
  LatencyStats latencies;
  ServerHealth health{context, latencies};
  SlowStart slow_start{context, health};
  ConcurrencyLimits limits{context, slow_start};
  ProbeLeadership leadership{context, registry};
};

// Returns a replica with a single sample.
inline Server server_with_sample(Millis position, Millis seen_at) {
  Server server;
  server.applied_position = position;
  server.samples = {{position, seen_at}};
  server.sample_seen_at = seen_at;
  return server;
}

inline RequestClass request_class(Consistency consistency, Millis staleness_bound = 0) {
  RequestClass result;
  result.consistency = consistency;
  result.staleness_bound = staleness_bound;
  result.latency_objective = 100;
  return result;
}

inline Group group_of(std::initializer_list<Server*> servers) {
  Group group;
  group.servers = servers;
  return group;
}

// The tests, with one source file for each component.
void eligibility();
void replica_state();
void retry_budget();
void session_tokens();
void slow_start();
void concurrency_limit();
void server_health();
void request_decisions();
void endpoint_polling();
void probe_leadership();

}  // namespace reedspindle::routing::tests
