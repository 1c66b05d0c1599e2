// The messages of the quota protocol and their encoding as datagrams (see membership/datagram_codec.hpp). A
// datagram that does not decode completely is no message.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "membership/message.hpp"

namespace reedspindle::quota {

// Identifies one process at a slot: different after each restart.
struct Incarnation {
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

enum class Kind { lease_request, vote, allocation_request, grant, liveness_query, liveness_reply, released };

// Amounts are in thousandths of a slot; one slot is the base allocation of one instance.
constexpr int kSlot = 1000;

struct Message {
  Kind kind = Kind::lease_request;
  std::uint32_t number = 0;
  // vote, grant, liveness_reply: the number of the request. allocation_request, released: the number of the
  // last grant received.
  std::uint32_t in_reply_to = 0;
  SlotId slot;                     // of the sender
  Incarnation incarnation;         // of the sender
  std::uint32_t options_hash = 0;  // over the options that have to be equal in the whole fleet
  bool is_holder = false;          // lease_request: the sender holds the lease and renews it
  bool granted = false;            // vote: it is for the candidate
  bool warming_up = false;         // allocation_request: parts of its slot may still be granted to others
  bool restores_slot = false;      // grant: the receiver may use its own slot while the grant is valid
  bool shortage = false;           // grant: more is wanted than can be granted
  int wanted = 0;                  // allocation_request: beyond the sender's slot
  int lent = 0;                    // allocation_request: of the sender's slot, for two leases from now
  // grant: beyond the receiver's slot. lease_request of the holder: the number of vacant slots.
  int amount = 0;
  Millis valid_for = 0;  // grant: counted from when the request was sent
};

std::string encode(const Message& message);
// Nothing where the bytes are not exactly one message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// The number of a liveness query that was returned as undeliverable; its end may be cut off.
std::optional<std::uint32_t> decode_liveness_query(std::string_view bytes);
// Whether a datagram is addressed to the quota manager, by its first byte.
bool is_quota_message(std::string_view bytes);

}  // namespace reedspindle::quota
