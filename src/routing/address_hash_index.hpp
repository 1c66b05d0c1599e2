// Replicas by the short marks by which instances name them to one another. Many are added one after the other
// as a list is read, then looked up often: new ones are sorted in at the next look-up.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

namespace reedspindle::routing {

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

  // None where no replica has that address hash, or more than one.
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
  std::size_t sorted_ = 0;  // of them, from the front
};

}  // namespace reedspindle::routing
