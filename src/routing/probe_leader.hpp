// Which instance leads the probing of a group, by rendezvous hashing over the live instances (highest random
// weight: Thaler, Ravishankar 1998): all that see the same instances name the same leader without a message,
// and an instance that joins or leaves moves only the groups that it leads. Free of I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "core/types.hpp"

namespace reedspindle::consistency {

// Whether the first of two instances comes before the second for a group; the same wherever it is asked.
[[nodiscard]] bool precedes(GroupId group, int first, int second);
// How many of the others come before an instance, up to `most`: 0 leads the group, 1 takes over from it.
[[nodiscard]] int leadership_rank(GroupId group, int instance, const std::set<int>& others, int most);

}  // namespace reedspindle::consistency
