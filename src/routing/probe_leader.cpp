// Weights are hashes of the group and the instance.
#include "routing/probe_leader.hpp"

#include <utility>

namespace reedspindle::consistency {
namespace {

// The finalizer of MurmurHash3 (Appleby, public domain): each input bit changes half of the output bits on
// average, so that groups are distributed evenly among instances with consecutive numbers.
std::uint64_t murmur_finalize(std::uint64_t key) {
  key ^= key >> 33;
  key *= 0xff51afd7ed558ccdULL;
  key ^= key >> 33;
  key *= 0xc4ceb9fe1a85ec53ULL;
  return key ^ key >> 33;
}

std::uint64_t weight(GroupId group, int instance) {
  return murmur_finalize(murmur_finalize(static_cast<std::uint64_t>(group.number)) +
                         static_cast<std::uint64_t>(instance) + 1);
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
