// What is known of each peer: the updates told of it weighed against one another, and the sums by which two
// instances find out where they differ.
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

struct Peer {
  GossipUpdate update;
  Millis since = 0;                // of its standing
  Millis suspected_at = 0;         // when it came to be suspected
  std::vector<SlotId> suspecters;  // who suspects it, the first few
};

bool is_member(PeerState state);  // there or suspected

class PeerTable {
 public:
  explicit PeerTable(int most) : max_peers_(most) {}

  // Whether an update outweighs what is held. Of equal incarnations the graver update does.
  enum class Precedence { newer, confirmation, known, older };
  [[nodiscard]] Precedence precedence_of(const GossipUpdate& update) const;
  // Takes it as what is held from now on.
  Peer& store(const GossipUpdate& update, Millis now);

  Peer* find(const std::string& name);
  [[nodiscard]] const Peer* find(const std::string& name) const;
  // Who is here at a slot, if anybody.
  [[nodiscard]] const Peer* at(SlotId slot) const;
  [[nodiscard]] const std::map<std::string, Peer>& all() const { return peers_; }
  [[nodiscard]] int member_count() const { return member_count_; }
  [[nodiscard]] const std::set<std::string>& suspects() const { return suspects_; }
  // Who has been gone for as long is held no longer, but what is said of that life stays known.
  std::vector<GossipUpdate> forget(Millis since);
  // Nothing said of the name under this incarnation or a lower one is news any more.
  void add_tombstone(const std::string& name, Incarnation last);

  [[nodiscard]] std::vector<std::uint32_t> digests(Range range, const GossipUpdate& self) const;
  // Updates on all in the range; nothing where they are more than so many.
  [[nodiscard]] std::optional<std::vector<GossipUpdate>> updates(Range range, const GossipUpdate& self,
                                                                 std::size_t most) const;

 private:
  const int max_peers_;
  int member_count_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<SlotId, std::string> places_;  // of who is here
  std::set<std::string> suspects_;
  std::map<std::string, Incarnation> tombstones_;
  std::deque<std::string> tombstone_order_;  // the oldest first
};

}  // namespace reedspindle::membership
