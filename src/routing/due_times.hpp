// Due times by key, at most one per key. Due keys are found without looking at the others.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/types.hpp"

namespace reedspindle::routing {

// Holds at most one due time for each key. Times are in milliseconds.
template <typename Key>
class DueTimes {
 public:
  // Sets the due time of a key, replacing its previous one; std::nullopt removes it.
  void set(const Key& key, std::optional<Millis> at) {
    const auto found = by_key_.find(key);
    if (found != by_key_.end()) {
      if (at && found->second == *at) {
        return;
      }
      by_time_.erase({found->second, key});
      if (!at) {
        by_key_.erase(found);
      } else {
        found->second = *at;
      }
    } else if (at) {
      by_key_.emplace(key, *at);
    }
    if (at) {
      by_time_.emplace(*at, key);
    }
  }

  // Returns the earliest due time, or nothing if no key is due.
  [[nodiscard]] std::optional<Millis> next() const {
    if (by_time_.empty()) {
      return std::nullopt;
    }
    return by_time_.begin()->first;
  }

  // Removes the keys that are due by `now` and returns them in ascending order of key.
  std::vector<Key> take_due(Millis now) {
    std::vector<Key> due;
    while (!by_time_.empty() && by_time_.begin()->first <= now) {
      due.push_back(by_time_.begin()->second);
      by_key_.erase(due.back());
      by_time_.erase(by_time_.begin());
    }
    std::ranges::sort(due);
    return due;
  }

 private:
  std::map<Key, Millis> by_key_;
  std::set<std::pair<Millis, Key>> by_time_;
};

}  // namespace reedspindle::routing
