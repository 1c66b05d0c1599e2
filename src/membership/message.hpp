// The messages of the membership protocol and their encoding as datagrams (see datagram_codec.hpp). A
// datagram that does not decode completely is no message.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/datagram.hpp"

namespace reedspindle::membership {

// The incarnation number of one instance, as in SWIM. An update of a higher incarnation overrides one of a
// lower. Only the instance itself raises it; it begins at the Unix time of its start, in ms.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

// Of equal incarnations the later enumerator overrides the earlier.
enum class PeerState { alive, suspected, failed, left };

// What gossip says about one instance.
struct GossipUpdate {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  SlotId suspected_by;  // the instance that reported the suspicion or failure; below 0: none
  bool operator==(const GossipUpdate&) const = default;
};

// A node of the hash tree for anti-entropy: all names whose hash begins with the prefix of 4 * depth bits.
struct Range {
  int depth = 0;
  std::uint64_t prefix = 0;
  bool operator==(const Range&) const = default;
};
constexpr int kDigestFanOut = 16;
constexpr int kMaxDigestDepth = 8;

enum class Kind { ping, ack, ping_req, indirect_ack, nack, digest, updates };

struct Message {
  Kind kind = Kind::ping;
  std::uint32_t sequence = 0;          // a reply carries that of its request
  std::string name;                    // of the sender
  SlotId slot;                         // of the sender
  Incarnation incarnation;             // of the sender
  std::uint64_t started_at = 0;        // Unix time of the sender's start, in ms
  bool leaving = false;                // the sender is in graceful shutdown
  bool is_reply = false;               // updates: the receiver need not send its own
  SlotId target;                       // ping_req: the slot to ping
  Range range;                         // digest, updates: the names that it is about
  std::vector<std::uint32_t> digests;  // digest: one for each child of the range, kDigestFanOut of them
  std::vector<GossipUpdate> updates;
};

constexpr std::size_t kMaxNameBytes = 32;
constexpr std::size_t kMaxUpdates =
    23;  // in one datagram; up to 23 elements the head of a CBOR array is one byte

// Whether the text can be the name of an instance: 1 to kMaxNameBytes letters, digits, '_', '.' or '-'.
bool is_name(std::string_view text);

// Encodes the message with as many of its updates, from the first, as fit into a datagram; sets told to their
// number.
std::string encode(const Message& message, std::size_t& told);
// Nothing where the bytes are not exactly one message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// Whether a datagram is addressed to the membership, by its first byte.
bool is_membership_message(std::string_view bytes);

}  // namespace reedspindle::membership
