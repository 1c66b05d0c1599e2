// The messages of the membership protocol and their encoding as datagrams (see datagram_codec.hpp). A
// datagram that does not decode completely is rejected.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/datagram.hpp"

namespace reedspindle::membership {

// The incarnation number of an instance, as in SWIM. An update with a higher incarnation overrides one with a
// lower. Only the instance itself raises it, starting from the Unix time of its start in ms.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

// At equal incarnations a later enumerator overrides an earlier one.
enum class PeerState { alive, suspected, failed, left };

// The state of one instance as disseminated by gossip.
struct GossipUpdate {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  SlotId suspected_by;  // the instance that reported the suspicion or failure; below 0: none
  bool operator==(const GossipUpdate&) const = default;
};

// A node of the hash tree for anti-entropy: all names whose hash begins with a prefix of 4 * depth bits.
struct Range {
  int depth = 0;
  std::uint64_t prefix = 0;
  bool operator==(const Range&) const = default;
};
constexpr int kDigestFanOut = 16;
constexpr int kMaxDigestDepth = 8;

// ping, ack, ping_req, indirect_ack and nack are SWIM's probes with Lifeguard's nack; digest and updates
// carry anti-entropy.
enum class Kind { ping, ack, ping_req, indirect_ack, nack, digest, updates };

struct Message {
  Kind kind = Kind::ping;
  std::uint32_t sequence = 0;          // a reply repeats the number of its request
  std::string name;                    // of the sender
  SlotId slot;                         // of the sender
  Incarnation incarnation;             // of the sender
  std::uint64_t started_at = 0;        // Unix time of the sender's start, in ms
  bool leaving = false;                // the sender is in graceful shutdown
  bool is_reply = false;               // updates: the receiver does not reply with its own
  SlotId target;                       // ping_req: the slot to ping
  Range range;                         // digest, updates: the names that the message covers
  std::vector<std::uint32_t> digests;  // digest: one per child of the range, kDigestFanOut in total
  std::vector<GossipUpdate> updates;
};

constexpr std::size_t kMaxNameBytes = 32;
// Maximum number of updates in one datagram. Up to 23 elements, the head of a CBOR array takes one byte.
constexpr std::size_t kMaxUpdates = 23;

// Returns whether the text is a valid name of an instance: 1 to kMaxNameBytes letters, digits, '_', '.' or
// '-'.
bool is_name(std::string_view text);

// Encodes a message with as many of its updates, from the first, as fit into a datagram, and sets
// encoded_updates to their number.
std::string encode(const Message& message, std::size_t& encoded_updates);
// Returns nullopt unless the bytes are exactly one valid message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// Returns whether the first byte of a datagram is that of the membership protocol.
bool is_membership_message(std::string_view bytes);

}  // namespace reedspindle::membership
