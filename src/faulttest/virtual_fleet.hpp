// Simulates the membership, quota and consistency modules of many instances in virtual time, with network and
// process faults. Used by tests and by benchmarks at sizes that processes on one machine cannot reach. Runs
// in one thread; the same seed gives the same run.
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
  Millis delay = 0.5, jitter = 1;    // of a datagram: between delay and delay + jitter
  double loss = 0, duplication = 0;  // fractions of datagrams
};

struct Traffic {
  std::uint64_t datagrams = 0, bytes = 0;  // sent
};

class VirtualFleet {
 public:
  using Factory =
      std::function<std::unique_ptr<membership::Membership>(const membership::Options&, std::uint64_t)>;
  using PeerListener = std::function<void(Millis at, int instance, const membership::PeerChanged&)>;
  using SelfListener = std::function<void(Millis at, int instance, const membership::SelfReport&)>;

  VirtualFleet(int instances, membership::Options options, std::uint64_t seed,
               Factory factory = membership::make_membership);

  void set_listeners(PeerListener peer_listener, SelfListener self_listener = {}) {
    peer_listener_ = std::move(peer_listener), self_listener_ = std::move(self_listener);
  }
  Network network;
  std::function<bool(int from, int to)> link_up;        // empty: all links work
  std::function<Millis(int from, int to)> extra_delay;  // empty: no link has extra delay
  // Sets the offset of an instance's clock, which takes effect at its next start.
  void set_clock_offset(int instance, Millis clock_offset) {
    processes_.at(at(instance)).clock_offset = clock_offset;
  }
  void set_name(int instance, const std::string& name) { processes_.at(at(instance)).name = name; }
  // Sets the drift of an instance's steady clock as a fraction, which takes effect at its next start.
  void set_clock_drift(int instance, double fraction) {
    processes_.at(at(instance)).clock_rate = 1 + fraction;
  }

  // Runs the quota module too, in instances that start from now on.
  void enable_quota(const quota::Options& options) { quota_options_ = options; }
  void set_demand(int instance, const quota::Demand& demand);
  // The current allocation of an instance by its own clock; empty if it does not run or is paused.
  [[nodiscard]] quota::Allocation allocation(int instance) const;
  [[nodiscard]] const quota::QuotaManager* quota(int instance) const {
    return processes_.at(at(instance)).quota.get();
  }
  // Runs the consistency module too, in instances that start from now on.
  void enable_consistency(const consistency::Options& options) { consistency_options_ = options; }
  void set_applied_state(int instance, const consistency::AppliedState& state);
  void confirm_discovery(int instance);  // reports an answer of discovery to the instance
  [[nodiscard]] const consistency::ConsistencyMonitor* consistency(int instance) const {
    return processes_.at(at(instance)).consistency.get();
  }
  // Called with the virtual time after each event.
  std::function<void(Millis)> on_step;

  void start(int instance);
  void kill(int instance);
  void leave(int instance);  // announces the departure; the instance runs until it is killed
  void pause(int instance);
  void resume(int instance);
  void deliver(int instance, int from, const std::string& bytes);  // injects a datagram
  [[nodiscard]] std::string last_datagram(int instance) const {
    return processes_.at(at(instance)).last_received;
  }

  void run(Millis duration);
  [[nodiscard]] Millis now() const { return now_; }
  [[nodiscard]] int size() const { return static_cast<int>(processes_.size()); }
  [[nodiscard]] bool running(int instance) const { return processes_.at(at(instance)).membership != nullptr; }
  [[nodiscard]] membership::View view(int instance) const {
    return processes_.at(at(instance)).membership->view();
  }
  [[nodiscard]] std::string name_of(int instance) const { return processes_.at(at(instance)).name; }
  [[nodiscard]] Traffic membership_traffic(int instance) const {
    return processes_.at(at(instance)).membership_traffic;
  }
  [[nodiscard]] Traffic quota_traffic(int instance) const {
    return processes_.at(at(instance)).quota_traffic;
  }
  [[nodiscard]] Traffic consistency_traffic(int instance) const {
    return processes_.at(at(instance)).consistency_traffic;
  }
  // Whether each running instance considers exactly the other running instances alive.
  [[nodiscard]] bool converged() const;

 private:
  enum class Module { membership, quota, consistency, refusal };
  struct Process {
    std::string name;
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<quota::QuotaManager> quota;
    std::unique_ptr<consistency::ConsistencyMonitor> consistency;
    double clock_rate = 1;
    Millis started_at = 0;
    int generation = 0;  // changes at each start and kill; events for an earlier one are dropped
    Millis clock_offset = 0, membership_wakeup = 0, quota_wakeup = 0, consistency_wakeup = 0;
    bool paused = false;
    struct Datagram {
      Module module = Module::membership;
      int from = 0;
      std::string bytes;
    };
    std::vector<Datagram> pending;  // received while paused, as in a socket buffer
    std::string last_received;
    Traffic membership_traffic, quota_traffic, consistency_traffic;
  };
  struct ScheduledEvent {
    Millis at = 0;
    std::uint64_t sequence = 0;
    int instance = 0, generation = 0, from = -1;  // from below 0: a wake-up
    Module module = Module::membership;
    std::string bytes;
    bool operator>(const ScheduledEvent& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };
  static std::size_t at(int instance) { return static_cast<std::size_t>(instance); }
  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }
  // Carries out the decisions of one module: sends datagrams and schedules its next wake-up; passes all other
  // decisions to the handler.
  template <typename Core, typename Handler>
  void dispatch(int instance, Core& core, Module module, Millis& wakeup, Traffic& traffic, Handler handle);
  void run_module(int instance);
  void run_module(int instance, Module module);
  void enqueue_datagram(int instance, Module module, int from, const std::string& bytes);
  void deliver(int instance, Module module, int from, const std::string& bytes);
  void send(int from, int to, Module module, const std::string& bytes);
  // Convert between virtual time and the time of the process's own clock.
  static Millis local_time(const Process& process, Millis now) {
    return process.started_at + (now - process.started_at) * process.clock_rate + process.clock_offset;
  }
  static Millis global_time(const Process& process, Millis local_time) {
    return process.started_at + (local_time - process.clock_offset - process.started_at) / process.clock_rate;
  }

  const membership::Options membership_options_;
  const Factory factory_;
  std::optional<quota::Options> quota_options_;
  std::optional<consistency::Options> consistency_options_;
  std::minstd_rand random_;
  std::vector<Process> processes_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> schedule_;
  std::uint64_t sequence_ = 0;
  Millis now_ = 1000000;
  PeerListener peer_listener_;
  SelfListener self_listener_;
};

}  // namespace reedspindle::faulttest
