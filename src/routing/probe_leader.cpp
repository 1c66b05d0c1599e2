#include "routing/probe_leader.hpp"

#include <utility>

namespace reedspindle::consistency {
namespace {

// The finalizer of MurmurHash3 (Appleby, in the public domain): each bit told of changes half of all bits, so
// that fronts with numbers that follow one another get groups evenly.
std::uint64_t mixed(std::uint64_t key) {
  key ^= key >> 33;
  key *= 0xff51afd7ed558ccdULL;
  key ^= key >> 33;
  key *= 0xc4ceb9fe1a85ec53ULL;
  return key ^ key >> 33;
}

std::uint64_t weight(GroupId group, int front) {
  return mixed(mixed(static_cast<std::uint64_t>(group.number)) + static_cast<std::uint64_t>(front) + 1);
}

}  // namespace

bool precedes(GroupId group, int front, int other) {
  return std::pair(weight(group, front), front) > std::pair(weight(group, other), other);
}

int turn_of(GroupId group, int front, const std::set<int>& others, int most) {
  int turn = 0;
  for (const int candidate : others) {
    if (candidate != front && precedes(group, candidate, front) && ++turn == most) {
      break;
    }
  }
  return turn;
}

}  // namespace reedspindle::consistency
