// Compares two ways to elect the instance that probes a group, in virtual time: rendezvous hashing over the
// membership view, and timeouts on missing broadcasts. Prints for both, with the same faults and seed, the
// probes per server, the broadcasts of the fleet and the ages of samples.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "faulttest/virtual_routers.hpp"

using namespace reedspindle;
using faulttest::ProbeStatistics, faulttest::FleetOptions, faulttest::VirtualRouters;

namespace {

void print(const char* phase, const ProbeStatistics& statistics) {
  std::cout << fmt::format("{:34} {:9.1f} {:9.1f} {:9.0f} {:9.0f} {:9.0f} {:10.4f}\n", phase,
                           statistics.probes, statistics.broadcasts, statistics.median_age,
                           statistics.p99_age, statistics.max_age, statistics.stale_fraction);
}

void measure(const FleetOptions& options, std::uint64_t seed) {
  std::cout << fmt::format("\n{} instances, {} groups of {}, {}\n", options.instances, options.groups,
                           options.group_size,
                           options.use_membership_view ? "by membership view" : "by timeouts");
  std::cout << fmt::format("{:34} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10}\n", "", "probes/s", "bcasts/s",
                           "age p50", "age p99", "age max", "over 1 s");
  VirtualRouters fleet(options, seed);
  const int count = options.instances;
  for (int instance = 0; instance < count; ++instance) {
    fleet.start(instance);
  }
  print("all start at once, 2 s", fleet.run(2000));
  fleet.run(10000);
  print("steady, 10 s", fleet.run(10000));
  for (int instance = 0; instance < count * 2 / 5; ++instance) {
    fleet.kill(instance);
  }
  print("40 % killed, 5 s", fleet.run(5000));
  fleet.run(30000);
  print("30 s later, 5 s", fleet.run(5000));
  for (int instance = 0; instance < count * 2 / 5; ++instance) {
    fleet.start(instance);
  }
  print("restarted, 5 s", fleet.run(5000));
  fleet.run(10000);
  for (int instance = 0; instance < count * 3 / 5; ++instance) {
    for (int other = count * 3 / 5; other < count; ++other) {
      fleet.block_link(instance, other);
    }
  }
  print("partitioned 60 to 40, 10 s", fleet.run(10000));
  fleet.heal();
  print("healed, 2 s", fleet.run(2000));
  fleet.run(20000);
  for (int instance = 1; instance < count; ++instance) {
    fleet.block_link(0, instance);
  }
  print("one isolated from all, 10 s", fleet.run(10000));
  fleet.heal();
  fleet.run(20000);
  for (int instance = 0; instance < count; ++instance) {
    for (int other = 0; other < instance; ++other) {
      fleet.block_link(instance, other);
    }
  }
  print("all links blocked, 5 s", fleet.run(5000));
  fleet.heal();
  print("healed, 2 s", fleet.run(2000));
  fleet.run(20000);
  fleet.set_loss(0.1);
  print("10 % of datagrams lost, 10 s", fleet.run(10000));
  fleet.set_loss(0);
  fleet.run(10000);
  for (int instance = 0; instance < count; instance += 10) {
    fleet.pause(instance);
  }
  const ProbeStatistics during_pause = fleet.run(3000);
  for (int instance = 0; instance < count; instance += 10) {
    fleet.resume(instance);
  }
  print("one in ten paused, 3 s", during_pause);
  print("resumed, 2 s", fleet.run(2000));
}

}  // namespace

int main(int count, char** arguments) {
  FleetOptions options;
  std::uint64_t seed = 1;
  CLI::App app{"Simulates the election of probing instances in virtual time",
               "reedspindle-bench-probe-leaders"};
  app.add_option("--fronts", options.instances);
  app.add_option("--groups", options.groups);
  app.add_option("--members", options.group_size, "of each group");
  app.add_option("--seed", seed);
  CLI11_PARSE(app, count, arguments);
  for (const bool use_membership_view : {false, true}) {
    options.use_membership_view = use_membership_view;
    measure(options, seed);
  }
}
