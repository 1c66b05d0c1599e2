// A resource snapshot while it is being built: reuses the previous snapshot's resources where nothing has
// changed, and numbers the others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

// Holds references alone to the previous snapshot and to the builder's counter of versions.
class SnapshotDraft {
 public:
  // previous: the last snapshot for the same capabilities; null: there is none.
  SnapshotDraft(ClientCapabilities capabilities, const ResourceSnapshot* previous, long long revision,
                std::uint64_t& last_version, Millis now);

  [[nodiscard]] Millis now() const { return now_; }
  [[nodiscard]] const ClientCapabilities& capabilities() const { return snapshot_.capabilities; }
  [[nodiscard]] bool contains(ResourceType type, const std::string& name) const;
  // Null where the previous snapshot has no such resource.
  [[nodiscard]] const Resource* previous(ResourceType type, const std::string& name) const;
  [[nodiscard]] const ResourceSnapshot* previous_snapshot() const { return previous_; }

  void add(ResourceType type, const std::string& name, ResourceBody body);
  // Sorts the endpoints by rank and server.
  void add_assignment(const std::string& name, std::vector<Endpoint> endpoints);
  // Where no endpoints are left: the previous ones as draining; withheld where there were none.
  void add_assignment_or_drain(const std::string& name, std::vector<Endpoint> endpoints);
  // The previous endpoints as draining, since some clients read an assignment without endpoints as "there was
  // never such a server". False: there was no such assignment.
  bool add_as_draining(const std::string& name);

  // Raises the versions of types that have lost a resource; for a snapshot that is ready, after all
  // additions.
  void count_removals();
  [[nodiscard]] ResourceSnapshot finish(bool ready) &&;

 private:
  [[nodiscard]] static std::optional<Millis> earliest_expiry(const Assignment& assignment);
  [[nodiscard]] bool reuse_assignment(Resource& resource, const Resource& last, const Assignment& assignment);
  void keep_previous(ResourceType type, const std::string& name);
  void store(Resource resource);

  ResourceSnapshot snapshot_;
  const ResourceSnapshot* previous_;
  std::uint64_t& last_version_;
  const Millis now_;
};

}  // namespace reedspindle::control
