#include "control/resource_snapshot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace reedspindle::control {
namespace {

constexpr Millis kThreshold = 2000;  // the module's, for reads without a bound
// A group without members is told of as draining for so long: proxies that follow its assignments alone would
// never hear that it has ended.
constexpr Millis kSeenOff = 30000;

bool in_use(const ServerView& view) {
  return view.unavailability == Unavailability::none || view.unavailability == Unavailability::backing_off;
}
bool drains(const ServerView& view) {
  return view.unavailability == Unavailability::draining || view.unavailability == Unavailability::gone;
}

// Up to when the member passes for the bound; below 0: it does not.
Millis fresh_until(const ServerView& view, Millis bound) {
  for (const FreshnessWindow& fresh : view.fresh) {
    if (fresh.bound == bound) {
      return fresh.until;
    }
  }
  return -1;
}

std::string cluster_of(GroupId group, const RoutedRequestClass& type) {
  switch (type.needs) {
    case RoutedRequestClass::Needs::any:
      return fmt::format("group-{}.any", group.number);
    case RoutedRequestClass::Needs::session:
      return fmt::format("group-{}.session", group.number);
    case RoutedRequestClass::Needs::bounded:
      return fmt::format("group-{}.within-{}ms", group.number, type.bound);
    case RoutedRequestClass::Needs::primary:
      break;
  }
  return fmt::format("group-{}.primary", group.number);
}

bool same(const Assignment& one, const Assignment& other) {
  return std::ranges::equal(one.endpoints, other.endpoints,
                            [](const Endpoint& a, const Endpoint& b) { return a.same(b); });
}

// Whether the later one takes an endpoint away that the one before gave.
bool takes_away(const Assignment& before, const Assignment& later) {
  return std::ranges::any_of(before.endpoints, [&later](const Endpoint& gave) {
    if (gave.health_status != HealthStatus::healthy) {
      return false;
    }
    return std::ranges::none_of(later.endpoints, [&gave](const Endpoint& e) {
      return e.server == gave.server && e.health_status == HealthStatus::healthy && e.address == gave.address;
    });
  });
}

}  // namespace

bool Endpoint::same(const Endpoint& other) const {
  return server == other.server && address == other.address && zone == other.zone &&
         health_status == other.health_status && unavailability == other.unavailability &&
         primary == other.primary && rank == other.rank && weight == other.weight;
}

struct SnapshotBuilder::SnapshotDraft {
  ResourceSnapshot snapshot;
  const ResourceSnapshot* before = nullptr;
  const EndpointRegistry* registry = nullptr;
  Millis now = 0;

  [[nodiscard]] const Resource* last(ResourceType kind, const std::string& name) const {
    if (!before) {
      return nullptr;
    }
    const auto& of_kind = before->resources[static_cast<std::size_t>(kind)];
    const auto found = of_kind.find(name);
    return found == of_kind.end() ? nullptr : found->second.get();
  }
};

SnapshotBuilder::SnapshotBuilder(std::vector<RoutedRequestClass> types, LeaseOptions leases,
                                 Millis first_answer)
    : types_(std::move(types)), leases_(leases), first_answer_(first_answer) {}

std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> SnapshotBuilder::build(
    const std::vector<ServerView>& views, const EndpointRegistry& registry,
    const std::set<ClientCapabilities>& wanted, Millis now) {
  std::map<GroupId, Group> groups;
  for (const ServerView& view : views) {
    if (!registry.members().contains(view.entry.id)) {
      continue;
    }
    Group& group = groups[view.entry.group];
    group.members.push_back(&view);
    if (view.primary) {
      group.primary = &view;
    }
  }
  update_readiness(groups, registry, now);
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots;
  for (const ClientCapabilities& capabilities : wanted) {
    SnapshotDraft made;
    const auto before = last_.find(capabilities);
    made.before = before == last_.end() ? nullptr : before->second.get();
    made.registry = &registry, made.now = now;
    made.snapshot.ready = ready_, made.snapshot.revision = registry.revision(),
    made.snapshot.capabilities = capabilities;
    if (made.before) {
      made.snapshot.versions = made.before->versions;
    }
    if (ready_) {
      Routes routes{{}, capabilities.legacy_matchers};
      for (const auto& [id, group] : groups) {
        add_group(made, id, group);
        for (const RoutedRequestClass& type : types_) {
          // Without a way to give up a replica in time, or to test a token, only the primary keeps the rule.
          const bool keeps =
              type.needs == RoutedRequestClass::Needs::any ||
              (type.needs == RoutedRequestClass::Needs::bounded && capabilities.expiry != Expiry::none) ||
              (type.needs == RoutedRequestClass::Needs::session && capabilities.checks_session_tokens &&
               capabilities.expiry == Expiry::stated);
          routes.routes.push_back({id, type.name, cluster_of(id, keeps ? type : RoutedRequestClass{})});
        }
      }
      add_removed_groups(made, groups);
      add_resource(made, ResourceType::listeners, kRoutes, Listener{kRoutes});
      add_resource(made, ResourceType::routes, kRoutes, std::move(routes));
      for (std::size_t kind = 0; made.before && kind < kResourceTypes; ++kind) {
        for (const auto& [name, held] : made.before->resources[kind]) {
          if (!made.snapshot.resources[kind].contains(name)) {
            made.snapshot.versions[kind] = ++last_version_;
          }
        }
      }
    }
    snapshots[capabilities] = std::make_shared<const ResourceSnapshot>(std::move(made.snapshot));
  }
  last_ = snapshots;
  return snapshots;
}

// Guards against handing out roles from before a restart: the first offer waits until every group has shown a
// primary, though not for ever, and never without a roster.
void SnapshotBuilder::update_readiness(const std::map<GroupId, Group>& groups,
                                       const EndpointRegistry& registry, Millis now) {
  if (ready_ || !registry.known() || groups.empty()) {
    return;
  }
  if (known_since_ < 0) {
    known_since_ = now;
  }
  const bool named =
      std::ranges::all_of(groups, [](const auto& item) { return item.second.primary != nullptr; });
  ready_ = named || now - known_since_ >= first_answer_;
}

Endpoint SnapshotBuilder::make_endpoint(const ServerView& view, const EndpointRegistry& registry) const {
  const RegistryEntry& entry = registry.members().at(view.entry.id);
  Endpoint endpoint;
  endpoint.server = view.entry.id;
  endpoint.address = entry.endpoint, endpoint.zone = entry.zone;
  endpoint.health_status = drains(view) ? HealthStatus::draining : HealthStatus::healthy;
  // Rests are over sooner than word of them would be there.
  endpoint.unavailability =
      view.unavailability == Unavailability::backing_off ? Unavailability::none : view.unavailability;
  endpoint.primary = view.primary;
  // A share of the ops by what it has at least of its capacity: a cold one is then never busier than warm
  // ones are. In steps of ten, so that warming up is not a push a moment.
  const double share =
      view.slow_start_fraction >= 1 ? 1 : std::max(0.1, std::floor(view.slow_start_fraction * 10) / 10);
  endpoint.weight = static_cast<std::uint32_t>(std::clamp(100 * share * view.entry.size, 1.0, 1e6));
  return endpoint;
}

// The replicas that pass for the op type, with a lease that is worth its push: one that was given stays while
// its lease lasts, a new one has to last a while. Guards against a push for every probe where a bound is
// short.
std::vector<Endpoint> SnapshotBuilder::eligible_replicas(const SnapshotDraft& made, const Group& group,
                                                         const RoutedRequestClass& type,
                                                         const std::string& name) const {
  const bool any = type.needs == RoutedRequestClass::Needs::any;
  const Millis bound = type.needs == RoutedRequestClass::Needs::bounded ? type.bound : kThreshold;
  const Millis lost = leases_.transit + leases_.clocks;
  const Resource* last = made.last(ResourceType::endpoints, name);
  const auto given = [last](const ServerId& id) {
    const auto* assignment = last ? std::get_if<Assignment>(&last->body) : nullptr;
    return assignment && std::ranges::any_of(assignment->endpoints, [&id](const Endpoint& e) {
             return e.server == id && !e.primary && e.health_status == HealthStatus::healthy;
           });
  };
  std::vector<Endpoint> passing;
  std::vector<Endpoint> beyond;
  bool any_warm = group.primary && group.primary->slow_start_fraction >= 1 && in_use(*group.primary);
  for (const ServerView* view : group.members) {
    any_warm |= view->slow_start_fraction >= 1 && in_use(*view);
  }
  for (const ServerView* view : group.members) {
    if (view == group.primary || !in_use(*view)) {
      continue;
    }
    // One that can't be given a small share waits until it is warm, unless there are no others.
    if (view->slow_start_fraction < 1 && !made.snapshot.capabilities.uses_weights && any_warm) {
      continue;
    }
    Endpoint endpoint = make_endpoint(*view, *made.registry);
    const Millis until = fresh_until(*view, bound);
    const Millis left = until - made.now - lost;
    if (any) {
      (until > made.now ? passing : beyond).push_back(std::move(endpoint));
    } else if (left >= (given(view->entry.id) ? 1 : leases_.least)) {
      endpoint.until = until - leases_.clocks;
      if (made.snapshot.capabilities.checks_session_tokens) {
        endpoint.position = view->position;
      }
      passing.push_back(std::move(endpoint));
    }
  }
  // Beyond the threshold, but any data will do: better than a busy primary, as the module has it.
  return passing.empty() && any ? beyond : passing;
}

void SnapshotBuilder::add_group(SnapshotDraft& made, GroupId id, const Group& group) {
  const std::string members = fmt::format("group-{}.members", id.number);
  const std::string primary = fmt::format("group-{}.primary", id.number);
  std::vector<Endpoint> all;
  for (const ServerView* view : group.members) {
    all.push_back(make_endpoint(*view, *made.registry));
    if (all.back().health_status == HealthStatus::healthy && !in_use(*view)) {
      all.back().health_status = HealthStatus::unhealthy;
    }
  }
  add_resource(made, ResourceType::clusters, members, Cluster{id, {}});
  add_assignment(made, members, std::move(all));

  // A primary that only our probes can't reach is not taken away: proxies see their own way to it.
  std::vector<Endpoint> head;
  if (group.primary) {
    head.push_back(make_endpoint(*group.primary, *made.registry));
  }
  add_resource(made, ResourceType::clusters, primary, Cluster{id, {}});
  if (!head.empty()) {
    add_assignment(made, primary, head);
  } else if (!add_as_draining(made, primary)) {
    made.snapshot.withheld.insert(primary);
  }

  for (const RoutedRequestClass& type : types_) {
    if (type.needs == RoutedRequestClass::Needs::primary) {
      continue;
    }
    const std::string name = cluster_of(id, type);
    // A time to live takes the whole resource, so replicas stand in one of their own, before the primary's.
    const bool apart = made.snapshot.capabilities.expiry == Expiry::time_to_live &&
                       type.needs != RoutedRequestClass::Needs::any;
    const std::string where = apart ? name + ".replicas" : name;
    if (made.snapshot.resources[0].contains(name)) {
      continue;  // two op types with the same needs
    }
    if (apart) {
      add_resource(made, ResourceType::clusters, where, Cluster{id, {}});
    }
    add_resource(made, ResourceType::clusters, name,
                 Cluster{id, apart ? std::vector{where, primary} : std::vector<std::string>{}});
    std::vector<Endpoint> endpoints;
    const bool leased =
        type.needs == RoutedRequestClass::Needs::any || made.snapshot.capabilities.expiry != Expiry::none;
    const bool tested =
        type.needs != RoutedRequestClass::Needs::session || made.snapshot.capabilities.checks_session_tokens;
    if (leased && tested) {
      endpoints = eligible_replicas(made, group, type, where);
    }
    if (!apart) {
      const int rank = endpoints.empty() ? 0 : 1;
      for (const Endpoint& endpoint : head) {
        if (endpoint.health_status == HealthStatus::healthy || endpoints.empty()) {
          endpoints.push_back(endpoint);
          endpoints.back().rank = rank;
        }
      }
    }
    if (!endpoints.empty() || apart) {
      add_assignment(made, where, std::move(endpoints));
    } else if (!add_as_draining(made, where)) {
      made.snapshot.withheld.insert(where);
    }
  }
}

// Nobody is left to hand out: what was given before is taken back by its standing, since an assignment
// without endpoints reads as "no such server ever" at some proxies. False: nothing was given.
bool SnapshotBuilder::add_as_draining(SnapshotDraft& made, const std::string& name) {
  const Resource* last = made.last(ResourceType::endpoints, name);
  if (!last) {
    return false;
  }
  std::vector<Endpoint> endpoints = std::get<Assignment>(last->body).endpoints;
  for (Endpoint& endpoint : endpoints) {
    endpoint.health_status = HealthStatus::draining, endpoint.until = -1;
  }
  add_assignment(made, name, std::move(endpoints));
  return true;
}

void SnapshotBuilder::add_removed_groups(SnapshotDraft& made, const std::map<GroupId, Group>& groups) {
  std::erase_if(ended_, [&](const auto& item) {
    return groups.contains(item.first) || made.now - item.second > 2 * kSeenOff;
  });
  if (!made.before) {
    return;
  }
  for (const auto& [name, held] : made.before->resources[static_cast<std::size_t>(ResourceType::clusters)]) {
    const Cluster& cluster = std::get<Cluster>(held->body);
    if (groups.contains(cluster.group)) {
      continue;
    }
    if (made.now - ended_.try_emplace(cluster.group, made.now).first->second > kSeenOff) {
      continue;
    }
    add_resource(made, ResourceType::clusters, name, cluster);
    add_as_draining(made, name);
  }
}

void SnapshotBuilder::add_assignment(SnapshotDraft& made, const std::string& name,
                                     std::vector<Endpoint> endpoints) {
  std::ranges::sort(endpoints, {}, [](const Endpoint& e) { return std::pair(e.rank, e.server); });
  add_resource(made, ResourceType::endpoints, name, Assignment{std::move(endpoints)});
}

void SnapshotBuilder::add_resource(SnapshotDraft& made, ResourceType kind, const std::string& name,
                                   decltype(Resource::body) body) {
  Resource resource;
  resource.kind = kind, resource.name = name, resource.made = made.now;
  resource.revision = made.registry->revision();
  const Resource* last = made.last(kind, name);
  auto& place = made.snapshot.resources[static_cast<std::size_t>(kind)][name];
  const auto keep = [&] { place = made.before->resources[static_cast<std::size_t>(kind)].at(name); };
  if (const auto* assignment = std::get_if<Assignment>(&body)) {
    for (const Endpoint& endpoint : assignment->endpoints) {
      if (endpoint.until >= 0) {
        resource.until = resource.until < 0 ? endpoint.until : std::min(resource.until, endpoint.until);
      }
    }
    const Assignment* before = last ? &std::get<Assignment>(last->body) : nullptr;
    // One that nobody was offered before: whoever holds another of that name is told at once.
    resource.revoked = last ? last->revoked : last_version_ + 1;
    if (before && same(*before, *assignment)) {
      // A lease is renewed once half of it is over. With a time to live, the body stays what it is.
      const bool renew = resource.until >= 0 && last->until - made.now < (last->until - last->made) / 2;
      if (!renew || resource.until <= last->until) {
        return keep();
      }
      if (made.snapshot.capabilities.expiry == Expiry::time_to_live) {
        resource.version = last->version, resource.body = last->body;
        place = std::make_shared<const Resource>(std::move(resource));
        return;
      }
    } else if (before && takes_away(*before, *assignment)) {
      resource.revoked = last_version_ + 1;
    }
  } else if (last && last->body.index() == body.index()) {
    const bool unchanged = std::visit(
        [&body]<typename T>(const T& was) {
          if constexpr (std::is_same_v<T, Assignment>) {
            return false;
          } else {
            return was == std::get<T>(body);
          }
        },
        last->body);
    if (unchanged) {
      return keep();
    }
  }
  resource.version = ++last_version_;
  resource.body = std::move(body);
  made.snapshot.versions[static_cast<std::size_t>(kind)] = resource.version;
  place = std::make_shared<const Resource>(std::move(resource));
}

}  // namespace reedspindle::control
