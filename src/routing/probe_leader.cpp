// Weights by hash of group and instance.
#include "routing/probe_leader.hpp"

#include <utility>

namespace reedspindle::consistency {
namespace {

// The finalizer of MurmurHash3 (Appleby, in the public domain): each input bit changes half of the output
// bits, so that instances with consecutive numbers get groups evenly.
std::uint64_t mixed(std::uint64_t key) {
  key ^= key >> 33;
  key *= 0xff51afd7ed558ccdULL;
  key ^= key >> 33;
  key *= 0xc4ceb9fe1a85ec53ULL;
  return key ^ key >> 33;
}

std::uint64_t weight(GroupId group, int instance) {
  return mixed(mixed(static_cast<std::uint64_t>(group.number)) + static_cast<std::uint64_t>(instance) + 1);
}

}  // namespace

bool precedes(GroupId group, int first, int second) {
  return std::pair(weight(group, first), first) > std::pair(weight(group, second), second);
}

int leadership_rank(GroupId group, int instance, const std::set<int>& others, int most) {
  int turn = 0;
  for (const int candidate : others) {
    if (candidate != instance && precedes(group, candidate, instance) && ++turn == most) {
      break;
    }
  }
  return turn;
}

}  // namespace reedspindle::consistency
