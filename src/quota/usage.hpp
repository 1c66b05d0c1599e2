// Converts allocations to connections of one server, and the recent need for connections to a demand.
#pragma once

#include <cstddef>
#include <deque>

#include "quota/quota_manager.hpp"

namespace reedspindle::quota {

// Limits on the connections to one server.
struct Connections {
  std::size_t open = 0;  // up to where new ones may be opened
  std::size_t hold = 0;  // what must not be exceeded
  bool operator==(const Connections&) const = default;
};
// connections: the limit of one server for the whole fleet. Rounded down, so that the instances together stay
// within it.
Connections connections_of(const Allocation& allocation, const Options& options, int connections);

// Derives the demand of this instance from the connections it needed recently.
class Usage {
 public:
  Usage(const Options& options, int connections) : options_(options), connections_(connections) {}
  // need: the most connections that any server needed since the last call. To be called kNeedSamples times a
  // lease.
  Demand demand(std::size_t need);

 private:
  const Options options_;
  const int connections_;
  std::deque<std::size_t> needs_;  // the last kNeedSamples
};

}  // namespace reedspindle::quota
