// Properties of the consistency monitor under random partitions, process failures and discovery outages in
// virtual time, by RapidCheck: a server is suspect only if some later list lacks it; writes are rejected only
// after a loss of contact; once all faults are repaired all instances agree and reject nothing. CTest sets
// the seed, so that the result is reproducible.
#include <rapidcheck.h>

#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle;
using faulttest::VirtualFleet;

struct Fault {
  int kind = 0, instance = 0, other = 0, duration = 0;
};
const char* const kKinds[] = {"kill",    "start", "partition",      "one-way block",
                              "isolate", "heal",  "discovery down", "discovery up",
                              "remove",  "add",   "pause",          "resume"};

void showValue(const Fault& fault, std::ostream& os) {
  os << kKinds[fault.kind] << ' ' << fault.instance << ' ' << fault.other << ", " << fault.duration << " ms";
}

rc::Gen<Fault> faults(int instances) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, static_cast<int>(std::size(kKinds))),
                                   rc::gen::inRange(0, instances), rc::gen::inRange(0, instances),
                                   rc::gen::inRange(100, 4000));
}

// A fleet, and a discovery service that answers or does not answer each instance independently.
struct World {
  World(int instances, std::uint64_t seed)
      : fleet(instances, fast_options(), seed), list_index(static_cast<std::size_t>(instances)) {
    options.poll_interval = 200, options.grace_period = 600, options.isolation_timeout = 1500,
    options.admit_writes_for = 2500;
    fleet.enable_consistency(options);
    fleet.link_up = [this](int from, int to) { return !blocked.contains({from, to}); };
    for (int instance = 0; instance < instances; ++instance) {
      start(instance);
    }
  }
  static membership::Options fast_options() {
    membership::Options options;
    options.protocol_period = 200, options.ack_timeout = 80;
    return options;
  }
  void start(int instance) {
    fleet.start(instance);
    last_discovery_answer[instance] = fleet.now();
    apply_state(instance);
  }
  void apply_state(int instance) {
    consistency::AppliedState state;
    state.digest.revision = list_index[static_cast<std::size_t>(instance)] + 1;
    state.digest.sums = {static_cast<std::uint32_t>(state.digest.revision), 1, 1};
    state.ready = lists[list_index[static_cast<std::size_t>(instance)]];
    fleet.set_applied_state(instance, state);
  }
  void change(bool is_addition, std::uint32_t mark) {
    lists.push_back(lists.back());
    is_addition ? void(lists.back().insert(mark)) : void(lists.back().erase(mark));
  }
  void run(Millis duration) {
    for (Millis elapsed = 0; elapsed < duration; elapsed += 100) {
      for (int instance = 0; instance < fleet.size(); ++instance) {
        if (!fleet.running(instance) || discovery_down.contains(instance) || paused.contains(instance)) {
          continue;
        }
        list_index[static_cast<std::size_t>(instance)] = lists.size() - 1;
        fleet.confirm_discovery(instance);
        apply_state(instance);
        last_discovery_answer[instance] = fleet.now();
      }
      fleet.run(100);
      check_invariants();
    }
  }
  void check_invariants() {
    for (int instance = 0; instance < fleet.size(); ++instance) {
      if (!fleet.running(instance) || paused.contains(instance)) {
        continue;
      }
      const consistency::View view = fleet.consistency(instance)->view();
      for (const std::uint32_t mark : view.suspect_servers) {
        bool removed = false;
        for (std::size_t later = list_index[static_cast<std::size_t>(instance)] + 1; later < lists.size();
             ++later) {
          removed = removed || !lists[later].contains(mark);
        }
        RC_ASSERT(removed);
      }
      if (!view.admission.writes) {
        RC_ASSERT(fleet.now() - last_discovery_answer[instance] > options.admit_writes_for);
      }
    }
  }

  consistency::Options options;
  VirtualFleet fleet;
  std::set<std::pair<int, int>> blocked;
  std::vector<std::set<std::uint32_t>> lists{{1, 2, 3, 4, 5, 6, 7, 8}};
  std::vector<std::size_t> list_index;  // by instance: its current list in lists
  std::map<int, Millis> last_discovery_answer;
  std::set<int> discovery_down, paused;
};

}  // namespace

int main() {
  const bool recovery = rc::check(
      "nothing is suspect or rejected without cause, and nothing after all faults are repaired", [] {
        const int instances = *rc::gen::inRange(2, 8);
        const auto fault_sequence = *rc::gen::container<std::vector<Fault>>(faults(instances));
        World world(instances, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        VirtualFleet& fleet = world.fleet;
        world.run(2000);
        for (const Fault& fault : fault_sequence) {
          const std::string kind = kKinds[fault.kind];
          const int instance = fault.instance;
          const int other = fault.other;
          if (kind == "kill" && fleet.running(instance)) {
            fleet.kill(instance), world.paused.erase(instance);
          }
          if (kind == "start" && !fleet.running(instance)) {
            world.start(instance);
          }
          if (kind == "partition" || kind == "one-way block") {
            world.blocked.insert({instance, other});
          }
          if (kind == "partition") {
            world.blocked.insert({other, instance});
          }
          if (kind == "isolate") {
            for (int each = 0; each < instances; ++each) {
              world.blocked.insert({instance, each}), world.blocked.insert({each, instance});
            }
          }
          if (kind == "heal") {
            world.blocked.clear();
          }
          if (kind == "discovery down") {
            world.discovery_down.insert(instance);
          }
          if (kind == "discovery up") {
            world.discovery_down.erase(instance);
          }
          if (kind == "remove" || kind == "add") {
            world.change(kind == "add", static_cast<std::uint32_t>(1 + (instance + other) % 8));
          }
          if (kind == "pause" && fleet.running(instance)) {
            fleet.pause(instance), world.paused.insert(instance);
          }
          if (kind == "resume") {
            fleet.resume(instance), world.paused.erase(instance);
          }
          world.run(fault.duration);
        }
        world.blocked.clear(), world.discovery_down.clear(), world.paused.clear();
        for (int instance = 0; instance < instances; ++instance) {
          fleet.resume(instance);
          if (!fleet.running(instance)) {
            world.start(instance);
          }
        }
        world.run(20000);
        for (int instance = 0; instance < instances; ++instance) {
          const consistency::View view = fleet.consistency(instance)->view();
          RC_ASSERT(view.admission.writes && !view.isolated && view.suspect_servers.empty());
          for (const consistency::Difference& difference : view.differences) {
            RC_ASSERT(difference.differ == 0 && difference.compared > 0);
          }
        }
      });
  const bool removals = rc::check(
      "an instance that discovery does not answer learns from its peers which servers were removed", [] {
        const int instances = *rc::gen::inRange(2, 8);
        const int affected = *rc::gen::inRange(0, instances);
        World world(instances, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        world.run(3000);
        world.discovery_down.insert(affected);
        world.run(1000);
        const auto mark = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
        world.change(false, mark);
        // Within one polling round the instance has polled a peer with the later list and checked its servers
        // with it.
        world.run(world.options.poll_interval * (instances + 4));
        RC_ASSERT(world.fleet.consistency(affected)->view().suspect_servers == std::set<std::uint32_t>{mark});
        RC_ASSERT(world.fleet.consistency(affected)->view().admission.writes);
        world.discovery_down.clear();
        world.run(200);
        RC_ASSERT(world.fleet.consistency(affected)->view().suspect_servers.empty());
      });
  return !(recovery && removals);
}
