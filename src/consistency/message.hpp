// The messages of the consistency protocol and their encoding as datagrams (see
// membership/datagram_codec.hpp). A datagram that does not decode completely is no message.
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

// The parts of an instance's state that are compared: the endpoint list, the primaries, the membership's
// view.
enum class DigestKind { list, primaries, view };
constexpr int kDigestKinds = 3;
const char* to_string(DigestKind kind);

// Digests of the state that an instance routes by now.
struct StateDigest {
  std::array<std::uint32_t, kDigestKinds> sums{};
  std::uint64_t revision = 0;  // of the endpoint list
  [[nodiscard]] std::uint32_t of(DigestKind kind) const { return sums[static_cast<std::size_t>(kind)]; }
  bool operator==(const StateDigest&) const = default;
};

// poll and poll_reply exchange digests; check names servers, removed says which of them a later list lacks.
enum class Kind { poll, poll_reply, check, removed };

struct Message {
  Kind kind = Kind::poll;
  std::uint32_t number = 0;  // a reply carries that of its request
  SlotId slot;               // of the sender
  StateDigest digest;        // of the sender
  // Upper bound of the time since discovery last answered any instance that the sender knows of, in ms; -1:
  // unknown.
  Millis discovery_age = -1;
  // Marks of servers. check: those that are ready in the sender's list. removed: those of them that are not
  // ready in the replier's list.
  std::vector<std::uint32_t> marks;
};
constexpr std::size_t kMaxMarks = 40;  // in one message; 24 bits each, so that they fit into a datagram

std::string encode(const Message& message);
// Nothing where the bytes are not exactly one message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// Whether a datagram is addressed to the consistency monitor, by its first byte.
bool is_consistency_message(std::string_view bytes);

}  // namespace reedspindle::consistency
