#include "faulttest/virtual_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace reedspindle::faulttest {

// What a socket holds while its process is stopped.
constexpr std::size_t kSocket = 256;

VirtualFleet::VirtualFleet(int fronts, membership::Options options, std::uint64_t seed, Maker maker)
    : membership_options_(std::move(options)),
      maker_(std::move(maker)),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      processes_(at(fronts)) {
  for (int front = 0; front < fronts; ++front) {
    processes_[at(front)].name = fmt::format("n{}", front);
  }
}

void VirtualFleet::start(int front) {
  Process& process = processes_.at(at(front));
  membership::Options options = membership_options_;
  options.name = process.name, options.slot = {front}, options.slots = size();
  process.core = maker_(options, random_());
  ++process.life, process.stopped = false;
  process.wakes = process.quota_wake = process.consistency_wake = 0;
  process.waiting.clear();
  process.born = now_;
  if (quota_options_) {
    quota::Options quota_options = *quota_options_;
    quota_options.slot = {front};
    process.quota = quota::make_quota_manager(quota_options, random_());
  }
  if (consistency_options_) {
    consistency::Options consistency_options = *consistency_options_;
    consistency_options.slot = {front};
    process.consistency = consistency::make_consistency_monitor(consistency_options, random_());
  }
  settle(front);
}

void VirtualFleet::kill(int front) {
  Process& process = processes_.at(at(front));
  process.core.reset();
  process.quota.reset();
  process.consistency.reset();
  ++process.life;
}

void VirtualFleet::want(int front, const quota::Demand& demand) {
  Process& process = processes_.at(at(front));
  if (!process.quota || process.stopped) {
    return;
  }
  process.quota->enqueue(demand);
  settle(front, Of::quota);
}

void VirtualFleet::act(int front, const consistency::AppliedState& acts) {
  Process& process = processes_.at(at(front));
  if (!process.consistency || process.stopped) {
    return;
  }
  process.consistency->enqueue(acts);
  settle(front, Of::consistency);
}

void VirtualFleet::confirm(int front) {
  Process& process = processes_.at(at(front));
  if (!process.consistency || process.stopped) {
    return;
  }
  process.consistency->enqueue(consistency::DiscoveryAnswered{});
  settle(front, Of::consistency);
}

quota::Allocation VirtualFleet::allocation(int front) const {
  const Process& process = processes_.at(at(front));
  return process.quota && !process.stopped ? process.quota->allocation(own(process, now_))
                                           : quota::Allocation{};
}

void VirtualFleet::leave(int front) {
  Process& process = processes_.at(at(front));
  process.core->enqueue(membership::Leaving{});
  settle(front);
  if (!process.quota) {
    return;
  }
  process.quota->enqueue(quota::Leaving{});
  settle(front, Of::quota);
}

void VirtualFleet::stop(int front) { processes_.at(at(front)).stopped = true; }

void VirtualFleet::wake(int front) {
  Process& process = processes_.at(at(front));
  if (!std::exchange(process.stopped, false) || !process.core) {
    return;
  }
  for (const Process::Datagram& waited : std::exchange(process.waiting, {})) {
    note(front, waited.of, waited.from, waited.bytes);
  }
  settle(front);
  settle(front, Of::quota);
  settle(front, Of::consistency);
}

void VirtualFleet::note(int front, Of of, int from, const std::string& bytes) {
  Process& process = processes_[at(front)];
  if (of == Of::membership) {
    process.core->enqueue(DatagramReceived{{from}, bytes});
  }
  if (of == Of::quota && process.quota) {
    process.quota->enqueue(DatagramReceived{{from}, bytes});
  }
  if (of == Of::consistency && process.consistency) {
    process.consistency->enqueue(DatagramReceived{{from}, bytes});
  }
}

void VirtualFleet::hear(int front, int from, const std::string& bytes) {
  hear(front, Of::membership, from, bytes);
}

void VirtualFleet::hear(int front, Of of, int from, const std::string& bytes) {
  Process& process = processes_.at(at(front));
  if (!process.core) {
    // The machine says that nobody listens, where that gets back.
    if (of == Of::quota && (!passes || passes(front, from))) {
      due_.push({now_ + network.delay + network.jitter * chance(), ++order_, from,
                 processes_.at(at(from)).life, front, Of::refusal, bytes});
    }
    return;
  }
  if (process.stopped) {
    if (process.waiting.size() < kSocket) {
      process.waiting.push_back({of, from, bytes});
    }
    return;
  }
  if (of == Of::membership) {
    process.last = bytes;
  }
  note(front, of, from, bytes);
  settle(front, of);
}

void VirtualFleet::run(Millis span) {
  const Millis until = now_ + span;
  while (!due_.empty() && due_.top().at <= until) {
    const Due due = due_.top();
    due_.pop();
    now_ = due.at;
    Process& process = processes_[at(due.front)];
    const bool awake = process.core && !process.stopped && due.life == process.life;
    const Millis wakes = due.of == Of::membership ? process.wakes
                         : due.of == Of::quota    ? process.quota_wake
                                                  : process.consistency_wake;
    if (due.of == Of::refusal) {
      if (awake && process.quota) {
        process.quota->enqueue(quota::DatagramReturned{{due.from}, due.bytes});
        settle(due.front, Of::quota);
      }
    } else if (due.from >= 0) {
      hear(due.front, due.of, due.from, due.bytes);
    } else if (awake && due.at == wakes) {
      settle(due.front, due.of);
    }
    if (stepped) {
      stepped(now_);
    }
  }
  now_ = until;
}

template <typename Core, typename Took>
void VirtualFleet::decide(int front, Core& core, Of of, Millis& wakes, Load& load, Took took) {
  Process& process = processes_[at(front)];
  for (const auto& decision : core.process(own(process, now_))) {
    std::visit(
        [&](const auto& taken) {
          if constexpr (requires { taken.to, taken.bytes; }) {
            ++load.datagrams, load.bytes += taken.bytes.size();
            send(front, taken.to.number, of, taken.bytes);
          } else if constexpr (requires { taken.at; }) {
            // Time goes on between two wake-ups, whatever rounding makes of a clock that stands apart.
            const Millis when = std::max(now_ + 0.001, VirtualFleet::when(process, taken.at));
            if (when == wakes) {
              return;
            }
            wakes = when;
            due_.push({when, ++order_, front, process.life, -1, of, ""});
          } else {
            took(taken);
          }
        },
        decision);
  }
}

void VirtualFleet::settle(int front, Of of) {
  Process& process = processes_[at(front)];
  const auto nothing = [](const auto&) {};
  if (of == Of::membership) {
    settle(front);
  }
  if (of == Of::quota && process.quota) {
    decide(front, *process.quota, of, process.quota_wake, process.quota_load, nothing);
  }
  if (of == Of::consistency && process.consistency) {
    decide(front, *process.consistency, of, process.consistency_wake, process.consistency_load, nothing);
  }
}

// The membership's turn, and where its view has changed, the others'.
void VirtualFleet::settle(int front) {
  Process& process = processes_[at(front)];
  bool changed = false;
  decide(front, *process.core, Of::membership, process.wakes, process.load, [&](const auto& taken) {
    if constexpr (requires { taken.incarnation; }) {
      changed = true;
      if (seen_) {
        seen_(now_, front, taken);
      }
    } else if (found_) {
      found_(now_, front, taken);
    }
  });
  if (!process.quota && !process.consistency) {
    return;
  }
  std::set<SlotId> there;
  if (changed) {
    there = membership::alive_peers(process.core->view());
  }
  if (changed && process.quota) {
    process.quota->enqueue(quota::PeersChanged{there});
  }
  if (changed && process.consistency) {
    process.consistency->enqueue(consistency::PeersChanged{there, size()});
  }
  if (changed || process.quota_wake == 0) {
    settle(front, Of::quota);
  }
  if (changed || process.consistency_wake == 0) {
    settle(front, Of::consistency);
  }
}

void VirtualFleet::send(int from, int to, Of of, const std::string& bytes) {
  if (to < 0 || to >= size() || (passes && !passes(from, to))) {
    return;
  }
  const int copies = network.doubled > 0 && chance() < network.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (network.loss > 0 && chance() < network.loss) {
      continue;
    }
    const Millis extra = extra_delay ? extra_delay(from, to) : 0;
    due_.push({now_ + network.delay + extra + network.jitter * chance(), ++order_, to, 0, from, of, bytes});
  }
}

bool VirtualFleet::agreed() const {
  std::set<std::string> up;
  for (const Process& process : processes_) {
    if (process.core) {
      up.insert(process.name);
    }
  }
  for (const Process& process : processes_) {
    if (!process.core) {
      continue;
    }
    std::size_t there = 0;
    for (const membership::PeerView& peer : process.core->view().peers) {
      if (peer.state == membership::PeerState::failed || peer.state == membership::PeerState::left) {
        continue;
      }
      if (peer.state != membership::PeerState::alive || !up.contains(peer.name)) {
        return false;
      }
      ++there;
    }
    if (there + 1 != up.size()) {
      return false;
    }
  }
  return true;
}

}  // namespace reedspindle::faulttest
