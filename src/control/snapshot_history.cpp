#include "control/snapshot_history.hpp"

#include <algorithm>
#include <utility>

namespace reedspindle::control {
namespace {

// More changes than clients usually leave unacknowledged.
constexpr std::size_t kMaxRecordedChanges = 128;

using Resources = std::map<std::string, ResourcePtr>;

// Appends the names of the resources that were added, replaced or removed.
void add_changed_names(const Resources& previous, const Resources& next, std::vector<std::string>& names) {
  for (const auto& [name, resource] : next) {
    if (const auto found = previous.find(name); found == previous.end() || found->second != resource) {
      names.push_back(name);
    }
  }
  for (const auto& [name, resource] : previous) {
    if (!next.contains(name)) {
      names.push_back(name);
    }
  }
}

}  // namespace

SnapshotHistory::Change SnapshotHistory::changes_to(const ResourceSnapshot& next,
                                                    std::uint64_t serial) const {
  Change change{serial, {}};
  for (std::size_t type = 0; type < kResourceTypes; ++type) {
    add_changed_names(snapshot_->resources[type], next.resources[type], change.names[type]);
  }
  if (snapshot_->withheld != next.withheld) {
    auto& names = change.names[static_cast<std::size_t>(ResourceType::endpoints)];
    names.insert(names.end(), snapshot_->withheld.begin(), snapshot_->withheld.end());
    names.insert(names.end(), next.withheld.begin(), next.withheld.end());
  }
  return change;
}

bool SnapshotHistory::update(std::shared_ptr<const ResourceSnapshot> snapshot, std::uint64_t serial) {
  if (snapshot_) {
    Change change = changes_to(*snapshot, serial);
    const bool differs = snapshot_->ready != snapshot->ready || snapshot_->revision != snapshot->revision ||
                         std::ranges::any_of(change.names, [](const auto& names) { return !names.empty(); });
    if (!differs) {
      return false;
    }
    changes_.push_back(std::move(change));
  }
  if (changes_.size() > kMaxRecordedChanges) {
    changes_.pop_front();
  }
  snapshot_ = std::move(snapshot);
  serial_ = serial;
  return true;
}

std::optional<std::set<std::string>> SnapshotHistory::changed_names(ResourceType type,
                                                                    std::uint64_t since) const {
  if (since == 0) {
    return std::nullopt;
  }
  if (since != serial_ && (changes_.empty() || since < changes_.front().serial)) {
    return std::nullopt;
  }
  std::set<std::string> names;
  for (auto change = changes_.rbegin(); change != changes_.rend() && change->serial > since; ++change) {
    const auto& changed = change->names[static_cast<std::size_t>(type)];
    names.insert(changed.begin(), changed.end());
  }
  return names;
}

}  // namespace reedspindle::control
