// Measures the quota module in virtual time at sizes that processes on one machine cannot reach: the highest
// sum of all allocations under random faults, the times from a failure to the use of the quota that it freed
// and from a restart to full allocations, and the network traffic.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include "faulttest/virtual_fleet.hpp"

using namespace reedspindle;
using faulttest::VirtualFleet;

namespace {

struct BenchOptions {
  int instances = 10, runs = 10, seed = 1;
  double seconds = 60;
};

// Applies random network and process faults, which may overlap, and returns the highest sum of the quota
// held.
int highest_sum(const BenchOptions& bench_options, std::uint64_t seed) {
  VirtualFleet fleet(bench_options.instances, membership::Options{}, seed);
  quota::Options options;
  options.slot_count = bench_options.instances;
  fleet.enable_quota(options);
  std::minstd_rand random(static_cast<unsigned>(seed * 7919 + 1));
  const auto random_below = [&](int limit) {
    return static_cast<int>(random() % static_cast<unsigned>(limit));
  };
  std::set<std::pair<int, int>> blocked_links;
  std::set<int> slow_instances;
  fleet.link_up = [&](int from, int to) {
    return blocked_links.empty() || !blocked_links.contains({from, to});
  };
  fleet.extra_delay = [&](int from, int to) {
    return slow_instances.contains(from) || slow_instances.contains(to) ? 1500.0 : 0.0;
  };
  const auto total_held = [&] {
    int total = 0;
    for (int instance = 0; instance < bench_options.instances; ++instance) {
      total += fleet.allocation(instance).hold;
    }
    return total;
  };
  const auto set_random_demand = [&](int instance) {
    if (fleet.running(instance)) {
      fleet.set_demand(
          instance, {random_below(2) * random_below(4) * quota::kSlot, random_below(2) * random_below(750)});
    }
  };
  for (int instance = 0; instance < bench_options.instances; ++instance) {
    fleet.set_clock_drift(instance, (instance % 2 == 0 ? 0.5 : -0.5) * options.max_drift);
    fleet.start(instance);
    set_random_demand(instance);
  }
  int highest = 0;
  for (Millis at = 0; at < bench_options.seconds * 1000;) {
    const int instance = random_below(bench_options.instances);
    const int other = random_below(bench_options.instances);
    switch (random_below(12)) {
      case 0:
        for (int index = random_below(bench_options.instances); index > 0; --index) {
          if (const int victim = random_below(bench_options.instances); fleet.running(victim)) {
            fleet.kill(victim);
          }
        }
        break;
      case 1:
      case 2:
        for (int index = 0; index < bench_options.instances; ++index) {
          if (!fleet.running(index)) {
            fleet.start(index), set_random_demand(index);
          }
        }
        break;
      case 3:
        if (fleet.running(instance)) {
          fleet.pause(instance);
        }
        break;
      case 4:
        for (int index = 0; index < bench_options.instances; ++index) {
          fleet.resume(index);
        }
        break;
      case 5:
        for (int from = 0; from < other; ++from) {
          for (int to = other; to < bench_options.instances; ++to) {
            blocked_links.insert({from, to}), blocked_links.insert({to, from});
          }
        }
        break;
      case 6:
        for (int to = 0; to < bench_options.instances; ++to) {
          blocked_links.insert({instance, to});
        }
        break;
      case 7:
        blocked_links.clear(), slow_instances.clear(), fleet.network.loss = 0;
        break;
      case 8:
        slow_instances.insert(instance);
        break;
      case 9:
        fleet.network.loss = 0.3;
        break;
      default:
        for (int index = 0; index < 5; ++index) {
          set_random_demand(random_below(bench_options.instances));
        }
    }
    // A sample every 5 ms is sufficient, since allocations are held for seconds.
    for (const Millis until = at + 20 + random_below(2000); at < until; at += 5) {
      fleet.run(5);
      highest = std::max(highest, total_held());
    }
  }
  return highest;
}

}  // namespace

int main(int count, char** arguments) {
  BenchOptions bench_options;
  CLI::App app{"Measures the quota module in virtual time", "reedspindle-bench-quota"};
  app.add_option("--fronts", bench_options.instances);
  app.add_option("--runs", bench_options.runs, "of random faults");
  app.add_option("--seconds", bench_options.seconds, "of each run");
  app.add_option("--seed", bench_options.seed);
  CLI11_PARSE(app, count, arguments);

  double highest = 0;
  for (int run = 0; run < bench_options.runs; ++run) {
    highest = std::max(highest, static_cast<double>(highest_sum(
                                    bench_options, static_cast<std::uint64_t>(bench_options.seed + run))) /
                                    (quota::kSlot * bench_options.instances));
  }
  std::cout << fmt::format(
      "{} instances, {} runs of {} s with random faults: highest sum {:.4f} of the total quota\n",
      bench_options.instances, bench_options.runs, bench_options.seconds, highest);

  VirtualFleet fleet(bench_options.instances, membership::Options{},
                     static_cast<std::uint64_t>(bench_options.seed));
  quota::Options options;
  options.slot_count = bench_options.instances;
  fleet.enable_quota(options);
  for (int instance = 0; instance < bench_options.instances; ++instance) {
    fleet.start(instance);
    fleet.set_demand(instance, {quota::kSlot, 0});
  }
  const auto until = [&](auto condition) {
    Millis elapsed = 0;
    for (; elapsed < 300000 && !condition(); elapsed += 20) {
      fleet.run(20);
    }
    return elapsed / 1000;
  };
  const auto all_hold = [&](int from, int minimum) {
    for (int instance = from; instance < bench_options.instances; ++instance) {
      if (fleet.allocation(instance).open < minimum) {
        return false;
      }
    }
    return true;
  };
  std::cout << fmt::format("started together, all fully allocated after {:.2f} s\n",
                           until([&] { return all_hold(0, quota::kSlot); }));
  fleet.run(20000);
  const auto print_traffic = [&](const char* phase) {
    std::vector<faulttest::Traffic> before;
    for (int instance = 0; instance < bench_options.instances; ++instance) {
      before.push_back(fleet.quota_traffic(instance));
    }
    fleet.run(10000);
    std::vector<double> sent;
    for (int instance = 0; instance < bench_options.instances; ++instance) {
      if (fleet.running(instance)) {
        sent.push_back(static_cast<double>(fleet.quota_traffic(instance).datagrams -
                                           before[static_cast<std::size_t>(instance)].datagrams) /
                       10);
      }
    }
    std::ranges::sort(sent);
    std::cout << fmt::format("quota datagrams/s {}: median {:.1f}, maximum (the granting instance) {:.1f}\n",
                             phase, sent[sent.size() / 2], sent.back());
  };
  print_traffic("while all request more");
  const int killed = bench_options.instances * 2 / 5;
  for (int instance = 0; instance < killed; ++instance) {
    fleet.kill(instance);
  }
  const int extra = killed * (quota::kSlot - options.reserved) / (bench_options.instances - killed);
  std::cout << fmt::format("{} killed, each remaining instance has {} more after {:.2f} s\n", killed,
                           extra - 1, until([&] { return all_hold(killed, quota::kSlot + extra - 1); }));
  for (int instance = 0; instance < killed; ++instance) {
    fleet.start(instance);
  }
  std::cout << fmt::format("restarted, fully allocated after {:.2f} s\n",
                           until([&] { return all_hold(0, quota::kSlot); }));
  for (int instance = 0; instance < bench_options.instances; ++instance) {
    fleet.set_demand(instance, {});
  }
  fleet.run(10000);
  print_traffic("while none requests more");
}
