#include "rig/virtual_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace reedspindle::rig {

// What a socket holds while its process is stopped.
constexpr std::size_t kSocket = 256;

VirtualFleet::VirtualFleet(int fronts, membership::Charge charge, std::uint64_t seed, Maker maker)
    : charge_(std::move(charge)),
      maker_(std::move(maker)),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      processes_(at(fronts)) {
  for (int front = 0; front < fronts; ++front) processes_[at(front)].name = fmt::format("n{}", front);
}

void VirtualFleet::start(int front) {
  Process& process = processes_.at(at(front));
  membership::Charge charge = charge_;
  charge.name = process.name, charge.place = {front}, charge.places = size();
  process.core = maker_(charge, random_());
  ++process.life, process.stopped = false;
  process.wakes = process.shares_wake = process.accord_wake = 0;
  process.waiting.clear();
  process.born = now_;
  if (sharing_) {
    shares::Charge charge_of = *sharing_;
    charge_of.place = {front};
    process.shares = shares::make_shares(charge_of, random_());
  }
  if (comparing_) {
    accord::Charge charge_of = *comparing_;
    charge_of.place = {front};
    process.accord = accord::make_accord(charge_of, random_());
  }
  settle(front);
}

void VirtualFleet::kill(int front) {
  Process& process = processes_.at(at(front));
  process.core.reset();
  process.shares.reset();
  process.accord.reset();
  ++process.life;
}

void VirtualFleet::want(int front, const shares::Demand& demand) {
  Process& process = processes_.at(at(front));
  if (!process.shares || process.stopped) return;
  process.shares->note(demand);
  settle(front, Of::shares);
}

void VirtualFleet::act(int front, const accord::Acts& acts) {
  Process& process = processes_.at(at(front));
  if (!process.accord || process.stopped) return;
  process.accord->note(acts);
  settle(front, Of::accord);
}

void VirtualFleet::confirm(int front) {
  Process& process = processes_.at(at(front));
  if (!process.accord || process.stopped) return;
  process.accord->note(accord::Confirmed{});
  settle(front, Of::accord);
}

shares::Part VirtualFleet::part(int front) const {
  const Process& process = processes_.at(at(front));
  return process.shares && !process.stopped ? process.shares->part(own(process, now_)) : shares::Part{};
}

void VirtualFleet::leave(int front) {
  Process& process = processes_.at(at(front));
  process.core->note(membership::Leaving{});
  settle(front);
  if (!process.shares) return;
  process.shares->note(shares::Leaving{});
  settle(front, Of::shares);
}

void VirtualFleet::stop(int front) { processes_.at(at(front)).stopped = true; }

void VirtualFleet::wake(int front) {
  Process& process = processes_.at(at(front));
  if (!std::exchange(process.stopped, false) || !process.core) return;
  for (const Process::Datagram& waited : std::exchange(process.waiting, {}))
    note(front, waited.of, waited.from, waited.bytes);
  settle(front);
  settle(front, Of::shares);
  settle(front, Of::accord);
}

void VirtualFleet::note(int front, Of of, int from, const std::string& bytes) {
  Process& process = processes_[at(front)];
  if (of == Of::membership) process.core->note(membership::Heard{{from}, bytes});
  if (of == Of::shares && process.shares) process.shares->note(shares::Heard{{from}, bytes});
  if (of == Of::accord && process.accord) process.accord->note(accord::Heard{{from}, bytes});
}

void VirtualFleet::hear(int front, int from, const std::string& bytes) {
  hear(front, Of::membership, from, bytes);
}

void VirtualFleet::hear(int front, Of of, int from, const std::string& bytes) {
  Process& process = processes_.at(at(front));
  if (!process.core) {
    // The machine says that nobody listens, where that gets back.
    if (of == Of::shares && (!passes || passes(front, from)))
      due_.push({now_ + network.delay + network.jitter * chance(), ++order_, from,
                 processes_.at(at(from)).life, front, Of::refusal, bytes});
    return;
  }
  if (process.stopped) {
    if (process.waiting.size() < kSocket) process.waiting.push_back({of, from, bytes});
    return;
  }
  if (of == Of::membership) process.last = bytes;
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
                         : due.of == Of::shares   ? process.shares_wake
                                                  : process.accord_wake;
    if (due.of == Of::refusal) {
      if (awake && process.shares) {
        process.shares->note(shares::Refused{{due.from}, due.bytes});
        settle(due.front, Of::shares);
      }
    } else if (due.from >= 0) {
      hear(due.front, due.of, due.from, due.bytes);
    } else if (awake && due.at == wakes) {
      settle(due.front, due.of);
    }
    if (stepped) stepped(now_);
  }
  now_ = until;
}

template <typename Core, typename Took>
void VirtualFleet::decide(int front, Core& core, Of of, Millis& wakes, Load& load, Took took) {
  Process& process = processes_[at(front)];
  for (const auto& decision : core.settle(own(process, now_)))
    std::visit(
        [&](const auto& taken) {
          if constexpr (requires { taken.to, taken.bytes; }) {
            ++load.datagrams, load.bytes += taken.bytes.size();
            send(front, taken.to.number, of, taken.bytes);
          } else if constexpr (requires { taken.at; }) {
            // Time goes on between two wake-ups, whatever rounding makes of a clock that stands apart.
            const Millis when = std::max(now_ + 0.001, VirtualFleet::when(process, taken.at));
            if (when == wakes) return;
            wakes = when;
            due_.push({when, ++order_, front, process.life, -1, of, ""});
          } else {
            took(taken);
          }
        },
        decision);
}

void VirtualFleet::settle(int front, Of of) {
  Process& process = processes_[at(front)];
  const auto nothing = [](const auto&) {};
  if (of == Of::membership) settle(front);
  if (of == Of::shares && process.shares)
    decide(front, *process.shares, of, process.shares_wake, process.shares_load, nothing);
  if (of == Of::accord && process.accord)
    decide(front, *process.accord, of, process.accord_wake, process.accord_load, nothing);
}

// The membership's turn, and where its view has changed, the others'.
void VirtualFleet::settle(int front) {
  Process& process = processes_[at(front)];
  bool changed = false;
  decide(front, *process.core, Of::membership, process.wakes, process.load, [&](const auto& taken) {
    if constexpr (requires { taken.happening; }) {
      changed = true;
      if (seen_) seen_(now_, front, taken);
    } else if (found_) {
      found_(now_, front, taken);
    }
  });
  if (!process.shares && !process.accord) return;
  std::set<Place> there;
  if (changed) there = membership::there_in(process.core->view());
  if (changed && process.shares) process.shares->note(shares::Fellows{there});
  if (changed && process.accord) process.accord->note(accord::Fellows{there, size()});
  if (changed || process.shares_wake == 0) settle(front, Of::shares);
  if (changed || process.accord_wake == 0) settle(front, Of::accord);
}

void VirtualFleet::send(int from, int to, Of of, const std::string& bytes) {
  if (to < 0 || to >= size() || (passes && !passes(from, to))) return;
  const int copies = network.doubled > 0 && chance() < network.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (network.loss > 0 && chance() < network.loss) continue;
    const Millis extra = extra_delay ? extra_delay(from, to) : 0;
    due_.push({now_ + network.delay + extra + network.jitter * chance(), ++order_, to, 0, from, of, bytes});
  }
}

bool VirtualFleet::agreed() const {
  std::set<std::string> up;
  for (const Process& process : processes_)
    if (process.core) up.insert(process.name);
  for (const Process& process : processes_) {
    if (!process.core) continue;
    std::size_t there = 0;
    for (const membership::FellowView& fellow : process.core->view().fellows) {
      if (fellow.standing == membership::Standing::failed || fellow.standing == membership::Standing::left)
        continue;
      if (fellow.standing != membership::Standing::there || !up.contains(fellow.name)) return false;
      ++there;
    }
    if (there + 1 != up.size()) return false;
  }
  return true;
}

}  // namespace reedspindle::rig
