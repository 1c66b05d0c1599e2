// Properties of the membership protocol under random faults in virtual time, by RapidCheck: after all faults
// are repaired the views agree, incarnations never decrease, and replayed datagrams bring no failed instance
// back. CTest sets the seed, so that the result is reproducible.
#include <rapidcheck.h>

#include <map>
#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle::membership;
using reedspindle::faulttest::VirtualFleet;

struct Fault {
  int kind = 0, instance = 0, other = 0, duration = 0;
};

void showValue(const Fault& fault, std::ostream& os) {
  const char* kinds[] = {"kill", "start", "pause", "resume", "partition", "one-way block", "heal", "loss"};
  os << kinds[fault.kind] << ' ' << fault.instance << ' ' << fault.other << ", " << fault.duration << " ms";
}

rc::Gen<Fault> faults(int instances) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, 8), rc::gen::inRange(0, instances),
                                   rc::gen::inRange(0, instances), rc::gen::inRange(50, 6000));
}

}  // namespace

int main() {
  return !rc::check(
      "reachable live instances are eventually alive in all views, and no incarnation decreases", [] {
        const int instances = *rc::gen::inRange(2, 9);
        const auto fault_sequence = *rc::gen::container<std::vector<Fault>>(faults(instances));
        VirtualFleet fleet(instances, Options{}, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        std::set<std::pair<int, int>> blocked;
        std::map<std::pair<int, std::string>, Incarnation> last_incarnations;
        std::vector<std::string> recorded;  // last datagrams received before one instance is killed
        fleet.link_up = [&](int from, int to) { return !blocked.contains({from, to}); };
        const auto restart = [&](int instance) {
          std::erase_if(last_incarnations, [&](const auto& entry) { return entry.first.first == instance; });
          if (!fleet.running(instance)) {
            fleet.start(instance);
          }
        };
        const auto check_incarnations = [&] {
          for (int instance = 0; instance < instances; ++instance) {
            if (!fleet.running(instance)) {
              continue;
            }
            for (const PeerView& peer : fleet.view(instance).peers) {
              Incarnation& last = last_incarnations[{instance, peer.name}];
              RC_ASSERT(last <= peer.incarnation);
              last = peer.incarnation;
            }
          }
        };
        for (int instance = 0; instance < instances; ++instance) {
          fleet.start(instance);
        }
        for (const Fault& fault : fault_sequence) {
          const bool up = fleet.running(fault.instance);
          if (fault.kind == 0 && up) {
            fleet.kill(fault.instance);
          }
          if (fault.kind == 1) {
            restart(fault.instance);
          }
          if (fault.kind == 2 && up) {
            fleet.pause(fault.instance);
          }
          if (fault.kind == 3) {
            fleet.resume(fault.instance);
          }
          if (fault.kind == 4 || fault.kind == 5) {
            blocked.insert({fault.instance, fault.other});
          }
          if (fault.kind == 4) {
            blocked.insert({fault.other, fault.instance});
          }
          if (fault.kind == 6) {
            blocked.clear();
          }
          fleet.network.loss = fault.kind == 7 ? 0.3 : 0;
          fleet.run(fault.duration);
          check_incarnations();
        }
        blocked.clear(), fleet.network.loss = 0;
        for (int instance = 0; instance < instances; ++instance) {
          fleet.resume(instance), restart(instance);
        }
        fleet.run(30000);
        check_incarnations();
        RC_ASSERT(fleet.converged());
        // Datagrams from before the kill do not bring back a failed instance.
        const int failed = *rc::gen::inRange(0, instances);
        for (int instance = 0; instance < instances; ++instance) {
          if (instance != failed) {
            recorded.push_back(fleet.last_datagram(instance));
          }
        }
        fleet.kill(failed);
        fleet.run(40000);
        for (int instance = 0; instance < instances; ++instance) {
          for (const std::string& bytes : recorded) {
            if (instance != failed) {
              for (int from = 0; from < instances; ++from) {
                fleet.deliver(instance, from, bytes);
              }
            }
          }
        }
        fleet.run(5000);
        RC_ASSERT(fleet.converged());
      });
}
