#include "faulttest/virtual_routers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace reedspindle::faulttest {
namespace {

constexpr Millis kStep = 5;    // the modules' shortest time between two settles
constexpr Millis kLook = 250;  // between two looks at all samples
constexpr std::size_t kSocket = 256;

Settings router_settings_in(const Stage& stage, int rank) {
  Settings values{{"instances", static_cast<double>(stage.fronts)},
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

VirtualRouters::VirtualRouters(const Stage& stage, std::uint64_t seed)
    : stage_(stage),
      fleet_(stage.fronts, membership::Options{}, seed),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      fronts_(static_cast<std::size_t>(stage.fronts)) {
  fleet_.link_up = [this](int from, int to) { return cut_.empty() || !cut_.contains({from, to}); };
  fleet_.set_listeners([this](Millis, int by, const membership::PeerChanged&) { front(by).changed = true; });
}

EndpointListReceived VirtualRouters::list() const {
  EndpointListReceived read{EndpointListKind::complete, {}};
  for (int group = 0; group < stage_.groups; ++group) {
    for (int member = 0; member < stage_.members; ++member) {
      ServerEntry entry;
      entry.id = {fmt::format("g{}m{}", group, member)};
      entry.group = {group};
      read.servers.push_back(entry);
    }
  }
  return read;
}

void VirtualRouters::start(int number) {
  Front& front = this->front(number);
  front.router = make_router(router_settings_in(stage_, number), random_());
  ++front.life, front.stopped = false, front.changed = true;
  front.waiting.clear();
  front.waiting.emplace_back(std::in_place_type<EndpointListReceived>, list());
  fleet_.start(number);
}

void VirtualRouters::kill(int number) {
  front(number).router.reset();
  fleet_.kill(number);
}

void VirtualRouters::stop(int number) {
  front(number).stopped = true;
  fleet_.pause(number);
}

void VirtualRouters::wake(int number) {
  front(number).stopped = false;
  fleet_.resume(number);
}

void VirtualRouters::due(Millis at, int number, Event event) {
  due_.push({at, ++order_, number, front(number).life, std::move(event)});
}

void VirtualRouters::settle(int number) {
  Front& front = this->front(number);
  const Millis now = fleet_.now();
  if (std::exchange(front.changed, false) && stage_.by_view) {
    FleetViewChanged among;
    for (const SlotId place : membership::alive_peers(fleet_.view(number))) {
      among.alive_peers.insert(place.number);
    }
    const Event event(std::in_place_type<FleetViewChanged>, std::move(among));
    front.router->enqueue(event);
  }
  for (Event& event : std::exchange(front.waiting, {})) {
    front.router->enqueue(event);
  }
  for (const Decision& decision : front.router->process(now)) {
    if (const auto* probe = std::get_if<reedspindle::StartProbe>(&decision)) {
      ++probes_;
      const bool primary = probe->server.address.ends_with("m0");
      ProbeCompleted ended{probe->server, true, stage_.answer, {}};
      const Millis at = now + stage_.answer * (1 + chance());
      ended.sample = {primary ? Role::primary : Role::replica, primary ? at : at - stage_.lag, 0.3};
      due(at, number, std::move(ended));
    } else if (const auto* wake = std::get_if<SetTimer>(&decision)) {
      due(wake->at, number, TimerExpired{wake->timer});
    } else if (const auto* words = std::get_if<BroadcastToPeers>(&decision)) {
      ++words_;
      for (int other = 0; other < stage_.fronts; ++other) {
        if (other == number || !this->front(other).router || cut_.contains({number, other})) {
          continue;
        }
        if (fleet_.network.loss > 0 && chance() < fleet_.network.loss) {
          continue;
        }
        due(now + fleet_.network.delay + fleet_.network.jitter * chance(), other,
            PeerMessageReceived{number, words->text});
      }
    }
  }
}

Probing VirtualRouters::run(Millis span) {
  const Millis from = fleet_.now();
  const std::uint64_t probes = probes_;
  const std::uint64_t words = words_;
  Millis next_look = from + kLook;
  std::vector<Millis> ages;
  while (fleet_.now() < from + span) {
    fleet_.run(kStep);
    const Millis now = fleet_.now();
    while (!due_.empty() && due_.top().at <= now) {
      const Due due = due_.top();
      due_.pop();
      Front& front = this->front(due.front);
      if (!front.router || front.life != due.life) {
        continue;
      }
      if (!front.stopped || front.waiting.size() < kSocket) {
        front.waiting.push_back(due.event);
      }
    }
    for (int number = 0; number < stage_.fronts; ++number) {
      Front& front = this->front(number);
      if (front.router && !front.stopped && (front.changed || !front.waiting.empty())) {
        settle(number);
      }
    }
    if (now < next_look) {
      continue;
    }
    next_look += kLook;
    for (Front& front : fronts_) {
      if (front.router && !front.stopped) {
        for (const ServerView& member : front.router->view()) {
          ages.push_back(member.sampled_at < 0 ? span : now - member.sampled_at);
        }
      }
    }
  }
  const double seconds = span / 1000;
  Probing probing;
  probing.probes = static_cast<double>(probes_ - probes) / seconds / (stage_.groups * stage_.members);
  probing.words = static_cast<double>(words_ - words) / seconds;
  std::ranges::sort(ages);
  if (ages.empty()) {
    return probing;
  }
  probing.median = ages[ages.size() / 2], probing.p99 = ages[ages.size() * 99 / 100];
  probing.longest = ages.back();
  probing.unusable = static_cast<double>(std::ranges::count_if(ages, [](Millis age) { return age > 1000; })) /
                     static_cast<double>(ages.size());
  return probing;
}

}  // namespace reedspindle::faulttest
