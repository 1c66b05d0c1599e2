// Estimates how long a client has already been trying: the latency objective runs from the client's first
// try.
#pragma once

#include <deque>
#include <map>

#include "core/types.hpp"
#include "routing/router.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

// Estimates the time since the first try of a request from the remaining times of its class.
class FirstTryEstimate {
 public:
  // Returns the time since the client's first try, in milliseconds, or 0 if nothing can be concluded. Also
  // records the request's remaining time for later estimates.
  Millis elapsed(const RequestReceived& event, const RequestClass& request_class);

 private:
  std::map<RequestClassId, std::deque<Millis>> remaining_times_;  // of the latest requests
};

}  // namespace reedspindle::routing
