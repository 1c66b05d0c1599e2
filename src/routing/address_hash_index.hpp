// Index of replicas by the short address hash by which instances name them to one another. While a list is
// read, many replicas are added in a row and then looked up often; new entries are therefore sorted in at the
// next look-up.
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

  void remove(long address_hash, Replica& replica) {
    sort();
    const auto at = std::ranges::lower_bound(entries_, Entry(address_hash, &replica));
    if (at == entries_.end() || *at != Entry(address_hash, &replica)) {
      return;
    }
    entries_.erase(at);
    --sorted_;
  }

  // Returns the replica with the hash, or null if no replica or more than one has it.
  Replica* find(long address_hash) {
    sort();
    const auto found = std::ranges::equal_range(entries_, address_hash, {}, &Entry::first);
    return found.size() == 1 ? found.front().second : nullptr;
  }

 private:
  using Entry = std::pair<long, Replica*>;

  void sort() {
    if (sorted_ == entries_.size()) {
      return;
    }
    const auto middle = entries_.begin() + static_cast<std::ptrdiff_t>(sorted_);
    std::sort(middle, entries_.end());
    std::inplace_merge(entries_.begin(), middle, entries_.end());
    sorted_ = entries_.size();
  }

  std::vector<Entry> entries_;
  std::size_t sorted_ = 0;  // number of sorted entries at the front of entries_
};

}  // namespace reedspindle::routing
