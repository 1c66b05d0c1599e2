// Unit tests of the components of the router. Prints the names of the tests that fail.
#include "routing_units/builders.hpp"

int main() {
  using namespace reedspindle::routing::tests;
  std::cout.precision(12);
  eligibility();
  replica_state();
  retry_budget();
  session_tokens();
  slow_start();
  concurrency_limit();
  server_health();
  request_decisions();
  endpoint_polling();
  probe_leadership();
  std::cout << tests_run << " tests, " << tests_failed << " failed\n";
  return tests_failed == 0 ? 0 : 1;
}
