// The settings of the routing decision module as one typed value. Settings are read by name only here, once
// at start.
#pragma once

#include <vector>

#include "core/types.hpp"
#include "routing/router.hpp"

namespace reedspindle::routing {

// Whether a request may be executed more than once.
enum class RetrySafety {
  idempotent,     // may be repeated at any time
  deduplicated,   // servers recognise a repeat by its token within the idempotency window
  non_retryable,  // never repeated after an attempt that may have been executed
};

// The consistency that a request requires of the data it reads.
enum class Consistency {
  any,      // any replica, whatever its lag
  bounded,  // at most staleness_bound behind
  session,  // the session's own last write must be visible
  current,  // the present state: only a primary
  write,    // a write: only a primary
};

// A request class, indexed by RequestClassId. Times are in milliseconds.
struct RequestClass {
  RetrySafety retry_safety = RetrySafety::non_retryable;
  Consistency consistency = Consistency::write;
  bool token_valid_in_group_only = true;  // false: all groups recognise the idempotency token
  bool long_running = false;              // takes far longer than the usual request
  Millis latency_objective = 0;
  Millis request_timeout = 0;     // the client's, over all of its tries
  Millis staleness_bound = 0;     // with Consistency::bounded
  Millis idempotency_window = 0;  // with RetrySafety::deduplicated
  double value = 1;               // value of an answer within the objective, relative to the other classes
  double late_value = 0;          // value of an answer after the objective; 0: none

  // Returns whether only a primary may execute requests of the class.
  [[nodiscard]] bool primary_only() const;
  // Returns the value per millisecond of work. The latency objective stands for the work, because it is known
  // before any request has been executed.
  [[nodiscard]] double value_density() const;
};

// Parsed settings. Times are in milliseconds. The comments name the setting where its name differs;
// docs/settings.md describes the settings.
struct RouterOptions {
  std::vector<RequestClass> request_classes;
  double highest_primary_density = 1e-9;  // highest value density among the primary-only classes

  double instances = 1;         // number of router instances in the fleet, at least 1
  int rank = 0;                 // number of this instance among them
  double zone_number = 0;       // zone of this instance
  double cross_zone_price = 0;  // if positive, servers in the own zone are preferred

  bool may_probe = false;                // allow.probes
  bool may_gossip = false;               // allow.peers, if there is another instance
  bool may_cancel = false;               // allow.call_off
  bool remember_tokens = false;          // tokens: sessions' last writes are remembered here
  bool servers_check_staleness = false;  // checks: servers refuse reads for which they lag too much
  bool gone_is_excluded = true;  // rule.only_draining_binds: otherwise only draining excludes a server
  bool poll_endpoints = false;   // list: discovery is polled and does not push
  Millis poll_within = 10000;    // rule.ask_within
  Millis connection_idle = 0;    // allow.connection_idle; 0: not stated
  Millis probe_timeout = 250;    // allow.connect_time_out, including a new connection
  Millis tick = 5;               // resolution of timers
  Millis retry_after = 0;        // allow.longest_come_back, sent with a rejection; 0: not stated

  Millis slow_start_window = 0;    // rule.warm_within; 0: no slow start
  double slow_start_minimum = 0;   // rule.cold_from: initial fraction of a server's capacity
  double slow_start_multiple = 2;  // rule.fall_multiple: multiple of a warm server's load, at full fraction

  double max_attempts = 1;        // allow.sends_per_op, per request
  double retry_budget_ratio = 0;  // resends.share: retries per first attempt; 0: no budget
  double retry_budget_burst = 1;  // resends.burst: this instance's part of it, at least 1
};

// Reads the options from settings. Missing names and unknown words give the defaults.
[[nodiscard]] RouterOptions parse_router_options(const Settings& settings);

}  // namespace reedspindle::routing
