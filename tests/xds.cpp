// Plays one scenario with the real control service between stand-ins for discovery, stores and proxies, and
// prints what came of it. Nothing waits for a fixed time where there is something to wait for.
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

#include "testservers/service_process.hpp"
#include "testservers/test_environment.hpp"
#include "testservers/xds_client.hpp"

namespace {
using namespace reedspindle::testservers;

std::string program, folder;

void say(const std::string& text) { std::cout << "  " << text << std::endl; }
void say(const std::string& what, bool is) { say(what + (is ? ": yes" : ": no")); }

const std::vector<std::string> kNames = {"group-0.primary", "group-0.any", "group-0.within-1500ms",
                                         "group-0.members"};
const ClientOptions kWhole{false, {"reedspindle.expiry.stated", "reedspindle.weights"}, "stand-in"};
const ClientOptions kChanges{true, {"reedspindle.expiry.stated", "reedspindle.weights"}, "stand-in"};

// One group: a primary and replicas.
void one_group(std::vector<StoreState>& states) {
  states[0].primary = true;
  for (StoreState& state : states) {
    state.group = 0;
  }
}

bool names(const XdsClient& proxy, const std::string& assignment, const std::string& member,
           bool healthy = true) {
  const auto handed = proxy.assignment(assignment);
  return handed && std::ranges::any_of(*handed, [&](const ReceivedEndpoint& h) {
           return h.server == member && h.healthy == healthy;
         });
}
std::string healthy_in(const XdsClient& proxy, const std::string& assignment) {
  std::string text;
  std::map<unsigned, std::set<std::string>> by_priority;
  for (const ReceivedEndpoint& handed :
       proxy.assignment(assignment).value_or(std::vector<ReceivedEndpoint>{})) {
    if (handed.healthy) {
      by_priority[handed.priority].insert((handed.primary ? "*" : "") + handed.server);
    }
  }
  for (const auto& [priority, members] : by_priority) {
    for (const std::string& member : members) {
      text += fmt::format(" {}:{}", priority, member);
    }
  }
  return text;
}
bool any_empty(const XdsClient& proxy) {
  return std::ranges::any_of(proxy.assignments(), [](const auto& item) { return item.second.empty(); });
}
bool settled(const XdsClient& proxy) {
  return names(proxy, "group-0.primary", "s-000") && names(proxy, "group-0.any", "s-001") &&
         names(proxy, "group-0.any", "s-002");
}

// Both forms are told the same, follow a drain, a change of primary and a lagging replica.
void basic() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address());
  service.start();
  XdsClient whole("w", service.target(), kWhole, kNames);
  XdsClient changes("c", service.target(), kChanges, kNames);
  for (XdsClient* proxy : {&whole, &changes}) {
    say("endpoints received", proxy->wait([](const XdsClient& p) {
      return settled(p) && names(p, "group-0.within-1500ms", "s-003") && names(p, "group-0.any", "s-003");
    }));
    say("bounded:" + healthy_in(*proxy, "group-0.within-1500ms") +
        ", any:" + healthy_in(*proxy, "group-0.any"));
    const auto clusters = proxy->clusters();
    say(fmt::format("clusters: {}", clusters.size()));
  }
  world.update_unpublished([](auto& states) { states[1].lag = 60000; });
  for (XdsClient* proxy : {&whole, &changes}) {
    say("the lagging replica is out of bounded reads",
        proxy->wait([](const XdsClient& p) { return !names(p, "group-0.within-1500ms", "s-001"); }));
  }
  world.update([](auto& states) { states[3].draining = true; });
  for (XdsClient* proxy : {&whole, &changes}) {
    say("the draining server is out of reads", proxy->wait([](const XdsClient& p) {
      return !names(p, "group-0.any", "s-003") && names(p, "group-0.members", "s-003", false);
    }));
  }
  world.update_unpublished([](auto& states) { states[0].primary = false, states[2].primary = true; });
  for (XdsClient* proxy : {&whole, &changes}) {
    say("writes follow the new primary", proxy->wait([](const XdsClient& p) {
      return names(p, "group-0.primary", "s-002") && !names(p, "group-0.primary", "s-000");
    }));
  }
  service.stop(SIGTERM);
  say("logs its stop on SIGTERM", service.wait_for_log("stops name=a"));
}

// A drain heard while every stream is down, by the service killed and started again, with discovery silent:
// the drained member never comes back, and no roster is empty.
void drain_while_down() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address());
  service.start();
  std::atomic<bool> drained = false;
  std::atomic<bool> brought_back = false;
  std::atomic<bool> empty = false;
  const auto look = [&](XdsClient& proxy, const std::string&, double) {
    empty = empty || any_empty(proxy);
    if (drained && names(proxy, "group-0.any", "s-002")) {
      brought_back = true;
    }
  };
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int i = 0; i < 6; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(fmt::format("p{}", i), service.target(),
                                                  i % 2 ? kChanges : kWhole, kNames, look));
  }
  for (auto& proxy : proxies) {
    if (!proxy->wait(settled)) {
      return say("endpoints not received");
    }
  }
  // Down, then heard by the next start alone.
  service.stop(SIGKILL);
  world.update([](auto& states) { states[2].draining = true; });
  service.start();
  say("drain read by the restarted service", service.wait_for_log("hands out"));
  for (auto& proxy : proxies) {
    if (!proxy->wait([](const XdsClient& p) { return !names(p, "group-0.any", "s-002"); })) {
      return say("a proxy still uses the drained server");
    }
  }
  drained = true;
  // The store has it now; with discovery silent the next start goes by that.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  world.set_discovery_mode(DiscoveryMode::silent);
  for (int round = 0; round < 3; ++round) {
    std::vector<int> before;
    for (auto& proxy : proxies) {
      before.push_back(static_cast<int>(proxy->responses()));
    }
    service.stop(SIGKILL);
    service.start();
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      if (!proxies[i]->wait([&](const XdsClient& p) {
            return static_cast<int>(p.responses()) > before[i] + 1 && names(p, "group-0.any", "s-001");
          })) {
        return say("a proxy received no endpoints after the restart");
      }
    }
  }
  say("drained server restored", brought_back);
  say("an empty assignment", empty);
}

// Killed at random moments while drains come and go: no empty roster, nothing brought back, versions rise.
void crashes() {
  TestEnvironment world(6);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address());
  service.start();
  std::atomic<bool> empty = false;
  std::atomic<bool> fell = false;
  std::atomic<bool> sends_to_drained = false;
  std::atomic<int> drained = -1;
  std::mutex mutex;
  std::map<std::string, std::pair<long long, long long>> last;  // epoch and change, by proxy
  std::vector<std::unique_ptr<XdsClient>> proxies;
  const auto look = [&](XdsClient& proxy, const std::string& type, double) {
    empty = empty || any_empty(proxy);
    long long revision = 0;
    long long epoch = 0;
    long long change = 0;
    if (!type.ends_with("Assignment")) {
      return;
    }
    if (std::sscanf(proxy.last_version().c_str(), "r%lld.e%lld.c%lld", &revision, &epoch, &change) != 3) {
      fell = true;
    }
    const std::lock_guard lock(mutex);
    auto& of = last[proxy.node()];
    fell = fell || std::pair(epoch, change) < of;
    of = {epoch, change};
  };
  for (int i = 0; i < 4; ++i) {
    proxies.push_back(
        std::make_unique<XdsClient>(fmt::format("p{}", i), service.target(), kWhole, kNames, look));
  }
  std::minstd_rand chance(11);
  for (int kill = 0; kill < 25; ++kill) {
    const int out = 1 + static_cast<int>(chance() % 5);
    world.update([out](auto& states) {
      for (int i = 1; i < 6; ++i) {
        states[static_cast<std::size_t>(i)].draining = i == out;
      }
    });
    std::this_thread::sleep_for(std::chrono::microseconds(chance() % 120000));
    service.stop(SIGKILL);
    service.start();
    if (kill % 5 != 4) {
      continue;
    }
    // Let it come up and see that everyone has the latest.
    for (auto& proxy : proxies) {
      if (!proxy->wait([&](const XdsClient& p) {
            return !names(p, "group-0.any", world.name_of(out)) &&
                   names(p, "group-0.members", world.name_of(out), false);
          })) {
        return say("a proxy did not receive the drain");
      }
    }
  }
  say("an empty assignment", empty);
  say("a version decreased", fell);
  std::string log = service.log();
  say("damage to the stored registry logged", log.find("damaged") != std::string::npos);
}

// The newest generations of the store are damaged in turn, then all, then of an older form.
void damaged_store() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address());
  service.start();
  if (!service.wait_for_log("hands out")) {
    return say("not started");
  }
  world.update([](auto& states) { states[2].draining = true; });
  if (!service.wait_for_log("member=s-002")) {
    return say("drain not received");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  service.stop(SIGKILL);
  world.set_discovery_mode(DiscoveryMode::silent);
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
  XdsClient proxy("p", service.target(), kWhole, kNames);
  say("the previous generation is used",
      proxy.wait([](const XdsClient& p) { return names(p, "group-0.any", "s-001"); }));
  say("damage to the newest generation is logged",
      service.wait_for_log("its length is not the one it states"));
  service.stop(SIGKILL);
  for (const std::string& file : newest_first()) {
    std::ofstream(file) << "RSKEEP\r\nolder";
  }
  service.start();
  say("damage to every generation is logged", service.wait_for_log("it is cut short"));
  XdsClient fresh("f", service.target(), kWhole, kNames);
  say("no response without an endpoint list",
      !fresh.wait([](const XdsClient& p) { return p.responses() > 0; }, 700));
  world.set_discovery_mode(DiscoveryMode::normal);
  say("responses resume with an endpoint list",
      fresh.wait([](const XdsClient& p) { return names(p, "group-0.any", "s-001"); }));
  say("epochs keep increasing",
      std::stoi(fresh.last_version().substr(fresh.last_version().find('e') + 1)) > 2);
}

// TestDiscovery empty, then back in its revisions, then whole again.
void suspect_lists() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address(),
                         "(roster (confirm 300ms) (older-list 1h))");
  service.start();
  std::atomic<bool> empty = false;
  XdsClient proxy("p", service.target(), kWhole, kNames,
                  [&](XdsClient& p, const std::string&, double) { empty = empty || any_empty(p); });
  say("endpoints received", proxy.wait(settled));
  world.set_discovery_mode(DiscoveryMode::empty_list);
  world.update([](auto&) {});
  say("an empty list is suspect", service.wait_for_log("why=\"it is empty\""));
  world.set_discovery_mode(DiscoveryMode::normal);
  world.update([](auto& states) { states[1].draining = true; });
  say("the next complete list is accepted",
      proxy.wait([](const XdsClient& p) { return !names(p, "group-0.any", "s-001"); }));
  world.set_revision(0);
  world.update([](auto& states) { states[1].draining = false, states[2].draining = true; });
  say("a list of an older revision is suspect", service.wait_for_log("why=\"its revision is older\""));
  say("a suspect list withdraws a server",
      proxy.wait([](const XdsClient& p) { return !names(p, "group-0.any", "s-002"); }));
  say("a suspect list restores a server", names(proxy, "group-0.any", "s-001"));
  world.set_revision(100);
  world.update([](auto&) {});
  say("a list of a newer revision restores the server",
      proxy.wait([](const XdsClient& p) { return names(p, "group-0.any", "s-001"); }));
  say("an empty assignment", empty);
}

// Two services side by side, of which one hears of a drain and the other does not: a proxy that changes to
// the other in mid-drain is left with what it knows, until that one has heard, too.
void two_services() {
  TestEnvironment world(4);
  TestEnvironment behind(4);
  world.update(one_group), behind.update(one_group);
  ServiceProcess one(program, folder, "a", world.discovery_address());
  ServiceProcess other(program, folder, "b", behind.discovery_address());
  one.start(), other.start();
  if (!one.wait_for_log("hands out") || !other.wait_for_log("hands out")) {
    return say("not started");
  }
  for (const ClientOptions& can : {kWhole, kChanges}) {
    world.update([](auto& states) { states[2].draining = false; });
    std::atomic<bool> drained = false;
    std::atomic<bool> back = false;
    XdsClient proxy("p", one.target(), can, kNames, [&](XdsClient& p, const std::string&, double) {
      if (drained && names(p, "group-0.any", "s-002")) {
        back = true;
      }
    });
    say("endpoints received from the first service", proxy.wait(settled));
    world.update([](auto& states) { states[2].draining = true; });
    say("drain received from the first service",
        proxy.wait([](const XdsClient& p) { return !names(p, "group-0.any", "s-002"); }));
    drained = true;
    proxy.reconnect(other.target());
    // What the other knows is older: nothing is told for as long as that is so.
    say("endpoints received from a second service with an older revision",
        proxy.wait([](const XdsClient& p) { return p.last_version().ends_with(".b"); }, 700));
    long long revision = 0;
    std::sscanf(proxy.last_version().c_str(), "r%lld", &revision);
    behind.set_revision(revision);
    behind.update([](auto& states) { states[2].draining = true; });
    say("endpoints received from the second service at the same revision",
        proxy.wait([&](const XdsClient& p) { return p.last_version().ends_with(".b"); }));
    say("drained server restored", back);
    behind.update([](auto& states) { states[2].draining = false; });
    world.set_revision(revision + 10);
  }
}

// A proxy that stops reading, one that says nothing to what it is sent, one that turns everything down:
// others are told all the same, and the three are let go or left in peace.
void slow_clients() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address(), "(proxies (unread 1s))");
  service.start();
  XdsClient well("well", service.target(), kWhole, kNames);
  XdsClient deaf("deaf", service.target(), kWhole, kNames);
  XdsClient mute("mute", service.target(), kWhole, kNames);
  XdsClient contrary("contrary", service.target(), kChanges, kNames);
  for (XdsClient* proxy : {&well, &deaf, &mute, &contrary}) {
    say("endpoints received", proxy->wait(settled));
  }
  deaf.reads = false, mute.acknowledges = false, contrary.rejects_endpoints = true;
  for (int turn = 0; turn < 30; ++turn) {
    world.update([turn](auto& states) { states[2].draining = turn % 2 == 0; });
    if (!well.wait(
            [turn](const XdsClient& p) { return names(p, "group-0.any", "s-002") == (turn % 2 != 0); })) {
      return say("the healthy client did not receive an update");
    }
  }
  say("the client that acknowledges nothing is disconnected",
      service.wait_for_log("node=mute why=\"it does not answer\""));
  const auto before = contrary.responses();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  say("rejected response resent in a loop", contrary.responses() > before + 3);
  say("the reason for the rejection is logged",
      service.wait_for_log("turned down node=contrary why=\"turned down on purpose\""));
}

// Noise on the port, half a handshake, streams that say nothing, names by thousands.
void hostile_clients() {
  TestEnvironment world(4);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address(), "(proxies (most 4) (names 100))");
  service.start();
  XdsClient well("well", service.target(), kWhole, kNames);
  say("endpoints received", well.wait(settled));
  std::minstd_rand chance(3);
  std::vector<int> open;
  const std::string target = service.target();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))));
  inet_pton(AF_INET, target.substr(0, target.rfind(':')).c_str(), &address.sin_addr);
  for (int i = 0; i < 200; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      return say("not reached");
    }
    std::string noise = i % 3 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
    for (unsigned n = chance() % 2000; n > 0; --n) {
      noise += static_cast<char>(chance());
    }
    if (send(fd, noise.data(), noise.size(), MSG_NOSIGNAL) < 0) {
      say("not sent");
    }
    open.push_back(fd);
  }
  std::vector<std::string> many;
  for (int i = 0; i < 5000; ++i) {
    many.push_back(fmt::format("nobody-{}", i));
  }
  XdsClient greedy("greedy", target, kChanges, many);
  say("the client that subscribes to too many names is disconnected",
      service.wait_for_log("node=greedy why=\"more than 100 names\""));
  greedy.stop();
  std::vector<std::unique_ptr<XdsClient>> crowd;
  for (int i = 0; i < 8; ++i) {
    crowd.push_back(std::make_unique<XdsClient>(fmt::format("crowd-{}", i), target, kWhole, kNames));
  }
  say("the number of streams is limited", service.wait_for_log("not taken"));
  world.update([](auto& states) { states[2].draining = true; });
  say("the healthy client still receives updates",
      well.wait([](const XdsClient& p) { return !names(p, "group-0.any", "s-002"); }));
  say("the healthy client kept its first stream", well.streams() == 1);
  for (const int fd : open) {
    close(fd);
  }
}

// Stand-in proxies send reads by what they were handed while replicas stall and streams are cut; what they
// read is held against what the bound allows.
void staleness_bound() {
  TestEnvironment world(5);
  world.update(one_group);
  ServiceProcess service(program, folder, "a", world.discovery_address());
  service.start();
  std::vector<std::unique_ptr<XdsClient>> proxies;
  for (int i = 0; i < 6; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(
        fmt::format("p{}", i), service.target(),
        i % 3 == 2 ? ClientOptions{true, {"reedspindle.expiry.ttl", "reedspindle.weights"}, "stand-in"}
        : i % 3    ? kChanges
                   : kWhole,
        std::vector<std::string>{"group-0.within-1500ms", "group-0.within-1500ms.replicas",
                                 "group-0.primary"}));
  }
  for (auto& proxy : proxies) {
    if (!proxy->wait([](const XdsClient& p) { return names(p, "group-0.primary", "s-000"); })) {
      return say("endpoints not received");
    }
  }
  std::map<std::string, int> stores;
  for (int store = 0; store < world.size(); ++store) {
    stores[world.address_of(store)] = store;
  }
  std::minstd_rand chance(5);
  long reads = 0;
  long on_replicas = 0;
  long nowhere = 0;
  long too_old = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  for (unsigned turn = 0; std::chrono::steady_clock::now() < end; ++turn) {
    if (turn % 400 == 0) {
      world.update_unpublished([&](auto& states) {
        for (std::size_t i = 1; i < states.size(); ++i) {
          const bool stalls = chance() % 3 == 0;
          if (stalls && states[i].stalled_at < 0) {
            states[i].stalled_at = now_ms() - states[i].lag;
          }
          if (!stalls) {
            states[i].stalled_at = -1;
          }
        }
      });
      proxies[chance() % proxies.size()]->reconnect();
    }
    if (turn == 4000) {
      kill(service.pid(), SIGSTOP);  // nothing more is heard of us
    }
    if (turn == 9000) {
      kill(service.pid(), SIGCONT);
    }
    const std::vector<double> positions = world.positions();
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      const double now = now_ms();
      auto to = proxies[i]->pick_endpoint("group-0.within-1500ms", now, turn);
      if (!to) {
        to = proxies[i]->pick_endpoint("group-0.within-1500ms.replicas", now, turn);
      }
      if (!to) {
        to = proxies[i]->pick_endpoint("group-0.primary", now, turn);
      }
      ++reads;
      if (!to) {
        ++nowhere;
        continue;
      }
      const int store = stores.at(to->address);
      on_replicas += store != 0;
      too_old += now - positions[static_cast<std::size_t>(store)] > 1500;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(300));
  }
  say("more than 50,000 reads", reads > 50000);
  say("at least a fifth of the reads on replicas", on_replicas * 5 > reads);
  say("reads without a server", nowhere > 0);
  say("reads beyond the staleness bound", too_old > 0);
}

// Certificates: a proxy with one of the right issuer is taken, one without is not; new files count without a
// restart.
void tls() {
  TestEnvironment world(3);
  world.update(one_group);
  const auto run = [](const std::string& command) {
    if (std::system((command + " >/dev/null 2>&1").c_str()) != 0) {
      say("failed: " + command);
    }
  };
  const auto issue = [&](const std::string& name, const std::string& by, const std::string& subject) {
    const std::string at = folder + "/" + name;
    const std::string from = folder + "/" + by;
    run(fmt::format("openssl req -newkey rsa:2048 -nodes -keyout {0}.key -out {0}.csr -subj /CN={1}", at,
                    subject));
    std::ofstream(at + ".ext") << "subjectAltName=DNS:" << subject << "\n";
    run(fmt::format(
        "openssl x509 -req -in {0}.csr -CA {1}.pem -CAkey {1}.key -CAcreateserial -out {0}.pem -days 2 "
        "-extfile {0}.ext",
        at, from));
  };
  const auto issuer = [&](const std::string& name) {
    run(
        fmt::format("openssl req -x509 -newkey rsa:2048 -nodes -keyout {0}/{1}.key -out {0}/{1}.pem -days 2 "
                    "-subj /CN={1}",
                    folder, name));
  };
  const auto read = [&](const std::string& name) {
    std::ifstream file(folder + "/" + name);
    return std::string((std::istreambuf_iterator<char>(file)), {});
  };
  issuer("ours"), issuer("theirs");
  issue("service", "ours", "control.test"), issue("proxy", "ours", "proxy.test"),
      issue("stranger", "theirs", "proxy.test");
  issue("later", "ours", "control.test");
  ServiceProcess service(
      program, folder, "a", world.discovery_address(),
      fmt::format(
          "(tls (certificate \"{0}/service.pem\") (key \"{0}/service.key\") (proxies \"{0}/ours.pem\"))",
          folder));
  service.start();
  if (!service.wait_for_log("hands out")) {
    return say("not started");
  }
  const auto proxy_of = [&](const std::string& name) {
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = read("ours.pem");
    if (!name.empty()) {
      options.pem_private_key = read(name + ".key"), options.pem_cert_chain = read(name + ".pem");
    }
    auto target = std::make_unique<XdsClient>("p", service.target(), kWhole, kNames,
                                              XdsClient::AppliedCallback{}, grpc::SslCredentials(options));
    return target;
  };
  const auto taken = [&](const std::string& name, int ms) {
    return proxy_of(name)->wait([](const XdsClient& p) { return names(p, "group-0.any", "s-001"); }, ms);
  };
  say("client certificate of the trusted issuer accepted", taken("proxy", 10000));
  say("client certificate of another issuer accepted", taken("stranger", 700));
  say("client without a certificate accepted", taken("", 700));
  // Another certificate in the same files: new connections see it, the service goes on.
  const auto number = [&](const std::string& name) {
    run(fmt::format("openssl x509 -in {0}/{1}.pem -noout -serial -out {0}/{1}.serial", folder, name));
    return read(name + ".serial");
  };
  const auto shown = [&] {
    run(fmt::format(
        "openssl s_client -connect {0} -cert {1}/proxy.pem -key {1}/proxy.key </dev/null 2>/dev/null | "
        "openssl x509 -noout -serial -out {1}/shown",
        service.target(), folder));
    return read("shown");
  };
  say("server certificate presented", shown() == number("service"));
  for (const char* of : {"key", "pem"}) {
    std::filesystem::copy_file(folder + "/later." + of, folder + "/next");
    std::filesystem::rename(folder + "/next", folder + "/service." + of);
  }
  bool later = false;
  for (int turn = 0; turn < 100 && !later; ++turn) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    later = shown() == number("later");
  }
  say("replaced server certificate presented without a restart", later);
  say("clients accepted after the replacement", taken("proxy", 10000));
}

// What a store says of itself to clients of its own: its name.
class Named final : public grpc::CallbackGenericService {
 public:
  explicit Named(std::string name) : name_(std::move(name)) {}
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

// The xDS client inside the gRPC library, which nobody here wrote, follows primary, replicas and drains.
void grpc_client() {
  TestEnvironment world(4);
  world.update(one_group);
  std::vector<std::unique_ptr<Named>> named;
  std::vector<std::unique_ptr<grpc::Server>> servers;
  for (int store = 0; store < world.size(); ++store) {
    named.push_back(std::make_unique<Named>(world.name_of(store)));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterCallbackGenericService(named.back().get());
    servers.push_back(builder.BuildAndStart());
    world.pass_http2(store, port);
  }
  ServiceProcess service(program, folder, "a", world.discovery_address());
  setenv("GRPC_XDS_BOOTSTRAP_CONFIG",
         fmt::format(R"({{"xds_servers":[{{"server_uri":"{}","channel_creds":[{{"type":"insecure"}}],)"
                     R"("server_features":["xds_v3"]}}],"node":{{"id":"own","cluster":"test"}}}})",
                     service.target())
             .c_str(),
         1);
  service.start();
  const auto channel = grpc::CreateChannel("xds:///reedspindle", grpc::InsecureChannelCredentials());
  grpc::GenericStub stub(channel);
  const auto call = [&](const std::string& type) {
    grpc::ClientContext context;
    context.AddMetadata("x-group", "0");
    context.AddMetadata("x-op-type", type);
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(5));
    grpc::CompletionQueue queue;
    grpc::ByteBuffer asked(nullptr, 0);
    grpc::ByteBuffer answer;
    auto reader = stub.PrepareUnaryCall(&context, "/stores/Say", asked, &queue);
    reader->StartCall();
    grpc::Status status;
    reader->Finish(&answer, &status, nullptr);
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
  const auto reached = [&](const std::string& type, int calls) {
    std::set<std::string> stores;
    for (int i = 0; i < calls; ++i) {
      stores.insert(call(type));
    }
    std::string text;
    for (const std::string& store : stores) {
      text += " " + store;
    }
    return text;
  };
  const auto becomes = [&](const std::string& type, const std::string& wanted) {
    for (int turn = 0; turn < 100; ++turn) {
      if (reached(type, 12) == wanted) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    say(type + " reaches" + reached(type, 12));
    return false;
  };
  say("writes go to the primary", becomes("save", " s-000"));
  say("reports go to replicas", becomes("report", " s-001 s-002 s-003"));
  say("bounded reads go to the primary, since the client does not expire endpoints",
      becomes("browse", " s-000"));
  world.update([](auto& states) { states[1].draining = true; });
  say("reads follow a drain", becomes("report", " s-002 s-003"));
  world.update_unpublished([](auto& states) { states[0].primary = false, states[2].primary = true; });
  say("writes follow a new primary", becomes("save", " s-002"));
  say("the former primary serves reads as a replica", becomes("report", " s-000 s-003"));
  service.stop(SIGKILL);
  say("calls continue while the service is down", becomes("save", " s-002"));
  world.update([](auto& states) { states[3].draining = true; });
  service.start();
  say("reads follow a drain after the restart", becomes("report", " s-000"));
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

int main(int count, char** words) {
  if (count != 3) {
    return 2;
  }
  program = words[1];
  std::signal(SIGPIPE, SIG_IGN);
  char made[] = "/tmp/reedspindle-proxies-XXXXXX";
  if (!mkdtemp(made)) {
    return 1;
  }
  folder = made;
  std::ifstream file(words[2]);
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
