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
#include "logic.hpp"
#include "samples.hpp"

namespace {
using namespace reedspindle;
using digests::Digest;

constexpr Millis kTick = 5;   // between two batches
constexpr int kTicks = 3000;  // of one sequence
constexpr int kGroups = 6, kMembers = 5;

Values settings(unsigned seed) {
  const bool asked = seed % 3 == 1, cold = seed % 2 == 0, peers = seed % 4 != 3;
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
      : random_(seed * 2654435761u % 2147483646u + 1),
        router_(make_router(settings(seed), seed)),
        digest_(prints) {
    for (int number = 0; number < kGroups * kMembers; ++number) {
      ListedMember& entry = members_.emplace_back();
      entry.member = {fmt::format("m{}", number)};
      entry.group = {number % kGroups};
      entry.size = 0.5 + 0.5 * (number % 3);
    }
  }

  std::string play() {
    std::vector<ListedMember> first(members_.begin(), members_.end() - kGroups);
    router_->note(ListRead{ListKind::saved, first});
    for (int tick = 0; tick < kTicks; ++tick) {
      now_ += kTick;
      while (!due_.empty() && due_.begin()->first <= now_) {
        router_->note(due_.begin()->second);
        due_.erase(due_.begin());
      }
      digest_.comment(fmt::format("tick {}", tick));
      happen();
      for (const Decision& decision : router_->settle(now_))
        std::visit([this](const auto& d) { take(d); }, decision);
    }
    return digest_.text();
  }

 private:
  bool chance(double share) {
    return static_cast<double>(random_()) < share * static_cast<double>(random_.max());
  }
  int draw(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  ListedMember& member() {
    return members_[static_cast<std::size_t>(draw(static_cast<int>(members_.size())))];
  }

  void happen() {
    if (chance(0.4)) {
      OpArrived op;
      op.op = {++ops_};
      op.type = {draw(4)};
      op.group = {draw(kGroups)};
      op.session = fmt::format("s{}", draw(9));
      op.patience = std::vector<Millis>{400, 500, 900, 3000}[static_cast<std::size_t>(op.type.number)];
      if (op.type.number == 3 && chance(0.7)) op.token_age = draw(400);
      op.repeat = chance(0.1);
      router_->note(op);
      if (chance(0.02)) due_.emplace(now_ + draw(200), OpGone{op.op});
    }
    if (chance(0.01)) change_list();
    if (chance(0.02)) speak();
    if (chance(0.003)) trouble_ = draw(3), trouble_from_ = draw(static_cast<int>(members_.size()));
    if (chance(0.002))
      router_->note(AmongPeers{{0, 1, 3, draw(12)}, 0.5 + 0.1 * draw(6), !chance(0.1), true});
  }
  void change_list() {
    const int kind = draw(8);
    if (kind == 0) return router_->note(ListRead{ListKind::failed, {}});
    ListedMember& entry = member();
    const MemberState states[] = {MemberState::ready, MemberState::draining, MemberState::gone,
                                  MemberState::ready};
    entry.state = states[draw(4)];
    if (chance(0.4)) entry.up_since = now_ - draw(500);
    digest_.comment(fmt::format("{} is {} since {}", entry.member.address, static_cast<int>(entry.state),
                                entry.up_since));
    if (kind > 1) return router_->note(ListRead{ListKind::changes, {entry}});
    ListRead read{ListKind::complete, {}};
    for (const ListedMember& one : members_)
      if (one.state != MemberState::gone) read.members.push_back(one);
    router_->note(read);
  }
  void speak() {
    std::vector<ToldSample> samples;
    const int group = draw(kGroups);
    for (const ListedMember& one : members_)
      if (one.group.number == group)
        samples.push_back(
            {mark_of(one.member), {chance(0.1) ? Role::unknown : role(one), now_ - lag(one), 0.4}});
    router_->note(PeerSpoke{draw(12), text_of(now_ - draw(40), samples)});
  }
  static Role role(const ListedMember& one) {
    return one.member.address.size() == 2 && one.member.address[1] < '6' ? Role::primary : Role::replica;
  }
  bool troubled(const MemberId& id) const {
    return members_[static_cast<std::size_t>(trouble_from_)].member == id;
  }
  Millis lag(const ListedMember& one) {
    return role(one) == Role::primary ? 0 : 5 + draw(troubled(one.member) ? 900 : 60);
  }
  const ListedMember& of(const MemberId& id) {
    for (const ListedMember& one : members_)
      if (one.member == id) return one;
    return members_.front();
  }

  void take(const Send& send) {
    digest_.add(fmt::format("send {} {} {:.3f} {:.3f}", send.op.number, send.member.address, send.time_out,
                            send.start_within.value_or(-1)));
    const ListedMember& to = of(send.member);
    SendEnded ended{
        send.op, {sends_[send.op]++}, send.member, Ending::acked, 0, true, {role(to), now_ - lag(to), 0.5}};
    Millis took = 10 + draw(60);
    if (troubled(send.member)) {
      const Ending bad[] = {Ending::errored, Ending::reset, Ending::connect_failed};
      ended.ending = bad[trouble_];
      if (trouble_ == 0) took = std::min(send.time_out, 350.0), ended.ending = Ending::timed_out;
    } else if (chance(0.05)) {
      const Ending ends[] = {Ending::turned_away_full, Ending::errored, Ending::turned_away_untouched,
                             Ending::never_sent};
      ended.ending = ends[draw(4)];
    }
    ended.op_ended = ended.ending == Ending::acked;
    ended.took = took;
    due_.emplace(now_ + took, ended);
  }
  void take(const Probe& probe) {
    digest_.add(fmt::format("probe {} {:.3f}", probe.member.address, probe.time_out));
    const ListedMember& to = of(probe.member);
    const bool answers = !troubled(probe.member) || trouble_ == 1;
    const Millis took = answers ? 2 + draw(20) : probe.time_out;
    due_.emplace(now_ + took,
                 ProbeEnded{probe.member, answers, took, {role(to), now_ - lag(to), 0.2 + 0.1 * draw(8)}});
  }
  void take(const Wake& wake) { due_.emplace(wake.at, TimerDue{wake.timer}); }
  void take(const WatchList&) {
    digest_.add("watch");
    due_.emplace(now_ + 30, ListRead{chance(0.5) ? ListKind::failed : ListKind::changes, {}});
  }
  void take(const CallOff& d) { digest_.add(fmt::format("call off {} {}", d.op.number, d.send.number)); }
  void take(const BusyReply& d) { digest_.add(fmt::format("busy {} {:.3f}", d.op.number, d.come_back)); }
  void take(const ErrorReply& d) { digest_.add(fmt::format("error {}", d.op.number)); }
  void take(const Forget& d) { digest_.add("forget " + d.member.address); }
  void take(const TellPeers& d) { digest_.add("tell " + d.text); }
  void take(const LogLine&) {}

  std::minstd_rand random_;
  std::unique_ptr<Router> router_;
  Digest digest_;
  Millis now_ = 1767225600000;
  std::vector<ListedMember> members_;
  std::multimap<Millis, Event> due_;
  std::map<OpId, int> sends_;
  std::uint64_t ops_ = 0;
  int trouble_ = 0, trouble_from_ = 0;
};

}  // namespace

// decisions [SEEDS]: a digest a seed. decisions SEED lines: that seed's decisions.
int main(int count, char** words) {
  const unsigned number = count > 1 ? static_cast<unsigned>(std::stoul(words[1])) : 12;
  const bool prints = count > 2;
  for (unsigned seed = prints ? number : 1; seed <= number; ++seed)
    std::cout << seed << ' ' << Sequence(seed, prints).play() << '\n';
}
