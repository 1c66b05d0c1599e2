// The messages of the consistency protocol and their encoding as datagrams (see
// membership/datagram_codec.hpp). A datagram that does not decode completely is rejected.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"
#include "membership/message.hpp"

namespace reedspindle::consistency {

// The parts of an instance's state that are compared: the endpoint list, the primaries, and the set of alive
// members.
enum class DigestKind { list, primaries, view };
constexpr int kDigestKinds = 3;
// Returns the name that the status file uses for the kind.
const char* to_string(DigestKind kind);

// Digests of the state by which an instance currently routes.
struct StateDigest {
  std::array<std::uint32_t, kDigestKinds> sums{};  // by DigestKind
  std::uint64_t revision = 0;                      // of the endpoint list
  [[nodiscard]] std::uint32_t of(DigestKind kind) const { return sums[static_cast<std::size_t>(kind)]; }
  bool operator==(const StateDigest&) const = default;
};

// poll and poll_reply exchange digests. check lists servers; removed replies with those of them that are not
// ready in a later endpoint list.
enum class Kind { poll, poll_reply, check, removed };

struct Message {
  Kind kind = Kind::poll;
  std::uint32_t number = 0;  // a reply repeats the number of its request
  SlotId slot;               // of the sender
  StateDigest digest;        // of the sender
  // Upper bound, in ms, of the time since discovery last answered any instance, as far as the sender knows;
  // -1: unknown.
  Millis discovery_age = -1;
  // Marks of servers, 24-bit identifiers (hash_address in routing/replica_samples.hpp). check: servers that
  // are ready in the sender's list. removed: those of the checked servers that are not ready in the sender's
  // list.
  std::vector<std::uint32_t> marks;
};
constexpr std::size_t kMaxMarks = 40;  // in one message; at 24 bits each they fit into a datagram

// Encodes a message as one datagram.
std::string encode(const Message& message);
// Returns nullopt unless the bytes are exactly one valid message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// Returns whether the first byte of a datagram is that of the consistency protocol.
bool is_consistency_message(std::string_view bytes);

}  // namespace reedspindle::consistency
