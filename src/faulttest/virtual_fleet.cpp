#include "faulttest/virtual_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::faulttest {

// The number of datagrams that a socket buffers while its process is paused.
constexpr std::size_t kSocketBuffer = 256;

VirtualFleet::VirtualFleet(int instances, membership::Options options, std::uint64_t seed, Factory factory)
    : membership_options_(std::move(options)),
      factory_(std::move(factory)),
      random_(make_random(seed)),
      processes_(at(instances)) {
  for (int instance = 0; instance < instances; ++instance) {
    processes_[at(instance)].name = fmt::format("n{}", instance);
  }
}

void VirtualFleet::start(int instance) {
  Process& process = processes_.at(at(instance));
  membership::Options options = membership_options_;
  options.name = process.name, options.slot = {instance}, options.slots = size();
  process.membership = factory_(options, random_());
  ++process.generation, process.paused = false;
  process.membership_wakeup = process.quota_wakeup = process.consistency_wakeup = 0;
  process.pending.clear();
  process.started_at = now_;
  if (quota_options_) {
    quota::Options quota_options = *quota_options_;
    quota_options.slot = {instance};
    process.quota = quota::make_quota_manager(quota_options, random_());
  }
  if (consistency_options_) {
    consistency::Options consistency_options = *consistency_options_;
    consistency_options.slot = {instance};
    process.consistency = consistency::make_consistency_monitor(consistency_options, random_());
  }
  run_module(instance);
}

void VirtualFleet::kill(int instance) {
  Process& process = processes_.at(at(instance));
  process.membership.reset();
  process.quota.reset();
  process.consistency.reset();
  ++process.generation;
}

void VirtualFleet::set_demand(int instance, const quota::Demand& demand) {
  Process& process = processes_.at(at(instance));
  if (!process.quota || process.paused) {
    return;
  }
  process.quota->enqueue(demand);
  run_module(instance, Module::quota);
}

void VirtualFleet::set_applied_state(int instance, const consistency::AppliedState& state) {
  Process& process = processes_.at(at(instance));
  if (!process.consistency || process.paused) {
    return;
  }
  process.consistency->enqueue(state);
  run_module(instance, Module::consistency);
}

void VirtualFleet::confirm_discovery(int instance) {
  Process& process = processes_.at(at(instance));
  if (!process.consistency || process.paused) {
    return;
  }
  process.consistency->enqueue(consistency::DiscoveryAnswered{});
  run_module(instance, Module::consistency);
}

quota::Allocation VirtualFleet::allocation(int instance) const {
  const Process& process = processes_.at(at(instance));
  return process.quota && !process.paused ? process.quota->allocation(local_time(process, now_))
                                          : quota::Allocation{};
}

void VirtualFleet::leave(int instance) {
  Process& process = processes_.at(at(instance));
  process.membership->enqueue(membership::Leaving{});
  run_module(instance);
  if (!process.quota) {
    return;
  }
  process.quota->enqueue(quota::Leaving{});
  run_module(instance, Module::quota);
}

void VirtualFleet::pause(int instance) { processes_.at(at(instance)).paused = true; }

void VirtualFleet::resume(int instance) {
  Process& process = processes_.at(at(instance));
  if (!std::exchange(process.paused, false) || !process.membership) {
    return;
  }
  for (const Process::Datagram& datagram : std::exchange(process.pending, {})) {
    enqueue_datagram(instance, datagram.module, datagram.from, datagram.bytes);
  }
  run_module(instance);
  run_module(instance, Module::quota);
  run_module(instance, Module::consistency);
}

void VirtualFleet::enqueue_datagram(int instance, Module module, int from, const std::string& bytes) {
  Process& process = processes_[at(instance)];
  if (module == Module::membership) {
    process.membership->enqueue(DatagramReceived{{from}, bytes});
  }
  if (module == Module::quota && process.quota) {
    process.quota->enqueue(DatagramReceived{{from}, bytes});
  }
  if (module == Module::consistency && process.consistency) {
    process.consistency->enqueue(DatagramReceived{{from}, bytes});
  }
}

void VirtualFleet::deliver(int instance, int from, const std::string& bytes) {
  deliver(instance, Module::membership, from, bytes);
}

void VirtualFleet::deliver(int instance, Module module, int from, const std::string& bytes) {
  Process& process = processes_.at(at(instance));
  if (!process.membership) {
    // The operating system reports that no process listens, if that report can reach the sender.
    if (module == Module::quota && (!link_up || link_up(instance, from))) {
      schedule_.push({now_ + network.delay + network.jitter * random_fraction(), ++sequence_, from,
                      processes_.at(at(from)).generation, instance, Module::refusal, bytes});
    }
    return;
  }
  if (process.paused) {
    if (process.pending.size() < kSocketBuffer) {
      process.pending.push_back({module, from, bytes});
    }
    return;
  }
  if (module == Module::membership) {
    process.last_received = bytes;
  }
  enqueue_datagram(instance, module, from, bytes);
  run_module(instance, module);
}

void VirtualFleet::run(Millis duration) {
  const Millis until = now_ + duration;
  while (!schedule_.empty() && schedule_.top().at <= until) {
    const ScheduledEvent scheduled = schedule_.top();
    schedule_.pop();
    now_ = scheduled.at;
    Process& process = processes_[at(scheduled.instance)];
    const bool active = process.membership && !process.paused && scheduled.generation == process.generation;
    const Millis wakeup = scheduled.module == Module::membership ? process.membership_wakeup
                          : scheduled.module == Module::quota    ? process.quota_wakeup
                                                                 : process.consistency_wakeup;
    if (scheduled.module == Module::refusal) {
      if (active && process.quota) {
        process.quota->enqueue(quota::DatagramReturned{{scheduled.from}, scheduled.bytes});
        run_module(scheduled.instance, Module::quota);
      }
    } else if (scheduled.from >= 0) {
      deliver(scheduled.instance, scheduled.module, scheduled.from, scheduled.bytes);
    } else if (active && scheduled.at == wakeup) {
      run_module(scheduled.instance, scheduled.module);
    }
    if (on_step) {
      on_step(now_);
    }
  }
  now_ = until;
}

template <typename Core, typename Handler>
void VirtualFleet::dispatch(int instance, Core& core, Module module, Millis& wakeup, Traffic& traffic,
                            Handler handle) {
  Process& process = processes_[at(instance)];
  for (const auto& decision : core.process(local_time(process, now_))) {
    std::visit(
        [&](const auto& output) {
          if constexpr (requires { output.to, output.bytes; }) {
            ++traffic.datagrams, traffic.bytes += output.bytes.size();
            send(instance, output.to.number, module, output.bytes);
          } else if constexpr (requires { output.at; }) {
            // Advances the time between two wake-ups even if the rounding of an offset clock yields the
            // current time.
            const Millis global_time = std::max(now_ + 0.001, VirtualFleet::global_time(process, output.at));
            if (global_time == wakeup) {
              return;
            }
            wakeup = global_time;
            schedule_.push({global_time, ++sequence_, instance, process.generation, -1, module, ""});
          } else {
            handle(output);
          }
        },
        decision);
  }
}

void VirtualFleet::run_module(int instance, Module module) {
  Process& process = processes_[at(instance)];
  const auto ignore = [](const auto&) {};
  if (module == Module::membership) {
    run_module(instance);
  }
  if (module == Module::quota && process.quota) {
    dispatch(instance, *process.quota, module, process.quota_wakeup, process.quota_traffic, ignore);
  }
  if (module == Module::consistency && process.consistency) {
    dispatch(instance, *process.consistency, module, process.consistency_wakeup, process.consistency_traffic,
             ignore);
  }
}

// Runs the membership module and, if its view changed, the other modules too.
void VirtualFleet::run_module(int instance) {
  Process& process = processes_[at(instance)];
  bool changed = false;
  dispatch(instance, *process.membership, Module::membership, process.membership_wakeup,
           process.membership_traffic, [&](const auto& output) {
             if constexpr (requires { output.incarnation; }) {
               changed = true;
               if (peer_listener_) {
                 peer_listener_(now_, instance, output);
               }
             } else if (self_listener_) {
               self_listener_(now_, instance, output);
             }
           });
  if (!process.quota && !process.consistency) {
    return;
  }
  std::set<SlotId> alive;
  if (changed) {
    alive = membership::alive_peers(process.membership->view());
  }
  if (changed && process.quota) {
    process.quota->enqueue(quota::PeersChanged{alive});
  }
  if (changed && process.consistency) {
    process.consistency->enqueue(consistency::PeersChanged{alive, size()});
  }
  if (changed || process.quota_wakeup == 0) {
    run_module(instance, Module::quota);
  }
  if (changed || process.consistency_wakeup == 0) {
    run_module(instance, Module::consistency);
  }
}

void VirtualFleet::send(int from, int to, Module module, const std::string& bytes) {
  if (to < 0 || to >= size() || (link_up && !link_up(from, to))) {
    return;
  }
  const int copies = network.duplication > 0 && random_fraction() < network.duplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (network.loss > 0 && random_fraction() < network.loss) {
      continue;
    }
    const Millis extra = extra_delay ? extra_delay(from, to) : 0;
    schedule_.push({now_ + network.delay + extra + network.jitter * random_fraction(), ++sequence_, to, 0,
                    from, module, bytes});
  }
}

bool VirtualFleet::converged() const {
  std::set<std::string> running;
  for (const Process& process : processes_) {
    if (process.membership) {
      running.insert(process.name);
    }
  }
  for (const Process& process : processes_) {
    if (!process.membership) {
      continue;
    }
    std::size_t alive = 0;
    for (const membership::PeerView& peer : process.membership->view().peers) {
      if (peer.state == membership::PeerState::failed || peer.state == membership::PeerState::left) {
        continue;
      }
      if (peer.state != membership::PeerState::alive || !running.contains(peer.name)) {
        return false;
      }
      ++alive;
    }
    if (alive + 1 != running.size()) {
      return false;
    }
  }
  return true;
}

}  // namespace reedspindle::faulttest
