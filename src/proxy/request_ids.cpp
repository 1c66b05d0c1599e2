#include "proxy/request_ids.hpp"

#include <xxhash.h>

namespace reedspindle::proxy {
namespace {

std::uint64_t hash_of(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }

}  // namespace

bool RequestIds::has_ended(std::string_view id, Millis now) const {
  const auto found = ended_.find(hash_of(id));
  return found != ended_.end() && found->second > now;
}

void RequestIds::remove(const std::string& id, Millis now, Millis taken_until) {
  open_.erase(id);
  forget_ended(now);
  if (taken_until <= now) {
    return;
  }
  const std::uint64_t hash = hash_of(id);
  ended_[hash] = taken_until;
  ended_in_order_.push_back({hash, taken_until});
}

// Makes room for one more id: forgets those whose time is over from the front of the queue, and the oldest
// ones beyond the limit.
void RequestIds::forget_ended(Millis now) {
  while (!ended_in_order_.empty() &&
         (ended_in_order_.front().taken_until <= now || ended_in_order_.size() >= max_ended_)) {
    const Ended oldest = ended_in_order_.front();
    ended_in_order_.pop_front();
    const auto found = ended_.find(oldest.hash);
    if (found != ended_.end() && found->second == oldest.taken_until) {
      ended_.erase(found);
    }
  }
}

}  // namespace reedspindle::proxy
