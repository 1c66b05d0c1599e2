// Figures of the membership in virtual time, beside a plain heartbeat to all: time until a death is seen,
// false alarms, agreement after a cut, cost. docs/membership.md holds a table of them.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <numeric>
#include <set>

#include "faulttest/virtual_fleet.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::membership;
using reedspindle::Millis;
namespace faulttest = reedspindle::faulttest;
using faulttest::VirtualFleet;

// The baseline: a word to every place each pace; who is silent for as many paces as a suspicion lasts at the
// least has failed.
class Heartbeats final : public Membership {
 public:
  explicit Heartbeats(const Options& options) : options_(options) {}
  void enqueue(Event event) override {
    if (const auto* heard = std::get_if<DatagramReceived>(&event)) {
      heard_.push_back(heard->from);
    }
  }
  std::vector<Decision> process(Millis now) override {
    std::vector<Decision> decisions;
    if (began_ == 0) {
      began_ = next_ = now;
    }
    for (const SlotId from : std::exchange(heard_, {})) {
      Peer& peer = peers_[from];
      peer.heard = now;
      if (!std::exchange(peer.there, true)) {
        decisions.push_back(change(from, PeerEvent::joined));
      }
    }
    if (now >= next_) {
      next_ = now + options_.protocol_period;
      Message beat;
      beat.name = options_.name, beat.slot = options_.slot;
      std::size_t told = 0;
      for (int place = 0; place < options_.slots; ++place) {
        if (place != options_.slot.number) {
          decisions.push_back(SendDatagram{{place}, encode(beat, told)});
        }
      }
    }
    for (auto& [place, peer] : peers_) {
      if (peer.there && now - peer.heard > options_.suspicion_multiplier * options_.protocol_period) {
        peer.there = false;
        decisions.push_back(change(place, PeerEvent::failed));
      }
    }
    decisions.push_back(RequestWakeup{next_});
    return decisions;
  }
  [[nodiscard]] View view() const override {
    View view;
    for (const auto& [place, peer] : peers_) {
      view.peers.push_back({name(place), place, peer.there ? PeerState::alive : PeerState::failed, {}, 0});
    }
    return view;
  }

 private:
  struct Peer {
    Millis heard = 0;
    bool there = false;
  };
  static std::string name(SlotId place) { return fmt::format("n{}", place.number); }
  static PeerChanged change(SlotId place, PeerEvent event) { return {name(place), place, event, {}}; }
  const Options options_;
  std::vector<SlotId> heard_;
  std::map<SlotId, Peer> peers_;
  Millis began_ = 0, next_ = 0;
};

double part(std::vector<double> values, double share) {
  if (values.empty()) {
    return std::nan("");
  }
  std::ranges::sort(values);
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}
std::string spread_of(const std::vector<double>& values) {
  return fmt::format("{:6.2f} {:6.2f} {:6.2f}", part(values, 0.5) / 1000, part(values, 0.99) / 1000,
                     part(values, 1) / 1000);
}

struct Sizes {
  Options options;
  bool plain = false;
  [[nodiscard]] VirtualFleet fleet(int fronts, std::uint64_t seed) const {
    return {fronts, options, seed, [plain = plain](const Options& of, std::uint64_t with) {
              return plain ? std::make_unique<Heartbeats>(of) : make_membership(of, with);
            }};
  }
};

// Started together; returns the time until all agree.
Millis gather(VirtualFleet& fleet, Millis most = 120000) {
  for (int front = 0; front < fleet.size(); ++front) {
    fleet.start(front);
  }
  const Millis began = fleet.now();
  while (!fleet.converged() && fleet.now() - began < most) {
    fleet.run(250);
  }
  return fleet.now() - began;
}

void deaths(const Sizes& sizes, int fronts, int count, std::uint64_t seed) {
  VirtualFleet fleet = sizes.fleet(fronts, seed);
  const Millis gathered = gather(fleet);
  std::vector<double> first;
  std::vector<double> all;
  for (int turn = 0; turn < count; ++turn) {
    const int dead = (turn * 7) % fronts;
    fleet.run(3000 + 137 * turn % 500);
    int seen = 0;
    const Millis killed = fleet.now();
    fleet.set_listeners([&](Millis at, int, const PeerChanged& change) {
      if (change.event != PeerEvent::failed || change.slot.number != dead) {
        return;
      }
      if (seen++ == 0) {
        first.push_back(at - killed);
      }
      if (seen == fronts - 1) {
        all.push_back(at - killed);
      }
    });
    fleet.kill(dead);
    while (seen < fronts - 1 && fleet.now() - killed < 60000) {
      fleet.run(100);
    }
    fleet.set_listeners({});
    fleet.start(dead);
    while (!fleet.converged() && fleet.now() - killed < 120000) {
      fleet.run(250);
    }
  }
  std::cout << fmt::format("deaths {:5} fronts  gathered {:6.2f} s  first {}  all {}  of {} of {}\n", fronts,
                           gathered / 1000, spread_of(first), spread_of(all), all.size(), count);
}

// What a front sends in quiet, and false alarms.
void quiet(const Sizes& sizes, int fronts, double loss, bool stops, Millis span, std::uint64_t seed) {
  VirtualFleet fleet = sizes.fleet(fronts, seed);
  gather(fleet);
  fleet.run(20000);
  fleet.network.loss = loss;
  int failed = 0;
  int suspected = 0;
  fleet.set_listeners([&](Millis, int, const PeerChanged& change) {
    failed += change.event == PeerEvent::failed;
    suspected += change.event == PeerEvent::suspected;
  });
  std::vector<faulttest::Traffic> before;
  for (int front = 0; front < fronts; ++front) {
    before.push_back(fleet.membership_traffic(front));
  }
  const Millis began = fleet.now();
  while (fleet.now() - began < span) {
    if (stops) {
      for (int front = 0; front < fronts; front += 10) {
        fleet.pause(front);
      }
      fleet.run(1000);
      for (int front = 0; front < fronts; front += 10) {
        fleet.resume(front);
      }
      fleet.run(9000);
    } else {
      fleet.run(10000);
    }
  }
  double datagrams = 0;
  double bytes = 0;
  for (int front = 0; front < fronts; ++front) {
    datagrams += static_cast<double>(fleet.membership_traffic(front).datagrams -
                                     before[static_cast<std::size_t>(front)].datagrams);
    bytes += static_cast<double>(fleet.membership_traffic(front).bytes -
                                 before[static_cast<std::size_t>(front)].bytes);
  }
  const double seconds = span / 1000 * fronts;
  std::cout << fmt::format(
      "quiet  {:5} fronts  loss {:4.0f}%{}  {:6.1f} datagrams/s {:7.0f} B/s a front; a front and hour: "
      "{:.3f} "
      "failed {:.2f} suspected\n",
      fronts, loss * 100, stops ? " one in ten stopped 1 s of 10" : "", datagrams / seconds, bytes / seconds,
      failed / (seconds / 3600), suspected / (seconds / 3600));
}

void heals(const Sizes& sizes, int fronts, Millis cut, std::uint64_t seed) {
  VirtualFleet fleet = sizes.fleet(fronts, seed);
  gather(fleet);
  fleet.run(5000);
  fleet.link_up = [&](int from, int to) { return (from < fronts / 2) == (to < fronts / 2); };
  fleet.run(cut);
  fleet.link_up = {};
  const Millis healed = fleet.now();
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (int front = 0; front < fronts; ++front) {
    before += fleet.membership_traffic(front).datagrams;
  }
  while (!fleet.converged() && fleet.now() - healed < 300000) {
    fleet.run(100);
  }
  for (int front = 0; front < fronts; ++front) {
    after += fleet.membership_traffic(front).datagrams;
  }
  const Millis took = std::max(100.0, fleet.now() - healed);
  std::cout << fmt::format(
      "heals  {:5} fronts  cut in halves for {:3.0f} s, agreed after {:6.2f} s, {:.1f} datagrams/s a front\n",
      fronts, cut / 1000, took / 1000, static_cast<double>(after - before) / fronts / took * 1000);
}

}  // namespace

int main(int count, char** words) {
  CLI::App app{"Figures of the membership in virtual time"};
  std::vector<int> fronts{10, 100, 300};
  std::string what = "all";
  int turns = 20;
  double minutes = 10;
  std::uint64_t seed = 1;
  Sizes sizes;
  app.add_option("--fronts", fronts, "sizes")->delimiter(',');
  app.add_option("--what", what, "deaths, quiet, heals or all");
  app.add_option("--turns", turns, "deaths a size");
  app.add_option("--minutes", minutes, "virtual, of quiet");
  app.add_option("--seed", seed, "for chance");
  app.add_option("--pace", sizes.options.protocol_period, "ms");
  app.add_option("--time-out", sizes.options.ack_timeout, "ms");
  app.add_option("--patience", sizes.options.suspicion_multiplier, "paces");
  app.add_flag("--plain", sizes.plain, "the plain heartbeat instead");
  CLI11_PARSE(app, count, words);
  for (const int size : fronts) {
    const auto began = std::chrono::steady_clock::now();
    if (what == "all" || what == "deaths") {
      deaths(sizes, size, turns, seed);
    }
    if (what == "all" || what == "quiet") {
      for (const double loss : {0.0, 0.01, 0.05, 0.2}) {
        quiet(sizes, size, loss, false, minutes * 60000, seed);
      }
      quiet(sizes, size, 0, true, minutes * 60000, seed);
    }
    if (what == "all" || what == "heals") {
      for (const Millis cut : {10000.0, 60000.0}) {
        heals(sizes, size, cut, seed);
      }
    }
    std::cerr << fmt::format("{} fronts: {:.1f} s of real time\n", size,
                             std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
  }
}
