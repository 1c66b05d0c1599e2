// When something is due for each of many keys, one time a key at the most. What is due is found without a
// look at the others.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/types.hpp"

namespace reedspindle::routing {

template <typename Key>
class DueTimes {
 public:
  // In the place of the time that the key had. None: nothing is due for it.
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

  [[nodiscard]] std::optional<Millis> next() const {
    if (by_time_.empty()) {
      return std::nullopt;
    }
    return by_time_.begin()->first;
  }

  // The keys that are due by now, in their own order; they have no time any more.
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
