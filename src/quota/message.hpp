// The messages of the quota protocol and their encoding as datagrams (see membership/datagram_codec.hpp). A
// datagram that does not decode completely is rejected.
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

// lease_request and vote elect the lease holder; allocation_request, grant and released manage allocations;
// liveness_query and liveness_reply find vacant slots.
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
  bool granted = false;            // vote: the vote is for the sender of the lease_request
  bool warming_up = false;         // allocation_request: parts of its slot may still be granted to others
  bool restores_slot = false;      // grant: the receiver may use its whole slot while the grant is valid
  bool shortage = false;           // grant: demand exceeds what can be granted
  int wanted = 0;                  // allocation_request: demand beyond the sender's slot
  int lent = 0;  // allocation_request: part of the sender's slot lent for two leases from now
  // grant: allocation beyond the receiver's slot. lease_request of the holder: number of vacant slots.
  int amount = 0;
  Millis valid_for = 0;  // grant: in ms, counted from when the request was sent
};

// Encodes a message as one datagram.
std::string encode(const Message& message);
// Returns nullopt unless the bytes are exactly one valid message. Does not throw.
std::optional<Message> decode(std::string_view bytes);
// Returns the number of a liveness query that was returned as undeliverable, possibly truncated at its end;
// nullopt for anything else.
std::optional<std::uint32_t> decode_liveness_query(std::string_view bytes);
// Returns whether the first byte of a datagram is that of the quota protocol.
bool is_quota_message(std::string_view bytes);

}  // namespace reedspindle::quota
