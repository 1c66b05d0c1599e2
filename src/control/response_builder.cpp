#include "control/response_builder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control/version_text.hpp"

namespace reedspindle::control {
namespace {

// Limits the time that it takes to encode a response, so that a large one does not delay an urgent one.
constexpr std::size_t kMaxResourcesPerResponse = 64;
// Responses of a type that may be unacknowledged at a time, as long as each removes an endpoint. Any other
// response is sent only if none is unacknowledged.
constexpr std::size_t kMaxUnacknowledged = 8;

// Returns the clusters to which the routes refer; empty for resources of other types.
std::set<std::string> clusters_in(const Resource& resource) {
  std::set<std::string> names;
  if (const auto* routes = std::get_if<Routes>(&resource.body)) {
    for (const Route& route : routes->routes) {
      names.insert(route.cluster);
    }
  }
  return names;
}

const ClientResource* find(const TypeSubscription& subscription, const std::string& name) {
  const auto found = subscription.resources.find(name);
  return found == subscription.resources.end() ? nullptr : &found->second;
}

}  // namespace

std::optional<ResponseToSend> ResponseBuilder::build(ResourceType type) {
  TypeSubscription& subscription = stream_.of(type);
  if (!subscription.requested ||
      subscription.unacknowledged.size() >= (urgent_only_ ? kMaxUnacknowledged : 1)) {
    return std::nullopt;
  }
  const auto changed = history_.changed_names(type, subscription.complete_as_of);
  if (changed && changed->empty()) {
    if (!urgent_only_) {
      subscription.complete_as_of = history_.serial();
    }
    return std::nullopt;
  }
  if (is_blocked(type)) {
    return std::nullopt;
  }

  const bool full = sends_full_state(type);
  Difference difference;
  ResponseToSend& response = difference.response;
  response.stream = id_;
  response.type = type;
  compare(changed && !full ? *changed : relevant_names(type), difference);
  if (urgent_only_ && !response.urgent) {
    return std::nullopt;
  }
  if (!full) {
    truncate(difference);
  }
  if (!urgent_only_) {
    remove_missing(subscription, difference);
    difference.changed |= !response.removed.empty() || (full && !difference.missing.empty());
    subscription.complete_as_of = difference.truncated ? 0 : history_.serial();
  }
  if (!(difference.changed || difference.renewed) || (full && response.items.empty())) {
    return std::nullopt;
  }
  // After a rejection, a response with the full state is sent again only if the state has changed.
  const std::uint64_t version = snapshot_.versions[static_cast<std::size_t>(type)];
  if (full && subscription.sent_version == version && subscription.backoff > 0) {
    return std::nullopt;
  }
  subscription.sent_version = version;
  response.version = text_of({snapshot_.revision, context_.epoch, version, context_.service});
  record_sent(subscription, response);
  return std::move(difference.response);
}

// Returns whether responses of that type must contain every resource, as the state-of-the-world variant
// requires for clusters and listeners.
bool ResponseBuilder::sends_full_state(ResourceType type) const {
  return stream_.variant == ProtocolVariant::state_of_the_world &&
         (type == ResourceType::clusters || type == ResourceType::listeners);
}

// Returns whether responses of that type have to wait: routes for their clusters, any type for the end of the
// back-off after a rejection. Urgent responses never wait.
bool ResponseBuilder::is_blocked(ResourceType type) {
  if (urgent_only_) {
    return false;
  }
  if (type == ResourceType::routes && must_wait_for_clusters()) {
    return true;
  }
  const Millis backoff_until = stream_.of(type).backoff_until;
  if (now_ < backoff_until) {
    stream_.schedule_check(backoff_until);
    return true;
  }
  return false;
}

// Make before break: routes are sent only after the client has acknowledged the clusters to which they refer
// and the endpoints of those clusters. This applies only to clients that subscribe to every cluster; others
// subscribe to clusters after they have received the routes.
bool ResponseBuilder::must_wait_for_clusters() const {
  const TypeSubscription& clusters = stream_.of(ResourceType::clusters);
  const TypeSubscription& endpoints = stream_.of(ResourceType::endpoints);
  if (!clusters.requested || !clusters.wildcard) {
    return false;
  }
  for (const auto& [name, routes] : snapshot_.resources[static_cast<std::size_t>(ResourceType::routes)]) {
    for (const std::string& cluster : clusters_in(*routes)) {
      const ClientResource* client_cluster = find(clusters, cluster);
      if (!client_cluster || !client_cluster->acknowledged) {
        return true;
      }
      const ClientResource* client_endpoints = find(endpoints, cluster);
      const bool expects_endpoints =
          endpoints.names.contains(cluster) && !snapshot_.withheld.contains(cluster);
      if (expects_endpoints && (!client_endpoints || !client_endpoints->acknowledged)) {
        return true;
      }
    }
  }
  return false;
}

// Returns the resource that the client should have under that name; null if none.
ResourcePtr ResponseBuilder::wanted_resource(ResourceType type, const std::string& name) const {
  const TypeSubscription& subscription = stream_.of(type);
  if (!subscription.wildcard && !subscription.names.contains(name)) {
    return nullptr;
  }
  const auto& resources = snapshot_.resources[static_cast<std::size_t>(type)];
  if (const auto found = resources.find(name); found != resources.end()) {
    return found->second;
  }
  return type == ResourceType::clusters && subscription.wildcard ? referenced_cluster(name) : nullptr;
}

// Returns a removed cluster, as it was sent, if the client's routes may still refer to it; null otherwise.
// This is the second half of make before break: the cluster is removed only after the client has acknowledged
// routes without it.
ResourcePtr ResponseBuilder::referenced_cluster(const std::string& name) const {
  const ClientResource* cluster = find(stream_.of(ResourceType::clusters), name);
  if (!cluster || !cluster->sent) {
    return nullptr;
  }
  for (const auto& [routes_name, routes] : stream_.of(ResourceType::routes).resources) {
    for (const ResourcePtr& resource : {routes.sent, routes.acknowledged}) {
      if (resource && clusters_in(*resource).contains(name)) {
        return cluster->sent;
      }
    }
  }
  return nullptr;
}

// Returns every name that may need a comparison: subscribed, sent before or, for a wildcard, in the snapshot.
std::set<std::string> ResponseBuilder::relevant_names(ResourceType type) const {
  const TypeSubscription& subscription = stream_.of(type);
  std::set<std::string> names = subscription.names;
  for (const auto& [name, resource] : subscription.resources) {
    names.insert(name);
  }
  if (subscription.wildcard) {
    for (const auto& [name, resource] : snapshot_.resources[static_cast<std::size_t>(type)]) {
      names.insert(name);
    }
  }
  return names;
}

// Returns whether the client must be told that no resource has that name. Each name is reported once; in the
// incremental variant even if the client never had the resource. Resources that are only withheld do exist.
bool ResponseBuilder::must_report_missing(const TypeSubscription& subscription,
                                          const std::string& name) const {
  if (snapshot_.withheld.contains(name)) {
    return false;
  }
  if (subscription.resources.contains(name)) {
    return true;
  }
  return stream_.variant == ProtocolVariant::incremental && subscription.names.contains(name) &&
         !subscription.reported_missing.contains(name);
}

// Adds the differences for those names to `difference`.
void ResponseBuilder::compare(const std::set<std::string>& names, Difference& difference) const {
  const ResourceType type = difference.response.type;
  const TypeSubscription& subscription = stream_.of(type);
  for (const std::string& name : names) {
    if (const ResourcePtr wanted = wanted_resource(type, name)) {
      compare_resource(wanted, find(subscription, name), difference);
    } else if (must_report_missing(subscription, name)) {
      difference.missing.push_back(name);
    }
  }
}

// Adds the resource to the response if the client needs it: it is new or has changed, its lease can be
// renewed, or the response contains the full state. `client` is null if the client has never been sent the
// resource.
void ResponseBuilder::compare_resource(const ResourcePtr& wanted, const ClientResource* client,
                                       Difference& difference) const {
  const bool full = sends_full_state(difference.response.type);
  const ResourcePtr sent = client ? client->sent : nullptr;
  const bool leased = stream_.capabilities.expiry == Expiry::time_to_live && wanted->valid_until >= 0;
  const bool same = sent && sent->version == wanted->version;
  const bool renewed = same && leased && wanted->valid_until > sent->valid_until;
  const bool rejected = !full && client && client->rejected_version == wanted->version;
  if ((same && !renewed && !full) || rejected) {
    return;
  }
  const bool urgent =
      difference.response.type == ResourceType::endpoints && sent && wanted->last_revocation > sent->version;
  if (urgent_only_ && !urgent) {
    return;
  }
  difference.changed |= !same;
  difference.renewed |= renewed;
  difference.response.urgent |= urgent;
  std::optional<Millis> time_to_live;
  if (leased) {
    time_to_live = std::max(1.0, wanted->valid_until - now_ - context_.bounds.transit);
  }
  difference.response.items.push_back({wanted, time_to_live, full || !renewed});
}

// Limits the number of resources and keeps those that changed last. A reconnecting client may know the others
// from its earlier stream, but not these.
void ResponseBuilder::truncate(Difference& difference) {
  auto& items = difference.response.items;
  if (items.size() <= kMaxResourcesPerResponse) {
    return;
  }
  std::ranges::stable_sort(items, std::greater(),
                           [](const ResponseToSend::Item& item) { return item.resource->version; });
  items.resize(kMaxResourcesPerResponse);
  difference.truncated = true;
}

// Forgets the missing names, and in the incremental variant lists them in the response as removed.
void ResponseBuilder::remove_missing(TypeSubscription& subscription, Difference& difference) {
  const bool incremental = stream_.variant == ProtocolVariant::incremental;
  std::vector<std::string>& removed = difference.response.removed;
  for (const std::string& name : difference.missing) {
    if (incremental && removed.size() >= kMaxResourcesPerResponse) {
      difference.truncated = true;
      return;
    }
    if (incremental) {
      removed.push_back(name);
      subscription.reported_missing.insert(name);
    }
    subscription.resources.erase(name);
  }
}

// Gives the response its nonce and records what it sends as unacknowledged.
void ResponseBuilder::record_sent(TypeSubscription& subscription, ResponseToSend& response) {
  response.nonce = fmt::format("{}.{}", id_.number, ++stream_.nonces);
  subscription.last_nonce = response.nonce;
  PendingResponse pending{response.nonce, now_, false, {}};
  for (const ResponseToSend::Item& item : response.items) {
    ClientResource& client = subscription.resources[item.resource->name];
    if (item.resource->version != client.rejected_version) {
      client.rejected_version = 0;
    }
    client.sent = item.resource;
    pending.leased |= item.time_to_live.has_value();
    pending.sent.emplace(item.resource->name, item.resource);
  }
  subscription.unacknowledged.push_back(std::move(pending));
}

}  // namespace reedspindle::control
