// Plays drawn sequences of events to the decision module and prints a digest of its decisions for each seed:
// what changes in the module without being meant to change a decision must leave all digests as they are.
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

constexpr Millis kTick = 5;   // between two batches
constexpr int kTicks = 3000;  // of one sequence
constexpr int kGroups = 6, kMembers = 5;

Settings settings(unsigned seed) {
  const bool asked = seed % 3 == 1;
  const bool cold = seed % 2 == 0;
  const bool peers = seed % 4 != 3;
  return {{"instances", peers ? 12.0 : 1.0},
          {"rank", 2.0},
          {"tick", kTick},
          {"list", std::string(asked ? "ask" : "push")},
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
          {"rule.warm_within", cold ? 6000.0 : 0.0},
          {"rule.fall_multiple", 2.0}};
}

// The world that answers the module: members with a state each, work that ends after a while.
class Sequence {
 public:
  Sequence(unsigned seed, bool prints)
      : random_(seed * 2654435761U % 2147483646U + 1),
        router_(make_router(settings(seed), seed)),
        digest_(prints) {
    for (int number = 0; number < kGroups * kMembers; ++number) {
      ServerEntry& entry = members_.emplace_back();
      entry.id = {fmt::format("m{}", number)};
      entry.group = {number % kGroups};
      entry.relative_capacity = 0.5 + 0.5 * (number % 3);
    }
  }

  std::string play() {
    std::vector<ServerEntry> first(members_.begin(), members_.end() - kGroups);
    router_->enqueue(EndpointListReceived{EndpointListKind::saved, first});
    for (int tick = 0; tick < kTicks; ++tick) {
      now_ += kTick;
      while (!due_.empty() && due_.begin()->first <= now_) {
        router_->enqueue(due_.begin()->second);
        due_.erase(due_.begin());
      }
      digest_.comment(fmt::format("tick {}", tick));
      happen();
      for (const Decision& decision : router_->process(now_)) {
        std::visit([this](const auto& d) { take(d); }, decision);
      }
    }
    return digest_.text();
  }

 private:
  bool chance(double share) {
    return static_cast<double>(random_()) < share * static_cast<double>(random_.max());
  }
  int draw(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  ServerEntry& member() {
    return members_[static_cast<std::size_t>(draw(static_cast<int>(members_.size())))];
  }

  void happen() {
    if (chance(0.4)) {
      RequestReceived op;
      op.request = {++ops_};
      op.request_class = {draw(4)};
      op.group = {draw(kGroups)};
      op.session = fmt::format("s{}", draw(9));
      op.remaining =
          std::vector<Millis>{400, 500, 900, 3000}[static_cast<std::size_t>(op.request_class.number)];
      if (op.request_class.number == 3 && chance(0.7)) {
        op.token_age = draw(400);
      }
      op.is_retry = chance(0.1);
      router_->enqueue(op);
      if (chance(0.02)) {
        due_.emplace(now_ + draw(200), RequestAbandoned{op.request});
      }
    }
    if (chance(0.01)) {
      change_list();
    }
    if (chance(0.02)) {
      speak();
    }
    if (chance(0.003)) {
      trouble_ = draw(3), trouble_from_ = draw(static_cast<int>(members_.size()));
    }
    if (chance(0.002)) {
      router_->enqueue(FleetViewChanged{{0, 1, 3, draw(12)}, 0.5 + 0.1 * draw(6), !chance(0.1), true});
    }
  }
  void change_list() {
    const int kind = draw(8);
    if (kind == 0) {
      return router_->enqueue(EndpointListReceived{EndpointListKind::failed, {}});
    }
    ServerEntry& entry = member();
    const ServerState states[] = {ServerState::ready, ServerState::draining, ServerState::gone,
                                  ServerState::ready};
    entry.state = states[draw(4)];
    if (chance(0.4)) {
      entry.started_at = now_ - draw(500);
    }
    digest_.comment(
        fmt::format("{} is {} since {}", entry.id.address, static_cast<int>(entry.state), entry.started_at));
    if (kind > 1) {
      return router_->enqueue(EndpointListReceived{EndpointListKind::changes, {entry}});
    }
    EndpointListReceived read{EndpointListKind::complete, {}};
    for (const ServerEntry& one : members_) {
      if (one.state != ServerState::gone) {
        read.servers.push_back(one);
      }
    }
    router_->enqueue(read);
  }
  void speak() {
    std::vector<GossipedSample> samples;
    const int group = draw(kGroups);
    for (const ServerEntry& one : members_) {
      if (one.group.number == group) {
        samples.push_back(
            {hash_address(one.id), {chance(0.1) ? Role::unknown : role(one), now_ - lag(one), 0.4}});
      }
    }
    router_->enqueue(PeerMessageReceived{draw(12), encode_samples(now_ - draw(40), samples)});
  }
  static Role role(const ServerEntry& one) {
    return one.id.address.size() == 2 && one.id.address[1] < '6' ? Role::primary : Role::replica;
  }
  [[nodiscard]] bool troubled(const ServerId& id) const {
    return members_[static_cast<std::size_t>(trouble_from_)].id == id;
  }
  Millis lag(const ServerEntry& one) {
    return role(one) == Role::primary ? 0 : 5 + draw(troubled(one.id) ? 900 : 60);
  }
  const ServerEntry& of(const ServerId& id) {
    for (const ServerEntry& one : members_) {
      if (one.id == id) {
        return one;
      }
    }
    return members_.front();
  }

  void take(const StartAttempt& send) {
    digest_.add(fmt::format("send {} {} {:.3f} {:.3f}", send.request.number, send.server.address,
                            send.timeout, send.start_within.value_or(-1)));
    const ServerEntry& to = of(send.server);
    AttemptCompleted ended{
        send.request, {sends_[send.request]++},       send.server, AttemptOutcome::acknowledged, 0,
        true,         {role(to), now_ - lag(to), 0.5}};
    Millis took = 10 + draw(60);
    if (troubled(send.server)) {
      const AttemptOutcome bad[] = {AttemptOutcome::failed, AttemptOutcome::reset,
                                    AttemptOutcome::connect_failed};
      ended.outcome = bad[trouble_];
      if (trouble_ == 0) {
        took = std::min(send.timeout, 350.0), ended.outcome = AttemptOutcome::timed_out;
      }
    } else if (chance(0.05)) {
      const AttemptOutcome ends[] = {AttemptOutcome::rejected_overloaded, AttemptOutcome::failed,
                                     AttemptOutcome::rejected_not_executed, AttemptOutcome::not_sent};
      ended.outcome = ends[draw(4)];
    }
    ended.request_completed = ended.outcome == AttemptOutcome::acknowledged;
    ended.latency = took;
    due_.emplace(now_ + took, ended);
  }
  void take(const StartProbe& probe) {
    digest_.add(fmt::format("probe {} {:.3f}", probe.server.address, probe.timeout));
    const ServerEntry& to = of(probe.server);
    const bool answers = !troubled(probe.server) || trouble_ == 1;
    const Millis took = answers ? 2 + draw(20) : probe.timeout;
    due_.emplace(
        now_ + took,
        ProbeCompleted{probe.server, answers, took, {role(to), now_ - lag(to), 0.2 + 0.1 * draw(8)}});
  }
  void take(const SetTimer& wake) { due_.emplace(wake.at, TimerExpired{wake.timer}); }
  void take(const WatchEndpoints& /*unused*/) {
    digest_.add("watch");
    due_.emplace(now_ + 30, EndpointListReceived{
                                chance(0.5) ? EndpointListKind::failed : EndpointListKind::changes, {}});
  }
  void take(const CancelAttempt& d) {
    digest_.add(fmt::format("call off {} {}", d.request.number, d.attempt.number));
  }
  void take(const RejectRequest& d) {
    digest_.add(fmt::format("busy {} {:.3f}", d.request.number, d.retry_after));
  }
  void take(const FailRequest& d) { digest_.add(fmt::format("error {}", d.request.number)); }
  void take(const ForgetServer& d) { digest_.add("forget " + d.server.address); }
  void take(const BroadcastToPeers& d) { digest_.add("tell " + d.text); }
  void take(const LogMessage& /*unused*/) {}

  std::minstd_rand random_;
  std::unique_ptr<Router> router_;
  Digest digest_;
  Millis now_ = 1767225600000;
  std::vector<ServerEntry> members_;
  std::multimap<Millis, Event> due_;
  std::map<RequestId, int> sends_;
  std::uint64_t ops_ = 0;
  int trouble_ = 0, trouble_from_ = 0;
};

}  // namespace

// decisions [SEEDS]: a digest a seed. decisions SEED lines: that seed's decisions.
int main(int count, char** words) {
  const unsigned number = count > 1 ? static_cast<unsigned>(std::stoul(words[1])) : 12;
  const bool prints = count > 2;
  for (unsigned seed = prints ? number : 1; seed <= number; ++seed) {
    std::cout << seed << ' ' << Sequence(seed, prints).play() << '\n';
  }
}
