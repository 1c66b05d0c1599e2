// Measures the control service with simulated proxies and servers on loopback: how long after discovery has
// written a drain each proxy could still have sent to the server, also if all streams reconnect at that
// moment; the cost per proxy; how long a restart takes; and whether a kill ever leads to an empty endpoint
// assignment. Prints one line of results per run.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "testservers/service.hpp"
#include "testservers/test_environment.hpp"
#include "testservers/xds_client.hpp"

namespace {
using namespace reedspindle::testservers;

constexpr int kGroupSize = 6;  // servers of a group, the first is the primary

struct BenchOptions {
  std::string program = "build/reedspindle-control";
  int proxies = 10, members = 26, rounds = 20, kills = 0;
  bool incremental = false, reconnect = false, leases = false;
};

double quantile(std::vector<double>& sorted, double fraction) {
  return sorted.empty() ? 0
                        : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

// What all proxies have received.
struct Traffic {
  double bytes = 0, responses = 0;
};

// Tracks since when each proxy no longer has the draining server as healthy.
struct DrainWatch {
  std::mutex mutex;
  std::string server, assignment;
  std::map<std::string, double> stopped_sending_at;  // by proxy
};

bool lists_as_healthy(const XdsClient& proxy, const std::string& assignment, const std::string& member) {
  const auto handed = proxy.assignment(assignment);
  return handed && std::ranges::any_of(*handed, [&](const ReceivedEndpoint& entry) {
           return entry.server == member && entry.healthy;
         });
}

int run(const BenchOptions& options) {
  char folder_template[] = "/tmp/reedspindle-bench-XXXXXX";
  if (!mkdtemp(folder_template)) {
    return 1;
  }
  const std::string folder = folder_template;
  TestEnvironment world(options.members);
  world.update([](auto& states) {
    for (std::size_t i = 0; i < states.size(); ++i) {
      states[i].group = static_cast<int>(i) / kGroupSize, states[i].primary = i % kGroupSize == 0;
    }
  });
  const int groups = (options.members + kGroupSize - 1) / kGroupSize;
  ServiceProcess service(options.program, folder, "bench", world.discovery_address(),
                         "(proxies (most 5000)) (sockets 8192)");
  service.start();
  if (!service.wait_for_log("ready, sending resources")) {
    return 1;
  }
  std::vector<std::string> names;
  for (int group = 0; group < groups; ++group) {
    for (const char* kind : {"primary", "any", "within-1500ms"}) {
      if (options.leases || std::string(kind) != "within-1500ms") {
        names.push_back(fmt::format("group-{}.{}", group, kind));
      }
    }
  }
  DrainWatch watch;
  std::atomic<bool> empty_assignment = false;
  const auto on_assignment = [&](XdsClient& proxy, const std::string&, double at) {
    const std::lock_guard lock(watch.mutex);
    if (watch.server.empty()) {
      return;
    }
    const bool listed = lists_as_healthy(proxy, watch.assignment, watch.server);
    if (listed) {
      watch.stopped_sending_at.erase(proxy.node());
    } else {
      watch.stopped_sending_at.try_emplace(proxy.node(), at);
    }
    const auto handed = proxy.assignment(watch.assignment);
    if (handed && handed->empty()) {
      empty_assignment = true;
    }
  };
  ClientOptions capabilities{options.incremental, {"reedspindle.weights"}, "stand-in"};
  if (options.leases) {
    capabilities.features.push_back("reedspindle.expiry.stated");
  }
  const long resident_without_proxies = service.resource_usage().resident_kb;
  const double connect_from = now_ms();
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int i = 0; i < options.proxies; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(fmt::format("p{:04}", i), service.target(), capabilities,
                                                  names, on_assignment));
  }
  const std::string last_any = fmt::format("group-{}.any", groups - 1);
  for (auto& proxy : proxies) {
    if (!proxy->wait([&](const XdsClient& p) { return p.assignments().size() == names.size(); }, 120000)) {
      std::cout << "not all proxies received their assignments\n";
      return 1;
    }
  }
  const double first_responses_time = now_ms() - connect_from;

  std::vector<double> delays;
  std::minstd_rand random(1);
  const auto traffic = [&] {
    Traffic sum;
    for (const auto& proxy : proxies) {
      sum.bytes += static_cast<double>(proxy->bytes());
      sum.responses += static_cast<double>(proxy->responses());
    }
    return sum;
  };
  const Traffic before = traffic();
  const double from = now_ms();
  const double processor_before = service.resource_usage().processor_ms;
  int not_informed = 0;
  for (int round = 0; round < options.rounds; ++round) {
    const int group =
        static_cast<int>(random() % static_cast<unsigned>(std::max(1, options.members / kGroupSize)));
    const int server =
        std::min(group * kGroupSize + 1 + static_cast<int>(random() % (kGroupSize - 1)), options.members - 1);
    {
      const std::lock_guard lock(watch.mutex);
      watch.server = world.name_of(server), watch.assignment = fmt::format("group-{}.any", group);
      watch.stopped_sending_at.clear();
    }
    if (options.reconnect) {
      for (auto& proxy : proxies) {
        proxy->reconnect();
      }
    }
    const double drained_at =
        world.update([server](auto& states) { states[static_cast<std::size_t>(server)].draining = true; });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    for (bool all_informed = false; !all_informed && std::chrono::steady_clock::now() < deadline;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::lock_guard lock(watch.mutex);
      all_informed = watch.stopped_sending_at.size() == proxies.size();
    }
    {
      const std::lock_guard lock(watch.mutex);
      not_informed += static_cast<int>(proxies.size() - watch.stopped_sending_at.size());
      for (const auto& [node, at] : watch.stopped_sending_at) {
        delays.push_back(std::max(0.0, at - drained_at));
      }
      watch.server.clear();
    }
    world.update([server](auto& states) { states[static_cast<std::size_t>(server)].draining = false; });
    for (auto& proxy : proxies) {
      proxy->wait(
          [&](const XdsClient& p) {
            return lists_as_healthy(p, fmt::format("group-{}.any", group), world.name_of(server));
          },
          30000);
    }
  }
  const double duration = now_ms() - from;
  const Traffic after = traffic();
  const ServiceProcess::ResourceUsage cost = service.resource_usage();
  std::ranges::sort(delays);
  const double responses = after.responses - before.responses;
  std::cout << fmt::format(
      "{:>5} proxies {:>4} members {:<7} {:<9} {:<6}: drain p50 {:6.1f} p99 {:6.1f} max {:6.1f} ms, over 500 "
      "ms {}, not "
      "informed {}; first responses to all {:.0f} ms; {:.0f} B and {:.3f} ms of processor per response, "
      "{:.1f} responses/s per proxy; {} KB per proxy, {} KB without proxies\n",
      options.proxies, options.members, options.incremental ? "changes" : "whole",
      options.reconnect ? "reconnect" : "steady", options.leases ? "leases" : "none", quantile(delays, 0.5),
      quantile(delays, 0.99), quantile(delays, 1),
      std::ranges::count_if(delays, [](double d) { return d > 500; }), not_informed, first_responses_time,
      (after.bytes - before.bytes) / std::max(1.0, responses),
      (cost.processor_ms - processor_before) / std::max(1.0, responses),
      responses / duration * 1000 / options.proxies,
      (cost.resident_kb - resident_without_proxies) / options.proxies, resident_without_proxies);

  if (options.kills > 0) {
    {
      const std::lock_guard lock(watch.mutex);
      watch.server = "nobody", watch.assignment = last_any;
    }
    std::vector<double> restart_times;
    for (int kill = 0; kill < options.kills; ++kill) {
      world.update([&](auto& states) {
        const std::size_t server = random() % states.size();
        states[server].draining = !states[server].draining && server % kGroupSize != 0;
      });
      std::this_thread::sleep_for(std::chrono::microseconds(random() % 150000));
      std::vector<std::size_t> before;
      service.stop(SIGKILL);
      for (auto& proxy : proxies) {
        before.push_back(proxy->responses());
      }
      const double restarted_at = now_ms();
      service.start();
      if (kill % 10 != 9) {
        continue;
      }
      for (std::size_t i = 0; i < proxies.size(); ++i) {
        proxies[i]->wait([&](const XdsClient& p) { return p.responses() >= before[i] + 2; }, 30000);
      }
      restart_times.push_back(now_ms() - restarted_at);
    }
    std::ranges::sort(restart_times);
    std::cout << fmt::format(
        "  {} kills: empty assignment: {}; from the restart to the first complete response of every proxy "
        "p50 "
        "{:.0f}, max "
        "{:.0f} ms\n",
        options.kills, empty_assignment ? "YES" : "no", quantile(restart_times, 0.5),
        quantile(restart_times, 1));
  }
  for (auto& proxy : proxies) {
    proxy->stop();
  }
  std::filesystem::remove_all(folder);
  return empty_assignment || not_informed > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Measures the control service with simulated proxies and servers on loopback"};
  BenchOptions options;
  app.add_option("--program", options.program, "path of the control service")->capture_default_str();
  app.add_option("--proxies", options.proxies)->capture_default_str();
  app.add_option("--members", options.members)->capture_default_str();
  app.add_option("--rounds", options.rounds, "number of drains")->capture_default_str();
  app.add_option("--kills", options.kills, "number of kills after the drains")->capture_default_str();
  app.add_flag("--changes", options.incremental, "uses incremental responses");
  app.add_flag("--reconnect", options.reconnect, "reconnects all streams at each drain");
  app.add_flag("--leases", options.leases, "with bounded reads by stated expiry times");
  CLI11_PARSE(app, count, arguments);
  return run(options);
}
