// Simulates several instances of one core in a network with delay, loss, blocked links, paused and restarted
// instances, and random datagrams that no instance sent. Times are whole milliseconds.
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
  static constexpr int kInstances = 5;
  static constexpr int kTick = 10;  // milliseconds

  Network(unsigned seed, bool print_lines) : random(seed), digest(print_lines) {}
  virtual ~Network() = default;

  std::string play(int ticks) {
    for (int slot = 0; slot < kInstances; ++slot) start(slot);
    for (int tick = 0; tick < ticks; ++tick) {
      now += kTick;
      digest.comment(fmt::format("tick {}", tick));
      deliver();
      inject_faults();
      for (int slot = 0; slot < kInstances; ++slot) {
        if (is_running(slot) && random.one_in(40)) add_random_event(slot);
        take_turn(slot);
      }
    }
    for (int slot = 0; slot < kInstances; ++slot)
      if (instance_at(slot).core) add_view(slot);
    return digest.text();
  }

 protected:
  struct Instance {
    std::unique_ptr<Core> core;
    Millis wakes_at = 0;
    Millis clock_offset = 0;  // of its clock from the network's
    Millis paused_until = 0;  // until then it receives nothing
    Millis down_until = 0;    // until then a stopped instance is not restarted
    bool has_event = false;   // it has received an event since its last turn
  };

  virtual std::unique_ptr<Core> make_core(int slot) = 0;
  virtual void receive(int slot, int from, const std::string& bytes) = 0;
  virtual void receive_returned(int, int, const std::string&) {}  // an own datagram was not delivered
  virtual void add_random_event(int slot) = 0;       // gives the core an event other than a datagram
  virtual void process_events(int slot) = 0;         // processes the events and carries out each decision
  virtual void add_view(int slot) = 0;               // adds the core's view to the digest
  virtual std::string forged_message(int slot) = 0;  // returns a well-formed message that no instance sent
  virtual void parse(const std::string& bytes) = 0;  // decodes bytes that may be malformed

  Instance& instance_at(int slot) { return instances_[static_cast<std::size_t>(slot)]; }
  bool is_running(int slot) { return instance_at(slot).core && instance_at(slot).paused_until <= now; }
  Millis local_time(int slot) { return now + instance_at(slot).clock_offset; }
  void set_wakeup(int slot, Millis when) {
    instance_at(slot).wakes_at = when - instance_at(slot).clock_offset;
  }
  void mark_event(int slot) { instance_at(slot).has_event = true; }
  void send(int from, int to, const std::string& bytes) {
    digest.add(fmt::format("{} {} to {} {}", now, from, to, hex(bytes)));
    recent_datagrams_.push_back(bytes);
    if (recent_datagrams_.size() > 64) recent_datagrams_.erase(recent_datagrams_.begin());
    if (to < 0 || to >= kInstances || blocked_links_.contains({from, to}) || random.one_in(loss_one_in_))
      return;
    const Millis delay = random.between(1, random.one_in(20) ? 400 : 40);
    in_transit_.emplace(now + delay, Datagram{from, to, false, bytes});
    if (random.one_in(50)) in_transit_.emplace(now + delay + 30, Datagram{from, to, false, bytes});
  }

  RandomSource random;
  Digest digest;
  Millis now = 1767225600000;

 private:
  struct Datagram {
    int from = 0;
    int to = 0;
    bool is_returned = false;  // returned to its sender, since nothing listens at its destination
    std::string bytes;
  };

  void start(int slot) {
    Instance& instance = instance_at(slot);
    instance = Instance{};
    if (random.one_in(3)) instance.clock_offset = random.between(-50, 50);
    instance.core = make_core(slot);
    instance.has_event = true;
  }

  void deliver() {
    while (!in_transit_.empty() && in_transit_.begin()->first <= now) {
      const Datagram datagram = in_transit_.begin()->second;
      in_transit_.erase(in_transit_.begin());
      Instance& instance = instance_at(datagram.to);
      if (!instance.core) {
        if (!datagram.is_returned && !blocked_links_.contains({datagram.to, datagram.from}))
          in_transit_.emplace(now + 5, Datagram{datagram.to, datagram.from, true, datagram.bytes});
        continue;
      }
      if (instance.paused_until > now) {
        in_transit_.emplace(instance.paused_until, datagram);
        continue;
      }
      if (datagram.is_returned) {
        receive_returned(datagram.to, datagram.from, datagram.bytes);
      } else {
        receive(datagram.to, datagram.from, datagram.bytes);
      }
      instance.has_event = true;
    }
  }

  void inject_faults() {
    if (random.one_in(400)) {
      // 0: no link is blocked; 1: an instance cannot send; 2: it can neither send nor receive; 3: random
      // links.
      const int pattern = random.below(4);
      const int isolated = random.below(kInstances);
      blocked_links_.clear();
      for (int other = 0; other < kInstances; ++other) {
        if (pattern == 1 || pattern == 2) blocked_links_.insert({isolated, other});
        if (pattern == 2) blocked_links_.insert({other, isolated});
        if (pattern == 3) blocked_links_.insert({other, random.below(kInstances)});
      }
    }
    if (random.one_in(500)) loss_one_in_ = random.one_in(3) ? 3 : 60;
    const int slot = random.below(kInstances);
    Instance& instance = instance_at(slot);
    if (!instance.core && instance.down_until <= now) {
      start(slot);
    } else if (instance.core && random.one_in(1500)) {
      instance.core.reset();
      instance.down_until = now + random.between(50, 20000);
    } else if (instance.core && random.one_in(1500)) {
      instance.paused_until = now + random.between(50, 8000);
    } else if (is_running(slot) && random.one_in(30)) {
      const int from = random.between(-1, kInstances + 1);
      receive(slot, from, random_datagram(slot));
      mark_event(slot);
    }
  }

  std::string random_datagram(int slot) {
    const int kind = random.below(4);
    if (kind == 0) return parsed(random.bytes(random.below(40)));
    if (kind == 1 || recent_datagrams_.empty()) return forged_message(slot);
    const std::string earlier =
        recent_datagrams_[static_cast<std::size_t>(random.below(static_cast<int>(recent_datagrams_.size())))];
    return kind == 2 ? earlier : parsed(random.mutated(earlier));
  }

  std::string parsed(const std::string& bytes) {
    parse(bytes);
    return bytes;
  }

  void take_turn(int slot) {
    Instance& instance = instance_at(slot);
    if (!is_running(slot) || (!instance.has_event && instance.wakes_at > now)) return;
    instance.has_event = false;
    instance.wakes_at = now + 100000;
    process_events(slot);
  }

  std::array<Instance, kInstances> instances_;
  std::multimap<Millis, Datagram> in_transit_;
  std::set<std::pair<int, int>> blocked_links_;
  std::vector<std::string> recent_datagrams_;
  int loss_one_in_ = 60;
};

}  // namespace reedspindle::digests
