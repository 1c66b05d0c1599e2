// What fronts tell one another about who is there, as datagrams: CBOR behind one letter that no text of the
// decision module begins with. What does not read as a whole is no message.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/datagram.hpp"

namespace reedspindle::membership {

// Of one front: what is said under a higher one outweighs what was said under a lower one. Raised by that
// front alone; it begins at the Unix ms of its start.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

enum class Standing { there, suspected, failed, left };

// What somebody holds true of one front.
struct Word {
  std::string name;
  SlotId place;
  Standing standing = Standing::there;
  Incarnation incarnation;
  SlotId by;  // who came to suspect it
  bool operator==(const Word&) const = default;
};

// All names whose hash begins with these bits, four a level.
struct Range {
  int depth = 0;
  std::uint64_t prefix = 0;
  bool operator==(const Range&) const = default;
};
constexpr int kFan = 16, kDeepest = 8;

enum class Kind { ping, ack, ask, vouch, nack, digest, words };

struct Message {
  Kind kind = Kind::ping;
  std::uint32_t number = 0;  // an answer has that of its question
  std::string name;          // of the sender
  SlotId place;
  Incarnation incarnation;
  std::uint64_t born = 0;  // Unix ms of the sender's start
  bool leaving = false;
  bool answer = false;              // words: those of the receiver are not asked for
  SlotId about;                     // ask: whom to ping
  Range range;                      // digest, words: of which names
  std::vector<std::uint32_t> sums;  // digest: of each part of the range, kFan of them
  std::vector<Word> words;
};

constexpr std::size_t kLongestName = 32;
constexpr std::size_t kMostWords = 23;  // in one datagram: up to there an array's head is one byte
bool is_name(std::string_view text);

// As many of the words, first ones first, as fit into a datagram; says how many that are.
std::string bytes_of(const Message& message, std::size_t& told);
std::optional<Message> message_in(std::string_view bytes);
// Whether a datagram is meant for the membership; the decision module's texts are not.
bool is_membership_message(std::string_view bytes);

}  // namespace reedspindle::membership
