// Many fronts' membership in virtual time, with the faults of a network and of processes: for designs,
// figures at sizes that one machine's processes don't reach, and tests. One thread, one seed, the same run
// each time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace reedspindle::rig {

using membership::Happening;
using membership::Place;

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
      std::function<std::unique_ptr<membership::Membership>(const membership::Charge&, std::uint64_t)>;
  using Seen = std::function<void(Millis at, int front, const membership::Change&)>;
  using Found = std::function<void(Millis at, int front, const membership::Found&)>;

  VirtualFleet(int fronts, membership::Charge charge, std::uint64_t seed,
               Maker maker = membership::make_membership);

  void on(Seen seen, Found found = {}) { seen_ = std::move(seen), found_ = std::move(found); }
  Network network;
  std::function<bool(int from, int to)> passes;         // none: all links are whole
  std::function<Millis(int from, int to)> extra_delay;  // none: no link is slower than the others
  // A process' clock stands apart from the others' by as much from its next start on.
  void clock(int front, Millis apart) { processes_.at(at(front)).apart = apart; }
  void name(int front, const std::string& name) { processes_.at(at(front)).name = name; }

  void start(int front);
  void kill(int front);
  void leave(int front);  // told; it goes on until it is killed
  void stop(int front);   // the process is paused
  void wake(int front);
  void hear(int front, int from, const std::string& bytes);  // a datagram that nobody sent
  std::string last_heard(int front) const { return processes_.at(at(front)).last; }

  void run(Millis span);
  Millis now() const { return now_; }
  int size() const { return static_cast<int>(processes_.size()); }
  bool up(int front) const { return processes_.at(at(front)).core != nullptr; }
  membership::View view(int front) const { return processes_.at(at(front)).core->view(); }
  std::string name_of(int front) const { return processes_.at(at(front)).name; }
  Load load(int front) const { return processes_.at(at(front)).load; }
  // Whether each front that is up holds each other that is up for there, and nobody else for here.
  bool agreed() const;

 private:
  struct Process {
    std::string name;
    std::unique_ptr<membership::Membership> core;
    int life = 0;  // datagrams and wake-ups of an earlier one come to nothing
    Millis wakes = 0, apart = 0;
    bool stopped = false;
    std::vector<membership::Heard> waiting;  // while it is stopped, as in a socket
    std::string last;
    Load load;
  };
  struct Due {
    Millis at = 0;
    std::uint64_t order = 0;
    int front = 0, life = 0, from = -1;  // below 0: a wake-up
    std::string bytes;
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  static std::size_t at(int front) { return static_cast<std::size_t>(front); }
  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }
  void settle(int front);
  void send(int from, int to, const std::string& bytes);

  const membership::Charge charge_;
  const Maker maker_;
  std::minstd_rand random_;
  std::vector<Process> processes_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0;
  Millis now_ = 1000000;
  Seen seen_;
  Found found_;
};

}  // namespace reedspindle::rig
