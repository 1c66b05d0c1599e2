#include "control/resource_snapshot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/snapshot_draft.hpp"

namespace reedspindle::control {
namespace {

// The freshness bound that the router applies to reads that state none.
constexpr Millis kDefaultFreshnessBound = 2000;
// How long a group without members is still sent as draining. Clients that subscribe only to its assignments
// would otherwise never learn that it has been removed.
constexpr Millis kRemovedGroupRetention = 30000;

using Needs = RoutedRequestClass::Needs;

bool is_available(const ServerView& view) {
  return view.unavailability == Unavailability::none || view.unavailability == Unavailability::backing_off;
}
bool is_draining(const ServerView& view) {
  return view.unavailability == Unavailability::draining || view.unavailability == Unavailability::gone;
}
bool is_warm(const ServerView& view) { return view.slow_start_fraction >= 1; }

// Returns the time until which the server's data is proven to be within the bound, or a negative value if the
// server has no such time for this bound.
Millis fresh_until(const ServerView& view, Millis bound) {
  for (const FreshnessWindow& fresh : view.fresh) {
    if (fresh.bound == bound) {
      return fresh.until;
    }
  }
  return -1;
}

std::string cluster_name(GroupId group, const RoutedRequestClass& request_class) {
  switch (request_class.needs) {
    case Needs::any:
      return fmt::format("group-{}.any", group.number);
    case Needs::session:
      return fmt::format("group-{}.session", group.number);
    case Needs::bounded:
      return fmt::format("group-{}.within-{}ms", group.number, request_class.bound);
    case Needs::primary:
      break;
  }
  return fmt::format("group-{}.primary", group.number);
}

// Returns whether clients with these capabilities can read from replicas and still meet the freshness needs
// of the class. Clients that cannot stop using a replica in time, or cannot check session tokens, meet them
// only with the primary.
bool can_use_replicas(const RoutedRequestClass& request_class, const ClientCapabilities& capabilities) {
  switch (request_class.needs) {
    case Needs::any:
      return true;
    case Needs::bounded:
      return capabilities.expiry != Expiry::none;
    case Needs::session:
      return capabilities.checks_session_tokens && capabilities.expiry != Expiry::none;
    case Needs::primary:
      break;
  }
  return false;
}

// Returns whether reads of the class are routed to a cluster with replicas. For session reads that is the
// case only with clients that apply stated expiry times.
bool is_routed_to_replicas(const RoutedRequestClass& request_class, const ClientCapabilities& capabilities) {
  return can_use_replicas(request_class, capabilities) &&
         (request_class.needs != Needs::session || capabilities.expiry == Expiry::stated);
}

// Returns whether the server is a healthy replica in the previous assignment of this name.
bool was_offered(const SnapshotDraft& draft, const std::string& name, const ServerId& server) {
  const Resource* last = draft.previous(ResourceType::endpoints, name);
  const auto* assignment = last ? std::get_if<Assignment>(&last->body) : nullptr;
  return assignment && std::ranges::any_of(assignment->endpoints, [&server](const Endpoint& e) {
           return e.server == server && !e.primary && e.health_status == HealthStatus::healthy;
         });
}

}  // namespace

bool Endpoint::same(const Endpoint& other) const {
  return server == other.server && address == other.address && zone == other.zone &&
         health_status == other.health_status && unavailability == other.unavailability &&
         primary == other.primary && rank == other.rank && weight == other.weight;
}

SnapshotBuilder::SnapshotBuilder(std::vector<RoutedRequestClass> request_classes, LeaseOptions leases,
                                 Millis startup_timeout)
    : request_classes_(std::move(request_classes)), leases_(leases), startup_timeout_(startup_timeout) {}

SnapshotBuilder::Groups SnapshotBuilder::groups_of(const std::vector<ServerView>& views,
                                                   const EndpointRegistry& registry) {
  Groups groups;
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
  return groups;
}

std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> SnapshotBuilder::build(
    const std::vector<ServerView>& views, const EndpointRegistry& registry,
    const std::set<ClientCapabilities>& client_capabilities, Millis now) {
  const Groups groups = groups_of(views, registry);
  update_readiness(groups, registry, now);
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> snapshots;
  for (const ClientCapabilities& capabilities : client_capabilities) {
    const auto previous = previous_snapshots_.find(capabilities);
    SnapshotDraft draft(capabilities,
                        previous == previous_snapshots_.end() ? nullptr : previous->second.get(),
                        registry.revision(), last_version_, now);
    if (ready_) {
      add_resources(draft, groups, registry);
    }
    snapshots[capabilities] = std::make_shared<const ResourceSnapshot>(std::move(draft).finish(ready_));
  }
  previous_snapshots_ = snapshots;
  return snapshots;
}

// Snapshots become ready once every group has a primary, so that roles from before a restart are not used, or
// when the startup timeout has passed. They never become ready while the registry is empty.
void SnapshotBuilder::update_readiness(const Groups& groups, const EndpointRegistry& registry, Millis now) {
  if (ready_ || !registry.known() || groups.empty()) {
    return;
  }
  if (!registry_known_since_) {
    registry_known_since_ = now;
  }
  const bool all_have_primary =
      std::ranges::all_of(groups, [](const auto& item) { return item.second.primary != nullptr; });
  ready_ = all_have_primary || now - *registry_known_since_ >= startup_timeout_;
}

void SnapshotBuilder::add_resources(SnapshotDraft& draft, const Groups& groups,
                                    const EndpointRegistry& registry) {
  Routes routes{{}, draft.capabilities().legacy_matchers};
  for (const auto& [id, group] : groups) {
    add_group(draft, id, group, registry);
    for (const RoutedRequestClass& request_class : request_classes_) {
      const bool replicas = is_routed_to_replicas(request_class, draft.capabilities());
      routes.routes.push_back(
          {id, request_class.name, cluster_name(id, replicas ? request_class : RoutedRequestClass{})});
    }
  }
  add_removed_groups(draft, groups);
  draft.add(ResourceType::listeners, kRoutes, Listener{kRoutes});
  draft.add(ResourceType::routes, kRoutes, std::move(routes));
  draft.count_removals();
}

Endpoint SnapshotBuilder::make_endpoint(const ServerView& view, const EndpointRegistry& registry) {
  const RegistryEntry& entry = registry.members().at(view.entry.id);
  Endpoint endpoint;
  endpoint.server = view.entry.id;
  endpoint.address = entry.endpoint;
  endpoint.zone = entry.zone;
  endpoint.health_status = is_draining(view) ? HealthStatus::draining : HealthStatus::healthy;
  // A backoff is not sent: it ends before a response about it would arrive.
  endpoint.unavailability =
      view.unavailability == Unavailability::backing_off ? Unavailability::none : view.unavailability;
  endpoint.primary = view.primary;
  // The weight follows the minimum capacity that the server has during slow start, so that a server that is
  // warming up never has a higher load than warm ones. It changes in steps of a tenth, so that slow start
  // causes at most ten responses.
  const double fraction = is_warm(view) ? 1 : std::max(0.1, std::floor(view.slow_start_fraction * 10) / 10);
  endpoint.weight =
      static_cast<std::uint32_t>(std::clamp(100 * fraction * view.entry.relative_capacity, 1.0, 1e6));
  return endpoint;
}

// Returns the replicas to send for a request class. A replica that was sent before stays while its lease
// lasts. A new one is added only if its lease has the minimum duration, so that a short bound does not cause
// a response for every health check.
std::vector<Endpoint> SnapshotBuilder::eligible_replicas(const SnapshotDraft& draft, const Group& group,
                                                         const EndpointRegistry& registry,
                                                         const RoutedRequestClass& request_class,
                                                         const std::string& name) const {
  const bool any = request_class.needs == Needs::any;
  const Millis bound = request_class.needs == Needs::bounded ? request_class.bound : kDefaultFreshnessBound;
  const bool any_warm = std::ranges::any_of(
      group.members, [](const ServerView* view) { return is_warm(*view) && is_available(*view); });
  std::vector<Endpoint> fresh;
  std::vector<Endpoint> stale;
  for (const ServerView* view : group.members) {
    if (view == group.primary || !is_available(*view)) {
      continue;
    }
    // Clients that ignore weights are sent a server that is warming up only if no warm one is available.
    if (!is_warm(*view) && !draft.capabilities().uses_weights && any_warm) {
      continue;
    }
    Endpoint endpoint = make_endpoint(*view, registry);
    const Millis until = fresh_until(*view, bound);
    if (any) {
      (until > draft.now() ? fresh : stale).push_back(std::move(endpoint));
      continue;
    }
    const Millis lease = until - draft.now() - (leases_.max_transit + leases_.max_clock_skew);
    if (lease >= (was_offered(draft, name, view->entry.id) ? 1 : leases_.min_duration)) {
      endpoint.valid_until = until - leases_.max_clock_skew;
      if (draft.capabilities().checks_session_tokens) {
        endpoint.position = view->position;
      }
      fresh.push_back(std::move(endpoint));
    }
  }
  // Reads that accept any data go to stale replicas rather than add load to the primary, as in the router.
  return fresh.empty() && any ? stale : fresh;
}

void SnapshotBuilder::add_group(SnapshotDraft& draft, GroupId id, const Group& group,
                                const EndpointRegistry& registry) const {
  const std::string members = fmt::format("group-{}.members", id.number);
  std::vector<Endpoint> all;
  for (const ServerView* view : group.members) {
    all.push_back(make_endpoint(*view, registry));
    if (all.back().health_status == HealthStatus::healthy && !is_available(*view)) {
      all.back().health_status = HealthStatus::unhealthy;
    }
  }
  draft.add(ResourceType::clusters, members, Cluster{id, {}});
  draft.add_assignment(members, std::move(all));

  // A primary that fails only the health checks of this service is still sent: clients reach it over a
  // network path of their own.
  const std::string primary_cluster = cluster_name(id, RoutedRequestClass{});
  std::vector<Endpoint> primary;
  if (group.primary) {
    primary.push_back(make_endpoint(*group.primary, registry));
  }
  draft.add(ResourceType::clusters, primary_cluster, Cluster{id, {}});
  draft.add_assignment_or_drain(primary_cluster, primary);

  for (const RoutedRequestClass& request_class : request_classes_) {
    // Two request classes with the same needs share a cluster.
    if (request_class.needs != Needs::primary &&
        !draft.contains(ResourceType::clusters, cluster_name(id, request_class))) {
      add_request_class(draft, id, group, registry, request_class, primary);
    }
  }
}

void SnapshotBuilder::add_request_class(SnapshotDraft& draft, GroupId id, const Group& group,
                                        const EndpointRegistry& registry,
                                        const RoutedRequestClass& request_class,
                                        const std::vector<Endpoint>& primary) const {
  const ClientCapabilities& capabilities = draft.capabilities();
  const std::string name = cluster_name(id, request_class);
  // A time to live expires a whole resource, so the leased replicas need an assignment without the primary.
  const bool separate = capabilities.expiry == Expiry::time_to_live && request_class.needs != Needs::any;
  const std::string assignment = separate ? name + ".replicas" : name;
  Cluster cluster{id, {}};
  if (separate) {
    draft.add(ResourceType::clusters, assignment, Cluster{id, {}});
    cluster.fallback_clusters = {assignment, cluster_name(id, RoutedRequestClass{})};
  }
  draft.add(ResourceType::clusters, name, std::move(cluster));

  std::vector<Endpoint> endpoints;
  if (can_use_replicas(request_class, capabilities)) {
    endpoints = eligible_replicas(draft, group, registry, request_class, assignment);
  }
  if (separate) {
    draft.add_assignment(assignment, std::move(endpoints));
    return;
  }
  const int rank = endpoints.empty() ? 0 : 1;
  for (const Endpoint& endpoint : primary) {
    if (endpoint.health_status == HealthStatus::healthy || endpoints.empty()) {
      endpoints.push_back(endpoint);
      endpoints.back().rank = rank;
    }
  }
  draft.add_assignment_or_drain(assignment, std::move(endpoints));
}

// Adds the groups that have lost their last member, as draining, for kRemovedGroupRetention.
void SnapshotBuilder::add_removed_groups(SnapshotDraft& draft, const Groups& groups) {
  std::erase_if(removed_at_, [&](const auto& item) {
    return groups.contains(item.first) || draft.now() - item.second > 2 * kRemovedGroupRetention;
  });
  if (!draft.previous_snapshot()) {
    return;
  }
  const auto clusters = static_cast<std::size_t>(ResourceType::clusters);
  for (const auto& [name, resource] : draft.previous_snapshot()->resources[clusters]) {
    const Cluster& cluster = std::get<Cluster>(resource->body);
    if (groups.contains(cluster.group)) {
      continue;
    }
    const Millis removed_at = removed_at_.try_emplace(cluster.group, draft.now()).first->second;
    if (draft.now() - removed_at > kRemovedGroupRetention) {
      continue;
    }
    draft.add(ResourceType::clusters, name, cluster);
    draft.add_as_draining(name);
  }
}

}  // namespace reedspindle::control
