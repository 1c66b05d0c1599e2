// The state of a request that waits for its answer.
#pragma once

#include <string>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// Waiting requests are checked again after this many ticks.
constexpr double kRecheckTicks = 3;

// The next step decided for a request in this batch.
enum class NextStep { wait, attempt, reject, fail };

// A request that waits for its answer. Time points are in milliseconds.
struct Request {
  RequestClassId request_class;
  GroupId group;
  std::string session;
  Millis objective_deadline = 0;         // end of the latency objective
  Millis half_deadline = 0;              // when half of the time that remained on arrival has elapsed
  Millis deadline = 0;                   // the client's
  Millis session_token = kNever;         // commit time of the session's last write
  double admission_draw = 0;             // random, 0 to 1; compared with concurrency limits below 1
  Millis possibly_executed_at = kNever;  // start of the first attempt that may have been executed
  int attempts = 0;                      // started so far
  int in_flight = 0;
  int not_executed = 0;  // attempts that a server refused without any effect
  int not_sent = 0;      // attempts of which no byte was written
  NextStep next_step = NextStep::wait;
  Server* target = nullptr;  // server of the next attempt; owned by the registry

  // Returns the number of attempts that were sent to a server, or are about to be.
  [[nodiscard]] int sent_attempts() const { return attempts - not_sent; }
};

// Returns the time, in milliseconds, for which servers still recognise a repeat of a request that may have
// been executed. Not positive once the window has passed.
[[nodiscard]] Millis remaining_idempotency_window(const Request& request, const RequestClass& request_class,
                                                  Millis now);

}  // namespace reedspindle::routing
