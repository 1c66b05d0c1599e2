// Holds the latest snapshot for one set of client capabilities, and the names that each recent update
// changed. A stream that was up to date with an earlier snapshot then has to be compared only for these
// names.
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

// The latest snapshot and the changes that led to it, for one set of client capabilities.
class SnapshotHistory {
 public:
  // Replaces the snapshot if the new one differs, and gives it the serial number `serial`. Returns false if
  // both are equal.
  bool update(std::shared_ptr<const ResourceSnapshot> snapshot, std::uint64_t serial);

  // Returns the latest snapshot, or null before the first update.
  [[nodiscard]] const std::shared_ptr<const ResourceSnapshot>& snapshot() const { return snapshot_; }
  // Returns the serial number of the latest snapshot, or 0 before the first update.
  [[nodiscard]] std::uint64_t serial() const { return serial_; }

  // Returns the names of this type that have changed since the snapshot with this serial number, or nothing
  // if the changes since then are not recorded (or no longer), so that all names have to be compared.
  [[nodiscard]] std::optional<std::set<std::string>> changed_names(ResourceType type,
                                                                   std::uint64_t since) const;

 private:
  // The names that one update changed, by type.
  struct Change {
    std::uint64_t serial = 0;  // of the snapshot that the update stored
    std::array<std::vector<std::string>, kResourceTypes> names;
  };

  [[nodiscard]] Change changes_to(const ResourceSnapshot& next, std::uint64_t serial) const;

  std::shared_ptr<const ResourceSnapshot> snapshot_;
  std::uint64_t serial_ = 0;
  std::deque<Change> changes_;
};

}  // namespace reedspindle::control
