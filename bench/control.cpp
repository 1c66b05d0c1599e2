// Measures the control service with stand-ins on loopback: how long after discovery has written a drain each
// proxy still could have sent there, also with all streams reconnecting at that moment; what a proxy costs;
// how long a restart takes; whether any of many kills hands out an empty roster. One line of figures a run.
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

constexpr int kOfGroup = 6;  // members of a group, the first of them primary

struct Wish {
  std::string program = "build/reedspindle-control";
  int proxies = 10, members = 26, rounds = 20, kills = 0;
  bool changes = false, reconnect = false, leases = false;
};

double part(std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0
                        : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

// When each proxy was last handed the drained member as healthy.
struct Watch {
  std::mutex mutex;
  std::string server, assignment;
  std::map<std::string, double> out;  // by proxy: the time from which it does not send there
};

bool has(const XdsClient& proxy, const std::string& assignment, const std::string& member) {
  const auto handed = proxy.assignment(assignment);
  return handed && std::ranges::any_of(
                       *handed, [&](const ReceivedEndpoint& h) { return h.server == member && h.healthy; });
}

int run(const Wish& wish) {
  char made[] = "/tmp/reedspindle-bench-XXXXXX";
  if (!mkdtemp(made)) {
    return 1;
  }
  const std::string folder = made;
  TestEnvironment world(wish.members);
  world.update([](auto& states) {
    for (std::size_t i = 0; i < states.size(); ++i) {
      states[i].group = static_cast<int>(i) / kOfGroup, states[i].primary = i % kOfGroup == 0;
    }
  });
  const int groups = (wish.members + kOfGroup - 1) / kOfGroup;
  ServiceProcess service(wish.program, folder, "bench", world.discovery_address(),
                         "(proxies (most 5000)) (sockets 8192)");
  service.start();
  if (!service.wait_for_log("ready, sending resources")) {
    return 1;
  }
  std::vector<std::string> names;
  for (int group = 0; group < groups; ++group) {
    for (const char* of : {"primary", "any", "within-1500ms"}) {
      if (wish.leases || std::string(of) != "within-1500ms") {
        names.push_back(fmt::format("group-{}.{}", group, of));
      }
    }
  }
  Watch watch;
  std::atomic<bool> empty = false;
  const auto look = [&](XdsClient& proxy, const std::string&, double at) {
    const std::lock_guard lock(watch.mutex);
    if (watch.server.empty()) {
      return;
    }
    const bool there = has(proxy, watch.assignment, watch.server);
    if (there) {
      watch.out.erase(proxy.node());
    } else {
      watch.out.try_emplace(proxy.node(), at);
    }
    const auto handed = proxy.assignment(watch.assignment);
    if (handed && handed->empty()) {
      empty = true;
    }
  };
  ClientOptions can{wish.changes, {"reedspindle.weights"}, "stand-in"};
  if (wish.leases) {
    can.features.push_back("reedspindle.expiry.stated");
  }
  const long alone = service.resource_usage().resident_kb;
  const double connect_from = now_ms();
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int i = 0; i < wish.proxies; ++i) {
    proxies.push_back(
        std::make_unique<XdsClient>(fmt::format("p{:04}", i), service.target(), can, names, look));
  }
  const std::string last_any = fmt::format("group-{}.any", groups - 1);
  for (auto& proxy : proxies) {
    if (!proxy->wait([&](const XdsClient& p) { return p.assignments().size() == names.size(); }, 120000)) {
      std::cout << "not all proxies were told\n";
      return 1;
    }
  }
  const double all_told = now_ms() - connect_from;

  std::vector<double> delays;
  std::minstd_rand chance(1);
  const auto bytes_of = [&] {
    std::pair<double, double> sum{0, 0};
    for (const auto& proxy : proxies) {
      sum.first += static_cast<double>(proxy->bytes()), sum.second += static_cast<double>(proxy->responses());
    }
    return sum;
  };
  const auto bytes_before = bytes_of();
  const double from = now_ms();
  const double processor_before = service.resource_usage().processor_ms;
  int lost = 0;
  for (int round = 0; round < wish.rounds; ++round) {
    const int group =
        static_cast<int>(chance() % static_cast<unsigned>(std::max(1, wish.members / kOfGroup)));
    const int store =
        std::min(group * kOfGroup + 1 + static_cast<int>(chance() % (kOfGroup - 1)), wish.members - 1);
    {
      const std::lock_guard lock(watch.mutex);
      watch.server = world.name_of(store), watch.assignment = fmt::format("group-{}.any", group);
      watch.out.clear();
    }
    if (wish.reconnect) {
      for (auto& proxy : proxies) {
        proxy->reconnect();
      }
    }
    const double told =
        world.update([store](auto& states) { states[static_cast<std::size_t>(store)].draining = true; });
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    for (bool all = false; !all && std::chrono::steady_clock::now() < give_up;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::lock_guard lock(watch.mutex);
      all = watch.out.size() == proxies.size();
    }
    {
      const std::lock_guard lock(watch.mutex);
      lost += static_cast<int>(proxies.size() - watch.out.size());
      for (const auto& [node, at] : watch.out) {
        delays.push_back(std::max(0.0, at - told));
      }
      watch.server.clear();
    }
    world.update([store](auto& states) { states[static_cast<std::size_t>(store)].draining = false; });
    for (auto& proxy : proxies) {
      proxy->wait(
          [&](const XdsClient& p) {
            return has(p, fmt::format("group-{}.any", group), world.name_of(store));
          },
          30000);
    }
  }
  const double took = now_ms() - from;
  const auto bytes_after = bytes_of();
  const ServiceProcess::ResourceUsage cost = service.resource_usage();
  std::ranges::sort(delays);
  const double responses = bytes_after.second - bytes_before.second;
  std::cout << fmt::format(
      "{:>5} proxies {:>4} members {:<7} {:<9} {:<6}: drain p50 {:6.1f} p99 {:6.1f} max {:6.1f} ms, over 500 "
      "ms {}, not "
      "told {}; all told first {:.0f} ms; {:.0f} B and {:.3f} ms of processor a response, {:.1f} responses/s "
      "a proxy; "
      "{} KB a proxy, {} KB alone\n",
      wish.proxies, wish.members, wish.changes ? "changes" : "whole", wish.reconnect ? "reconnect" : "steady",
      wish.leases ? "leases" : "none", part(delays, 0.5), part(delays, 0.99), part(delays, 1),
      std::ranges::count_if(delays, [](double d) { return d > 500; }), lost, all_told,
      (bytes_after.first - bytes_before.first) / std::max(1.0, responses),
      (cost.processor_ms - processor_before) / std::max(1.0, responses),
      responses / took * 1000 / wish.proxies, (cost.resident_kb - alone) / wish.proxies, alone);

  if (wish.kills > 0) {
    {
      const std::lock_guard lock(watch.mutex);
      watch.server = "nobody", watch.assignment = last_any;
    }
    std::vector<double> times;
    for (int kill = 0; kill < wish.kills; ++kill) {
      world.update([&](auto& states) {
        const std::size_t one = chance() % states.size();
        states[one].draining = !states[one].draining && one % kOfGroup != 0;
      });
      std::this_thread::sleep_for(std::chrono::microseconds(chance() % 150000));
      std::vector<std::size_t> before;
      service.stop(SIGKILL);
      for (auto& proxy : proxies) {
        before.push_back(proxy->responses());
      }
      const double down = now_ms();
      service.start();
      if (kill % 10 != 9) {
        continue;
      }
      for (std::size_t i = 0; i < proxies.size(); ++i) {
        proxies[i]->wait([&](const XdsClient& p) { return p.responses() >= before[i] + 2; }, 30000);
      }
      times.push_back(now_ms() - down);
    }
    std::ranges::sort(times);
    std::cout << fmt::format(
        "  {} kills: an empty roster {}; from the start to everybody's first full answer p50 {:.0f}, max "
        "{:.0f} ms\n",
        wish.kills, empty ? "YES" : "no", part(times, 0.5), part(times, 1));
  }
  for (auto& proxy : proxies) {
    proxy->stop();
  }
  std::filesystem::remove_all(folder);
  return empty || lost > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Measures the control service with stand-ins on loopback"};
  Wish wish;
  app.add_option("--program", wish.program, "the control service")->capture_default_str();
  app.add_option("--proxies", wish.proxies)->capture_default_str();
  app.add_option("--members", wish.members)->capture_default_str();
  app.add_option("--rounds", wish.rounds, "drains")->capture_default_str();
  app.add_option("--kills", wish.kills, "after the drains")->capture_default_str();
  app.add_flag("--changes", wish.changes, "the incremental form");
  app.add_flag("--reconnect", wish.reconnect, "all streams come anew at each drain");
  app.add_flag("--leases", wish.leases, "with bounded reads by stated times");
  CLI11_PARSE(app, count, words);
  return run(wish);
}
