// From parts to connections of a store and back: what a part allows, and what the use of the last while asks
// for.
#pragma once

#include <cstddef>
#include <deque>

#include "quota/quota_manager.hpp"

namespace reedspindle::quota {

struct Connections {
  std::size_t open = 0, hold = 0;  // up to where new ones may be opened, and what must not be exceeded
  bool operator==(const Connections&) const = default;
};
// Rounded down, so that the sum over all instances stays within what a store takes.
Connections connections_of(const Allocation& allocation, const Options& options, int connections);

class Usage {
 public:
  Usage(const Options& options, int connections) : options_(options), connections_(connections) {}
  // The most connections that any store has needed since the last call; once in a sixth of a lease or so.
  Demand demand(std::size_t need);

 private:
  const Options options_;
  const int connections_;
  std::deque<std::size_t> needs_;  // the last few
};

}  // namespace reedspindle::quota
