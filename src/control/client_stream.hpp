// The state of one client's xDS stream: its subscriptions, the resources that it was sent and those that it
// has acknowledged.
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

// The versions of one resource that a client was sent and has acknowledged or rejected.
struct ClientResource {
  ResourcePtr sent;
  ResourcePtr acknowledged;
  std::uint64_t rejected_version = 0;  // 0: none
};

// A response that the client has neither acknowledged nor rejected yet.
struct PendingResponse {
  std::string nonce;
  Millis sent_at = 0;
  bool leased = false;  // some resource in it has a time to live
  std::map<std::string, ResourcePtr> sent;
};

// The subscription of one stream to one resource type.
struct TypeSubscription {
  bool requested = false;  // the client has sent a request for this type
  bool wildcard = false;   // the client subscribes to all resources of the type
  std::set<std::string> names;
  std::map<std::string, ClientResource> resources;
  std::set<std::string> reported_missing;
  std::deque<PendingResponse> unacknowledged;
  std::string last_nonce;
  std::uint64_t sent_version = 0;  // version of this type in the snapshot that was sent last
  // Serial number of the last snapshot that the client was sent completely; 0: all names have to be compared.
  std::uint64_t complete_as_of = 0;
  Millis backoff_until = 0;
  Millis backoff = 0;
};

// The state of one stream.
struct ClientStream {
  ProtocolVariant variant = ProtocolVariant::state_of_the_world;
  ClientCapabilities declared_capabilities;
  ClientCapabilities capabilities;  // those in use; leases are left out while the client answers too late
  std::array<TypeSubscription, kResourceTypes> types;
  bool response_in_flight = false;  // the transport is still sending the last response
  bool needs_check = true;          // something has changed since the last comparison with the snapshot
  bool is_reconnecting = false;     // the client has resources that this service sent on an earlier stream
  Millis response_started_at = 0;
  Millis opened_at = 0;
  long long required_revision = 0;  // revision of the newest endpoint list that the client is known to have
  Millis leases_disabled_until = 0;
  std::uint64_t nonces = 0;
  std::size_t subscribed_names = 0;
  std::optional<Millis> next_check;         // when to compare with the snapshot even if nothing changes
  std::optional<std::string> close_reason;  // set once the stream is to be closed
  bool close_reported = false;

  // Returns the subscription to a resource type.
  [[nodiscard]] TypeSubscription& of(ResourceType type) { return types[static_cast<std::size_t>(type)]; }
  [[nodiscard]] const TypeSubscription& of(ResourceType type) const {
    return types[static_cast<std::size_t>(type)];
  }

  // Schedules a comparison with the snapshot at the given time, unless an earlier one is scheduled.
  void schedule_check(Millis at) { next_check = next_check ? std::min(*next_check, at) : at; }

  // Marks the stream to be closed if the client has not read or answered a response within the timeout, and
  // schedules the next check otherwise. This bounds the number of responses that slow clients hold in memory,
  // and the time for which they do.
  void check_responsiveness(Millis now, Millis timeout);
};

}  // namespace reedspindle::control
