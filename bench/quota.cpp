// Shares at sizes that processes don't reach, in virtual time: the highest sum of all parts over drawn
// faults, times from a death to the use of what it left, from healing to whole parts, and what it costs on
// the wire.
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

struct Wish {
  int fronts = 10, runs = 10, seed = 1;
  double seconds = 60;
};

// Everything that the network and the processes can do, one upon the other.
int highest_sum(const Wish& wish, std::uint64_t seed) {
  VirtualFleet fleet(wish.fronts, membership::Options{}, seed);
  quota::Options options;
  options.slot_count = wish.fronts;
  fleet.enable_quota(options);
  std::minstd_rand random(static_cast<unsigned>(seed * 7919 + 1));
  const auto below = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
  std::set<std::pair<int, int>> cut;
  std::set<int> slow;
  fleet.link_up = [&](int from, int to) { return cut.empty() || !cut.contains({from, to}); };
  fleet.extra_delay = [&](int from, int to) {
    return slow.contains(from) || slow.contains(to) ? 1500.0 : 0.0;
  };
  const auto sum = [&] {
    int all = 0;
    for (int front = 0; front < wish.fronts; ++front) {
      all += fleet.allocation(front).hold;
    }
    return all;
  };
  const auto want = [&](int front) {
    if (fleet.running(front)) {
      fleet.set_demand(front, {below(2) * below(4) * quota::kSlot, below(2) * below(750)});
    }
  };
  for (int front = 0; front < wish.fronts; ++front) {
    fleet.set_clock_drift(front, (front % 2 == 0 ? 0.5 : -0.5) * options.max_drift);
    fleet.start(front);
    want(front);
  }
  int most = 0;
  for (Millis at = 0; at < wish.seconds * 1000;) {
    const int front = below(wish.fronts);
    const int other = below(wish.fronts);
    switch (below(12)) {
      case 0:
        for (int turn = below(wish.fronts); turn > 0; --turn) {
          if (const int struck = below(wish.fronts); fleet.running(struck)) {
            fleet.kill(struck);
          }
        }
        break;
      case 1:
      case 2:
        for (int turn = 0; turn < wish.fronts; ++turn) {
          if (!fleet.running(turn)) {
            fleet.start(turn), want(turn);
          }
        }
        break;
      case 3:
        if (fleet.running(front)) {
          fleet.pause(front);
        }
        break;
      case 4:
        for (int turn = 0; turn < wish.fronts; ++turn) {
          fleet.resume(turn);
        }
        break;
      case 5:
        for (int from = 0; from < other; ++from) {
          for (int to = other; to < wish.fronts; ++to) {
            cut.insert({from, to}), cut.insert({to, from});
          }
        }
        break;
      case 6:
        for (int to = 0; to < wish.fronts; ++to) {
          cut.insert({front, to});
        }
        break;
      case 7:
        cut.clear(), slow.clear(), fleet.network.loss = 0;
        break;
      case 8:
        slow.insert(front);
        break;
      case 9:
        fleet.network.loss = 0.3;
        break;
      default:
        for (int turn = 0; turn < 5; ++turn) {
          want(below(wish.fronts));
        }
    }
    // Looked at every 5 ms: parts hold for seconds.
    for (const Millis until = at + 20 + below(2000); at < until; at += 5) {
      fleet.run(5);
      most = std::max(most, sum());
    }
  }
  return most;
}

}  // namespace

int main(int count, char** words) {
  Wish wish;
  CLI::App app{"Shares of the fleet in virtual time", "reedspindle-bench-quota"};
  app.add_option("--fronts", wish.fronts);
  app.add_option("--runs", wish.runs, "of drawn faults");
  app.add_option("--seconds", wish.seconds, "of each run");
  app.add_option("--seed", wish.seed);
  CLI11_PARSE(app, count, words);

  double most = 0;
  for (int run = 0; run < wish.runs; ++run) {
    most =
        std::max(most, static_cast<double>(highest_sum(wish, static_cast<std::uint64_t>(wish.seed + run))) /
                           (quota::kSlot * wish.fronts));
  }
  std::cout << fmt::format("{} fronts, {} runs of {} s with drawn faults: highest sum {:.4f} of the whole\n",
                           wish.fronts, wish.runs, wish.seconds, most);

  VirtualFleet fleet(wish.fronts, membership::Options{}, static_cast<std::uint64_t>(wish.seed));
  quota::Options options;
  options.slot_count = wish.fronts;
  fleet.enable_quota(options);
  for (int front = 0; front < wish.fronts; ++front) {
    fleet.start(front);
    fleet.set_demand(front, {quota::kSlot, 0});
  }
  const auto until = [&](auto there) {
    Millis took = 0;
    for (; took < 300000 && !there(); took += 20) {
      fleet.run(20);
    }
    return took / 1000;
  };
  const auto all = [&](int from, int least) {
    for (int front = from; front < wish.fronts; ++front) {
      if (fleet.allocation(front).open < least) {
        return false;
      }
    }
    return true;
  };
  std::cout << fmt::format("started together, all whole after {:.2f} s\n",
                           until([&] { return all(0, quota::kSlot); }));
  fleet.run(20000);
  const auto load = [&](const char* when) {
    std::vector<faulttest::Traffic> before;
    for (int front = 0; front < wish.fronts; ++front) {
      before.push_back(fleet.quota_traffic(front));
    }
    fleet.run(10000);
    std::vector<double> sent;
    for (int front = 0; front < wish.fronts; ++front) {
      if (fleet.running(front)) {
        sent.push_back(static_cast<double>(fleet.quota_traffic(front).datagrams -
                                           before[static_cast<std::size_t>(front)].datagrams) /
                       10);
      }
    }
    std::ranges::sort(sent);
    std::cout << fmt::format("datagrams/s of shares {}: median {:.1f}, most (the office) {:.1f}\n", when,
                             sent[sent.size() / 2], sent.back());
  };
  load("while all want more");
  const int dead = wish.fronts * 2 / 5;
  for (int front = 0; front < dead; ++front) {
    fleet.kill(front);
  }
  const int each = dead * (quota::kSlot - options.reserved) / (wish.fronts - dead);
  std::cout << fmt::format("{} killed, each other has {} more after {:.2f} s\n", dead, each - 1,
                           until([&] { return all(dead, quota::kSlot + each - 1); }));
  for (int front = 0; front < dead; ++front) {
    fleet.start(front);
  }
  std::cout << fmt::format("started again, theirs after {:.2f} s\n",
                           until([&] { return all(0, quota::kSlot); }));
  for (int front = 0; front < wish.fronts; ++front) {
    fleet.set_demand(front, {});
  }
  fleet.run(10000);
  load("while nobody wants more");
}
