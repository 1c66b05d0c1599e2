// An index of replicas by address hash, the short number by which instances refer to a replica in gossip.
// Applying an endpoint list adds many replicas in succession; look-ups are frequent afterwards. New entries
// are therefore appended unsorted, and sorted together at the next look-up or removal.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

namespace reedspindle::routing {

// Maps address hashes to replicas; several replicas may share a hash.
template <typename Replica>
class AddressHashIndex {
 public:
  void add(long address_hash, Replica& replica) { entries_.emplace_back(address_hash, &replica); }

  // Has no effect if the replica is not in the index with this hash.
  void remove(long address_hash, Replica& replica) {
    sort();
    const auto position = std::ranges::lower_bound(entries_, Entry(address_hash, &replica));
    if (position == entries_.end() || *position != Entry(address_hash, &replica)) {
      return;
    }
    entries_.erase(position);
    --sorted_count_;
  }

  // Returns the only replica with the hash; null if there is none or more than one.
  Replica* find(long address_hash) {
    sort();
    const auto found = std::ranges::equal_range(entries_, address_hash, {}, &Entry::first);
    return found.size() == 1 ? found.front().second : nullptr;
  }

 private:
  using Entry = std::pair<long, Replica*>;

  // Sorts the entries added since the last call and merges them into the sorted ones.
  void sort() {
    if (sorted_count_ == entries_.size()) {
      return;
    }
    const auto first_unsorted = entries_.begin() + static_cast<std::ptrdiff_t>(sorted_count_);
    std::sort(first_unsorted, entries_.end());
    std::inplace_merge(entries_.begin(), first_unsorted, entries_.end());
    sorted_count_ = entries_.size();
  }

  std::vector<Entry> entries_;
  std::size_t sorted_count_ = 0;  // number of entries at the front of entries_ that are sorted
};

}  // namespace reedspindle::routing
