// Tests when a server counts as down, overdue or restarted, by its answers and failures.
#include "routing/server_health.hpp"

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

void down() {
  Components components;
  Server server;
  server.request_failed_at = kNow - 10;
  server.sample_seen_at = kNow - 10;
  expect("a server is down after a failed request", components.health.is_down(server), true);
  components.health.record_answer(server);
  expect("a server that has answered again is not down", components.health.is_down(server), false);
  expect("a short failure does not count as a restart", server.cold_since, kNever);

  Server silent;
  silent.request_failed_at = kNow - 10;
  silent.sample_seen_at = kNow - 2001;
  components.health.record_answer(silent);
  expect("an answer after a failure and over 2 s of silence counts as a restart", silent.cold_since, kNow);

  Server probe_failed;
  probe_failed.probe_failed_at = kNow;
  expect("a server is down after a failed probe", components.health.is_down(probe_failed), true);
  Server answering;
  answering.probe_failed_at = kNow - 10;
  components.health.record_answer(answering);
  expect("failed probes are ignored once a server has answered after one",
         components.health.is_down(probe_failed), false);
  components.context.now = kNow + 5001;
  expect("failed probes count again after 5 s", components.health.is_down(probe_failed), true);
}

void overdue() {
  Components components;
  Server server;
  server.recent_latencies = {40};
  server.oldest_attempt_sent_at = kNow - 40 * kOverdueFactor;
  expect("a server is not overdue at kOverdueFactor times its usual answer time",
         components.health.is_overdue(server), false);
  components.context.now = kNow + 1;
  expect("a server is overdue after that time", components.health.is_overdue(server), true);
  server.last_answer_at = kNow;
  expect("a server that has answered is not overdue", components.health.is_overdue(server), false);
}

}  // namespace

void server_health() {
  down();
  overdue();
}

}  // namespace reedspindle::routing::tests
