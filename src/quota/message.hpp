// What fronts tell one another about shares, as datagrams: CBOR behind one letter of its own. What does not
// read as a whole is no message.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "membership/message.hpp"

namespace reedspindle::quota {

// One life of a process at a place.
struct Life {
  std::uint64_t number = 0;
  auto operator<=>(const Life&) const = default;
};

enum class Kind { bid, vote, ask, answer, question, here, gone };
constexpr int kSlot = 1000;  // shares are told in thousandths of a slot, the plain part of one front

struct Message {
  Kind kind = Kind::bid;
  std::uint32_t number = 0;
  std::uint32_t of =
      0;         // vote, answer, here: the number of what it answers; ask, gone: of the last answer had
  SlotId place;  // of the sender
  Life life;
  std::uint32_t terms = 0;  // a sum over what all fronts have to be told alike
  bool held = false;        // bid: it has the office already
  bool yes = false;         // vote
  bool young = false;       // ask: its slot may have been given to others before it started
  bool own = false;         // answer: its slot is its own again, for as long as the answer holds
  bool need = false;        // answer: more is wanted than there is
  int wants = 0;            // ask: beyond its plain part
  int lends = 0;            // ask: of its plain part, from now on for two leases
  int amount =
      0;  // answer: beyond its plain part; bid of who holds the office: places whose fronts have ended
  Millis left = 0;  // answer: for so long from when it was asked for
};

std::string bytes_of(const Message& message);
std::optional<Message> message_in(std::string_view bytes);
// The number of a question that came back, of which its end may be missing.
std::optional<std::uint32_t> question_in(std::string_view bytes);
bool is_quota_message(std::string_view bytes);

}  // namespace reedspindle::quota
