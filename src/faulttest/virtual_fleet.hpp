// Many fronts' membership, shares and accord in virtual time, with the faults of a network and of processes:
// for designs, figures at sizes that one machine's processes don't reach, and tests. One thread, one seed,
// the same run each time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consistency/consistency_monitor.hpp"
#include "membership/membership.hpp"
#include "quota/quota_manager.hpp"

namespace reedspindle::faulttest {

struct Network {
  Millis delay = 0.5, jitter = 1;  // of a datagram: from the first to the sum of both
  double loss = 0, doubled = 0;    // shares of datagrams
};

struct Load {
  std::uint64_t datagrams = 0, bytes = 0;  // sent
};

class VirtualFleet {
 public:
  using Maker =
      std::function<std::unique_ptr<membership::Membership>(const membership::Options&, std::uint64_t)>;
  using Seen = std::function<void(Millis at, int front, const membership::PeerChanged&)>;
  using Found = std::function<void(Millis at, int front, const membership::SelfReport&)>;

  VirtualFleet(int fronts, membership::Options options, std::uint64_t seed,
               Maker maker = membership::make_membership);

  void on(Seen seen, Found found = {}) { seen_ = std::move(seen), found_ = std::move(found); }
  Network network;
  std::function<bool(int from, int to)> passes;         // none: all links are whole
  std::function<Millis(int from, int to)> extra_delay;  // none: no link is slower than the others
  // A process' clock stands apart from the others' by as much from its next start on.
  void clock(int front, Millis apart) { processes_.at(at(front)).apart = apart; }
  void name(int front, const std::string& name) { processes_.at(at(front)).name = name; }
  // Its steady clock gains or loses by that share, from its next start on.
  void drift(int front, double share) { processes_.at(at(front)).rate = 1 + share; }

  // From their next start on the processes share what the fleet has, too.
  void share(const quota::Options& options) { quota_options_ = options; }
  void want(int front, const quota::Demand& demand);
  // What a process may use now, by its own clock; nothing where it does not run or is stopped.
  [[nodiscard]] quota::Allocation allocation(int front) const;
  [[nodiscard]] const quota::QuotaManager* quota(int front) const {
    return processes_.at(at(front)).quota.get();
  }
  // From their next start on the processes compare what they act on, too.
  void compare(const consistency::Options& options) { consistency_options_ = options; }
  void act(int front, const consistency::AppliedState& acts);
  void confirm(int front);  // discovery speaks to it
  [[nodiscard]] const consistency::ConsistencyMonitor* consistency(int front) const {
    return processes_.at(at(front)).consistency.get();
  }
  // Called after each step with the time.
  std::function<void(Millis)> stepped;

  void start(int front);
  void kill(int front);
  void leave(int front);  // told; it goes on until it is killed
  void stop(int front);   // the process is paused
  void wake(int front);
  void hear(int front, int from, const std::string& bytes);  // a datagram that nobody sent
  [[nodiscard]] std::string last_heard(int front) const { return processes_.at(at(front)).last; }

  void run(Millis span);
  [[nodiscard]] Millis now() const { return now_; }
  [[nodiscard]] int size() const { return static_cast<int>(processes_.size()); }
  [[nodiscard]] bool up(int front) const { return processes_.at(at(front)).core != nullptr; }
  [[nodiscard]] membership::View view(int front) const { return processes_.at(at(front)).core->view(); }
  [[nodiscard]] std::string name_of(int front) const { return processes_.at(at(front)).name; }
  [[nodiscard]] Load load(int front) const { return processes_.at(at(front)).load; }
  [[nodiscard]] Load quota_load(int front) const { return processes_.at(at(front)).quota_load; }
  [[nodiscard]] Load consistency_load(int front) const { return processes_.at(at(front)).consistency_load; }
  // Whether each front that is up holds each other that is up for there, and nobody else for here.
  [[nodiscard]] bool agreed() const;

 private:
  enum class Of { membership, quota, consistency, refusal };
  struct Process {
    std::string name;
    std::unique_ptr<membership::Membership> core;
    std::unique_ptr<quota::QuotaManager> quota;
    std::unique_ptr<consistency::ConsistencyMonitor> consistency;
    double rate = 1;
    Millis born = 0;
    int life = 0;  // datagrams and wake-ups of an earlier one come to nothing
    Millis apart = 0, wakes = 0, quota_wake = 0, consistency_wake = 0;
    bool stopped = false;
    struct Datagram {
      Of of = Of::membership;
      int from = 0;
      std::string bytes;
    };
    std::vector<Datagram> waiting;  // while it is stopped, as in a socket
    std::string last;
    Load load, quota_load, consistency_load;
  };
  struct Due {
    Millis at = 0;
    std::uint64_t order = 0;
    int front = 0, life = 0, from = -1;  // below 0: a wake-up
    Of of = Of::membership;
    std::string bytes;
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  static std::size_t at(int front) { return static_cast<std::size_t>(front); }
  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }
  // What one core has decided: datagrams and its next turn are alike for all, the rest is taken.
  template <typename Core, typename Took>
  void decide(int front, Core& core, Of of, Millis& wakes, Load& load, Took took);
  void settle(int front);
  void settle(int front, Of of);
  void note(int front, Of of, int from, const std::string& bytes);
  void hear(int front, Of of, int from, const std::string& bytes);
  void send(int from, int to, Of of, const std::string& bytes);
  // The process' own time, and when that will be.
  static Millis own(const Process& process, Millis now) {
    return process.born + (now - process.born) * process.rate + process.apart;
  }
  static Millis when(const Process& process, Millis own) {
    return process.born + (own - process.apart - process.born) / process.rate;
  }

  const membership::Options membership_options_;
  const Maker maker_;
  std::optional<quota::Options> quota_options_;
  std::optional<consistency::Options> consistency_options_;
  std::minstd_rand random_;
  std::vector<Process> processes_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0;
  Millis now_ = 1000000;
  Seen seen_;
  Found found_;
};

}  // namespace reedspindle::faulttest
