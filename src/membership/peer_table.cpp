#include "membership/peer_table.hpp"

// Header-only use in this file: no shared library is needed at run time.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace reedspindle::membership {
namespace {

std::uint64_t hash_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

bool contains(std::uint64_t hash, Range range) {
  return range.depth == 0 || hash >> (64 - 4 * range.depth) == range.prefix;
}

// Suspected peers count as alive, because suspicions change too often to be compared.
std::uint32_t digest_of(const GossipUpdate& update) {
  const std::uint64_t parts[] = {hash_of(update.name), static_cast<std::uint64_t>(update.slot.number),
                                 is_member(update.state) ? 1U : 0U, update.incarnation.number};
  return static_cast<std::uint32_t>(XXH3_64bits(parts, sizeof parts));
}

}  // namespace

bool is_member(PeerState state) { return state == PeerState::alive || state == PeerState::suspected; }

PeerTable::Precedence PeerTable::precedence_of(const GossipUpdate& update) const {
  const Peer* stored = find(update.name);
  if (!stored) {
    const auto tombstone = tombstones_.find(update.name);
    if (tombstone != tombstones_.end() && update.incarnation <= tombstone->second) {
      return Precedence::older;
    }
    // Guards against an unbounded number of names.
    return static_cast<int>(peers_.size()) < max_peers_ ? Precedence::newer : Precedence::older;
  }
  if (update.incarnation != stored->update.incarnation) {
    return update.incarnation > stored->update.incarnation ? Precedence::newer : Precedence::older;
  }
  if (update.state > stored->update.state) {
    return Precedence::newer;
  }
  if (update.state < stored->update.state) {
    return Precedence::older;
  }
  return update.state == PeerState::suspected ? Precedence::confirmation : Precedence::known;
}

Peer& PeerTable::store(const GossipUpdate& update, Millis now) {
  Peer& peer = peers_[update.name];
  if (is_member(peer.update.state) && peer.update.slot.number >= 0) {
    --member_count_;
    if (const auto at = names_by_slot_.find(peer.update.slot);
        at != names_by_slot_.end() && at->second == update.name) {
      names_by_slot_.erase(at);
    }
  }
  if (peer.update.state != update.state || peer.update.slot.number < 0) {
    peer.since = now;
  }
  peer.update = update;
  peer.suspecters.clear();
  suspects_.erase(update.name);
  if (update.state == PeerState::suspected) {
    peer.suspected_at = now, suspects_.insert(update.name);
  }
  if (is_member(update.state)) {
    ++member_count_, names_by_slot_[update.slot] = update.name;
  }
  return peer;
}

Peer* PeerTable::find(const std::string& name) {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}
const Peer* PeerTable::find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

const Peer* PeerTable::at(SlotId slot) const {
  const auto found = names_by_slot_.find(slot);
  return found == names_by_slot_.end() ? nullptr : find(found->second);
}

std::vector<GossipUpdate> PeerTable::forget(Millis cutoff) {
  std::vector<GossipUpdate> forgotten;
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (is_member(at->second.update.state) || at->second.since > cutoff) {
      ++at;
      continue;
    }
    forgotten.push_back(at->second.update);
    add_tombstone(at->first, at->second.update.incarnation);
    at = peers_.erase(at);
  }
  return forgotten;
}

// Tombstones prevent old updates that arrive late or repeatedly from bringing back a forgotten peer. Their
// number is limited to max_peers_; the oldest are evicted.
void PeerTable::add_tombstone(const std::string& name, Incarnation last) {
  if (tombstones_.insert_or_assign(name, last).second) {
    tombstone_order_.push_back(name);
  }
  while (static_cast<int>(tombstone_order_.size()) > max_peers_) {
    tombstones_.erase(tombstone_order_.front()), tombstone_order_.pop_front();
  }
}

std::vector<std::uint32_t> PeerTable::digests(Range range, const GossipUpdate& self) const {
  std::vector<std::uint32_t> digests(kDigestFanOut);
  const auto add = [&](const GossipUpdate& update) {
    const std::uint64_t hash = hash_of(update.name);
    if (contains(hash, range)) {
      digests[hash >> (60 - 4 * range.depth) & (kDigestFanOut - 1)] += digest_of(update);
    }
  };
  add(self);
  for (const auto& [name, peer] : peers_) {
    add(peer.update);
  }
  return digests;
}

std::optional<std::vector<GossipUpdate>> PeerTable::updates(Range range, const GossipUpdate& self,
                                                            std::size_t max_count) const {
  std::vector<GossipUpdate> updates;
  if (contains(hash_of(self.name), range)) {
    updates.push_back(self);
  }
  for (const auto& [name, peer] : peers_) {
    if (!contains(hash_of(name), range)) {
      continue;
    }
    if (updates.size() == max_count) {
      return std::nullopt;
    }
    updates.push_back(peer.update);
  }
  return updates;
}

}  // namespace reedspindle::membership
