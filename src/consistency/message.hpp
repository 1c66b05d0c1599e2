// What instances tell one another of what they act on, as datagrams: CBOR behind one letter of its own. What
// does not read as a whole is no message.
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

// What instances are compared by.
enum class DigestKind { list, primaries, view };
constexpr int kDigestKinds = 3;
const char* word_of(DigestKind kind);

// What an instance acts on now: a sum over the content of each, and which of two lists is the later one.
struct StateDigest {
  std::array<std::uint32_t, kDigestKinds> sums{};
  std::uint64_t revision = 0;  // of the list
  [[nodiscard]] std::uint32_t of(DigestKind kind) const { return sums[static_cast<std::size_t>(kind)]; }
  bool operator==(const StateDigest&) const = default;
};

enum class Kind { poll, poll_reply, check, removed };

struct Message {
  Kind kind = Kind::poll;
  std::uint32_t number = 0;  // an answer has that of its question
  SlotId slot;               // of the sender
  StateDigest digest;
  // How long ago, at most, discovery spoke to anybody that the sender hears of; below 0: it does not know.
  Millis discovery_age = -1;
  // checks: members that the sender holds ready; leave: those of them that the other's list does not.
  std::vector<std::uint32_t> marks;
};
constexpr std::size_t kMaxMarks = 40;  // 24 bits each, so that a datagram holds them

std::string encode(const Message& message);
std::optional<Message> decode(std::string_view bytes);
bool is_consistency_message(std::string_view bytes);

}  // namespace reedspindle::consistency
