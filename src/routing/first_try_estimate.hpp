// How long a client has been asking already: its latency objective runs from its first try.
#pragma once

#include <deque>
#include <map>

#include "core/types.hpp"
#include "routing/router.hpp"
#include "routing/router_options.hpp"

namespace reedspindle::routing {

class FirstTryEstimate {
 public:
  // The time since the client's first try, in milliseconds; 0 where nothing can be concluded. Takes the
  // request's remaining time into account for later ones.
  Millis elapsed(const RequestReceived& event, const RequestClass& request_class);

 private:
  std::map<RequestClassId, std::deque<Millis>> remaining_times_;  // of the last requests
};

}  // namespace reedspindle::routing
