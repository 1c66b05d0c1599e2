// Converts allocations to connection limits for one server, and the recent need for connections to a demand.
#pragma once

#include <cstddef>
#include <deque>

#include "quota/quota_manager.hpp"

namespace reedspindle::quota {

// Limits on the connections to one server.
struct Connections {
  std::size_t open = 0;  // new connections may be opened only below this limit
  std::size_t hold = 0;  // the total must not exceed this limit
  bool operator==(const Connections&) const = default;
};
// Returns the limits of this instance. `connections` is the limit of one server for the whole fleet. The
// results are rounded down, so that the instances together stay within it.
Connections connections_of(const Allocation& allocation, const Options& options, int connections);

// Derives the demand of this instance from the connections it needed recently.
class Usage {
 public:
  Usage(const Options& options, int connections) : options_(options), connections_(connections) {}
  // Returns the current demand. `need` is the maximum number of connections that any server needed since the
  // last call. Must be called kNeedSamples times per lease.
  Demand demand(std::size_t need);

 private:
  const Options options_;
  const int connections_;
  std::deque<std::size_t> needs_;  // the last kNeedSamples values, oldest first
};

}  // namespace reedspindle::quota
