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
  ++process.life, process.stopped = false, process.wakes = process.shares_wake = 0;
  process.waiting.clear();
  process.shares_waiting.clear();
  process.born = now_;
  if (sharing_) {
    shares::Charge charge_of = *sharing_;
    charge_of.place = {front};
    process.shares = shares::make_shares(charge_of, random_());
  }
  settle(front);
}

void VirtualFleet::kill(int front) {
  Process& process = processes_.at(at(front));
  process.core.reset();
  process.shares.reset();
  ++process.life;
}

void VirtualFleet::want(int front, const shares::Demand& demand) {
  Process& process = processes_.at(at(front));
  if (!process.shares || process.stopped) return;
  process.shares->note(demand);
  settle_shares(front);
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
  settle_shares(front);
}

void VirtualFleet::stop(int front) { processes_.at(at(front)).stopped = true; }

void VirtualFleet::wake(int front) {
  Process& process = processes_.at(at(front));
  if (!std::exchange(process.stopped, false) || !process.core) return;
  for (membership::Heard& heard : std::exchange(process.waiting, {})) process.core->note(std::move(heard));
  for (shares::Heard& heard : std::exchange(process.shares_waiting, {}))
    process.shares->note(std::move(heard));
  settle(front);
  if (process.shares) settle_shares(front);
}

void VirtualFleet::hear_shares(int front, int from, const std::string& bytes) {
  Process& process = processes_.at(at(front));
  if (!process.core) {
    // The machine says that nobody listens, where that gets back.
    if (sharing_ && (!passes || passes(front, from)))
      due_.push({now_ + network.delay + network.jitter * chance(), ++order_, from,
                 processes_.at(at(from)).life, front, Due::Of::refusal, bytes});
    return;
  }
  if (!process.shares) return;
  if (process.stopped) {
    if (process.shares_waiting.size() < kSocket) process.shares_waiting.push_back({{from}, bytes});
    return;
  }
  process.shares->note(shares::Heard{{from}, bytes});
  settle_shares(front);
}

void VirtualFleet::hear(int front, int from, const std::string& bytes) {
  Process& process = processes_.at(at(front));
  if (!process.core) return;
  if (process.stopped) {
    if (process.waiting.size() < kSocket) process.waiting.push_back({{from}, bytes});
    return;
  }
  process.last = bytes;
  process.core->note(membership::Heard{{from}, bytes});
  settle(front);
}

void VirtualFleet::run(Millis span) {
  const Millis until = now_ + span;
  while (!due_.empty() && due_.top().at <= until) {
    const Due due = due_.top();
    due_.pop();
    now_ = due.at;
    Process& process = processes_[at(due.front)];
    const bool awake = process.core && !process.stopped && due.life == process.life;
    if (due.of == Due::Of::refusal) {
      if (awake && process.shares) {
        process.shares->note(shares::Refused{{due.from}, due.bytes});
        settle_shares(due.front);
      }
    } else if (due.of == Due::Of::shares) {
      if (due.from >= 0)
        hear_shares(due.front, due.from, due.bytes);
      else if (awake && due.at == process.shares_wake)
        settle_shares(due.front);
    } else if (due.from >= 0) {
      hear(due.front, due.from, due.bytes);
    } else if (awake && due.at == process.wakes) {
      settle(due.front);
    }
    if (stepped) stepped(now_);
  }
  now_ = until;
}

void VirtualFleet::settle(int front) {
  Process& process = processes_[at(front)];
  bool changed = false;
  for (const membership::Decision& decision : process.core->settle(own(process, now_))) {
    if (const auto* tell = std::get_if<membership::Tell>(&decision)) {
      ++process.load.datagrams, process.load.bytes += tell->bytes.size();
      send(front, tell->to.number, tell->bytes);
    } else if (const auto* wake = std::get_if<membership::WakeAt>(&decision)) {
      // Time goes on between two wake-ups, whatever rounding makes of a clock that stands apart.
      const Millis when = std::max(now_ + 0.001, VirtualFleet::when(process, wake->at));
      if (when == process.wakes) continue;
      process.wakes = when;
      due_.push({when, ++order_, front, process.life, -1, Due::Of::membership, ""});
    } else if (const auto* change = std::get_if<membership::Change>(&decision)) {
      changed = true;
      if (seen_) seen_(now_, front, *change);
    } else if (const auto* found = std::get_if<membership::Found>(&decision)) {
      if (found_) found_(now_, front, *found);
    }
  }
  if (!process.shares) return;
  if (changed) {
    shares::Fellows fellows;
    for (const membership::FellowView& fellow : process.core->view().fellows)
      if (fellow.standing == membership::Standing::there) fellows.there.insert(fellow.place);
    process.shares->note(std::move(fellows));
  }
  if (changed || process.shares_wake == 0) settle_shares(front);
}

void VirtualFleet::settle_shares(int front) {
  Process& process = processes_[at(front)];
  for (const shares::Decision& decision : process.shares->settle(own(process, now_))) {
    if (const auto* tell = std::get_if<shares::Tell>(&decision)) {
      ++process.shares_load.datagrams, process.shares_load.bytes += tell->bytes.size();
      send(front, tell->to.number, tell->bytes);
    } else if (const auto* wake = std::get_if<shares::WakeAt>(&decision)) {
      const Millis when = std::max(now_ + 0.001, VirtualFleet::when(process, wake->at));
      if (when == process.shares_wake) continue;
      process.shares_wake = when;
      due_.push({when, ++order_, front, process.life, -1, Due::Of::shares, ""});
    }
  }
}

void VirtualFleet::send(int from, int to, const std::string& bytes) {
  if (to < 0 || to >= size() || (passes && !passes(from, to))) return;
  const int copies = network.doubled > 0 && chance() < network.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (network.loss > 0 && chance() < network.loss) continue;
    const Millis extra = extra_delay ? extra_delay(from, to) : 0;
    const Due::Of of = shares::is_for_shares(bytes) ? Due::Of::shares : Due::Of::membership;
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
