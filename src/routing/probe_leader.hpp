// Chooses the instance that leads the probing of a group, by rendezvous hashing over the live instances
// (highest random weight: Thaler, Ravishankar 1998). All instances that see the same live instances choose
// the same leader without exchanging messages, and an instance that joins or leaves affects only the groups
// that it leads. Does no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "core/types.hpp"

namespace reedspindle::consistency {

// Returns whether the first of two instances is preferred to the second as the leader of a group. The result
// is the same at every instance.
[[nodiscard]] bool precedes(GroupId group, int first, int second);
// Returns the number of other instances that precede an instance, counted up to `most`. The instance with
// rank 0 leads the group; the one with rank 1 takes over from it.
[[nodiscard]] int leadership_rank(GroupId group, int instance, const std::set<int>& others, int most);

}  // namespace reedspindle::consistency
