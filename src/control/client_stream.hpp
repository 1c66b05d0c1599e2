// The state of one client's stream: what it subscribes to, what it has been sent and what it has
// acknowledged.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/subscription_types.hpp"

namespace reedspindle::control {

// What a client has of one resource.
struct ClientResource {
  ResourcePtr sent;
  ResourcePtr acknowledged;
  std::uint64_t rejected_version = 0;  // 0: none
};

// A response that the client has not answered yet.
struct PendingResponse {
  std::string nonce;
  Millis sent_at = 0;
  bool leased = false;  // it carries a time to live
  std::map<std::string, ResourcePtr> sent;
};

// The subscription of one stream to one type of resource.
struct TypeSubscription {
  bool requested = false;  // the client has asked for this type at all
  bool wildcard = false;   // it subscribes to every resource of the type
  std::set<std::string> names;
  std::map<std::string, ClientResource> resources;
  std::set<std::string> reported_missing;
  std::deque<PendingResponse> unacknowledged;
  std::string last_nonce;
  std::uint64_t sent_version = 0;  // the snapshot's version of this type that was sent last
  // Serial of the snapshot that the client has been sent in full; 0: every name has to be compared.
  std::uint64_t complete_as_of = 0;
  Millis backoff_until = 0;
  Millis backoff = 0;
};

struct ClientStream {
  ProtocolVariant variant = ProtocolVariant::state_of_the_world;
  ClientCapabilities declared_capabilities;
  ClientCapabilities capabilities;  // in use; leases are left out while the client answers too late
  std::array<TypeSubscription, kResourceTypes> types;
  bool response_in_flight = false;  // the transport is still sending the last response
  bool needs_check = true;          // something has changed since it was last compared with the snapshot
  bool is_reconnecting = false;     // the client has resources that this service sent on an earlier stream
  Millis response_started_at = 0;
  Millis opened_at = 0;
  long long required_revision = 0;  // the newest endpoint list that the client is known to have
  Millis leases_disabled_until = 0;
  std::uint64_t nonces = 0;
  std::size_t subscribed_names = 0;
  std::optional<Millis> next_check;         // when to compare it though nothing changes
  std::optional<std::string> close_reason;  // set once the stream is to be closed
  bool close_reported = false;

  [[nodiscard]] TypeSubscription& of(ResourceType type) { return types[static_cast<std::size_t>(type)]; }
  [[nodiscard]] const TypeSubscription& of(ResourceType type) const {
    return types[static_cast<std::size_t>(type)];
  }

  void schedule_check(Millis at) { next_check = next_check ? std::min(*next_check, at) : at; }

  // Closes the stream where the client has not read or answered a response within the timeout, so that
  // slow clients cost a bounded number of responses in memory for a bounded time.
  void check_responsiveness(Millis now, Millis timeout);
};

}  // namespace reedspindle::control
