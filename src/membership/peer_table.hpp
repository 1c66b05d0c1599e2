// The stored state of each peer: decides which updates override it, and computes the digests by which two
// instances find differences between their tables.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace reedspindle::membership {

// The state of one peer.
struct Peer {
  GossipUpdate update;
  Millis since = 0;                // when the peer entered its state
  Millis suspected_at = 0;         // start of the suspicion timeout
  std::vector<SlotId> suspecters;  // the first few instances that suspect it
};

// Returns whether the state is alive or suspected.
bool is_member(PeerState state);

// Stores peers by name, without this instance.
class PeerTable {
 public:
  explicit PeerTable(int max_peers) : max_peers_(max_peers) {}

  // How an update relates to the stored one. newer: overrides it. confirmation: an equal suspicion. known:
  // equal. older: is overridden by it, or by a tombstone, or the table is full.
  enum class Precedence { newer, confirmation, known, older };
  [[nodiscard]] Precedence precedence_of(const GossipUpdate& update) const;
  // Stores an update, replacing the previous one of that name.
  Peer& store(const GossipUpdate& update, Millis now);

  Peer* find(const std::string& name);
  [[nodiscard]] const Peer* find(const std::string& name) const;
  // Returns the member at a slot, if any.
  [[nodiscard]] const Peer* at(SlotId slot) const;
  [[nodiscard]] const std::map<std::string, Peer>& all() const { return peers_; }
  [[nodiscard]] int member_count() const { return member_count_; }
  [[nodiscard]] const std::set<std::string>& suspects() const { return suspects_; }
  // Removes peers that failed or left at or before the given time, leaves tombstones for them and returns
  // their last updates.
  std::vector<GossipUpdate> forget(Millis cutoff);
  // From now on updates about an unknown peer of this name are ignored up to the given incarnation.
  void add_tombstone(const std::string& name, Incarnation last);

  // Returns the digests of the children of a range, with this instance included by its own update.
  [[nodiscard]] std::vector<std::uint32_t> digests(Range range, const GossipUpdate& self) const;
  // Returns the updates of all names in the range; nullopt if there are more than max_count.
  [[nodiscard]] std::optional<std::vector<GossipUpdate>> updates(Range range, const GossipUpdate& self,
                                                                 std::size_t max_count) const;

 private:
  const int max_peers_;
  int member_count_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<SlotId, std::string> names_by_slot_;  // names of members
  std::set<std::string> suspects_;
  std::map<std::string, Incarnation> tombstones_;
  std::deque<std::string> tombstone_order_;  // oldest first
};

}  // namespace reedspindle::membership
