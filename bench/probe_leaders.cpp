// Who keeps which group, in virtual time: rendezvous hashing over the membership's view beside the way by
// silence and patience, on the same faults and seed: probes of a store, words of the fleet, ages of samples.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "faulttest/virtual_routers.hpp"

using namespace reedspindle;
using faulttest::Probing, faulttest::Stage, faulttest::VirtualRouters;

namespace {

void print(const char* what, const Probing& p) {
  std::cout << fmt::format("{:34} {:9.1f} {:9.1f} {:9.0f} {:9.0f} {:9.0f} {:10.4f}\n", what, p.probes,
                           p.words, p.median, p.p99, p.longest, p.unusable);
}

void play(const Stage& stage, std::uint64_t seed) {
  std::cout << fmt::format("\n{} fronts, {} groups of {}, {}\n", stage.fronts, stage.groups, stage.members,
                           stage.by_view ? "by view" : "by silence and patience");
  std::cout << fmt::format("{:34} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10}\n", "", "probes/s", "words/s",
                           "age p50", "age p99", "age max", "over 1 s");
  VirtualRouters fleet(stage, seed);
  const int n = stage.fronts;
  for (int front = 0; front < n; ++front) {
    fleet.start(front);
  }
  print("all start at once, 2 s", fleet.run(2000));
  fleet.run(10000);
  print("steady, 10 s", fleet.run(10000));
  for (int front = 0; front < n * 2 / 5; ++front) {
    fleet.kill(front);
  }
  print("two fifths killed, 5 s", fleet.run(5000));
  fleet.run(30000);
  print("30 s later, 5 s", fleet.run(5000));
  for (int front = 0; front < n * 2 / 5; ++front) {
    fleet.start(front);
  }
  print("started again, 5 s", fleet.run(5000));
  fleet.run(10000);
  for (int front = 0; front < n * 3 / 5; ++front) {
    for (int other = n * 3 / 5; other < n; ++other) {
      fleet.cut(front, other);
    }
  }
  print("cut 60 to 40, 10 s", fleet.run(10000));
  fleet.heal();
  print("healed, 2 s", fleet.run(2000));
  fleet.run(20000);
  for (int front = 1; front < n; ++front) {
    fleet.cut(0, front);
  }
  print("one cut off from all, 10 s", fleet.run(10000));
  fleet.heal();
  fleet.run(20000);
  for (int front = 0; front < n; ++front) {
    for (int other = 0; other < front; ++other) {
      fleet.cut(front, other);
    }
  }
  print("nobody hears anybody, 5 s", fleet.run(5000));
  fleet.heal();
  print("healed, 2 s", fleet.run(2000));
  fleet.run(20000);
  fleet.loss(0.1);
  print("10 % of datagrams lost, 10 s", fleet.run(10000));
  fleet.loss(0);
  fleet.run(10000);
  for (int front = 0; front < n; front += 10) {
    fleet.stop(front);
  }
  const Probing stopped = fleet.run(3000);
  for (int front = 0; front < n; front += 10) {
    fleet.wake(front);
  }
  print("one in ten stopped, 3 s", stopped);
  print("they wake, 2 s", fleet.run(2000));
}

}  // namespace

int main(int count, char** words) {
  Stage stage;
  std::uint64_t seed = 1;
  CLI::App app{"Keepers of groups in virtual time", "reedspindle-bench-probe-leaders"};
  app.add_option("--fronts", stage.fronts);
  app.add_option("--groups", stage.groups);
  app.add_option("--members", stage.members, "of each group");
  app.add_option("--seed", seed);
  CLI11_PARSE(app, count, words);
  for (const bool by_view : {false, true}) {
    stage.by_view = by_view;
    play(stage, seed);
  }
}
