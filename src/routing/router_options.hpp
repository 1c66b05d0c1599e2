// The settings of the decision module as one typed value. Settings are read by name only here, once at start.
#pragma once

#include <vector>

#include "core/types.hpp"
#include "routing/router.hpp"

namespace reedspindle::routing {

// Whether a request may be executed more than once.
enum class RetrySafety {
  idempotent,     // it may be repeated at any time
  deduplicated,   // servers recognise a repeat by its token, for as long as the idempotency window
  non_retryable,  // never after an attempt that may have run
};

// What a request requires of the data it reads.
enum class Consistency {
  any,      // any replica, whatever its lag
  bounded,  // at most staleness_bound behind
  session,  // the session's own last write
  current,  // the present: only a primary
  write,    // it writes: only a primary
};

// A class of requests, in the order of RequestClassId. Times are in milliseconds.
struct RequestClass {
  RetrySafety retry_safety = RetrySafety::non_retryable;
  Consistency consistency = Consistency::write;
  bool token_valid_in_group_only = true;  // false: all groups recognise the idempotency token
  bool long_running = false;              // far longer than the usual request
  Millis latency_objective = 0;
  Millis request_timeout = 0;     // the client's, over all of its tries
  Millis staleness_bound = 0;     // with Consistency::bounded
  Millis idempotency_window = 0;  // with RetrySafety::deduplicated
  double value = 1;               // of an answer within the objective, relative to the other classes
  double late_value = 0;          // of an answer after it; 0: none

  // Only a primary may execute it.
  [[nodiscard]] bool primary_only() const;
  // Value per millisecond of work, for which the latency objective stands: known before anything has run.
  [[nodiscard]] double value_density() const;
};

// Times are in milliseconds. The comments name the setting where its name differs; docs/settings.md explains.
struct RouterOptions {
  std::vector<RequestClass> request_classes;
  double highest_primary_density = 1e-9;  // the highest value density among primary-only classes

  double instances = 1;         // of the router in the fleet, at least 1
  int rank = 0;                 // this instance's number among them
  double zone_number = 0;       // this instance's zone
  double cross_zone_price = 0;  // above 0: servers of the own zone are preferred

  bool may_probe = false;        // allow.probes
  bool may_gossip = false;       // allow.peers, where there is another instance
  bool may_cancel = false;       // allow.call_off
  bool remember_tokens = false;  // tokens: the last write of a session is remembered here
  bool servers_check = false;    // checks: servers refuse reads that they are too far behind for
  bool gone_is_excluded = true;  // rule.only_draining_binds: else only draining excludes a server
  bool poll_endpoints = false;   // list: discovery is asked, it doesn't push
  Millis poll_within = 10000;    // rule.ask_within
  Millis connection_idle = 0;    // allow.connection_idle; 0: not stated
  Millis probe_timeout = 250;    // allow.connect_time_out, a new connection included
  Millis tick = 5;               // the resolution of timers
  Millis retry_after = 0;        // allow.longest_come_back, told with a rejection; 0: not stated

  Millis slow_start_window = 0;    // rule.warm_within; 0: no slow start
  double slow_start_minimum = 0;   // rule.cold_from: the fraction of its capacity a server starts with
  double slow_start_multiple = 2;  // rule.fall_multiple: of a warm server's load at full fraction

  double max_attempts = 1;        // allow.sends_per_op, of one request
  double retry_budget_ratio = 0;  // resends.share: retries per first attempt; 0: no budget
  double retry_budget_burst = 1;  // resends.burst: this instance's share of it, at least 1
};

[[nodiscard]] RouterOptions parse_router_options(const Settings& settings);

}  // namespace reedspindle::routing
