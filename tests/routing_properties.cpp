// Property tests: after random updates, incrementally maintained sums and orders of the router equal the same
// computed from scratch.
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "routing/address_hash_index.hpp"
#include "routing/due_times.hpp"
#include "routing/warm_capacity.hpp"

using namespace reedspindle;
using routing::DueTimes, routing::AddressHashIndex, routing::WarmCapacity;

namespace {

constexpr Millis kWarmUpTime = 1000;

bool warm_capacity() {
  return rc::check("the warm capacity is the sum over the replicas that are warm, sendable and not down", [] {
    struct Replica {
      WarmCapacity::Slot slot;
      std::optional<WarmCapacity::Condition> condition;
    };
    std::array<Replica, 8> replicas;
    WarmCapacity capacity(kWarmUpTime);
    Millis now = 5000;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 400);
      Replica& replica = replicas[*rc::gen::inRange<std::size_t>(0, replicas.size())];
      if (*rc::gen::inRange(0, 5) == 0) {
        capacity.remove(replica.slot);
        replica.condition.reset();
      } else {
        const WarmCapacity::Condition condition{
            0.25 * *rc::gen::inRange(0, 9), now - *rc::gen::inRange(-300, 2000), *rc::gen::arbitrary<bool>(),
            *rc::gen::inRange(0, 4) == 0, *rc::gen::arbitrary<bool>()};
        capacity.update(replica.slot, condition, now);
        replica.condition = condition;
      }
      for (const bool probes_count : {true, false}) {
        double expected = 0;
        for (const Replica& candidate : replicas) {
          if (candidate.condition && now - candidate.condition->cold_since >= kWarmUpTime &&
              candidate.condition->sendable && !candidate.condition->failed_by_requests &&
              !(probes_count && candidate.condition->failed_by_probes)) {
            expected += candidate.condition->capacity;
          }
        }
        RC_ASSERT(capacity.sum(now, probes_count) == expected);
      }
    }
  });
}

bool address_hash_index() {
  return rc::check("an address hash finds its replica if exactly one replica has it", [] {
    std::array<int, 12> replicas{};
    std::map<std::size_t, long> hashes;
    AddressHashIndex<int> index;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const auto which = *rc::gen::inRange<std::size_t>(0, replicas.size());
      if (const auto found = hashes.find(which); found != hashes.end()) {
        index.remove(found->second, replicas[which]);
        hashes.erase(found);
      } else {
        index.add(hashes[which] = *rc::gen::inRange(0, 9), replicas[which]);
      }
      if (*rc::gen::arbitrary<bool>()) {
        continue;
      }
      for (long hash = 0; hash < 9; ++hash) {
        int* expected = nullptr;
        int count = 0;
        for (const auto& [number, assigned_hash] : hashes) {
          if (assigned_hash == hash) {
            expected = &replicas[number], ++count;
          }
        }
        RC_ASSERT(index.find(hash) == (count == 1 ? expected : nullptr));
      }
    }
  });
}

bool due_times() {
  return rc::check("due keys are taken once, in the order of the keys", [] {
    DueTimes<int> times;
    std::map<int, Millis> expected;
    Millis now = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const int key = *rc::gen::inRange(0, 10);
      if (*rc::gen::inRange(0, 4) == 0) {
        times.set(key, std::nullopt);
        expected.erase(key);
      } else {
        times.set(key, expected[key] = now + *rc::gen::inRange(0, 50));
      }
      now += *rc::gen::inRange(0, 10);
      std::vector<int> due;
      for (const auto& [due_key, at] : expected) {
        if (at <= now) {
          due.push_back(due_key);
        }
      }
      RC_ASSERT(times.take_due(now) == due);
      for (const int due_key : due) {
        expected.erase(due_key);
      }
      std::optional<Millis> next;
      for (const auto& [due_key, at] : expected) {
        next = std::min(at, next.value_or(at));
      }
      RC_ASSERT(times.next() == next);
    }
  });
}

}  // namespace

int main() {
  const bool passed[] = {warm_capacity(), address_hash_index(), due_times()};
  return passed[0] && passed[1] && passed[2] ? 0 : 1;
}
