// Which front keeps the pace of probing a group, by rendezvous hashing over those that are there (highest
// random weight: Thaler, Ravishankar 1998): all who see the same fronts name the same one without a word,
// and who goes or comes moves only the groups that it keeps. Free of I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "core/types.hpp"

namespace reedspindle::consistency {

// Whether of two fronts the one comes before the other for a group; the same wherever it is asked.
bool precedes(GroupId group, int front, int other);
// How many of the others come before a front, up to so many: 0 keeps the group, 1 is ready to.
int turn_of(GroupId group, int front, const std::set<int>& others, int most);

}  // namespace reedspindle::consistency
