// Measures the membership protocol in virtual time, or for comparison a plain heartbeat to all: time until a
// failure is detected, false alarms, convergence after a partition, and network traffic. docs/membership.md
// has a table of the results.
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

// The baseline: sends a heartbeat to every slot in each protocol period. A peer has failed if nothing was
// received from it for the minimum duration of a suspicion.
class Heartbeats final : public Membership {
 public:
  explicit Heartbeats(const Options& options) : options_(options) {}
  void enqueue(Event event) override {
    if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
      received_from_.push_back(datagram->from);
    }
  }
  std::vector<Decision> process(Millis now) override {
    std::vector<Decision> decisions;
    if (started_at_ == 0) {
      started_at_ = next_heartbeat_ = now;
    }
    for (const SlotId from : std::exchange(received_from_, {})) {
      Peer& peer = peers_[from];
      peer.last_heard = now;
      if (!std::exchange(peer.alive, true)) {
        decisions.push_back(peer_changed(from, PeerEvent::joined));
      }
    }
    if (now >= next_heartbeat_) {
      next_heartbeat_ = now + options_.protocol_period;
      Message heartbeat;
      heartbeat.name = options_.name, heartbeat.slot = options_.slot;
      std::size_t gossip_count = 0;
      for (int slot = 0; slot < options_.slots; ++slot) {
        if (slot != options_.slot.number) {
          decisions.push_back(SendDatagram{{slot}, encode(heartbeat, gossip_count)});
        }
      }
    }
    for (auto& [slot, peer] : peers_) {
      if (peer.alive && now - peer.last_heard > options_.suspicion_multiplier * options_.protocol_period) {
        peer.alive = false;
        decisions.push_back(peer_changed(slot, PeerEvent::failed));
      }
    }
    decisions.push_back(RequestWakeup{next_heartbeat_});
    return decisions;
  }
  [[nodiscard]] View view() const override {
    View view;
    for (const auto& [slot, peer] : peers_) {
      view.peers.push_back({name(slot), slot, peer.alive ? PeerState::alive : PeerState::failed, {}, 0});
    }
    return view;
  }

 private:
  struct Peer {
    Millis last_heard = 0;
    bool alive = false;
  };
  static std::string name(SlotId slot) { return fmt::format("n{}", slot.number); }
  static PeerChanged peer_changed(SlotId slot, PeerEvent event) { return {name(slot), slot, event, {}}; }
  const Options options_;
  std::vector<SlotId> received_from_;
  std::map<SlotId, Peer> peers_;
  Millis started_at_ = 0, next_heartbeat_ = 0;
};

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return std::nan("");
  }
  std::ranges::sort(values);
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}
std::string format_quantiles(const std::vector<double>& values) {
  return fmt::format("{:6.2f} {:6.2f} {:6.2f}", quantile(values, 0.5) / 1000, quantile(values, 0.99) / 1000,
                     quantile(values, 1) / 1000);
}

struct BenchOptions {
  Options membership_options;
  bool heartbeats_only = false;
  [[nodiscard]] VirtualFleet fleet(int instances, std::uint64_t seed) const {
    return {
        instances, membership_options, seed,
        [heartbeats_only = heartbeats_only](const Options& instance_options, std::uint64_t instance_seed) {
          return heartbeats_only ? std::make_unique<Heartbeats>(instance_options)
                                 : make_membership(instance_options, instance_seed);
        }};
  }
};

// Starts all instances together and returns the time until all views agree.
Millis wait_for_convergence(VirtualFleet& fleet, Millis limit = 120000) {
  for (int instance = 0; instance < fleet.size(); ++instance) {
    fleet.start(instance);
  }
  const Millis began = fleet.now();
  while (!fleet.converged() && fleet.now() - began < limit) {
    fleet.run(250);
  }
  return fleet.now() - began;
}

void measure_failures(const BenchOptions& options, int instances, int count, std::uint64_t seed) {
  VirtualFleet fleet = options.fleet(instances, seed);
  const Millis convergence_time = wait_for_convergence(fleet);
  std::vector<double> first_detection;
  std::vector<double> full_detection;
  for (int round = 0; round < count; ++round) {
    const int victim = (round * 7) % instances;
    fleet.run(3000 + 137 * round % 500);
    int detections = 0;
    const Millis killed = fleet.now();
    fleet.set_listeners([&](Millis at, int, const PeerChanged& peer_changed) {
      if (peer_changed.event != PeerEvent::failed || peer_changed.slot.number != victim) {
        return;
      }
      if (detections++ == 0) {
        first_detection.push_back(at - killed);
      }
      if (detections == instances - 1) {
        full_detection.push_back(at - killed);
      }
    });
    fleet.kill(victim);
    while (detections < instances - 1 && fleet.now() - killed < 60000) {
      fleet.run(100);
    }
    fleet.set_listeners({});
    fleet.start(victim);
    while (!fleet.converged() && fleet.now() - killed < 120000) {
      fleet.run(250);
    }
  }
  std::cout << fmt::format(
      "failures {:5} instances  converged {:6.2f} s  first detection {}  full detection {}  of {} of {}\n",
      instances, convergence_time / 1000, format_quantiles(first_detection), format_quantiles(full_detection),
      full_detection.size(), count);
}

// Measures what an instance sends without any change, and false alarms.
void measure_idle(const BenchOptions& options, int instances, double loss, bool with_pauses, Millis duration,
                  std::uint64_t seed) {
  VirtualFleet fleet = options.fleet(instances, seed);
  wait_for_convergence(fleet);
  fleet.run(20000);
  fleet.network.loss = loss;
  int failed = 0;
  int suspected = 0;
  fleet.set_listeners([&](Millis, int, const PeerChanged& peer_changed) {
    failed += peer_changed.event == PeerEvent::failed;
    suspected += peer_changed.event == PeerEvent::suspected;
  });
  std::vector<faulttest::Traffic> before;
  for (int instance = 0; instance < instances; ++instance) {
    before.push_back(fleet.membership_traffic(instance));
  }
  const Millis began = fleet.now();
  while (fleet.now() - began < duration) {
    if (with_pauses) {
      for (int instance = 0; instance < instances; instance += 10) {
        fleet.pause(instance);
      }
      fleet.run(1000);
      for (int instance = 0; instance < instances; instance += 10) {
        fleet.resume(instance);
      }
      fleet.run(9000);
    } else {
      fleet.run(10000);
    }
  }
  double datagrams = 0;
  double bytes = 0;
  for (int instance = 0; instance < instances; ++instance) {
    datagrams += static_cast<double>(fleet.membership_traffic(instance).datagrams -
                                     before[static_cast<std::size_t>(instance)].datagrams);
    bytes += static_cast<double>(fleet.membership_traffic(instance).bytes -
                                 before[static_cast<std::size_t>(instance)].bytes);
  }
  const double seconds = duration / 1000 * instances;
  std::cout << fmt::format(
      "idle  {:5} instances  loss {:4.0f}%{}  {:6.1f} datagrams/s {:7.0f} B/s per instance; per "
      "instance-hour: "
      "{:.3f} "
      "failed {:.2f} suspected\n",
      instances, loss * 100, with_pauses ? " one in ten paused 1 s of 10" : "", datagrams / seconds,
      bytes / seconds, failed / (seconds / 3600), suspected / (seconds / 3600));
}

void measure_partition(const BenchOptions& options, int instances, Millis partition_duration,
                       std::uint64_t seed) {
  VirtualFleet fleet = options.fleet(instances, seed);
  wait_for_convergence(fleet);
  fleet.run(5000);
  fleet.link_up = [&](int from, int to) { return (from < instances / 2) == (to < instances / 2); };
  fleet.run(partition_duration);
  fleet.link_up = {};
  const Millis healed = fleet.now();
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (int instance = 0; instance < instances; ++instance) {
    before += fleet.membership_traffic(instance).datagrams;
  }
  while (!fleet.converged() && fleet.now() - healed < 300000) {
    fleet.run(100);
  }
  for (int instance = 0; instance < instances; ++instance) {
    after += fleet.membership_traffic(instance).datagrams;
  }
  const Millis elapsed = std::max(100.0, fleet.now() - healed);
  std::cout << fmt::format(
      "partition  {:5} instances  in halves for {:3.0f} s, converged {:6.2f} s after it, {:.1f} datagrams/s "
      "per instance\n",
      instances, partition_duration / 1000, elapsed / 1000,
      static_cast<double>(after - before) / instances / elapsed * 1000);
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app{"Measures the membership protocol in virtual time"};
  std::vector<int> instances{10, 100, 300};
  std::string what = "all";
  int failures_per_size = 20;
  double minutes = 10;
  std::uint64_t seed = 1;
  BenchOptions options;
  app.add_option("--fronts", instances, "numbers of instances")->delimiter(',');
  app.add_option("--what", what, "deaths, quiet, heals or all");
  app.add_option("--turns", failures_per_size, "failures per size");
  app.add_option("--minutes", minutes, "virtual duration of the idle measurement");
  app.add_option("--seed", seed, "random seed");
  app.add_option("--pace", options.membership_options.protocol_period, "protocol period in ms");
  app.add_option("--time-out", options.membership_options.ack_timeout, "ack timeout in ms");
  app.add_option("--patience", options.membership_options.suspicion_multiplier,
                 "minimum suspicion in protocol periods");
  app.add_flag("--plain", options.heartbeats_only, "measures the plain heartbeat instead");
  CLI11_PARSE(app, count, arguments);
  for (const int size : instances) {
    const auto began = std::chrono::steady_clock::now();
    if (what == "all" || what == "deaths") {
      measure_failures(options, size, failures_per_size, seed);
    }
    if (what == "all" || what == "quiet") {
      for (const double loss : {0.0, 0.01, 0.05, 0.2}) {
        measure_idle(options, size, loss, false, minutes * 60000, seed);
      }
      measure_idle(options, size, 0, true, minutes * 60000, seed);
    }
    if (what == "all" || what == "heals") {
      for (const Millis partition_duration : {10000.0, 60000.0}) {
        measure_partition(options, size, partition_duration, seed);
      }
    }
    std::cerr << fmt::format("{} instances: {:.1f} s of real time\n", size,
                             std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
  }
}
