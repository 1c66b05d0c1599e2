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
// Rounded down, so that the sum over all fronts stays within what a store takes.
Connections connections_of(const Part& part, const Options& charge, int all);

class Use {
 public:
  Use(const Options& charge, int all) : charge_(charge), all_(all) {}
  // The most connections that any store has needed since the last call; once in a sixth of a lease or so.
  Demand demand(std::size_t need);

 private:
  const Options charge_;
  const int all_;
  std::deque<std::size_t> needs_;  // the last few
};

}  // namespace reedspindle::quota
