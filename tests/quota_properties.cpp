// The one thing that shares promise, over drawn faults in virtual time, by RapidCheck: at no moment may the
// live processes together use more than the whole. The seed is given by CTest, so the verdict is always the
// same.
#include <rapidcheck.h>

#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle;
using faulttest::VirtualFleet;

struct Fault {
  int kind = 0, front = 0, other = 0, span = 0;
};
const char* const kKinds[] = {"kill", "start", "restart", "stop", "wake", "cut",   "one way",
                              "heal", "loss",  "delay",   "want", "lend", "leave", "alone"};
constexpr int kCount = std::size(kKinds);

void showValue(const Fault& fault, std::ostream& os) {
  os << kKinds[fault.kind] << ' ' << fault.front << ' ' << fault.other << ", " << fault.span << " ms";
}

rc::Gen<Fault> faults(int fronts) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, kCount), rc::gen::inRange(0, fronts),
                                   rc::gen::inRange(0, fronts), rc::gen::inRange(5, 2500));
}

membership::Options brisk() {
  membership::Options options;
  options.protocol_period = 200, options.ack_timeout = 80;
  return options;
}

}  // namespace

int main() {
  const bool sums = rc::check("the parts of all that live add up to the whole at most", [] {
    const int fronts = *rc::gen::inRange(2, 8);
    const auto struck = *rc::gen::container<std::vector<Fault>>(faults(fronts));
    VirtualFleet fleet(fronts, brisk(), static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    quota::Options share;
    share.slot_count = fronts;
    fleet.share(share);
    std::set<std::pair<int, int>> cut;
    std::set<int> slow;
    fleet.passes = [&](int from, int to) { return !cut.contains({from, to}); };
    fleet.extra_delay = [&](int from, int to) {
      return slow.contains(from) || slow.contains(to) ? 1500.0 : 0.0;
    };
    fleet.stepped = [&](Millis) {
      int sum = 0;
      for (int front = 0; front < fronts; ++front) {
        sum += fleet.allocation(front).hold;
      }
      RC_ASSERT(sum <= fronts * quota::kSlot);
    };
    // Steady clocks as far apart in their rates as the charge allows, wall clocks anywhere.
    for (int front = 0; front < fronts; ++front) {
      fleet.drift(front, (front % 2 == 0 ? 0.5 : -0.5) * share.max_drift);
      fleet.clock(front, 60000.0 * (front % 3 - 1));
      fleet.start(front);
      fleet.want(front, {quota::kSlot * fronts, 0});
    }
    fleet.run(9000);
    for (const Fault& fault : struck) {
      const bool up = fleet.up(fault.front);
      const std::string kind = kKinds[fault.kind];
      if ((kind == "kill" || kind == "restart") && up) {
        fleet.kill(fault.front);
      }
      if ((kind == "start" || kind == "restart") && !fleet.up(fault.front)) {
        fleet.start(fault.front);
        fleet.want(fault.front, {quota::kSlot * fronts, 0});
      }
      if (kind == "stop" && up) {
        fleet.stop(fault.front);
      }
      if (kind == "wake") {
        fleet.wake(fault.front);
      }
      if (kind == "cut" || kind == "one way") {
        cut.insert({fault.front, fault.other});
      }
      if (kind == "cut") {
        cut.insert({fault.other, fault.front});
      }
      if (kind == "alone") {
        for (int other = 0; other < fronts; ++other) {
          cut.insert({fault.front, other}), cut.insert({other, fault.front});
        }
      }
      if (kind == "heal") {
        cut.clear(), slow.clear();
      }
      if (kind == "delay") {
        slow.insert(fault.front);
      }
      fleet.network.loss = kind == "loss" ? 0.3 : 0;
      if (kind == "want" && up) {
        fleet.want(fault.front, {quota::kSlot * fault.other, 0});
      }
      if (kind == "lend" && up) {
        fleet.want(fault.front, {0, 100 * (1 + fault.other)});
      }
      if (kind == "leave" && up) {
        fleet.leave(fault.front);
      }
      fleet.run(fault.span);
    }
  });
  const bool use = rc::check("what the dead leave is in use soon, and theirs again when they are back", [] {
    const int fronts = *rc::gen::inRange(3, 9);
    const int dead = *rc::gen::inRange(1, (fronts + 1) / 2);
    VirtualFleet fleet(fronts, brisk(), static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    quota::Options share;
    share.slot_count = fronts;
    fleet.share(share);
    for (int front = 0; front < fronts; ++front) {
      fleet.start(front);
      fleet.want(front, {quota::kSlot, 0});
    }
    fleet.run(10000);
    for (int front = 0; front < fronts; ++front) {
      RC_ASSERT(fleet.allocation(front).open == quota::kSlot);
    }
    for (int front = 0; front < dead; ++front) {
      fleet.kill(front);
    }
    fleet.run(12000);
    int sum = 0;
    for (int front = dead; front < fronts; ++front) {
      RC_ASSERT(fleet.allocation(front).open > quota::kSlot);
      sum += fleet.allocation(front).open;
    }
    const int all = (fronts - dead) * quota::kSlot + dead * (quota::kSlot - share.reserved);
    RC_ASSERT(sum > all - fronts);
    for (int front = 0; front < dead; ++front) {
      fleet.start(front);
      fleet.want(front, {quota::kSlot, 0});
    }
    fleet.run(200);
    for (int front = 0; front < dead; ++front) {
      RC_ASSERT(fleet.allocation(front).open >= share.reserved);
    }
    fleet.run(10000);
    for (int front = 0; front < fronts; ++front) {
      RC_ASSERT(fleet.allocation(front).open == quota::kSlot);
    }
  });
  const bool lent = rc::check("what some don't use others have, and give back soon", [] {
    const int fronts = *rc::gen::inRange(3, 9);
    VirtualFleet fleet(fronts, membership::Options{},
                       static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    quota::Options share;
    share.slot_count = fronts;
    fleet.share(share);
    for (int front = 0; front < fronts; ++front) {
      fleet.start(front);
    }
    fleet.run(10000);
    fleet.want(fronts - 1, {2 * quota::kSlot, 0});
    for (int front = 0; front + 1 < fronts; ++front) {
      fleet.want(front, {0, 600});
    }
    fleet.run(10000);
    RC_ASSERT(fleet.allocation(fronts - 1).open > quota::kSlot);
    // Back within two leases of the last word that it was lent.
    for (int front = 0; front + 1 < fronts; ++front) {
      fleet.want(front, {0, 0});
    }
    fleet.run(2 * share.lease * (1 + 3 * share.max_drift) + 1);
    for (int front = 0; front < fronts; ++front) {
      RC_ASSERT(fleet.allocation(front).hold >= quota::kSlot);
    }
  });
  return !(sums && use && lent);
}
