#include "control/snapshot_draft.hpp"

#include <algorithm>
#include <utility>

namespace reedspindle::control {
namespace {

bool has_same_endpoints(const Assignment& one, const Assignment& other) {
  return std::ranges::equal(one.endpoints, other.endpoints,
                            [](const Endpoint& a, const Endpoint& b) { return a.same(b); });
}

// Returns whether a healthy endpoint of the earlier assignment is missing from the later one, or is
// unhealthy, draining or at another address there.
bool revokes_endpoint(const Assignment& earlier, const Assignment& later) {
  return std::ranges::any_of(earlier.endpoints, [&later](const Endpoint& sent) {
    if (sent.health_status != HealthStatus::healthy) {
      return false;
    }
    return std::ranges::none_of(later.endpoints, [&sent](const Endpoint& e) {
      return e.server == sent.server && e.health_status == HealthStatus::healthy && e.address == sent.address;
    });
  });
}

bool has_same_body(const ResourceBody& one, const ResourceBody& other) {
  return one.index() == other.index() && std::visit(
                                             [&other]<typename Body>(const Body& body) {
                                               if constexpr (std::is_same_v<Body, Assignment>) {
                                                 return false;
                                               } else {
                                                 return body == std::get<Body>(other);
                                               }
                                             },
                                             one);
}

}  // namespace

SnapshotDraft::SnapshotDraft(ClientCapabilities capabilities, const ResourceSnapshot* previous,
                             long long revision, std::uint64_t& last_version, Millis now)
    : previous_(previous), last_version_(last_version), now_(now) {
  snapshot_.capabilities = capabilities;
  snapshot_.revision = revision;
  if (previous_) {
    snapshot_.versions = previous_->versions;
  }
}

bool SnapshotDraft::contains(ResourceType type, const std::string& name) const {
  return snapshot_.resources[static_cast<std::size_t>(type)].contains(name);
}

const Resource* SnapshotDraft::previous(ResourceType type, const std::string& name) const {
  if (!previous_) {
    return nullptr;
  }
  const auto& resources = previous_->resources[static_cast<std::size_t>(type)];
  const auto found = resources.find(name);
  return found == resources.end() ? nullptr : found->second.get();
}

void SnapshotDraft::add_assignment(const std::string& name, std::vector<Endpoint> endpoints) {
  std::ranges::sort(endpoints, {}, [](const Endpoint& e) { return std::pair(e.rank, e.server); });
  add(ResourceType::endpoints, name, Assignment{std::move(endpoints)});
}

void SnapshotDraft::add_assignment_or_drain(const std::string& name, std::vector<Endpoint> endpoints) {
  if (!endpoints.empty()) {
    add_assignment(name, std::move(endpoints));
  } else if (!add_as_draining(name)) {
    snapshot_.withheld.insert(name);
  }
}

bool SnapshotDraft::add_as_draining(const std::string& name) {
  const Resource* last = previous(ResourceType::endpoints, name);
  if (!last) {
    return false;
  }
  std::vector<Endpoint> endpoints = std::get<Assignment>(last->body).endpoints;
  for (Endpoint& endpoint : endpoints) {
    endpoint.health_status = HealthStatus::draining;
    endpoint.valid_until = -1;
  }
  add_assignment(name, std::move(endpoints));
  return true;
}

std::optional<Millis> SnapshotDraft::earliest_expiry(const Assignment& assignment) {
  std::optional<Millis> earliest;
  for (const Endpoint& endpoint : assignment.endpoints) {
    if (endpoint.valid_until >= 0) {
      earliest = earliest ? std::min(*earliest, endpoint.valid_until) : endpoint.valid_until;
    }
  }
  return earliest;
}

void SnapshotDraft::keep_previous(ResourceType type, const std::string& name) {
  const auto index = static_cast<std::size_t>(type);
  snapshot_.resources[index][name] = previous_->resources[index].at(name);
}

void SnapshotDraft::store(Resource resource) {
  auto& stored = snapshot_.resources[static_cast<std::size_t>(resource.type)][resource.name];
  stored = std::make_shared<const Resource>(std::move(resource));
}

// Stores an assignment under its previous version if it has the same endpoints. Returns false if it needs a
// new version instead. A lease is renewed once half of it has passed: for clients with times to live under
// the same version and with the same body, for others with a new version.
bool SnapshotDraft::reuse_assignment(Resource& resource, const Resource& last, const Assignment& assignment) {
  if (!has_same_endpoints(std::get<Assignment>(last.body), assignment)) {
    return false;
  }
  const bool renew = resource.valid_until >= 0 &&
                     last.valid_until - now_ < (last.valid_until - last.built_at) / 2 &&
                     resource.valid_until > last.valid_until;
  if (!renew) {
    keep_previous(resource.type, resource.name);
    return true;
  }
  if (snapshot_.capabilities.expiry != Expiry::time_to_live) {
    return false;
  }
  resource.version = last.version;
  resource.body = last.body;
  store(std::move(resource));
  return true;
}

void SnapshotDraft::add(ResourceType type, const std::string& name, ResourceBody body) {
  Resource resource;
  resource.type = type;
  resource.name = name;
  resource.built_at = now_;
  resource.revision = snapshot_.revision;
  const Resource* last = previous(type, name);
  if (const auto* assignment = std::get_if<Assignment>(&body)) {
    resource.valid_until = earliest_expiry(*assignment).value_or(-1);
    // A new name counts as a revocation, so that clients that still have another resource of that name are
    // sent this one at once.
    resource.last_revocation = last ? last->last_revocation : last_version_ + 1;
    if (last && reuse_assignment(resource, *last, *assignment)) {
      return;
    }
    if (last && revokes_endpoint(std::get<Assignment>(last->body), *assignment)) {
      resource.last_revocation = last_version_ + 1;
    }
  } else if (last && has_same_body(last->body, body)) {
    keep_previous(type, name);
    return;
  }
  resource.version = ++last_version_;
  resource.body = std::move(body);
  snapshot_.versions[static_cast<std::size_t>(type)] = resource.version;
  store(std::move(resource));
}

void SnapshotDraft::count_removals() {
  if (!previous_) {
    return;
  }
  for (std::size_t type = 0; type < kResourceTypes; ++type) {
    for (const auto& [name, resource] : previous_->resources[type]) {
      if (!snapshot_.resources[type].contains(name)) {
        snapshot_.versions[type] = ++last_version_;
      }
    }
  }
}

ResourceSnapshot SnapshotDraft::finish(bool ready) && {
  snapshot_.ready = ready;
  return std::move(snapshot_);
}

}  // namespace reedspindle::control
