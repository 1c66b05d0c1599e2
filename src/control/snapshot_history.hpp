// The newest snapshot for one set of client capabilities, and which names its predecessors changed, so that a
// stream that was up to date is compared for those names alone.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

class SnapshotHistory {
 public:
  // Replaces the snapshot where it differs from the current one; `serial` numbers the new one. False: equal.
  bool update(std::shared_ptr<const ResourceSnapshot> snapshot, std::uint64_t serial);

  // Null before the first update.
  [[nodiscard]] const std::shared_ptr<const ResourceSnapshot>& snapshot() const { return snapshot_; }
  [[nodiscard]] std::uint64_t serial() const { return serial_; }

  // The names of that type that have changed since the snapshot with that serial. Empty optional: that is not
  // known (any more), and all names have to be compared.
  [[nodiscard]] std::optional<std::set<std::string>> changed_names(ResourceType type,
                                                                   std::uint64_t since) const;

 private:
  // What one update changed, by type.
  struct Change {
    std::uint64_t serial = 0;
    std::array<std::vector<std::string>, kResourceTypes> names;
  };

  [[nodiscard]] Change changes_to(const ResourceSnapshot& next, std::uint64_t serial) const;

  std::shared_ptr<const ResourceSnapshot> snapshot_;
  std::uint64_t serial_ = 0;
  std::deque<Change> changes_;
};

}  // namespace reedspindle::control
