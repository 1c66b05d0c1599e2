// A resource snapshot that is being built. Resources that have not changed are reused from the previous
// snapshot; the others get a new version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

// Collects the resources of one snapshot. It only refers to the previous snapshot and to the version counter
// of the builder, which have to outlive it.
class SnapshotDraft {
 public:
  // previous: the last snapshot for the same capabilities, or null if there is none.
  SnapshotDraft(ClientCapabilities capabilities, const ResourceSnapshot* previous, long long revision,
                std::uint64_t& last_version, Millis now);

  // Returns the time as of which the snapshot is built.
  [[nodiscard]] Millis now() const { return now_; }
  // Returns the capabilities that the snapshot is for.
  [[nodiscard]] const ClientCapabilities& capabilities() const { return snapshot_.capabilities; }
  // Returns whether a resource of this type and name has been added.
  [[nodiscard]] bool contains(ResourceType type, const std::string& name) const;
  // Returns a resource of the previous snapshot, or null if there is no such resource.
  [[nodiscard]] const Resource* previous(ResourceType type, const std::string& name) const;
  // Returns the previous snapshot, or null if there is none.
  [[nodiscard]] const ResourceSnapshot* previous_snapshot() const { return previous_; }

  // Adds a resource. It keeps the previous version if it has not changed.
  void add(ResourceType type, const std::string& name, ResourceBody body);
  // Adds an assignment with the endpoints sorted by rank and server.
  void add_assignment(const std::string& name, std::vector<Endpoint> endpoints);
  // Adds an assignment. If there are no endpoints, adds the previous ones as draining, or withholds the
  // assignment if there is no previous one.
  void add_assignment_or_drain(const std::string& name, std::vector<Endpoint> endpoints);
  // Adds the previous endpoints of an assignment as draining, since some clients take an assignment without
  // endpoints to mean that the servers never existed. Returns false if there is no previous assignment.
  bool add_as_draining(const std::string& name);

  // Increases the version of each type that has lost a resource. To be called after all additions, and only
  // for a snapshot that is ready.
  void count_removals();
  // Returns the finished snapshot.
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
