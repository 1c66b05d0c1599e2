#include "faulttest/virtual_routers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::faulttest {
namespace {

constexpr Millis kTick = 5;              // the shortest time between two runs of a router
constexpr Millis kSamplingPeriod = 250;  // between two readings of the ages of all samples
constexpr std::size_t kSocketBuffer = 256;

Settings router_settings_in(const FleetOptions& options, int rank) {
  Settings values{{"instances", static_cast<double>(options.instances)},
                  {"rank", static_cast<double>(rank)},
                  {"tick", kTick},
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

VirtualRouters::VirtualRouters(const FleetOptions& options, std::uint64_t seed)
    : options_(options),
      fleet_(options.instances, membership::Options{}, seed),
      random_(make_random(seed)),
      instances_(static_cast<std::size_t>(options.instances)) {
  fleet_.link_up = [this](int from, int to) {
    return blocked_links_.empty() || !blocked_links_.contains({from, to});
  };
  fleet_.set_listeners([this](Millis, int at_instance, const membership::PeerChanged&) {
    instance(at_instance).view_changed = true;
  });
}

EndpointListReceived VirtualRouters::endpoint_list() const {
  EndpointListReceived list{EndpointListKind::complete, {}};
  for (int group = 0; group < options_.groups; ++group) {
    for (int member = 0; member < options_.group_size; ++member) {
      ServerEntry entry;
      entry.id = {fmt::format("g{}m{}", group, member)};
      entry.group = {group};
      list.servers.push_back(entry);
    }
  }
  return list;
}

void VirtualRouters::start(int index) {
  Instance& instance = this->instance(index);
  instance.router = make_router(router_settings_in(options_, index), random_());
  ++instance.generation, instance.paused = false, instance.view_changed = true;
  instance.pending.clear();
  instance.pending.emplace_back(std::in_place_type<EndpointListReceived>, endpoint_list());
  fleet_.start(index);
}

void VirtualRouters::kill(int index) {
  instance(index).router.reset();
  fleet_.kill(index);
}

void VirtualRouters::pause(int index) {
  instance(index).paused = true;
  fleet_.pause(index);
}

void VirtualRouters::resume(int index) {
  instance(index).paused = false;
  fleet_.resume(index);
}

void VirtualRouters::schedule(Millis at, int index, Event event) {
  schedule_.push({at, ++sequence_, index, instance(index).generation, std::move(event)});
}

void VirtualRouters::run_router(int index) {
  Instance& instance = this->instance(index);
  const Millis now = fleet_.now();
  if (std::exchange(instance.view_changed, false) && options_.use_membership_view) {
    FleetViewChanged view;
    for (const SlotId slot : membership::alive_peers(fleet_.view(index))) {
      view.alive_peers.insert(slot.number);
    }
    const Event event(std::in_place_type<FleetViewChanged>, std::move(view));
    instance.router->enqueue(event);
  }
  for (Event& event : std::exchange(instance.pending, {})) {
    instance.router->enqueue(event);
  }
  for (const Decision& decision : instance.router->process(now)) {
    if (const auto* probe = std::get_if<reedspindle::StartProbe>(&decision)) {
      ++probes_;
      const bool primary = probe->server.address.ends_with("m0");
      ProbeCompleted completed{probe->server, true, options_.probe_latency, {}};
      const Millis at = now + options_.probe_latency * (1 + random_fraction());
      completed.report = {primary ? Role::primary : Role::replica,
                          primary ? at : at - options_.replication_lag, 0.3};
      schedule(at, index, std::move(completed));
    } else if (const auto* timer = std::get_if<SetTimer>(&decision)) {
      schedule(timer->at, index, TimerExpired{timer->timer});
    } else if (const auto* message = std::get_if<BroadcastToPeers>(&decision)) {
      ++broadcasts_;
      for (int other = 0; other < options_.instances; ++other) {
        if (other == index || !this->instance(other).router || blocked_links_.contains({index, other})) {
          continue;
        }
        if (fleet_.network.loss > 0 && random_fraction() < fleet_.network.loss) {
          continue;
        }
        schedule(now + fleet_.network.delay + fleet_.network.jitter * random_fraction(), other,
                 PeerMessageReceived{index, message->text});
      }
    }
  }
}

ProbeStatistics VirtualRouters::run(Millis duration) {
  const Millis from = fleet_.now();
  const std::uint64_t probes = probes_;
  const std::uint64_t broadcasts = broadcasts_;
  Millis next_sample = from + kSamplingPeriod;
  std::vector<Millis> ages;
  while (fleet_.now() < from + duration) {
    fleet_.run(kTick);
    const Millis now = fleet_.now();
    while (!schedule_.empty() && schedule_.top().at <= now) {
      const ScheduledEvent scheduled = schedule_.top();
      schedule_.pop();
      Instance& instance = this->instance(scheduled.instance);
      if (!instance.router || instance.generation != scheduled.generation) {
        continue;
      }
      if (!instance.paused || instance.pending.size() < kSocketBuffer) {
        instance.pending.push_back(scheduled.event);
      }
    }
    for (int index = 0; index < options_.instances; ++index) {
      Instance& instance = this->instance(index);
      if (instance.router && !instance.paused && (instance.view_changed || !instance.pending.empty())) {
        run_router(index);
      }
    }
    if (now < next_sample) {
      continue;
    }
    next_sample += kSamplingPeriod;
    for (Instance& instance : instances_) {
      if (instance.router && !instance.paused) {
        for (const ServerView& member : instance.router->view()) {
          ages.push_back(member.sampled_at < 0 ? duration : now - member.sampled_at);
        }
      }
    }
  }
  const double seconds = duration / 1000;
  ProbeStatistics statistics;
  statistics.probes =
      static_cast<double>(probes_ - probes) / seconds / (options_.groups * options_.group_size);
  statistics.broadcasts = static_cast<double>(broadcasts_ - broadcasts) / seconds;
  std::ranges::sort(ages);
  if (ages.empty()) {
    return statistics;
  }
  statistics.median_age = ages[ages.size() / 2], statistics.p99_age = ages[ages.size() * 99 / 100];
  statistics.max_age = ages.back();
  statistics.stale_fraction =
      static_cast<double>(std::ranges::count_if(ages, [](Millis age) { return age > 1000; })) /
      static_cast<double>(ages.size());
  return statistics;
}

}  // namespace reedspindle::faulttest
