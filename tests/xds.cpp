// Runs a scenario with the control service as a child process, between test servers for discovery and stores
// and xDS clients that stand for proxies, and prints the results. A scenario is named by a line of the file;
// lines that start with two spaces are expected output. Scenarios wait for events, and for a fixed time only
// where there is no event.
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "testservers/service.hpp"
#include "testservers/test_environment.hpp"
#include "testservers/xds_client.hpp"

namespace {
using namespace reedspindle::testservers;

std::string program, folder;

void report(const std::string& text) { std::cout << "  " << text << std::endl; }
void report(const std::string& what, bool holds) { report(what + (holds ? ": yes" : ": no")); }

const std::vector<std::string> kAssignments = {"group-0.primary", "group-0.any", "group-0.within-1500ms",
                                               "group-0.members"};
const ClientOptions kSotwClient{false, {"reedspindle.expiry.stated", "reedspindle.weights"}, "test-client"};
const ClientOptions kIncrementalClient{
    true, {"reedspindle.expiry.stated", "reedspindle.weights"}, "test-client"};

// Puts all stores into one group, with the first as its primary.
void one_group(std::vector<StoreState>& states) {
  states[0].primary = true;
  for (StoreState& state : states) {
    state.group = 0;
  }
}

bool has_endpoint(const XdsClient& proxy, const std::string& assignment, const std::string& member,
                  bool healthy = true) {
  const auto endpoints = proxy.assignment(assignment);
  return endpoints && std::ranges::any_of(*endpoints, [&](const ReceivedEndpoint& endpoint) {
           return endpoint.server == member && endpoint.healthy == healthy;
         });
}
std::string healthy_in(const XdsClient& proxy, const std::string& assignment) {
  std::string text;
  std::map<unsigned, std::set<std::string>> by_priority;
  for (const ReceivedEndpoint& endpoint :
       proxy.assignment(assignment).value_or(std::vector<ReceivedEndpoint>{})) {
    if (endpoint.healthy) {
      by_priority[endpoint.priority].insert((endpoint.primary ? "*" : "") + endpoint.server);
    }
  }
  for (const auto& [priority, members] : by_priority) {
    for (const std::string& member : members) {
      text += fmt::format(" {}:{}", priority, member);
    }
  }
  return text;
}
bool has_empty_assignment(const XdsClient& proxy) {
  return std::ranges::any_of(proxy.assignments(), [](const auto& item) { return item.second.empty(); });
}
bool has_initial_endpoints(const XdsClient& proxy) {
  return has_endpoint(proxy, "group-0.primary", "s-000") && has_endpoint(proxy, "group-0.any", "s-001") &&
         has_endpoint(proxy, "group-0.any", "s-002");
}

// Clients of both protocol variants must receive the same endpoints and follow a lagging replica, a drain and
// a change of primary.
void basic() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  service.start();
  XdsClient sotw("w", service.target(), kSotwClient, kAssignments);
  XdsClient incremental("c", service.target(), kIncrementalClient, kAssignments);
  for (XdsClient* proxy : {&sotw, &incremental}) {
    report("endpoints received", proxy->wait([](const XdsClient& p) {
      return has_initial_endpoints(p) && has_endpoint(p, "group-0.within-1500ms", "s-003") &&
             has_endpoint(p, "group-0.any", "s-003");
    }));
    report("bounded:" + healthy_in(*proxy, "group-0.within-1500ms") +
           ", any:" + healthy_in(*proxy, "group-0.any"));
    const auto clusters = proxy->clusters();
    report(fmt::format("clusters: {}", clusters.size()));
  }
  environment.update_unpublished([](auto& states) { states[1].lag = 60000; });
  for (XdsClient* proxy : {&sotw, &incremental}) {
    report("the lagging replica is out of bounded reads", proxy->wait([](const XdsClient& p) {
      return !has_endpoint(p, "group-0.within-1500ms", "s-001");
    }));
  }
  environment.update([](auto& states) { states[3].draining = true; });
  for (XdsClient* proxy : {&sotw, &incremental}) {
    report("the draining server is out of reads", proxy->wait([](const XdsClient& p) {
      return !has_endpoint(p, "group-0.any", "s-003") && has_endpoint(p, "group-0.members", "s-003", false);
    }));
  }
  environment.update_unpublished([](auto& states) { states[0].primary = false, states[2].primary = true; });
  for (XdsClient* proxy : {&sotw, &incremental}) {
    report("writes follow the new primary", proxy->wait([](const XdsClient& p) {
      return has_endpoint(p, "group-0.primary", "s-002") && !has_endpoint(p, "group-0.primary", "s-000");
    }));
  }
  service.stop(SIGTERM);
  report("logs its stop on SIGTERM", service.wait_for_log("stopped name=a"));
}

// A drain must not be lost when it is published while the service is down. The restarted service receives it
// and is then killed and started again with discovery silent: no client gets the drained server back or an
// empty assignment.
void drain_while_down() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  service.start();
  std::atomic<bool> drained = false;
  std::atomic<bool> restored = false;
  std::atomic<bool> empty = false;
  const auto on_applied = [&](XdsClient& proxy, const std::string&, double) {
    empty = empty || has_empty_assignment(proxy);
    if (drained && has_endpoint(proxy, "group-0.any", "s-002")) {
      restored = true;
    }
  };
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int index = 0; index < 6; ++index) {
    proxies.push_back(std::make_unique<XdsClient>(fmt::format("p{}", index), service.target(),
                                                  index % 2 ? kIncrementalClient : kSotwClient, kAssignments,
                                                  on_applied));
  }
  for (auto& proxy : proxies) {
    if (!proxy->wait(has_initial_endpoints)) {
      return report("endpoints not received");
    }
  }
  // The drain is published while the service is down, so only the restarted service receives it.
  service.stop(SIGKILL);
  environment.update([](auto& states) { states[2].draining = true; });
  service.start();
  report("drain read by the restarted service", service.wait_for_log("ready, sending resources"));
  for (auto& proxy : proxies) {
    if (!proxy->wait([](const XdsClient& p) { return !has_endpoint(p, "group-0.any", "s-002"); })) {
      return report("a proxy still uses the drained server");
    }
  }
  drained = true;
  // The drain is in the stored registry now; with discovery silent the next start has no other source.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  environment.set_discovery_mode(DiscoveryMode::silent);
  for (int round = 0; round < 3; ++round) {
    std::vector<int> before;
    for (auto& proxy : proxies) {
      before.push_back(static_cast<int>(proxy->responses()));
    }
    service.stop(SIGKILL);
    service.start();
    for (std::size_t index = 0; index < proxies.size(); ++index) {
      if (!proxies[index]->wait([&](const XdsClient& p) {
            return static_cast<int>(p.responses()) > before[index] + 1 &&
                   has_endpoint(p, "group-0.any", "s-001");
          })) {
        return report("a proxy received no endpoints after the restart");
      }
    }
  }
  report("drained server restored", restored);
  report("an empty assignment", empty);
}

// The service is killed at random moments while drains start and end: no assignment is empty, no drained
// server is restored, no version decreases, and the stored registry is never damaged.
void crashes() {
  TestEnvironment environment(6);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  service.start();
  std::atomic<bool> empty = false;
  std::atomic<bool> version_decreased = false;
  std::atomic<bool> sends_to_drained = false;
  std::atomic<int> drained = -1;
  std::mutex mutex;
  std::map<std::string, std::pair<long long, long long>> last_versions;  // epoch and change number, by client
  std::vector<std::unique_ptr<XdsClient>> proxies;
  const auto on_applied = [&](XdsClient& proxy, const std::string& type, double) {
    empty = empty || has_empty_assignment(proxy);
    long long revision = 0;
    long long epoch = 0;
    long long change_number = 0;
    if (!type.ends_with("Assignment")) {
      return;
    }
    if (std::sscanf(proxy.last_version().c_str(), "r%lld.e%lld.c%lld", &revision, &epoch, &change_number) !=
        3) {
      version_decreased = true;
    }
    const std::lock_guard lock(mutex);
    auto& previous = last_versions[proxy.node()];
    version_decreased = version_decreased || std::pair(epoch, change_number) < previous;
    previous = {epoch, change_number};
  };
  for (int i = 0; i < 4; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(fmt::format("p{}", i), service.target(), kSotwClient,
                                                  kAssignments, on_applied));
  }
  std::minstd_rand random(11);
  for (int kill = 0; kill < 25; ++kill) {
    const int draining_store = 1 + static_cast<int>(random() % 5);
    environment.update([draining_store](auto& states) {
      for (int i = 1; i < 6; ++i) {
        states[static_cast<std::size_t>(i)].draining = i == draining_store;
      }
    });
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 120000));
    service.stop(SIGKILL);
    service.start();
    if (kill % 5 != 4) {
      continue;
    }
    // Every fifth time, wait until all clients have received the latest drain.
    for (auto& proxy : proxies) {
      if (!proxy->wait([&](const XdsClient& p) {
            return !has_endpoint(p, "group-0.any", environment.name_of(draining_store)) &&
                   has_endpoint(p, "group-0.members", environment.name_of(draining_store), false);
          })) {
        return report("a proxy did not receive the drain");
      }
    }
  }
  report("an empty assignment", empty);
  report("a version decreased", version_decreased);
  std::string log = service.log();
  report("damage to the stored registry logged", log.find("damaged") != std::string::npos);
}

// The newest generation of the stored registry is truncated, then every generation is overwritten with an
// older format: the service must use the previous generation, or wait for an endpoint list, and must not
// reuse an epoch.
void damaged_store() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  service.start();
  if (!service.wait_for_log("ready, sending resources")) {
    return report("service not started");
  }
  environment.update([](auto& states) { states[2].draining = true; });
  if (!service.wait_for_log("server draining or removed server=s-002")) {
    return report("drain not received");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  service.stop(SIGKILL);
  environment.set_discovery_mode(DiscoveryMode::silent);
  const auto newest_first = [&] {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(service.state_folder())) {
      if (entry.path().filename().string().starts_with("state.")) {
        files.push_back(entry.path());
      }
    }
    std::ranges::sort(files, std::greater());
    return files;
  };
  std::filesystem::resize_file(newest_first().front(), 100);
  service.start();
  XdsClient proxy("p", service.target(), kSotwClient, kAssignments);
  report("the previous generation is used",
         proxy.wait([](const XdsClient& p) { return has_endpoint(p, "group-0.any", "s-001"); }));
  report("damage to the newest generation is logged",
         service.wait_for_log("its length is not the one it states"));
  service.stop(SIGKILL);
  for (const std::string& file : newest_first()) {
    std::ofstream(file) << "RSKEEP\r\nolder";
  }
  service.start();
  report("damage to every generation is logged", service.wait_for_log("it is cut short"));
  XdsClient new_proxy("f", service.target(), kSotwClient, kAssignments);
  report("no response without an endpoint list",
         !new_proxy.wait([](const XdsClient& p) { return p.responses() > 0; }, 700));
  environment.set_discovery_mode(DiscoveryMode::normal);
  report("responses resume with an endpoint list",
         new_proxy.wait([](const XdsClient& p) { return has_endpoint(p, "group-0.any", "s-001"); }));
  report("epochs keep increasing",
         std::stoi(new_proxy.last_version().substr(new_proxy.last_version().find('e') + 1)) > 2);
}

// Discovery sends an empty list, then lists of an older revision, then a newer complete list. A suspect list
// may withdraw servers but must not restore them.
void suspect_lists() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address(),
                         "(roster (confirm 300ms) (older-list 1h))");
  service.start();
  std::atomic<bool> empty = false;
  XdsClient proxy(
      "p", service.target(), kSotwClient, kAssignments,
      [&](XdsClient& p, const std::string&, double) { empty = empty || has_empty_assignment(p); });
  report("endpoints received", proxy.wait(has_initial_endpoints));
  environment.set_discovery_mode(DiscoveryMode::empty_list);
  environment.update([](auto&) {});
  report("an empty list is suspect", service.wait_for_log("reason=\"list is empty\""));
  environment.set_discovery_mode(DiscoveryMode::normal);
  environment.update([](auto& states) { states[1].draining = true; });
  report("the next complete list is accepted",
         proxy.wait([](const XdsClient& p) { return !has_endpoint(p, "group-0.any", "s-001"); }));
  environment.set_revision(0);
  environment.update([](auto& states) { states[1].draining = false, states[2].draining = true; });
  report("a list of an older revision is suspect", service.wait_for_log("reason=\"list revision is older\""));
  report("a suspect list withdraws a server",
         proxy.wait([](const XdsClient& p) { return !has_endpoint(p, "group-0.any", "s-002"); }));
  report("a suspect list restores a server", has_endpoint(proxy, "group-0.any", "s-001"));
  environment.set_revision(100);
  environment.update([](auto&) {});
  report("a list of a newer revision restores the server",
         proxy.wait([](const XdsClient& p) { return has_endpoint(p, "group-0.any", "s-001"); }));
  report("an empty assignment", empty);
}

// Only one of two services has received a drain. A client that moves to the other one during the drain must
// not get the drained server back: it receives nothing until that service has the same revision.
void two_services() {
  TestEnvironment environment(4);
  TestEnvironment stale_environment(4);
  environment.update(one_group), stale_environment.update(one_group);
  ServiceProcess first(program, folder, "a", environment.discovery_address());
  ServiceProcess second(program, folder, "b", stale_environment.discovery_address());
  first.start(), second.start();
  if (!first.wait_for_log("ready, sending resources") || !second.wait_for_log("ready, sending resources")) {
    return report("service not started");
  }
  for (const ClientOptions& options : {kSotwClient, kIncrementalClient}) {
    environment.update([](auto& states) { states[2].draining = false; });
    std::atomic<bool> drained = false;
    std::atomic<bool> restored = false;
    XdsClient proxy("p", first.target(), options, kAssignments,
                    [&](XdsClient& p, const std::string&, double) {
                      if (drained && has_endpoint(p, "group-0.any", "s-002")) {
                        restored = true;
                      }
                    });
    report("endpoints received from the first service", proxy.wait(has_initial_endpoints));
    environment.update([](auto& states) { states[2].draining = true; });
    report("drain received from the first service",
           proxy.wait([](const XdsClient& p) { return !has_endpoint(p, "group-0.any", "s-002"); }));
    drained = true;
    proxy.reconnect(second.target());
    // The second service sends nothing while its revision is older.
    report("endpoints received from a second service with an older revision",
           proxy.wait([](const XdsClient& p) { return p.last_version().ends_with(".b"); }, 700));
    long long revision = 0;
    std::sscanf(proxy.last_version().c_str(), "r%lld", &revision);
    stale_environment.set_revision(revision);
    stale_environment.update([](auto& states) { states[2].draining = true; });
    report("endpoints received from the second service at the same revision",
           proxy.wait([&](const XdsClient& p) { return p.last_version().ends_with(".b"); }));
    report("drained server restored", restored);
    stale_environment.update([](auto& states) { states[2].draining = false; });
    environment.set_revision(revision + 10);
  }
}

// A client that stops reading, one that acknowledges nothing and one that rejects all endpoints must not
// delay the other clients. The service disconnects the one that acknowledges nothing and does not resend to
// the rejecting one in a loop.
void slow_clients() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address(), "(proxies (unread 1s))");
  service.start();
  XdsClient healthy("healthy", service.target(), kSotwClient, kAssignments);
  XdsClient not_reading("not-reading", service.target(), kSotwClient, kAssignments);
  XdsClient not_acknowledging("not-acknowledging", service.target(), kSotwClient, kAssignments);
  XdsClient rejecting("rejecting", service.target(), kIncrementalClient, kAssignments);
  for (XdsClient* proxy : {&healthy, &not_reading, &not_acknowledging, &rejecting}) {
    report("endpoints received", proxy->wait(has_initial_endpoints));
  }
  not_reading.reads = false, not_acknowledging.acknowledges = false, rejecting.rejects_endpoints = true;
  for (int round = 0; round < 30; ++round) {
    environment.update([round](auto& states) { states[2].draining = round % 2 == 0; });
    if (!healthy.wait([round](const XdsClient& p) {
          return has_endpoint(p, "group-0.any", "s-002") == (round % 2 != 0);
        })) {
      return report("the healthy client did not receive an update");
    }
  }
  report("the client that acknowledges nothing is disconnected",
         service.wait_for_log("node=not-acknowledging reason=\"it does not answer\""));
  const auto responses_before = rejecting.responses();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  report("rejected response resent in a loop", rejecting.responses() > responses_before + 3);
  report("the reason for the rejection is logged",
         service.wait_for_log("response rejected node=rejecting detail=\"rejected by the test\""));
}

// Random bytes on the port, incomplete HTTP/2 handshakes, a client with thousands of names and too many
// streams must not affect a healthy client.
void hostile_clients() {
  TestEnvironment environment(4);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address(),
                         "(proxies (most 4) (names 100))");
  service.start();
  XdsClient healthy("healthy", service.target(), kSotwClient, kAssignments);
  report("endpoints received", healthy.wait(has_initial_endpoints));
  std::minstd_rand random(3);
  std::vector<int> sockets;
  const std::string target = service.target();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))));
  inet_pton(AF_INET, target.substr(0, target.rfind(':')).c_str(), &address.sin_addr);
  for (int i = 0; i < 200; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      return report("connection to the service failed");
    }
    std::string noise = i % 3 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
    for (unsigned length = random() % 2000; length > 0; --length) {
      noise += static_cast<char>(random());
    }
    if (send(fd, noise.data(), noise.size(), MSG_NOSIGNAL) < 0) {
      report("random bytes not sent");
    }
    sockets.push_back(fd);
  }
  std::vector<std::string> many_names;
  for (int i = 0; i < 5000; ++i) {
    many_names.push_back(fmt::format("unknown-{}", i));
  }
  XdsClient oversubscribed("oversubscribed", target, kIncrementalClient, many_names);
  report("the client that subscribes to too many names is disconnected",
         service.wait_for_log("node=oversubscribed reason=\"more than 100 names\""));
  oversubscribed.stop();
  std::vector<std::unique_ptr<XdsClient>> extra_clients;
  for (int i = 0; i < 8; ++i) {
    extra_clients.push_back(
        std::make_unique<XdsClient>(fmt::format("extra-{}", i), target, kSotwClient, kAssignments));
  }
  report("the number of streams is limited", service.wait_for_log("stream rejected"));
  environment.update([](auto& states) { states[2].draining = true; });
  report("the healthy client still receives updates",
         healthy.wait([](const XdsClient& p) { return !has_endpoint(p, "group-0.any", "s-002"); }));
  report("the healthy client kept its first stream", healthy.streams() == 1);
  for (const int fd : sockets) {
    close(fd);
  }
}

// Clients choose servers for bounded reads by the endpoints that they have received, while replicas stall,
// streams are cut and the service is paused. No read may go to a server beyond the staleness bound.
void staleness_bound() {
  TestEnvironment environment(5);
  environment.update(one_group);
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  service.start();
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int i = 0; i < 6; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(
        fmt::format("p{}", i), service.target(),
        i % 3 == 2 ? ClientOptions{true, {"reedspindle.expiry.ttl", "reedspindle.weights"}, "test-client"}
        : i % 3    ? kIncrementalClient
                   : kSotwClient,
        std::vector<std::string>{"group-0.within-1500ms", "group-0.within-1500ms.replicas",
                                 "group-0.primary"}));
  }
  for (auto& proxy : proxies) {
    if (!proxy->wait([](const XdsClient& p) { return has_endpoint(p, "group-0.primary", "s-000"); })) {
      return report("endpoints not received");
    }
  }
  std::map<std::string, int> stores;
  for (int store = 0; store < environment.size(); ++store) {
    stores[environment.address_of(store)] = store;
  }
  std::minstd_rand random(5);
  long reads = 0;
  long on_replicas = 0;
  long without_server = 0;
  long beyond_bound = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  for (unsigned turn = 0; std::chrono::steady_clock::now() < end; ++turn) {
    if (turn % 400 == 0) {
      environment.update_unpublished([&](auto& states) {
        for (std::size_t i = 1; i < states.size(); ++i) {
          const bool stalls = random() % 3 == 0;
          if (stalls && states[i].stalled_at < 0) {
            states[i].stalled_at = now_ms() - states[i].lag;
          }
          if (!stalls) {
            states[i].stalled_at = -1;
          }
        }
      });
      proxies[random() % proxies.size()]->reconnect();
    }
    if (turn == 4000) {
      kill(service.pid(), SIGSTOP);  // the clients receive nothing until SIGCONT
    }
    if (turn == 9000) {
      kill(service.pid(), SIGCONT);
    }
    const std::vector<double> positions = environment.positions();
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      const double now = now_ms();
      auto endpoint = proxies[i]->pick_endpoint("group-0.within-1500ms", now, turn);
      if (!endpoint) {
        endpoint = proxies[i]->pick_endpoint("group-0.within-1500ms.replicas", now, turn);
      }
      if (!endpoint) {
        endpoint = proxies[i]->pick_endpoint("group-0.primary", now, turn);
      }
      ++reads;
      if (!endpoint) {
        ++without_server;
        continue;
      }
      const int store = stores.at(endpoint->address);
      on_replicas += store != 0;
      beyond_bound += now - positions[static_cast<std::size_t>(store)] > 1500;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(300));
  }
  report("more than 50,000 reads", reads > 50000);
  report("at least a fifth of the reads on replicas", on_replicas * 5 > reads);
  report("reads without a server", without_server > 0);
  report("reads beyond the staleness bound", beyond_bound > 0);
}

// The service must accept only clients with a certificate of the trusted issuer, and must use replaced
// certificate files without a restart.
void tls() {
  TestEnvironment environment(3);
  environment.update(one_group);
  const auto run = [](const std::string& command) {
    if (std::system((command + " >/dev/null 2>&1").c_str()) != 0) {
      report("failed: " + command);
    }
  };
  const auto issue = [&](const std::string& name, const std::string& issuer_name,
                         const std::string& subject) {
    const std::string path = folder + "/" + name;
    const std::string issuer_path = folder + "/" + issuer_name;
    run(fmt::format("openssl req -newkey rsa:2048 -nodes -keyout {0}.key -out {0}.csr -subj /CN={1}", path,
                    subject));
    std::ofstream(path + ".ext") << "subjectAltName=DNS:" << subject << "\n";
    run(fmt::format(
        "openssl x509 -req -in {0}.csr -CA {1}.pem -CAkey {1}.key -CAcreateserial -out {0}.pem -days 2 "
        "-extfile {0}.ext",
        path, issuer_path));
  };
  const auto create_issuer = [&](const std::string& name) {
    run(
        fmt::format("openssl req -x509 -newkey rsa:2048 -nodes -keyout {0}/{1}.key -out {0}/{1}.pem -days 2 "
                    "-subj /CN={1}",
                    folder, name));
  };
  const auto read_file = [&](const std::string& name) {
    std::ifstream file(folder + "/" + name);
    return std::string((std::istreambuf_iterator<char>(file)), {});
  };
  create_issuer("trusted-ca"), create_issuer("other-ca");
  issue("service", "trusted-ca", "control.test"), issue("proxy", "trusted-ca", "proxy.test"),
      issue("untrusted-proxy", "other-ca", "proxy.test");
  issue("replacement", "trusted-ca", "control.test");
  ServiceProcess service(program, folder, "a", environment.discovery_address(),
                         fmt::format("(tls (certificate \"{0}/service.pem\") (key \"{0}/service.key\") "
                                     "(proxies \"{0}/trusted-ca.pem\"))",
                                     folder));
  service.start();
  if (!service.wait_for_log("ready, sending resources")) {
    return report("service not started");
  }
  const auto client_with = [&](const std::string& name) {
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = read_file("trusted-ca.pem");
    if (!name.empty()) {
      options.pem_private_key = read_file(name + ".key"), options.pem_cert_chain = read_file(name + ".pem");
    }
    auto client = std::make_unique<XdsClient>("p", service.target(), kSotwClient, kAssignments,
                                              XdsClient::AppliedCallback{}, grpc::SslCredentials(options));
    return client;
  };
  const auto accepted = [&](const std::string& name, int ms) {
    return client_with(name)->wait([](const XdsClient& p) { return has_endpoint(p, "group-0.any", "s-001"); },
                                   ms);
  };
  report("client certificate of the trusted issuer accepted", accepted("proxy", 10000));
  report("client certificate of another issuer accepted", accepted("untrusted-proxy", 700));
  report("client without a certificate accepted", accepted("", 700));
  // The files are replaced by another certificate, which new connections must get from the running service.
  const auto serial_of = [&](const std::string& name) {
    run(fmt::format("openssl x509 -in {0}/{1}.pem -noout -serial -out {0}/{1}.serial", folder, name));
    return read_file(name + ".serial");
  };
  const auto presented_serial = [&] {
    run(fmt::format(
        "openssl s_client -connect {0} -cert {1}/proxy.pem -key {1}/proxy.key </dev/null 2>/dev/null | "
        "openssl x509 -noout -serial -out {1}/presented",
        service.target(), folder));
    return read_file("presented");
  };
  report("server certificate presented", presented_serial() == serial_of("service"));
  for (const char* extension : {"key", "pem"}) {
    std::filesystem::copy_file(folder + "/replacement." + extension, folder + "/next");
    std::filesystem::rename(folder + "/next", folder + "/service." + extension);
  }
  bool replaced = false;
  for (int attempt = 0; attempt < 100 && !replaced; ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    replaced = presented_serial() == serial_of("replacement");
  }
  report("replaced server certificate presented without a restart", replaced);
  report("clients accepted after the replacement", accepted("proxy", 10000));
}

// A gRPC service that answers each call with the name of the store, as trailing metadata.
class StoreNameService final : public grpc::CallbackGenericService {
 public:
  explicit StoreNameService(std::string name) : name_(std::move(name)) {}
  grpc::ServerGenericBidiReactor* CreateReactor(grpc::GenericCallbackServerContext* context) override {
    struct Reactor final : grpc::ServerGenericBidiReactor {
      void OnDone() override { delete this; }
    };
    auto* reactor = new Reactor;
    context->AddTrailingMetadata("store", name_);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  const std::string name_;
};

// The xDS client of the gRPC library, an independent implementation, must follow the primary, the replicas
// and drains.
void grpc_client() {
  TestEnvironment environment(4);
  environment.update(one_group);
  std::vector<std::unique_ptr<StoreNameService>> services;
  std::vector<std::unique_ptr<grpc::Server>> servers;
  for (int store = 0; store < environment.size(); ++store) {
    services.push_back(std::make_unique<StoreNameService>(environment.name_of(store)));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterCallbackGenericService(services.back().get());
    servers.push_back(builder.BuildAndStart());
    environment.pass_http2(store, port);
  }
  ServiceProcess service(program, folder, "a", environment.discovery_address());
  setenv("GRPC_XDS_BOOTSTRAP_CONFIG",
         fmt::format(R"({{"xds_servers":[{{"server_uri":"{}","channel_creds":[{{"type":"insecure"}}],)"
                     R"("server_features":["xds_v3"]}}],"node":{{"id":"grpc","cluster":"test"}}}})",
                     service.target())
             .c_str(),
         1);
  service.start();
  const auto channel = grpc::CreateChannel("xds:///reedspindle", grpc::InsecureChannelCredentials());
  grpc::GenericStub stub(channel);
  const auto call = [&](const std::string& request_class) {
    grpc::ClientContext context;
    context.AddMetadata("x-group", "0");
    context.AddMetadata("x-op-type", request_class);
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(5));
    grpc::CompletionQueue queue;
    grpc::ByteBuffer request(nullptr, 0);
    grpc::ByteBuffer response;
    auto reader = stub.PrepareUnaryCall(&context, "/stores/Say", request, &queue);
    reader->StartCall();
    grpc::Status status;
    reader->Finish(&response, &status, nullptr);
    void* tag = nullptr;
    bool ok = false;
    queue.Next(&tag, &ok);
    queue.Shutdown();
    while (queue.Next(&tag, &ok)) {
      continue;
    }
    const auto& trailing = context.GetServerTrailingMetadata();
    const auto store = trailing.find("store");
    return store == trailing.end() ? status.error_message()
                                   : std::string(store->second.data(), store->second.size());
  };
  const auto reached = [&](const std::string& request_class, int calls) {
    std::set<std::string> stores;
    for (int i = 0; i < calls; ++i) {
      stores.insert(call(request_class));
    }
    std::string text;
    for (const std::string& store : stores) {
      text += " " + store;
    }
    return text;
  };
  const auto eventually_reaches = [&](const std::string& request_class, const std::string& expected) {
    for (int attempt = 0; attempt < 100; ++attempt) {
      if (reached(request_class, 12) == expected) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    report(request_class + " reaches" + reached(request_class, 12));
    return false;
  };
  report("writes go to the primary", eventually_reaches("save", " s-000"));
  report("reports go to replicas", eventually_reaches("report", " s-001 s-002 s-003"));
  report("bounded reads go to the primary, since the client does not expire endpoints",
         eventually_reaches("browse", " s-000"));
  environment.update([](auto& states) { states[1].draining = true; });
  report("reads follow a drain", eventually_reaches("report", " s-002 s-003"));
  environment.update_unpublished([](auto& states) { states[0].primary = false, states[2].primary = true; });
  report("writes follow a new primary", eventually_reaches("save", " s-002"));
  report("the former primary serves reads as a replica", eventually_reaches("report", " s-000 s-003"));
  service.stop(SIGKILL);
  report("calls continue while the service is down", eventually_reaches("save", " s-002"));
  environment.update([](auto& states) { states[3].draining = true; });
  service.start();
  report("reads follow a drain after the restart", eventually_reaches("report", " s-000"));
}

const std::map<std::string, std::function<void()>> kScenarios = {{"basic", basic},
                                                                 {"grpc_client", grpc_client},
                                                                 {"drain_while_down", drain_while_down},
                                                                 {"crashes", crashes},
                                                                 {"damaged_store", damaged_store},
                                                                 {"suspect_lists", suspect_lists},
                                                                 {"two_services", two_services},
                                                                 {"slow_clients", slow_clients},
                                                                 {"hostile_clients", hostile_clients},
                                                                 {"staleness_bound", staleness_bound},
                                                                 {"tls", tls}};

}  // namespace

int main(int count, char** arguments) {
  if (count != 3) {
    return 2;
  }
  program = arguments[1];
  std::signal(SIGPIPE, SIG_IGN);
  char folder_template[] = "/tmp/reedspindle-proxies-XXXXXX";
  if (!mkdtemp(folder_template)) {
    return 1;
  }
  folder = folder_template;
  std::ifstream file(arguments[2]);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("  ")) {
      continue;
    }
    std::cout << line << std::endl;
    const auto scenario = kScenarios.find(line);
    if (scenario != kScenarios.end()) {
      scenario->second();
    }
  }
  if (!std::getenv("REEDSPINDLE_KEEP_LOGS")) {
    std::filesystem::remove_all(folder);
  }
}
