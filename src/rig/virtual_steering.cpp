#include "rig/virtual_steering.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace reedspindle::rig {
namespace {

constexpr Millis kStep = 5;    // the modules' shortest time between two settles
constexpr Millis kLook = 250;  // between two looks at all samples
constexpr std::size_t kSocket = 256;

Values values_of(const Stage& stage, int rank) {
  Values values{{"instances", static_cast<double>(stage.fronts)},
                {"rank", static_cast<double>(rank)},
                {"tick", kStep},
                {"op_types", 1.0},
                {"op_type.0.needs", "bounded"},
                {"op_type.0.effect", "retryable"},
                {"op_type.0.bound", 1500.0},
                {"op_type.0.latency_target", 300.0},
                {"list", "push"},
                {"checks", "none"},
                {"allow.probes", 1.0},
                {"allow.peers", 1.0}};
  return values;
}

}  // namespace

VirtualSteering::VirtualSteering(const Stage& stage, std::uint64_t seed)
    : stage_(stage),
      fleet_(stage.fronts, membership::Charge{}, seed),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      fronts_(static_cast<std::size_t>(stage.fronts)) {
  fleet_.passes = [this](int from, int to) { return cut_.empty() || !cut_.contains({from, to}); };
  fleet_.on([this](Millis, int by, const membership::Change&) { front(by).changed = true; });
}

ListRead VirtualSteering::list() const {
  ListRead read{ListKind::complete, {}};
  for (int group = 0; group < stage_.groups; ++group)
    for (int member = 0; member < stage_.members; ++member) {
      ListedMember entry;
      entry.member = {fmt::format("g{}m{}", group, member)};
      entry.group = {group};
      read.members.push_back(entry);
    }
  return read;
}

void VirtualSteering::start(int number) {
  Front& front = this->front(number);
  front.router = make_router(values_of(stage_, number), random_());
  ++front.life, front.stopped = false, front.changed = true;
  front.waiting.clear();
  front.waiting.emplace_back(std::in_place_type<ListRead>, list());
  fleet_.start(number);
}

void VirtualSteering::kill(int number) {
  front(number).router.reset();
  fleet_.kill(number);
}

void VirtualSteering::stop(int number) {
  front(number).stopped = true;
  fleet_.stop(number);
}

void VirtualSteering::wake(int number) {
  front(number).stopped = false;
  fleet_.wake(number);
}

void VirtualSteering::due(Millis at, int number, Event event) {
  due_.push({at, ++order_, number, front(number).life, std::move(event)});
}

void VirtualSteering::settle(int number) {
  Front& front = this->front(number);
  const Millis now = fleet_.now();
  if (std::exchange(front.changed, false) && stage_.by_view) {
    AmongPeers among;
    for (const Place place : membership::there_in(fleet_.view(number))) among.there.insert(place.number);
    const Event event(std::in_place_type<AmongPeers>, std::move(among));
    front.router->note(event);
  }
  for (Event& event : std::exchange(front.waiting, {})) front.router->note(event);
  for (const Decision& decision : front.router->settle(now)) {
    if (const auto* probe = std::get_if<reedspindle::Probe>(&decision)) {
      ++probes_;
      const bool primary = probe->member.address.ends_with("m0");
      ProbeEnded ended{probe->member, true, stage_.answer, {}};
      const Millis at = now + stage_.answer * (1 + chance());
      ended.seen = {primary ? Role::primary : Role::replica, primary ? at : at - stage_.lag, 0.3};
      due(at, number, std::move(ended));
    } else if (const auto* wake = std::get_if<Wake>(&decision)) {
      due(wake->at, number, TimerDue{wake->timer});
    } else if (const auto* words = std::get_if<TellPeers>(&decision)) {
      ++words_;
      for (int other = 0; other < stage_.fronts; ++other) {
        if (other == number || !this->front(other).router || cut_.contains({number, other})) continue;
        if (fleet_.network.loss > 0 && chance() < fleet_.network.loss) continue;
        due(now + fleet_.network.delay + fleet_.network.jitter * chance(), other,
            PeerSpoke{number, words->text});
      }
    }
  }
}

Probing VirtualSteering::run(Millis span) {
  const Millis from = fleet_.now();
  const std::uint64_t probes = probes_, words = words_;
  Millis next_look = from + kLook;
  std::vector<Millis> ages;
  while (fleet_.now() < from + span) {
    fleet_.run(kStep);
    const Millis now = fleet_.now();
    while (!due_.empty() && due_.top().at <= now) {
      const Due due = due_.top();
      due_.pop();
      Front& front = this->front(due.front);
      if (!front.router || front.life != due.life) continue;
      if (!front.stopped || front.waiting.size() < kSocket) front.waiting.push_back(due.event);
    }
    for (int number = 0; number < stage_.fronts; ++number) {
      Front& front = this->front(number);
      if (front.router && !front.stopped && (front.changed || !front.waiting.empty())) settle(number);
    }
    if (now < next_look) continue;
    next_look += kLook;
    for (Front& front : fronts_)
      if (front.router && !front.stopped)
        for (const MemberView& member : front.router->view())
          ages.push_back(member.sampled < 0 ? span : now - member.sampled);
  }
  const double seconds = span / 1000;
  Probing probing;
  probing.probes = static_cast<double>(probes_ - probes) / seconds / (stage_.groups * stage_.members);
  probing.words = static_cast<double>(words_ - words) / seconds;
  std::ranges::sort(ages);
  if (ages.empty()) return probing;
  probing.median = ages[ages.size() / 2], probing.p99 = ages[ages.size() * 99 / 100];
  probing.longest = ages.back();
  probing.unusable = static_cast<double>(std::ranges::count_if(ages, [](Millis age) { return age > 1000; })) /
                     static_cast<double>(ages.size());
  return probing;
}

}  // namespace reedspindle::rig
