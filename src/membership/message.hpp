// What instances tell one another about who is there, as datagrams: CBOR behind one letter that no text of
// the decision module begins with. What does not read as a whole is no message.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/datagram.hpp"

namespace reedspindle::membership {

// Of one instance: what is said under a higher one outweighs what was said under a lower one. Raised by that
// instance alone; it begins at the Unix ms of its start.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

enum class PeerState { alive, suspected, failed, left };

// What somebody holds true of one instance.
struct GossipUpdate {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  SlotId suspected_by;  // who came to suspect it
  bool operator==(const GossipUpdate&) const = default;
};

// All names whose hash begins with these bits, four a level.
struct Range {
  int depth = 0;
  std::uint64_t prefix = 0;
  bool operator==(const Range&) const = default;
};
constexpr int kDigestFanOut = 16, kMaxDigestDepth = 8;

enum class Kind { ping, ack, ping_req, indirect_ack, nack, digest, updates };

struct Message {
  Kind kind = Kind::ping;
  std::uint32_t sequence = 0;  // an answer has that of its question
  std::string name;            // of the sender
  SlotId slot;
  Incarnation incarnation;
  std::uint64_t started_at = 0;  // Unix ms of the sender's start
  bool leaving = false;
  bool is_reply = false;               // updates: those of the receiver are not asked for
  SlotId target;                       // ask: whom to ping
  Range range;                         // digest, updates: of which names
  std::vector<std::uint32_t> digests;  // digest: of each part of the range, kFan of them
  std::vector<GossipUpdate> updates;
};

constexpr std::size_t kMaxNameBytes = 32;
constexpr std::size_t kMaxUpdates = 23;  // in one datagram: up to there an array's head is one byte
bool is_name(std::string_view text);

// As many of the updates, first ones first, as fit into a datagram; says how many that are.
std::string encode(const Message& message, std::size_t& told);
std::optional<Message> decode(std::string_view bytes);
// Whether a datagram is meant for the membership; the router's texts are not.
bool is_membership_message(std::string_view bytes);

}  // namespace reedspindle::membership
