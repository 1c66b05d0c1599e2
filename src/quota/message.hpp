// What instances tell one another about shares, as datagrams: CBOR behind one letter of its own. What does
// not read as a whole is no message.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "membership/message.hpp"

namespace reedspindle::quota {

// One life of a process at a slot.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

enum class Kind { lease_request, vote, allocation_request, grant, liveness_query, liveness_reply, released };
constexpr int kSlot = 1000;  // shares are told in thousandths of a slot, the plain part of one instance

struct Message {
  Kind kind = Kind::lease_request;
  std::uint32_t number = 0;
  std::uint32_t in_reply_to =
      0;        // vote, answer, here: the number of what it answers; ask, gone: of the last answer had
  SlotId slot;  // of the sender
  Incarnation incarnation;
  std::uint32_t options_hash = 0;  // a sum over what all instances have to be told alike
  bool is_holder = false;          // bid: it has the lease already
  bool granted = false;            // vote
  bool warming_up = false;         // ask: its slot may have been given to others before it started
  bool restores_slot = false;      // answer: its slot is its own again, for as long as the answer holds
  bool shortage = false;           // answer: more is wanted than there is
  int wanted = 0;                  // ask: beyond its plain part
  int lent = 0;                    // ask: of its plain part, from now on for two leases
  int amount =
      0;  // answer: beyond its plain part; bid of who holds the lease: slots whose instances have ended
  Millis valid_for = 0;  // answer: for so long from when it was asked for
};

std::string encode(const Message& message);
std::optional<Message> decode(std::string_view bytes);
// The number of a question that came back, of which its end may be missing.
std::optional<std::uint32_t> decode_liveness_query(std::string_view bytes);
bool is_quota_message(std::string_view bytes);

}  // namespace reedspindle::quota
