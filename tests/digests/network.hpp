// Several instances of one core in a network with delay, loss, cut-off links, stopped and restarted processes
// and drawn datagrams that nobody sent. Times are whole milliseconds.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "routing/router.hpp"

namespace reedspindle::digests {

template <typename Core>
class Network {
 public:
  static constexpr int kFronts = 5;
  static constexpr int kTick = 10;

  Network(unsigned seed, bool prints) : draws(seed), digest(prints) {}
  virtual ~Network() = default;

  std::string play(int ticks) {
    for (int front = 0; front < kFronts; ++front) start(front);
    for (int tick = 0; tick < ticks; ++tick) {
      now += kTick;
      digest.comment(fmt::format("tick {}", tick));
      deliver();
      faults();
      for (int front = 0; front < kFronts; ++front) {
        if (runs(front) && draws.one_in(40)) happen(front);
        settle(front);
      }
    }
    for (int front = 0; front < kFronts; ++front)
      if (at(front).core) show(front);
    return digest.text();
  }

 protected:
  struct Process {
    std::unique_ptr<Core> core;
    Millis wakes = 0;
    Millis apart = 0;      // of its clock
    Millis stopped = 0;    // until then it takes nothing in
    Millis down = 0;       // until then there is none
    bool touched = false;  // it has taken something in since its last turn
  };

  virtual std::unique_ptr<Core> make(int front) = 0;
  virtual void heard(int front, int from, const std::string& bytes) = 0;
  virtual void refused(int, int, const std::string&) {}
  virtual void happen(int front) = 0;          // an event that is no datagram
  virtual void take(int front) = 0;            // one settle, and each decision of it
  virtual void show(int front) = 0;            // its view
  virtual std::string foreign(int front) = 0;  // a message that nobody sent
  virtual void read(const std::string& bytes) = 0;

  Process& at(int front) { return processes_[static_cast<std::size_t>(front)]; }
  bool runs(int front) { return at(front).core && at(front).stopped <= now; }
  Millis clock(int front) { return now + at(front).apart; }
  void wake(int front, Millis when) { at(front).wakes = when - at(front).apart; }
  void touch(int front) { at(front).touched = true; }
  void send(int from, int to, const std::string& bytes) {
    digest.add(fmt::format("{} {} to {} {}", now, from, to, hex(bytes)));
    past_.push_back(bytes);
    if (past_.size() > 64) past_.erase(past_.begin());
    if (to < 0 || to >= kFronts || cut_.contains({from, to}) || draws.one_in(loss_)) return;
    const Millis delay = draws.between(1, draws.one_in(20) ? 400 : 40);
    due_.emplace(now + delay, Datagram{from, to, false, bytes});
    if (draws.one_in(50)) due_.emplace(now + delay + 30, Datagram{from, to, false, bytes});
  }

  Draws draws;
  Digest digest;
  Millis now = 1767225600000;

 private:
  struct Datagram {
    int from = 0;
    int to = 0;
    bool back = false;  // it comes back: nobody listens there
    std::string bytes;
  };

  void start(int front) {
    Process& process = at(front);
    process = Process{};
    if (draws.one_in(3)) process.apart = draws.between(-50, 50);
    process.core = make(front);
    process.touched = true;
  }

  void deliver() {
    while (!due_.empty() && due_.begin()->first <= now) {
      const Datagram datagram = due_.begin()->second;
      due_.erase(due_.begin());
      Process& process = at(datagram.to);
      if (!process.core) {
        if (!datagram.back && !cut_.contains({datagram.to, datagram.from}))
          due_.emplace(now + 5, Datagram{datagram.to, datagram.from, true, datagram.bytes});
        continue;
      }
      if (process.stopped > now) {
        due_.emplace(process.stopped, datagram);
        continue;
      }
      if (datagram.back) {
        refused(datagram.to, datagram.from, datagram.bytes);
      } else {
        heard(datagram.to, datagram.from, datagram.bytes);
      }
      process.touched = true;
    }
  }

  void faults() {
    if (draws.one_in(400)) {
      const int pattern = draws.below(4);
      const int alone = draws.below(kFronts);
      cut_.clear();
      for (int other = 0; other < kFronts; ++other) {
        if (pattern == 1 || pattern == 2) cut_.insert({alone, other});
        if (pattern == 2) cut_.insert({other, alone});
        if (pattern == 3) cut_.insert({other, draws.below(kFronts)});
      }
    }
    if (draws.one_in(500)) loss_ = draws.one_in(3) ? 3 : 60;
    const int front = draws.below(kFronts);
    Process& process = at(front);
    if (!process.core && process.down <= now) {
      start(front);
    } else if (process.core && draws.one_in(1500)) {
      process.core.reset();
      process.down = now + draws.between(50, 20000);
    } else if (process.core && draws.one_in(1500)) {
      process.stopped = now + draws.between(50, 8000);
    } else if (runs(front) && draws.one_in(30)) {
      const int from = draws.between(-1, kFronts + 1);
      heard(front, from, drawn(front));
      touch(front);
    }
  }

  std::string drawn(int front) {
    const int kind = draws.below(4);
    if (kind == 0) return readable(draws.bytes(draws.below(40)));
    if (kind == 1 || past_.empty()) return foreign(front);
    const std::string old = past_[static_cast<std::size_t>(draws.below(static_cast<int>(past_.size())))];
    return kind == 2 ? old : readable(draws.mutated(old));
  }

  std::string readable(const std::string& bytes) {
    read(bytes);
    return bytes;
  }

  void settle(int front) {
    Process& process = at(front);
    if (!runs(front) || (!process.touched && process.wakes > now)) return;
    process.touched = false;
    process.wakes = now + 100000;
    take(front);
  }

  std::array<Process, kFronts> processes_;
  std::multimap<Millis, Datagram> due_;
  std::set<std::pair<int, int>> cut_;
  std::vector<std::string> past_;
  int loss_ = 60;
};

}  // namespace reedspindle::digests
