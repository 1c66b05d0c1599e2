// Whether a replica is fresh enough for a request: its sample is recent, its replication lag is under the
// threshold, and the session's last write is applied. Pure functions.
#pragma once

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// The oldest sample by which a replica may be judged, in milliseconds.
constexpr Millis kMaxSampleAge = 1000;
// The staleness bound of reads that state none, in milliseconds.
constexpr Millis kDefaultStalenessBound = 2000;

// The staleness bound that a replica must keep for requests of a class, in milliseconds.
[[nodiscard]] Millis staleness_bound_of(const RequestClass& request_class);

// Until when a server with a sample is proven to be within a staleness bound, if nothing more is heard of it.
[[nodiscard]] Millis fresh_until(const Server& server, Millis staleness_bound);

// All three tests. `session_token`: the date of the session's last write, kNever where there is none.
[[nodiscard]] bool is_fresh(const Server& server, const RequestClass& request_class, Millis session_token,
                            Millis now);

// How far a replica may be behind at a time and still serve a request; kForever: any lag will do.
[[nodiscard]] Millis allowed_lag(const RequestClass& request_class, Millis session_token, Millis at);

// The smallest replication lag among the server's last samples, 0 where there is none.
[[nodiscard]] Millis smallest_sampled_lag(const Server& server);

}  // namespace reedspindle::routing
