// Health as judged by answers, errors and probes.
#include "routing/server_health.hpp"

#include <algorithm>

namespace reedspindle::routing {
namespace {

// A server that answers after its requests failed, and from which no sample or answer has arrived for this
// long, counts as restarted; in milliseconds.
constexpr Millis kRestartSilence = 2000;
// For this long after an answer has contradicted a failed probe, all failed probes are ignored; in
// milliseconds.
constexpr Millis kProbeDistrust = 5000;
// The minimum silence, in milliseconds, after which an answer can be overdue.
constexpr Millis kShortestOverdue = 60;
// A probe in flight for longer than this counts as late, in milliseconds; servers answer probes without
// queueing them behind requests.
constexpr Millis kProbeLate = 50;
// As kOverdueFactor, while probes are not trusted.
constexpr double kOverdueFactorWithoutProbes = 5;
// A server that is down may be tried again this long after its requests failed, in milliseconds.
constexpr Millis kRetryDownAfter = 1000;

}  // namespace

// A server that restarted before discovery reported it must not receive its full load at once. A server that
// was only cut off is treated as restarted, too.
void ServerHealth::record_answer(Server& server) {
  const Millis now = context_.now;
  if (server.probe_failed_at > server.last_answer_at) {
    probe_contradicted_at_ = now;
  }
  const Millis last_heard = std::max(server.last_answer_at, server.sample_seen_at);
  if (server.request_failed_at > server.last_answer_at && now - last_heard > kRestartSilence) {
    server.cold_since = now;
  }
  server.last_answer_at = now;
}

bool ServerHealth::is_in_service(const Server& server) const {
  const bool excluded = server.entry.state == ServerState::gone && context_.options.gone_is_excluded;
  return !server.draining && !excluded;
}

// An answer after a failed probe shows that probes fail for a reason unrelated to the server; until trust is
// restored only requests count.
bool ServerHealth::probes_trusted() const { return context_.now - probe_contradicted_at_ > kProbeDistrust; }

bool ServerHealth::is_down(const Server& server) const {
  return server.request_failed_at > server.last_answer_at ||
         (server.probe_failed_at > server.last_answer_at && probes_trusted());
}

bool ServerHealth::is_overdue(const Server& server, double factor) const {
  const Millis silence = context_.now - std::max(server.last_answer_at, server.oldest_attempt_sent_at);
  if (server.oldest_attempt_sent_at == kNever || silence <= kShortestOverdue) {
    return false;
  }
  return silence > factor * latencies_.usual_answer_time(server);
}

bool ServerHealth::is_unresponsive(const Server& server) const {
  if (!probes_trusted()) {
    return is_overdue(server, kOverdueFactorWithoutProbes);
  }
  const bool probe_late =
      server.probe_sent_at > server.last_answer_at && context_.now - server.probe_sent_at > kProbeLate;
  return is_overdue(server) && (is_down(server) || probe_late);
}

// Failed probes alone may be wrong, and the cause of failed requests may have passed: a server that is down
// is tried with one request at a time if no better server is left.
bool ServerHealth::is_available(const Server& server) const {
  if (!is_in_service(server) || context_.now < server.back_off_until || is_overdue(server)) {
    return false;
  }
  const bool may_be_tried =
      server.in_flight == 0 && context_.now - server.request_failed_at > kRetryDownAfter;
  return may_be_tried || !is_down(server);
}

Unavailability ServerHealth::unavailability(const Server& server) const {
  if (server.entry.state == ServerState::gone && context_.options.gone_is_excluded) {
    return Unavailability::gone;
  }
  if (!is_in_service(server)) {
    return Unavailability::draining;
  }
  if (is_down(server)) {
    return Unavailability::down;
  }
  return is_available(server) ? Unavailability::none : Unavailability::backing_off;
}

}  // namespace reedspindle::routing
