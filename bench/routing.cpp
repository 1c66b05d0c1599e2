// Measures the processing time of the routing decision module for endpoint lists and requests, for increasing
// numbers of servers. Does no I/O.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <variant>
#include <vector>

#include "routing/router.hpp"

using namespace reedspindle;

namespace {

constexpr int kReplicas = 6;
constexpr int kRequests = 1000;
constexpr int kRuns = 5;  // each result is the minimum of this many runs

Settings settings() {
  return {{"instances", 300.0},
          {"allow.peers", 1.0},
          {"allow.probes", 1.0},
          {"allow.sends_per_op", 6.0},
          {"op_types", 1.0},
          {"op_type.0.needs", std::string("any")},
          {"op_type.0.effect", std::string("retryable")},
          {"op_type.0.latency_target", 200.0},
          {"op_type.0.op_timeout", 1000.0},
          {"rule.cold_from", 0.2},
          {"rule.warm_within", 10000.0},
          {"rule.fall_multiple", 2.0}};
}

double milliseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

struct Cost {
  double first_list = 1e9, requests = 1e9, change = 1e9;  // ms
};

// Measures the processing of a complete list in which two thirds of the servers have just started, of
// requests, and of a list with one change.
Cost measure(int servers) {
  Cost cost;
  for (int run = 0; run < kRuns; ++run) {
    Millis now = 1767225600000;
    EndpointListReceived list{EndpointListKind::complete, {}};
    for (int server = 0; server < servers; ++server) {
      ServerEntry entry;
      entry.id = {fmt::format("s-{:08x}", server * 2654435761U)};
      entry.group = {server / kReplicas};
      entry.started_at = server % 3 == 0 ? 0 : now;
      list.servers.push_back(entry);
    }
    const auto router = make_router(settings(), 7);
    cost.first_list = std::min(cost.first_list, milliseconds([&] {
                                 router->enqueue(list);
                                 router->process(now);
                               }));
    cost.requests = std::min(
        cost.requests, milliseconds([&] {
          for (std::uint64_t number = 1; number <= kRequests; ++number) {
            RequestReceived arrived;
            arrived.request = {number};
            arrived.group = {
                static_cast<int>(number * 7919 % static_cast<unsigned>(std::max(1, servers / kReplicas)))};
            arrived.remaining = 1000;
            router->enqueue(arrived);
            for (const Decision& decision : router->process(now += 5)) {
              if (const auto* send = std::get_if<StartAttempt>(&decision)) {
                router->enqueue(AttemptCompleted{send->request,
                                                 {0},
                                                 send->server,
                                                 AttemptOutcome::acknowledged,
                                                 10,
                                                 true,
                                                 {Role::replica, now, 0.3}});
              }
            }
          }
        }));
    list.kind = EndpointListKind::changes;
    list.servers.resize(1);
    list.servers[0].state = ServerState::draining;
    cost.change = std::min(cost.change, milliseconds([&] {
                             router->enqueue(list);
                             router->process(now += 5);
                           }));
  }
  return cost;
}

}  // namespace

int main() {
  std::cout << fmt::format("{:>8} {:>14} {:>18} {:>14}\n", "servers", "first list ms", "1,000 requests ms",
                           "one change ms");
  for (const int servers : {100, 200, 400, 800, 1600, 3200}) {
    const Cost cost = measure(servers);
    std::cout << fmt::format("{:>8} {:>14.2f} {:>18.2f} {:>14.3f}\n", servers, cost.first_list, cost.requests,
                             cost.change);
  }
}
