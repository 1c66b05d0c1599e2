// Decides whether a replica is fresh enough for a request: its sample is recent, its replication lag is below
// the threshold, and the session's last write has been applied. Pure functions.
#pragma once

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// The maximum age, in milliseconds, of a sample by which a replica is judged.
constexpr Millis kMaxSampleAge = 1000;
// The staleness bound, in milliseconds, of reads that state none.
constexpr Millis kDefaultStalenessBound = 2000;

// Returns the staleness bound, in milliseconds, that a replica must keep for requests of a class.
[[nodiscard]] Millis staleness_bound_of(const RequestClass& request_class);

// Returns the time until which a server that has a sample is proven to be within a staleness bound, if no
// newer sample arrives.
[[nodiscard]] Millis fresh_until(const Server& server, Millis staleness_bound);

// Applies all three tests. `session_token` is the commit time of the session's last write, kNever if there is
// none.
[[nodiscard]] bool is_fresh(const Server& server, const RequestClass& request_class, Millis session_token,
                            Millis now);

// Returns the maximum replication lag, in milliseconds, with which a replica may serve a request at time
// `at`; kForever if any lag is allowed.
[[nodiscard]] Millis allowed_lag(const RequestClass& request_class, Millis session_token, Millis at);

// Returns the smallest replication lag, in milliseconds, among the server's latest samples; 0 if there are
// none.
[[nodiscard]] Millis smallest_sampled_lag(const Server& server);

}  // namespace reedspindle::routing
