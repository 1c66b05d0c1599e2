// Properties of the quota manager under random faults in virtual time, by RapidCheck: the live processes
// never use more than the shared capacity in total, and unused capacity is granted to others and returned.
// CTest sets the seed, so that the result is reproducible.
#include <rapidcheck.h>

#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle;
using faulttest::VirtualFleet;

struct Fault {
  int kind = 0, instance = 0, other = 0, duration = 0;
};
const char* const kKinds[] = {"kill", "start", "restart", "pause", "resume", "partition", "one-way block",
                              "heal", "loss",  "delay",   "want",  "lend",   "leave",     "isolate"};
constexpr int kCount = std::size(kKinds);

void showValue(const Fault& fault, std::ostream& os) {
  os << kKinds[fault.kind] << ' ' << fault.instance << ' ' << fault.other << ", " << fault.duration << " ms";
}

rc::Gen<Fault> faults(int instances) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, kCount), rc::gen::inRange(0, instances),
                                   rc::gen::inRange(0, instances), rc::gen::inRange(5, 2500));
}

membership::Options fast_options() {
  membership::Options options;
  options.protocol_period = 200, options.ack_timeout = 80;
  return options;
}

}  // namespace

int main() {
  const bool total_bounded =
      rc::check("the allocations of all live instances never exceed the shared capacity", [] {
        const int instances = *rc::gen::inRange(2, 8);
        const auto fault_sequence = *rc::gen::container<std::vector<Fault>>(faults(instances));
        VirtualFleet fleet(instances, fast_options(),
                           static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        quota::Options options;
        options.slot_count = instances;
        fleet.enable_quota(options);
        std::set<std::pair<int, int>> blocked;
        std::set<int> delayed;
        fleet.link_up = [&](int from, int to) { return !blocked.contains({from, to}); };
        fleet.extra_delay = [&](int from, int to) {
          return delayed.contains(from) || delayed.contains(to) ? 1500.0 : 0.0;
        };
        fleet.on_step = [&](Millis) {
          int sum = 0;
          for (int instance = 0; instance < instances; ++instance) {
            sum += fleet.allocation(instance).hold;
          }
          RC_ASSERT(sum <= instances * quota::kSlot);
        };
        // Monotonic clocks differ in rate by as much as max_drift allows; wall clocks have arbitrary offsets.
        for (int instance = 0; instance < instances; ++instance) {
          fleet.set_clock_drift(instance, (instance % 2 == 0 ? 0.5 : -0.5) * options.max_drift);
          fleet.set_clock_offset(instance, 60000.0 * (instance % 3 - 1));
          fleet.start(instance);
          fleet.set_demand(instance, {quota::kSlot * instances, 0});
        }
        fleet.run(9000);
        for (const Fault& fault : fault_sequence) {
          const bool up = fleet.running(fault.instance);
          const std::string kind = kKinds[fault.kind];
          if ((kind == "kill" || kind == "restart") && up) {
            fleet.kill(fault.instance);
          }
          if ((kind == "start" || kind == "restart") && !fleet.running(fault.instance)) {
            fleet.start(fault.instance);
            fleet.set_demand(fault.instance, {quota::kSlot * instances, 0});
          }
          if (kind == "pause" && up) {
            fleet.pause(fault.instance);
          }
          if (kind == "resume") {
            fleet.resume(fault.instance);
          }
          if (kind == "partition" || kind == "one-way block") {
            blocked.insert({fault.instance, fault.other});
          }
          if (kind == "partition") {
            blocked.insert({fault.other, fault.instance});
          }
          if (kind == "isolate") {
            for (int other = 0; other < instances; ++other) {
              blocked.insert({fault.instance, other}), blocked.insert({other, fault.instance});
            }
          }
          if (kind == "heal") {
            blocked.clear(), delayed.clear();
          }
          if (kind == "delay") {
            delayed.insert(fault.instance);
          }
          fleet.network.loss = kind == "loss" ? 0.3 : 0;
          if (kind == "want" && up) {
            fleet.set_demand(fault.instance, {quota::kSlot * fault.other, 0});
          }
          if (kind == "lend" && up) {
            fleet.set_demand(fault.instance, {0, 100 * (1 + fault.other)});
          }
          if (kind == "leave" && up) {
            fleet.leave(fault.instance);
          }
          fleet.run(fault.duration);
        }
      });
  const bool redistribution =
      rc::check("slots of failed instances are granted to others and returned after a restart", [] {
        const int instances = *rc::gen::inRange(3, 9);
        const int failed = *rc::gen::inRange(1, (instances + 1) / 2);
        VirtualFleet fleet(instances, fast_options(),
                           static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        quota::Options options;
        options.slot_count = instances;
        fleet.enable_quota(options);
        for (int instance = 0; instance < instances; ++instance) {
          fleet.start(instance);
          fleet.set_demand(instance, {quota::kSlot, 0});
        }
        fleet.run(10000);
        for (int instance = 0; instance < instances; ++instance) {
          RC_ASSERT(fleet.allocation(instance).open == quota::kSlot);
        }
        for (int instance = 0; instance < failed; ++instance) {
          fleet.kill(instance);
        }
        fleet.run(12000);
        int sum = 0;
        for (int instance = failed; instance < instances; ++instance) {
          RC_ASSERT(fleet.allocation(instance).open > quota::kSlot);
          sum += fleet.allocation(instance).open;
        }
        const int expected = (instances - failed) * quota::kSlot + failed * (quota::kSlot - options.reserved);
        RC_ASSERT(sum > expected - instances);
        for (int instance = 0; instance < failed; ++instance) {
          fleet.start(instance);
          fleet.set_demand(instance, {quota::kSlot, 0});
        }
        fleet.run(200);
        for (int instance = 0; instance < failed; ++instance) {
          RC_ASSERT(fleet.allocation(instance).open >= options.reserved);
        }
        fleet.run(10000);
        for (int instance = 0; instance < instances; ++instance) {
          RC_ASSERT(fleet.allocation(instance).open == quota::kSlot);
        }
      });
  const bool lent = rc::check("lent capacity is granted to others and returned", [] {
    const int instances = *rc::gen::inRange(3, 9);
    VirtualFleet fleet(instances, membership::Options{},
                       static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    quota::Options options;
    options.slot_count = instances;
    fleet.enable_quota(options);
    for (int instance = 0; instance < instances; ++instance) {
      fleet.start(instance);
    }
    fleet.run(10000);
    fleet.set_demand(instances - 1, {2 * quota::kSlot, 0});
    for (int instance = 0; instance + 1 < instances; ++instance) {
      fleet.set_demand(instance, {0, 600});
    }
    fleet.run(10000);
    RC_ASSERT(fleet.allocation(instances - 1).open > quota::kSlot);
    // The slot is whole again within two leases of the last request that lent a part of it.
    for (int instance = 0; instance + 1 < instances; ++instance) {
      fleet.set_demand(instance, {0, 0});
    }
    fleet.run(2 * options.lease * (1 + 3 * options.max_drift) + 1);
    for (int instance = 0; instance < instances; ++instance) {
      RC_ASSERT(fleet.allocation(instance).hold >= quota::kSlot);
    }
  });
  return !(total_bounded && redistribution && lent);
}
