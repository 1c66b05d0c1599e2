// The accord at sizes that processes don't reach, in virtual time: how soon a difference is seen, and seen to
// be over, after a start, after a cut heals, and where one front's discovery is silent; what it costs on the
// wire.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "faulttest/virtual_fleet.hpp"

using namespace reedspindle;
using faulttest::VirtualFleet;

namespace {

// Whether a front differs from nobody, having compared itself.
bool agrees(const VirtualFleet& fleet, int front) {
  const consistency::View view = fleet.consistency(front)->view();
  return std::ranges::all_of(view.differences,
                             [](const auto& is) { return is.differ == 0 && is.compared > 0; });
}

class Fleet {
 public:
  Fleet(int fronts, std::uint64_t seed) : fleet(fronts, membership::Options{}, seed), muted_(at(fronts)) {
    fleet.enable_consistency(consistency::Options{});
    fleet.link_up = [this](int from, int to) { return !cut || (from < side) == (to < side); };
    for (int front = 0; front < fronts; ++front) {
      fleet.start(front), tell(front, 1);
    }
  }
  static std::size_t at(int front) { return static_cast<std::size_t>(front); }
  void mute(int front, bool muted) { muted_[at(front)] = muted; }
  void tell(int front, std::uint32_t list) {
    if (muted_[at(front)]) {
      return;
    }
    // All that are held there are told of as one view.
    fleet.set_applied_state(front, {{{list, 1, 1}, list}, {1, 2, 3, 4, 5, 6 + list}});
    fleet.confirm_discovery(front);
  }
  // TestDiscovery speaks to all each half second.
  template <typename There>
  Millis until(std::uint32_t list, There there) {
    Millis took = 0;
    for (; took < 600000 && !there(); took += 50) {
      if (std::fmod(took, 500) == 0) {
        for (int front = 0; front < fleet.size(); ++front) {
          tell(front, list);
        }
      }
      fleet.run(50);
    }
    return took / 1000;
  }
  Millis until_accord(std::uint32_t list) {
    return until(list, [this] {
      for (int front = 0; front < fleet.size(); ++front) {
        if (!agrees(fleet, front)) {
          return false;
        }
      }
      return true;
    });
  }

  VirtualFleet fleet;
  bool cut = false;
  int side = 0;

 private:
  std::vector<bool> muted_;
};

}  // namespace

int main(int count, char** words) {
  int fronts = 10;
  std::uint64_t seed = 1;
  CLI::App app{"The accord of the fleet in virtual time", "reedspindle-bench-consistency"};
  app.add_option("--fronts", fronts);
  app.add_option("--seed", seed);
  CLI11_PARSE(app, count, words);

  Fleet all(fronts, seed);
  VirtualFleet& fleet = all.fleet;
  std::cout << fmt::format("{} fronts\nstarted together, all in accord after {:.1f} s\n", fronts,
                           all.until_accord(1));
  all.until(1, [&, from = fleet.now()] { return fleet.now() - from > 20000; });
  std::vector<double> sent;
  std::vector<faulttest::Traffic> before;
  for (int front = 0; front < fronts; ++front) {
    before.push_back(fleet.consistency_traffic(front));
  }
  all.until(1, [&, from = fleet.now()] { return fleet.now() - from > 20000; });
  double datagrams = 0;
  double bytes = 0;
  for (int front = 0; front < fronts; ++front) {
    const faulttest::Traffic now = fleet.consistency_traffic(front);
    const faulttest::Traffic then = before[Fleet::at(front)];
    datagrams += static_cast<double>(now.datagrams - then.datagrams) / 20 / fronts;
    bytes += static_cast<double>(now.bytes - then.bytes) / 20 / fronts;
  }
  std::cout << fmt::format("in quiet {:.1f} datagrams/s, {:.0f} B/s a front\n", datagrams, bytes);

  all.mute(0, true);
  const auto differs = [&](int front) { return fleet.consistency(front)->view().differences[0].differ > 0; };
  std::cout << fmt::format("discovery silent to one, a new list: it sees that it differs after {:.1f} s",
                           all.until(2, [&] { return differs(0); }));
  std::cout << fmt::format(", doubts who left {:.1f} s later", all.until(2, [&] {
    return !fleet.consistency(0)->view().suspect_servers.empty();
  }));
  std::cout << fmt::format(", the first of the others sees it {:.1f} s after that\n", all.until(2, [&] {
    for (int front = 1; front < fronts; ++front) {
      if (differs(front)) {
        return true;
      }
    }
    return false;
  }));
  all.mute(0, false);
  std::cout << fmt::format("it speaks again: all in accord after {:.1f} s\n", all.until_accord(2));

  // Two fifths without discovery and cut off, a list changes meanwhile.
  all.cut = true, all.side = fronts * 2 / 5;
  for (int front = 0; front < all.side; ++front) {
    all.mute(front, true);
  }
  all.until(3, [&, from = fleet.now()] { return fleet.now() - from > 30000; });
  int off = 0;
  for (int front = 0; front < fronts; ++front) {
    off += fleet.consistency(front)->view().isolated;
  }
  std::cout << fmt::format(
      "two fifths cut off, and from discovery, for 30 s: {} of {} hold themselves cut off\n", off, all.side);
  all.cut = false;
  std::cout << fmt::format("links heal, discovery stays silent to them: none cut off after {:.1f} s",
                           all.until(3, [&] {
                             for (int front = 0; front < fronts; ++front) {
                               if (fleet.consistency(front)->view().isolated) {
                                 return false;
                               }
                             }
                             return true;
                           }));
  std::cout << fmt::format(", all of them doubt who left {:.1f} s later\n", all.until(3, [&] {
    for (int front = 0; front < all.side; ++front) {
      if (fleet.consistency(front)->view().suspect_servers.empty()) {
        return false;
      }
    }
    return true;
  }));
  for (int front = 0; front < all.side; ++front) {
    all.mute(front, false);
  }
  std::cout << fmt::format("discovery speaks again: all in accord after {:.1f} s\n", all.until_accord(3));
}
