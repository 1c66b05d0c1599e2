// Measures the consistency module in virtual time at sizes that processes on one machine cannot reach: how
// soon a difference is detected and how soon its end, after a start, after a partition heals, and while
// discovery does not answer one instance; and the network traffic.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "faulttest/virtual_fleet.hpp"

using namespace reedspindle;
using faulttest::VirtualFleet;

namespace {

// Whether an instance has compared itself with others and differs from none.
bool in_agreement(const VirtualFleet& fleet, int instance) {
  const consistency::View view = fleet.consistency(instance)->view();
  return std::ranges::all_of(view.differences, [](const auto& difference) {
    return difference.differ == 0 && difference.compared > 0;
  });
}

class Simulation {
 public:
  Simulation(int instances, std::uint64_t seed)
      : fleet(instances, membership::Options{}, seed), silent_(at(instances)) {
    fleet.enable_consistency(consistency::Options{});
    fleet.link_up = [this](int from, int to) {
      return !partitioned || (from < partition_size) == (to < partition_size);
    };
    for (int instance = 0; instance < instances; ++instance) {
      fleet.start(instance), deliver_list(instance, 1);
    }
  }
  static std::size_t at(int instance) { return static_cast<std::size_t>(instance); }
  void set_discovery_silent(int instance, bool silent) { silent_[at(instance)] = silent; }
  void deliver_list(int instance, std::uint32_t list) {
    if (silent_[at(instance)]) {
      return;
    }
    // The view is the same for all instances; only the list and the servers ready in it differ.
    fleet.set_applied_state(instance, {{{list, 1, 1}, list}, {1, 2, 3, 4, 5, 6 + list}});
    fleet.confirm_discovery(instance);
  }
  // Runs until the condition holds, at most 10 minutes, and returns the seconds. Discovery answers every
  // instance each half second.
  template <typename Condition>
  Millis until(std::uint32_t list, Condition condition) {
    Millis elapsed = 0;
    for (; elapsed < 600000 && !condition(); elapsed += 50) {
      if (std::fmod(elapsed, 500) == 0) {
        for (int instance = 0; instance < fleet.size(); ++instance) {
          deliver_list(instance, list);
        }
      }
      fleet.run(50);
    }
    return elapsed / 1000;
  }
  Millis until_agreement(std::uint32_t list) {
    return until(list, [this] {
      for (int instance = 0; instance < fleet.size(); ++instance) {
        if (!in_agreement(fleet, instance)) {
          return false;
        }
      }
      return true;
    });
  }

  VirtualFleet fleet;
  bool partitioned = false;
  int partition_size = 0;

 private:
  std::vector<bool> silent_;
};

}  // namespace

int main(int count, char** arguments) {
  int instances = 10;
  std::uint64_t seed = 1;
  CLI::App app{"Measures the consistency module in virtual time", "reedspindle-bench-consistency"};
  app.add_option("--fronts", instances);
  app.add_option("--seed", seed);
  CLI11_PARSE(app, count, arguments);

  Simulation simulation(instances, seed);
  VirtualFleet& fleet = simulation.fleet;
  std::cout << fmt::format("{} instances\nstarted together, all in agreement after {:.1f} s\n", instances,
                           simulation.until_agreement(1));
  simulation.until(1, [&, from = fleet.now()] { return fleet.now() - from > 20000; });
  std::vector<double> sent;
  std::vector<faulttest::Traffic> before;
  for (int instance = 0; instance < instances; ++instance) {
    before.push_back(fleet.consistency_traffic(instance));
  }
  simulation.until(1, [&, from = fleet.now()] { return fleet.now() - from > 20000; });
  double datagrams = 0;
  double bytes = 0;
  for (int instance = 0; instance < instances; ++instance) {
    const faulttest::Traffic later = fleet.consistency_traffic(instance);
    const faulttest::Traffic earlier = before[Simulation::at(instance)];
    datagrams += static_cast<double>(later.datagrams - earlier.datagrams) / 20 / instances;
    bytes += static_cast<double>(later.bytes - earlier.bytes) / 20 / instances;
  }
  std::cout << fmt::format("when idle {:.1f} datagrams/s, {:.0f} B/s per instance\n", datagrams, bytes);

  simulation.set_discovery_silent(0, true);
  const auto sees_difference = [&](int instance) {
    return fleet.consistency(instance)->view().differences[0].differ > 0;
  };
  std::cout << fmt::format(
      "discovery does not answer one instance, new list: it detects the difference after {:.1f} s",
      simulation.until(2, [&] { return sees_difference(0); }));
  std::cout << fmt::format(", suspects the removed server {:.1f} s later", simulation.until(2, [&] {
    return !fleet.consistency(0)->view().suspect_servers.empty();
  }));
  std::cout << fmt::format(", the first other instance detects it {:.1f} s after that\n",
                           simulation.until(2, [&] {
                             for (int instance = 1; instance < instances; ++instance) {
                               if (sees_difference(instance)) {
                                 return true;
                               }
                             }
                             return false;
                           }));
  simulation.set_discovery_silent(0, false);
  std::cout << fmt::format("discovery answers again: all in agreement after {:.1f} s\n",
                           simulation.until_agreement(2));

  // Two fifths of the instances are partitioned from the others and from discovery while a list changes.
  simulation.partitioned = true, simulation.partition_size = instances * 2 / 5;
  for (int instance = 0; instance < simulation.partition_size; ++instance) {
    simulation.set_discovery_silent(instance, true);
  }
  simulation.until(3, [&, from = fleet.now()] { return fleet.now() - from > 30000; });
  int isolated_count = 0;
  for (int instance = 0; instance < instances; ++instance) {
    isolated_count += fleet.consistency(instance)->view().isolated;
  }
  std::cout << fmt::format(
      "two fifths partitioned, also from discovery, for 30 s: {} of {} consider themselves isolated\n",
      isolated_count, simulation.partition_size);
  simulation.partitioned = false;
  std::cout << fmt::format("links heal, discovery still does not answer them: none isolated after {:.1f} s",
                           simulation.until(3, [&] {
                             for (int instance = 0; instance < instances; ++instance) {
                               if (fleet.consistency(instance)->view().isolated) {
                                 return false;
                               }
                             }
                             return true;
                           }));
  std::cout << fmt::format(", all of them suspect the removed server {:.1f} s later\n",
                           simulation.until(3, [&] {
                             for (int instance = 0; instance < simulation.partition_size; ++instance) {
                               if (fleet.consistency(instance)->view().suspect_servers.empty()) {
                                 return false;
                               }
                             }
                             return true;
                           }));
  for (int instance = 0; instance < simulation.partition_size; ++instance) {
    simulation.set_discovery_silent(instance, false);
  }
  std::cout << fmt::format("discovery answers again: all in agreement after {:.1f} s\n",
                           simulation.until_agreement(3));
}
