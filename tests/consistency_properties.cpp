// What the accord promises, over drawn cuts, deaths and silent discoveries in virtual time, by RapidCheck:
// nothing is doubted that some later list still has; writes are turned away only without contact; once all is
// mended all are in accord, and nothing is held back. The seed is given by CTest.
#include <rapidcheck.h>

#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle;
using faulttest::VirtualFleet;

struct Fault {
  int kind = 0, front = 0, other = 0, span = 0;
};
const char* const kKinds[] = {"kill", "start",  "cut",    "one way", "alone", "heal",
                              "mute", "speaks", "remove", "add",     "stop",  "wake"};

void showValue(const Fault& fault, std::ostream& os) {
  os << kKinds[fault.kind] << ' ' << fault.front << ' ' << fault.other << ", " << fault.span << " ms";
}

rc::Gen<Fault> faults(int fronts) {
  return rc::gen::construct<Fault>(rc::gen::inRange(0, static_cast<int>(std::size(kKinds))),
                                   rc::gen::inRange(0, fronts), rc::gen::inRange(0, fronts),
                                   rc::gen::inRange(100, 4000));
}

// The fleet with a discovery that speaks to each front by itself, or not.
struct World {
  World(int fronts, std::uint64_t seed)
      : fleet(fronts, brisk(), seed), held(static_cast<std::size_t>(fronts)) {
    options.poll_interval = 200, options.grace_period = 600, options.isolation_timeout = 1500,
    options.admit_writes_for = 2500;
    fleet.compare(options);
    fleet.passes = [this](int from, int to) { return !cut.contains({from, to}); };
    for (int front = 0; front < fronts; ++front) {
      start(front);
    }
  }
  static membership::Options brisk() {
    membership::Options options;
    options.protocol_period = 200, options.ack_timeout = 80;
    return options;
  }
  void start(int front) {
    fleet.start(front);
    spoke[front] = fleet.now();
    tell(front);
  }
  void tell(int front) {
    consistency::AppliedState acts;
    acts.digest.revision = held[static_cast<std::size_t>(front)] + 1;
    acts.digest.sums = {static_cast<std::uint32_t>(acts.digest.revision), 1, 1};
    acts.ready = lists[held[static_cast<std::size_t>(front)]];
    fleet.act(front, acts);
  }
  void change(bool adds, std::uint32_t mark) {
    lists.push_back(lists.back());
    adds ? void(lists.back().insert(mark)) : void(lists.back().erase(mark));
  }
  void run(Millis span) {
    for (Millis gone = 0; gone < span; gone += 100) {
      for (int front = 0; front < fleet.size(); ++front) {
        if (!fleet.up(front) || mute.contains(front) || stopped.contains(front)) {
          continue;
        }
        held[static_cast<std::size_t>(front)] = lists.size() - 1;
        fleet.confirm(front);
        tell(front);
        spoke[front] = fleet.now();
      }
      fleet.run(100);
      look();
    }
  }
  void look() {
    for (int front = 0; front < fleet.size(); ++front) {
      if (!fleet.up(front) || stopped.contains(front)) {
        continue;
      }
      const consistency::View view = fleet.consistency(front)->view();
      for (const std::uint32_t mark : view.suspect_servers) {
        bool gone = false;
        for (std::size_t later = held[static_cast<std::size_t>(front)] + 1; later < lists.size(); ++later) {
          gone = gone || !lists[later].contains(mark);
        }
        RC_ASSERT(gone);
      }
      if (!view.admission.writes) {
        RC_ASSERT(fleet.now() - spoke[front] > options.admit_writes_for);
      }
    }
  }

  consistency::Options options;
  VirtualFleet fleet;
  std::set<std::pair<int, int>> cut;
  std::vector<std::set<std::uint32_t>> lists{{1, 2, 3, 4, 5, 6, 7, 8}};
  std::vector<std::size_t> held;  // by each front: which of the lists
  std::map<int, Millis> spoke;
  std::set<int> mute, stopped;
};

}  // namespace

int main() {
  const bool held = rc::check("nothing is held back without reason, and nothing once all is mended", [] {
    const int fronts = *rc::gen::inRange(2, 8);
    const auto struck = *rc::gen::container<std::vector<Fault>>(faults(fronts));
    World world(fronts, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    VirtualFleet& fleet = world.fleet;
    world.run(2000);
    for (const Fault& fault : struck) {
      const std::string kind = kKinds[fault.kind];
      const int front = fault.front;
      const int other = fault.other;
      if (kind == "kill" && fleet.up(front)) {
        fleet.kill(front), world.stopped.erase(front);
      }
      if (kind == "start" && !fleet.up(front)) {
        world.start(front);
      }
      if (kind == "cut" || kind == "one way") {
        world.cut.insert({front, other});
      }
      if (kind == "cut") {
        world.cut.insert({other, front});
      }
      if (kind == "alone") {
        for (int each = 0; each < fronts; ++each) {
          world.cut.insert({front, each}), world.cut.insert({each, front});
        }
      }
      if (kind == "heal") {
        world.cut.clear();
      }
      if (kind == "mute") {
        world.mute.insert(front);
      }
      if (kind == "speaks") {
        world.mute.erase(front);
      }
      if (kind == "remove" || kind == "add") {
        world.change(kind == "add", static_cast<std::uint32_t>(1 + (front + other) % 8));
      }
      if (kind == "stop" && fleet.up(front)) {
        fleet.stop(front), world.stopped.insert(front);
      }
      if (kind == "wake") {
        fleet.wake(front), world.stopped.erase(front);
      }
      world.run(fault.span);
    }
    world.cut.clear(), world.mute.clear(), world.stopped.clear();
    for (int front = 0; front < fronts; ++front) {
      fleet.wake(front);
      if (!fleet.up(front)) {
        world.start(front);
      }
    }
    world.run(20000);
    for (int front = 0; front < fronts; ++front) {
      const consistency::View view = fleet.consistency(front)->view();
      RC_ASSERT(view.admission.writes && !view.isolated && view.suspect_servers.empty());
      for (const consistency::Difference& difference : view.differences) {
        RC_ASSERT(difference.differ == 0 && difference.compared > 0);
      }
    }
  });
  const bool careful =
      rc::check("a front that alone does not hear discovery hears from its fellows who leaves", [] {
        const int fronts = *rc::gen::inRange(2, 8);
        const int deaf = *rc::gen::inRange(0, fronts);
        World world(fronts, static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
        world.run(3000);
        world.mute.insert(deaf);
        world.run(1000);
        const auto mark = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
        world.change(false, mark);
        // In a round of questions it has met one who has the later list, and asked what that one has no more.
        world.run(world.options.poll_interval * (fronts + 4));
        RC_ASSERT(world.fleet.consistency(deaf)->view().suspect_servers == std::set<std::uint32_t>{mark});
        RC_ASSERT(world.fleet.consistency(deaf)->view().admission.writes);
        world.mute.clear();
        world.run(200);
        RC_ASSERT(world.fleet.consistency(deaf)->view().suspect_servers.empty());
      });
  return !(held && careful);
}
