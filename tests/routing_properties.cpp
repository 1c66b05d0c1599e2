// Sums and orders that the decision module keeps up to date, beside the same worked out anew after drawn
// events.
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

constexpr Millis kWarmWithin = 1000;

bool warm_capacity() {
  return rc::check(
      "the capacity of warm replicas is the sum over those that are warm, sendable and not down", [] {
        struct Replica {
          WarmCapacity::Slot slot;
          std::optional<WarmCapacity::Condition> condition;
        };
        std::array<Replica, 8> replicas;
        WarmCapacity capacity(kWarmWithin);
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
                0.25 * *rc::gen::inRange(0, 9), now - *rc::gen::inRange(-300, 2000),
                *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 4) == 0, *rc::gen::arbitrary<bool>()};
            capacity.update(replica.slot, condition, now);
            replica.condition = condition;
          }
          for (const bool probes_count : {true, false}) {
            double anew = 0;
            for (const Replica& one : replicas) {
              if (one.condition && now - one.condition->cold_since >= kWarmWithin &&
                  one.condition->sendable && !one.condition->failed_by_requests &&
                  !(probes_count && one.condition->failed_by_probes)) {
                anew += one.condition->size;
              }
            }
            RC_ASSERT(capacity.sum(now, probes_count) == anew);
          }
        }
      });
}

bool mark_index() {
  return rc::check("a mark finds its replica where just one has it", [] {
    std::array<int, 12> replicas{};
    std::map<std::size_t, long> marks;
    AddressHashIndex<int> index;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const auto which = *rc::gen::inRange<std::size_t>(0, replicas.size());
      if (const auto found = marks.find(which); found != marks.end()) {
        index.remove(found->second, replicas[which]);
        marks.erase(found);
      } else {
        index.add(marks[which] = *rc::gen::inRange(0, 9), replicas[which]);
      }
      if (*rc::gen::arbitrary<bool>()) {
        continue;
      }
      for (long mark = 0; mark < 9; ++mark) {
        int* anew = nullptr;
        int count = 0;
        for (const auto& [number, has] : marks) {
          if (has == mark) {
            anew = &replicas[number], ++count;
          }
        }
        RC_ASSERT(index.find(mark) == (count == 1 ? anew : nullptr));
      }
    }
  });
}

bool due_times() {
  return rc::check("what is due is taken, once, in the order of the keys", [] {
    DueTimes<int> times;
    std::map<int, Millis> anew;
    Millis now = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const int key = *rc::gen::inRange(0, 10);
      if (*rc::gen::inRange(0, 4) == 0) {
        times.set(key, std::nullopt);
        anew.erase(key);
      } else {
        times.set(key, anew[key] = now + *rc::gen::inRange(0, 50));
      }
      now += *rc::gen::inRange(0, 10);
      std::vector<int> due;
      for (const auto& [one, at] : anew) {
        if (at <= now) {
          due.push_back(one);
        }
      }
      RC_ASSERT(times.take_due(now) == due);
      for (const int one : due) {
        anew.erase(one);
      }
      std::optional<Millis> next;
      for (const auto& [one, at] : anew) {
        next = std::min(at, next.value_or(at));
      }
      RC_ASSERT(times.next() == next);
    }
  });
}

}  // namespace

int main() {
  const bool held[] = {warm_capacity(), mark_index(), due_times()};
  return held[0] && held[1] && held[2] ? 0 : 1;
}
