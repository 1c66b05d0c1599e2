// Plays random sequences of events to the router and prints, for each seed, a digest of its decisions. A
// change that is not meant to change decisions must leave all digests as they are.
#include <fmt/format.h>

#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "digests/digest.hpp"
#include "routing/replica_samples.hpp"
#include "routing/router.hpp"

namespace {
using namespace reedspindle;
using digests::Digest;

constexpr Millis kTick = 5;   // the time between two batches
constexpr int kTicks = 3000;  // the length of a sequence
constexpr int kGroups = 6, kServersPerGroup = 5;

Settings settings(unsigned seed) {
  const bool polled = seed % 3 == 1;
  const bool slow_start = seed % 2 == 0;
  const bool peers = seed % 4 != 3;
  return {{"instances", peers ? 12.0 : 1.0},
          {"rank", 2.0},
          {"tick", kTick},
          {"list", std::string(polled ? "ask" : "push")},
          {"checks", std::string(seed % 5 == 0 ? "turns_away" : "none")},
          {"tokens", std::string(seed % 5 == 1 ? "remembered" : "carried")},
          {"op_types", 4.0},
          {"op_type.0.needs", std::string("any")},
          {"op_type.0.effect", std::string("retryable")},
          {"op_type.0.latency_target", 100.0},
          {"op_type.0.op_timeout", 400.0},
          {"op_type.1.needs", std::string("bounded")},
          {"op_type.1.effect", std::string("retryable")},
          {"op_type.1.bound", 300.0},
          {"op_type.1.latency_target", 150.0},
          {"op_type.1.op_timeout", 500.0},
          {"op_type.2.needs", std::string("write")},
          {"op_type.2.effect", std::string("tokened")},
          {"op_type.2.token_memory", 1200.0},
          {"op_type.2.latency_target", 200.0},
          {"op_type.2.op_timeout", 900.0},
          {"op_type.2.value", 3.0},
          {"op_type.3.needs", std::string("session")},
          {"op_type.3.effect", std::string("retryable")},
          {"op_type.3.latency_target", 1500.0},
          {"op_type.3.op_timeout", 3000.0},
          {"allow.call_off", 1.0},
          {"allow.probes", 1.0},
          {"allow.peers", peers ? 1.0 : 0.0},
          {"allow.come_back", 1.0},
          {"allow.longest_come_back", 1000.0},
          {"allow.sends_per_op", 4.0},
          {"allow.connect_time_out", 250.0},
          {"rule.drain_grace", 500.0},
          {"rule.cold_from", 0.2},
          {"rule.warm_within", slow_start ? 6000.0 : 0.0},
          {"rule.fall_multiple", 2.0}};
}

// Simulates clients, discovery, peers and the servers that answer the router. One server at a time may be
// faulty.
class Sequence {
 public:
  Sequence(unsigned seed, bool print_lines)
      : random_(seed * 2654435761U % 2147483646U + 1),
        router_(make_router(settings(seed), seed)),
        digest_(print_lines) {
    for (int number = 0; number < kGroups * kServersPerGroup; ++number) {
      ServerEntry& entry = servers_.emplace_back();
      entry.id = {fmt::format("m{}", number)};
      entry.group = {number % kGroups};
      entry.relative_capacity = 0.5 + 0.5 * (number % 3);
    }
  }

  std::string play() {
    std::vector<ServerEntry> listed(servers_.begin(), servers_.end() - kGroups);
    router_->enqueue(EndpointListReceived{EndpointListKind::saved, listed});
    for (int tick = 0; tick < kTicks; ++tick) {
      now_ += kTick;
      while (!due_.empty() && due_.begin()->first <= now_) {
        router_->enqueue(due_.begin()->second);
        due_.erase(due_.begin());
      }
      digest_.comment(fmt::format("tick {}", tick));
      enqueue_random_events();
      for (const Decision& decision : router_->process(now_)) {
        std::visit([this](const auto& d) { handle(d); }, decision);
      }
    }
    return digest_.text();
  }

 private:
  bool with_probability(double probability) {
    return static_cast<double>(random_()) < probability * static_cast<double>(random_.max());
  }
  int random_below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
  ServerEntry& random_server() {
    return servers_[static_cast<std::size_t>(random_below(static_cast<int>(servers_.size())))];
  }

  void enqueue_random_events() {
    if (with_probability(0.4)) {
      RequestReceived received;
      received.request = {++requests_};
      received.request_class = {random_below(4)};
      received.group = {random_below(kGroups)};
      received.session = fmt::format("s{}", random_below(9));
      received.remaining =
          std::vector<Millis>{400, 500, 900, 3000}[static_cast<std::size_t>(received.request_class.number)];
      if (received.request_class.number == 3 && with_probability(0.7)) {
        received.token_age = random_below(400);
      }
      received.is_retry = with_probability(0.1);
      router_->enqueue(received);
      if (with_probability(0.02)) {
        due_.emplace(now_ + random_below(200), RequestAbandoned{received.request});
      }
    }
    if (with_probability(0.01)) {
      enqueue_endpoint_list();
    }
    if (with_probability(0.02)) {
      enqueue_peer_message();
    }
    if (with_probability(0.003)) {
      fault_ = random_below(3), faulty_server_ = random_below(static_cast<int>(servers_.size()));
    }
    if (with_probability(0.002)) {
      router_->enqueue(FleetViewChanged{
          {0, 1, 3, random_below(12)}, 0.5 + 0.1 * random_below(6), !with_probability(0.1), true});
    }
  }
  void enqueue_endpoint_list() {
    const int kind = random_below(8);
    if (kind == 0) {
      return router_->enqueue(EndpointListReceived{EndpointListKind::failed, {}});
    }
    ServerEntry& entry = random_server();
    const ServerState states[] = {ServerState::ready, ServerState::draining, ServerState::gone,
                                  ServerState::ready};
    entry.state = states[random_below(4)];
    if (with_probability(0.4)) {
      entry.started_at = now_ - random_below(500);
    }
    digest_.comment(
        fmt::format("{} is {} since {}", entry.id.address, static_cast<int>(entry.state), entry.started_at));
    if (kind > 1) {
      return router_->enqueue(EndpointListReceived{EndpointListKind::changes, {entry}});
    }
    EndpointListReceived list{EndpointListKind::complete, {}};
    for (const ServerEntry& server : servers_) {
      if (server.state != ServerState::gone) {
        list.servers.push_back(server);
      }
    }
    router_->enqueue(list);
  }
  void enqueue_peer_message() {
    std::vector<GossipedSample> samples;
    const int group = random_below(kGroups);
    for (const ServerEntry& server : servers_) {
      if (server.group.number == group) {
        samples.push_back(
            {hash_address(server.id),
             {with_probability(0.1) ? Role::unknown : role_of(server), now_ - random_lag(server), 0.4}});
      }
    }
    router_->enqueue(PeerMessageReceived{random_below(12), encode_samples(now_ - random_below(40), samples)});
  }
  // The servers m0 to m5, one of each group, are the primaries.
  static Role role_of(const ServerEntry& server) {
    return server.id.address.size() == 2 && server.id.address[1] < '6' ? Role::primary : Role::replica;
  }
  [[nodiscard]] bool is_faulty(const ServerId& id) const {
    return servers_[static_cast<std::size_t>(faulty_server_)].id == id;
  }
  // Returns how far the server's position is behind, in milliseconds.
  Millis random_lag(const ServerEntry& server) {
    return role_of(server) == Role::primary ? 0 : 5 + random_below(is_faulty(server.id) ? 900 : 60);
  }
  const ServerEntry& server_of(const ServerId& id) {
    for (const ServerEntry& server : servers_) {
      if (server.id == id) {
        return server;
      }
    }
    return servers_.front();
  }

  void handle(const StartAttempt& start) {
    digest_.add(fmt::format("send {} {} {:.3f} {:.3f}", start.request.number, start.server.address,
                            start.timeout, start.start_within.value_or(-1)));
    const ServerEntry& server = server_of(start.server);
    AttemptCompleted completed{start.request,
                               {attempts_[start.request]++},
                               start.server,
                               AttemptOutcome::acknowledged,
                               0,
                               true,
                               {role_of(server), now_ - random_lag(server), 0.5}};
    Millis latency = 10 + random_below(60);
    if (is_faulty(start.server)) {
      const AttemptOutcome faults[] = {AttemptOutcome::failed, AttemptOutcome::reset,
                                       AttemptOutcome::connect_failed};
      completed.outcome = faults[fault_];
      if (fault_ == 0) {
        latency = std::min(start.timeout, 350.0), completed.outcome = AttemptOutcome::timed_out;
      }
    } else if (with_probability(0.05)) {
      const AttemptOutcome outcomes[] = {AttemptOutcome::rejected_overloaded, AttemptOutcome::failed,
                                         AttemptOutcome::rejected_not_executed, AttemptOutcome::not_sent};
      completed.outcome = outcomes[random_below(4)];
    }
    completed.request_completed = completed.outcome == AttemptOutcome::acknowledged;
    completed.latency = latency;
    due_.emplace(now_ + latency, completed);
  }
  void handle(const StartProbe& probe) {
    digest_.add(fmt::format("probe {} {:.3f}", probe.server.address, probe.timeout));
    const ServerEntry& server = server_of(probe.server);
    const bool answered = !is_faulty(probe.server) || fault_ == 1;
    const Millis latency = answered ? 2 + random_below(20) : probe.timeout;
    due_.emplace(now_ + latency,
                 ProbeCompleted{probe.server,
                                answered,
                                latency,
                                {role_of(server), now_ - random_lag(server), 0.2 + 0.1 * random_below(8)}});
  }
  void handle(const SetTimer& timer) { due_.emplace(timer.at, TimerExpired{timer.timer}); }
  void handle(const WatchEndpoints& /*unused*/) {
    digest_.add("watch");
    due_.emplace(now_ + 30,
                 EndpointListReceived{
                     with_probability(0.5) ? EndpointListKind::failed : EndpointListKind::changes, {}});
  }
  void handle(const CancelAttempt& d) {
    digest_.add(fmt::format("call off {} {}", d.request.number, d.attempt.number));
  }
  void handle(const RejectRequest& d) {
    digest_.add(fmt::format("busy {} {:.3f}", d.request.number, d.retry_after));
  }
  void handle(const FailRequest& d) { digest_.add(fmt::format("error {}", d.request.number)); }
  void handle(const ForgetServer& d) { digest_.add("forget " + d.server.address); }
  void handle(const BroadcastToPeers& d) { digest_.add("tell " + d.text); }
  void handle(const LogMessage& /*unused*/) {}

  std::minstd_rand random_;
  std::unique_ptr<Router> router_;
  Digest digest_;
  Millis now_ = 1767225600000;
  std::vector<ServerEntry> servers_;
  std::multimap<Millis, Event> due_;
  std::map<RequestId, int> attempts_;
  std::uint64_t requests_ = 0;
  // The fault 0 makes attempts time out, 1 resets their connections, with 2 connecting fails.
  int fault_ = 0, faulty_server_ = 0;
};

}  // namespace

// "decisions [SEEDS]" prints a digest for each seed from 1 to SEEDS (12). "decisions SEED lines" prints the
// decisions and the digest of that seed.
int main(int argument_count, char** arguments) {
  const unsigned number = argument_count > 1 ? static_cast<unsigned>(std::stoul(arguments[1])) : 12;
  const bool print_lines = argument_count > 2;
  for (unsigned seed = print_lines ? number : 1; seed <= number; ++seed) {
    std::cout << seed << ' ' << Sequence(seed, print_lines).play() << '\n';
  }
}
