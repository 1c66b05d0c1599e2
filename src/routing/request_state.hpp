// The state of a request that waits for its answer.
#pragma once

#include <string>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// Requests that wait are looked at again after so many ticks.
constexpr double kRecheckTicks = 3;

// What becomes of a request in this batch.
enum class NextStep { wait, attempt, reject, fail };

// Time points are in milliseconds.
struct Request {
  RequestClassId request_class;
  GroupId group;
  std::string session;
  Millis objective_deadline = 0;         // the end of its latency objective
  Millis half_deadline = 0;              // when half of its remaining time on arrival is over
  Millis deadline = 0;                   // the client's
  Millis session_token = kNever;         // the date of the session's last write
  double admission_draw = 0;             // 0 to 1: compared with concurrency limits below 1
  Millis possibly_executed_at = kNever;  // when the first attempt started that may have run
  int attempts = 0;                      // started
  int in_flight = 0;
  int not_executed = 0;  // attempts that a server refused without an effect
  NextStep next_step = NextStep::wait;
  Server* target = nullptr;  // of the next attempt; owned by the registry
};

// For how long servers still recognise a repeat of what may have run, in milliseconds.
[[nodiscard]] Millis remaining_idempotency_window(const Request& request, const RequestClass& request_class,
                                                  Millis now);

}  // namespace reedspindle::routing
