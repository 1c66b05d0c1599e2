#include "membership/peer_table.hpp"

// Only in here, from the header alone: the instance needs no library at run time for it.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace reedspindle::membership {
namespace {

std::uint64_t hash_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

bool within(std::uint64_t hash, Range range) {
  return range.depth == 0 || hash >> (64 - 4 * range.depth) == range.prefix;
}

// The suspected count as there: who suspects whom changes too often to be compared.
std::uint32_t digest_of(const GossipUpdate& update) {
  const std::uint64_t parts[] = {hash_of(update.name), static_cast<std::uint64_t>(update.slot.number),
                                 is_member(update.state) ? 1U : 0U, update.incarnation.number};
  return static_cast<std::uint32_t>(XXH3_64bits(parts, sizeof parts));
}

}  // namespace

bool is_member(PeerState state) { return state == PeerState::alive || state == PeerState::suspected; }

PeerTable::Precedence PeerTable::precedence_of(const GossipUpdate& update) const {
  const Peer* held = find(update.name);
  if (!held) {
    const auto tombstone = tombstones_.find(update.name);
    if (tombstone != tombstones_.end() && update.incarnation <= tombstone->second) {
      return Precedence::older;
    }
    // Guards against names without end.
    return static_cast<int>(peers_.size()) < max_peers_ ? Precedence::newer : Precedence::older;
  }
  if (update.incarnation != held->update.incarnation) {
    return update.incarnation > held->update.incarnation ? Precedence::newer : Precedence::older;
  }
  if (update.state > held->update.state) {
    return Precedence::newer;
  }
  if (update.state < held->update.state) {
    return Precedence::older;
  }
  return update.state == PeerState::suspected ? Precedence::confirmation : Precedence::known;
}

Peer& PeerTable::store(const GossipUpdate& update, Millis now) {
  Peer& peer = peers_[update.name];
  if (is_member(peer.update.state) && peer.update.slot.number >= 0) {
    --member_count_;
    if (const auto at = places_.find(peer.update.slot); at != places_.end() && at->second == update.name) {
      places_.erase(at);
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
    ++member_count_, places_[update.slot] = update.name;
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
  const auto found = places_.find(slot);
  return found == places_.end() ? nullptr : find(found->second);
}

std::vector<GossipUpdate> PeerTable::forget(Millis since) {
  std::vector<GossipUpdate> gone;
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (is_member(at->second.update.state) || at->second.since > since) {
      ++at;
      continue;
    }
    gone.push_back(at->second.update);
    add_tombstone(at->first, at->second.update.incarnation);
    at = peers_.erase(at);
  }
  return gone;
}

// Guards against old updates, sent again or late: they bring nobody back who was forgotten. As many as there
// may be peers; then the oldest are given up.
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
    if (within(hash, range)) {
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
                                                            std::size_t most) const {
  std::vector<GossipUpdate> updates;
  if (within(hash_of(self.name), range)) {
    updates.push_back(self);
  }
  for (const auto& [name, peer] : peers_) {
    if (!within(hash_of(name), range)) {
      continue;
    }
    if (updates.size() == most) {
      return std::nullopt;
    }
    updates.push_back(peer.update);
  }
  return updates;
}

}  // namespace reedspindle::membership
