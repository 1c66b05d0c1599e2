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
  ++process.life, process.stopped = false, process.wakes = 0;
  process.waiting.clear();
  settle(front);
}

void VirtualFleet::kill(int front) {
  Process& process = processes_.at(at(front));
  process.core.reset();
  ++process.life;
}

void VirtualFleet::leave(int front) {
  processes_.at(at(front)).core->note(membership::Leaving{});
  settle(front);
}

void VirtualFleet::stop(int front) { processes_.at(at(front)).stopped = true; }

void VirtualFleet::wake(int front) {
  Process& process = processes_.at(at(front));
  if (!std::exchange(process.stopped, false) || !process.core) return;
  for (membership::Heard& heard : std::exchange(process.waiting, {})) process.core->note(std::move(heard));
  settle(front);
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
    if (!process.core) continue;
    if (due.from >= 0) {
      hear(due.front, due.from, due.bytes);
    } else if (due.life == process.life && !process.stopped && due.at == process.wakes) {
      settle(due.front);
    }
  }
  now_ = until;
}

void VirtualFleet::settle(int front) {
  Process& process = processes_[at(front)];
  for (const membership::Decision& decision : process.core->settle(now_ + process.apart)) {
    if (const auto* tell = std::get_if<membership::Tell>(&decision)) {
      ++process.load.datagrams, process.load.bytes += tell->bytes.size();
      send(front, tell->to.number, tell->bytes);
    } else if (const auto* wake = std::get_if<membership::WakeAt>(&decision)) {
      // Time goes on between two wake-ups, whatever rounding makes of a clock that stands apart.
      const Millis when = std::max(now_ + 0.001, wake->at - process.apart);
      if (when == process.wakes) continue;
      process.wakes = when;
      due_.push({when, ++order_, front, process.life, -1, ""});
    } else if (const auto* change = std::get_if<membership::Change>(&decision)) {
      if (seen_) seen_(now_, front, *change);
    } else if (const auto* found = std::get_if<membership::Found>(&decision)) {
      if (found_) found_(now_, front, *found);
    }
  }
}

void VirtualFleet::send(int from, int to, const std::string& bytes) {
  if (to < 0 || to >= size() || (passes && !passes(from, to))) return;
  const int copies = network.doubled > 0 && chance() < network.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (network.loss > 0 && chance() < network.loss) continue;
    const Millis extra = extra_delay ? extra_delay(from, to) : 0;
    due_.push({now_ + network.delay + extra + network.jitter * chance(), ++order_, to, 0, from, bytes});
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
