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
    if (gave.standing != Standing::healthy) {
      return false;
    }
    return std::ranges::none_of(later.endpoints, [&gave](const Endpoint& e) {
      return e.server == gave.server && e.standing == Standing::healthy && e.address == gave.address;
    });
  });
}

}  // namespace

bool Endpoint::same(const Endpoint& other) const {
  return server == other.server && address == other.address && zone == other.zone &&
         standing == other.standing && unavailability == other.unavailability && primary == other.primary &&
         rank == other.rank && weight == other.weight;
}

struct SnapshotBuilder::Made {
  ResourceSnapshot offer;
  const ResourceSnapshot* before = nullptr;
  const EndpointRegistry* roster = nullptr;
  Millis now = 0;

  [[nodiscard]] const Resource* last(Kind kind, const std::string& name) const {
    if (!before) {
      return nullptr;
    }
    const auto& of_kind = before->resources[static_cast<std::size_t>(kind)];
    const auto found = of_kind.find(name);
    return found == of_kind.end() ? nullptr : found->second.get();
  }
};

SnapshotBuilder::SnapshotBuilder(std::vector<RoutedRequestClass> types, Leases leases, Millis first_answer)
    : types_(std::move(types)), leases_(leases), first_answer_(first_answer) {}

std::map<Abilities, std::shared_ptr<const ResourceSnapshot>> SnapshotBuilder::make(
    const std::vector<ServerView>& views, const EndpointRegistry& roster, const std::set<Abilities>& wanted,
    Millis now) {
  std::map<GroupId, Group> groups;
  for (const ServerView& view : views) {
    if (!roster.members().contains(view.entry.id)) {
      continue;
    }
    Group& group = groups[view.entry.group];
    group.members.push_back(&view);
    if (view.primary) {
      group.primary = &view;
    }
  }
  judge_ready(groups, roster, now);
  std::map<Abilities, std::shared_ptr<const ResourceSnapshot>> offers;
  for (const Abilities& abilities : wanted) {
    Made made;
    const auto before = last_.find(abilities);
    made.before = before == last_.end() ? nullptr : before->second.get();
    made.roster = &roster, made.now = now;
    made.offer.ready = ready_, made.offer.revision = roster.revision(), made.offer.abilities = abilities;
    if (made.before) {
      made.offer.versions = made.before->versions;
    }
    if (ready_) {
      Routes routes{{}, abilities.elder};
      for (const auto& [id, group] : groups) {
        hand_out(made, id, group);
        for (const RoutedRequestClass& type : types_) {
          // Without a way to give up a replica in time, or to test a token, only the primary keeps the rule.
          const bool keeps =
              type.needs == RoutedRequestClass::Needs::any ||
              (type.needs == RoutedRequestClass::Needs::bounded && abilities.expiry != Expiry::none) ||
              (type.needs == RoutedRequestClass::Needs::session && abilities.tokens &&
               abilities.expiry == Expiry::stated);
          routes.routes.push_back({id, type.name, cluster_of(id, keeps ? type : RoutedRequestClass{})});
        }
      }
      see_off(made, groups);
      put(made, Kind::listeners, kRoutes, Listener{kRoutes});
      put(made, Kind::routes, kRoutes, std::move(routes));
      for (std::size_t kind = 0; made.before && kind < kKinds; ++kind) {
        for (const auto& [name, held] : made.before->resources[kind]) {
          if (!made.offer.resources[kind].contains(name)) {
            made.offer.versions[kind] = ++last_version_;
          }
        }
      }
    }
    offers[abilities] = std::make_shared<const ResourceSnapshot>(std::move(made.offer));
  }
  last_ = offers;
  return offers;
}

// Guards against handing out roles from before a restart: the first offer waits until every group has shown a
// primary, though not for ever, and never without a roster.
void SnapshotBuilder::judge_ready(const std::map<GroupId, Group>& groups, const EndpointRegistry& roster,
                                  Millis now) {
  if (ready_ || !roster.known() || groups.empty()) {
    return;
  }
  if (known_since_ < 0) {
    known_since_ = now;
  }
  const bool named =
      std::ranges::all_of(groups, [](const auto& item) { return item.second.primary != nullptr; });
  ready_ = named || now - known_since_ >= first_answer_;
}

Endpoint SnapshotBuilder::endpoint_of(const ServerView& view, const EndpointRegistry& roster) const {
  const RegistryEntry& entry = roster.members().at(view.entry.id);
  Endpoint endpoint;
  endpoint.server = view.entry.id;
  endpoint.address = entry.endpoint, endpoint.zone = entry.zone;
  endpoint.standing = drains(view) ? Standing::draining : Standing::healthy;
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
std::vector<Endpoint> SnapshotBuilder::replicas(const Made& made, const Group& group,
                                                const RoutedRequestClass& type,
                                                const std::string& name) const {
  const bool any = type.needs == RoutedRequestClass::Needs::any;
  const Millis bound = type.needs == RoutedRequestClass::Needs::bounded ? type.bound : kThreshold;
  const Millis lost = leases_.transit + leases_.clocks;
  const Resource* last = made.last(Kind::endpoints, name);
  const auto given = [last](const ServerId& id) {
    const auto* assignment = last ? std::get_if<Assignment>(&last->body) : nullptr;
    return assignment && std::ranges::any_of(assignment->endpoints, [&id](const Endpoint& e) {
             return e.server == id && !e.primary && e.standing == Standing::healthy;
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
    if (view->slow_start_fraction < 1 && !made.offer.abilities.weighs && any_warm) {
      continue;
    }
    Endpoint endpoint = endpoint_of(*view, *made.roster);
    const Millis until = fresh_until(*view, bound);
    const Millis left = until - made.now - lost;
    if (any) {
      (until > made.now ? passing : beyond).push_back(std::move(endpoint));
    } else if (left >= (given(view->entry.id) ? 1 : leases_.least)) {
      endpoint.until = until - leases_.clocks;
      if (made.offer.abilities.tokens) {
        endpoint.position = view->position;
      }
      passing.push_back(std::move(endpoint));
    }
  }
  // Beyond the threshold, but any data will do: better than a busy primary, as the module has it.
  return passing.empty() && any ? beyond : passing;
}

void SnapshotBuilder::hand_out(Made& made, GroupId id, const Group& group) {
  const std::string members = fmt::format("group-{}.members", id.number);
  const std::string primary = fmt::format("group-{}.primary", id.number);
  std::vector<Endpoint> all;
  for (const ServerView* view : group.members) {
    all.push_back(endpoint_of(*view, *made.roster));
    if (all.back().standing == Standing::healthy && !in_use(*view)) {
      all.back().standing = Standing::out;
    }
  }
  put(made, Kind::clusters, members, Cluster{id, {}});
  put_assignment(made, members, std::move(all));

  // A primary that only our probes can't reach is not taken away: proxies see their own way to it.
  std::vector<Endpoint> head;
  if (group.primary) {
    head.push_back(endpoint_of(*group.primary, *made.roster));
  }
  put(made, Kind::clusters, primary, Cluster{id, {}});
  if (!head.empty()) {
    put_assignment(made, primary, head);
  } else if (!put_as_draining(made, primary)) {
    made.offer.withheld.insert(primary);
  }

  for (const RoutedRequestClass& type : types_) {
    if (type.needs == RoutedRequestClass::Needs::primary) {
      continue;
    }
    const std::string name = cluster_of(id, type);
    // A time to live takes the whole resource, so replicas stand in one of their own, before the primary's.
    const bool apart =
        made.offer.abilities.expiry == Expiry::time_to_live && type.needs != RoutedRequestClass::Needs::any;
    const std::string where = apart ? name + ".replicas" : name;
    if (made.offer.resources[0].contains(name)) {
      continue;  // two op types with the same needs
    }
    if (apart) {
      put(made, Kind::clusters, where, Cluster{id, {}});
    }
    put(made, Kind::clusters, name,
        Cluster{id, apart ? std::vector{where, primary} : std::vector<std::string>{}});
    std::vector<Endpoint> endpoints;
    const bool leased =
        type.needs == RoutedRequestClass::Needs::any || made.offer.abilities.expiry != Expiry::none;
    const bool tested = type.needs != RoutedRequestClass::Needs::session || made.offer.abilities.tokens;
    if (leased && tested) {
      endpoints = replicas(made, group, type, where);
    }
    if (!apart) {
      const int rank = endpoints.empty() ? 0 : 1;
      for (const Endpoint& endpoint : head) {
        if (endpoint.standing == Standing::healthy || endpoints.empty()) {
          endpoints.push_back(endpoint);
          endpoints.back().rank = rank;
        }
      }
    }
    if (!endpoints.empty() || apart) {
      put_assignment(made, where, std::move(endpoints));
    } else if (!put_as_draining(made, where)) {
      made.offer.withheld.insert(where);
    }
  }
}

// Nobody is left to hand out: what was given before is taken back by its standing, since an assignment
// without endpoints reads as "no such server ever" at some proxies. False: nothing was given.
bool SnapshotBuilder::put_as_draining(Made& made, const std::string& name) {
  const Resource* last = made.last(Kind::endpoints, name);
  if (!last) {
    return false;
  }
  std::vector<Endpoint> endpoints = std::get<Assignment>(last->body).endpoints;
  for (Endpoint& endpoint : endpoints) {
    endpoint.standing = Standing::draining, endpoint.until = -1;
  }
  put_assignment(made, name, std::move(endpoints));
  return true;
}

void SnapshotBuilder::see_off(Made& made, const std::map<GroupId, Group>& groups) {
  std::erase_if(ended_, [&](const auto& item) {
    return groups.contains(item.first) || made.now - item.second > 2 * kSeenOff;
  });
  if (!made.before) {
    return;
  }
  for (const auto& [name, held] : made.before->resources[static_cast<std::size_t>(Kind::clusters)]) {
    const Cluster& cluster = std::get<Cluster>(held->body);
    if (groups.contains(cluster.group)) {
      continue;
    }
    if (made.now - ended_.try_emplace(cluster.group, made.now).first->second > kSeenOff) {
      continue;
    }
    put(made, Kind::clusters, name, cluster);
    put_as_draining(made, name);
  }
}

void SnapshotBuilder::put_assignment(Made& made, const std::string& name, std::vector<Endpoint> endpoints) {
  std::ranges::sort(endpoints, {}, [](const Endpoint& e) { return std::pair(e.rank, e.server); });
  put(made, Kind::endpoints, name, Assignment{std::move(endpoints)});
}

void SnapshotBuilder::put(Made& made, Kind kind, const std::string& name, decltype(Resource::body) body) {
  Resource resource;
  resource.kind = kind, resource.name = name, resource.made = made.now;
  resource.revision = made.roster->revision();
  const Resource* last = made.last(kind, name);
  auto& place = made.offer.resources[static_cast<std::size_t>(kind)][name];
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
      if (made.offer.abilities.expiry == Expiry::time_to_live) {
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
  made.offer.versions[static_cast<std::size_t>(kind)] = resource.version;
  place = std::make_shared<const Resource>(std::move(resource));
}

}  // namespace reedspindle::control
