// Properties of the membership over drawn faults in virtual time, by RapidCheck; the seed is given by CTest,
// so that the verdict is always the same.
#include <rapidcheck.h>

#include <map>
#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle::membership;
using reedspindle::faulttest::VirtualFleet;

struct Fault {
  int kind = 0, front = 0, other = 0, span = 0;
};

void showValue(const Fault& fault, std::ostream& os) {
  const char* kinds[] = {"kill", "start", "stop", "wake", "cut", "one way", "heal", "loss"};
  os << kinds[fault.kind] << ' ' << fault.front << ' ' << fault.other << ", " << fault.span << " ms";
}

rc::Gen<Fault> faults(int fronts) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, 8), rc::gen::inRange(0, fronts),
                                   rc::gen::inRange(0, fronts), rc::gen::inRange(50, 6000));
}

}  // namespace

int main() {
  return !rc::check(
      "whoever lives and can be reached is in the end held there, and no incarnation falls", [] {
        const int fronts = *rc::gen::inRange(2, 9);
        const auto struck = *rc::gen::container<std::vector<Fault>>(faults(fronts));
        VirtualFleet fleet(fronts, Options{}, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        std::set<std::pair<int, int>> cut;
        std::map<std::pair<int, std::string>, Incarnation> held;
        std::vector<std::string> said;  // datagrams of the dead
        fleet.passes = [&](int from, int to) { return !cut.contains({from, to}); };
        const auto restart = [&](int front) {
          std::erase_if(held, [&](const auto& entry) { return entry.first.first == front; });
          if (!fleet.up(front)) {
            fleet.start(front);
          }
        };
        const auto look = [&] {
          for (int front = 0; front < fronts; ++front) {
            if (!fleet.up(front)) {
              continue;
            }
            for (const PeerView& peer : fleet.view(front).peers) {
              Incarnation& last = held[{front, peer.name}];
              RC_ASSERT(last <= peer.incarnation);
              last = peer.incarnation;
            }
          }
        };
        for (int front = 0; front < fronts; ++front) {
          fleet.start(front);
        }
        for (const Fault& fault : struck) {
          const bool up = fleet.up(fault.front);
          if (fault.kind == 0 && up) {
            fleet.kill(fault.front);
          }
          if (fault.kind == 1) {
            restart(fault.front);
          }
          if (fault.kind == 2 && up) {
            fleet.stop(fault.front);
          }
          if (fault.kind == 3) {
            fleet.wake(fault.front);
          }
          if (fault.kind == 4 || fault.kind == 5) {
            cut.insert({fault.front, fault.other});
          }
          if (fault.kind == 4) {
            cut.insert({fault.other, fault.front});
          }
          if (fault.kind == 6) {
            cut.clear();
          }
          fleet.network.loss = fault.kind == 7 ? 0.3 : 0;
          fleet.run(fault.span);
          look();
        }
        cut.clear(), fleet.network.loss = 0;
        for (int front = 0; front < fronts; ++front) {
          fleet.wake(front), restart(front);
        }
        fleet.run(30000);
        look();
        RC_ASSERT(fleet.agreed());
        // What the dead said once brings nobody back.
        const int dead = *rc::gen::inRange(0, fronts);
        for (int front = 0; front < fronts; ++front) {
          if (front != dead) {
            said.push_back(fleet.last_heard(front));
          }
        }
        fleet.kill(dead);
        fleet.run(40000);
        for (int front = 0; front < fronts; ++front) {
          for (const std::string& bytes : said) {
            if (front != dead) {
              for (int from = 0; from < fronts; ++from) {
                fleet.hear(front, from, bytes);
              }
            }
          }
        }
        fleet.run(5000);
        RC_ASSERT(fleet.agreed());
      });
}
