// Requests and responses of discovery streams, free of the xDS messages' own types. Times in ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

struct StreamId {
  std::uint64_t number = 0;
  auto operator<=>(const StreamId&) const = default;
};

// The two variants of the xDS protocol.
enum class ProtocolVariant { state_of_the_world, incremental };

// One decoded request of a client.
struct SubscriptionRequest {
  ResourceType type = ResourceType::clusters;
  std::string nonce;               // of the response that it answers; empty: it answers none
  std::string version;             // state of the world: the last version that the client accepted
  std::vector<std::string> names;  // state of the world: all subscribed names; incremental: names to add
  std::vector<std::string> unsubscribed;              // incremental: names to remove
  std::map<std::string, std::string> known_versions;  // incremental: versions that the client has, by name
  std::optional<std::string> rejection_reason;        // set where the client rejected the response
};

// One response to send on a stream.
struct ResponseToSend {
  struct Item {
    ResourcePtr resource;
    std::optional<Millis> time_to_live;
    bool body = true;  // false: only the time to live is renewed
  };

  StreamId stream;
  ResourceType type = ResourceType::clusters;
  std::string nonce;
  std::string version;
  std::vector<Item> items;
  std::vector<std::string> removed;  // incremental only
  bool urgent = false;               // it takes an endpoint away
};

// A stream to close, with the status message for the client.
struct StreamToClose {
  StreamId stream;
  std::string why;
};

// An event on a stream that operators should see in the log.
struct OperatorNotice {
  StreamId stream;
  std::string event;
  std::string detail;
};

using StreamAction = std::variant<ResponseToSend, StreamToClose, OperatorNotice>;

struct SubscriptionBounds {
  std::size_t streams = 2000;     // open streams
  std::size_t names = 4096;       // subscribed names of one stream
  std::size_t name_length = 256;  // bytes
  Millis unread = 10000;          // how long a response may stay unread or unanswered
  Millis behind = 30000;          // how long a client with a newer endpoint list than ours is left alone
  Millis transit = 100;           // longest time for a response to reach its client
};

struct SubscriptionCounts {
  std::uint64_t responses = 0;
  std::uint64_t urgent = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t rejected = 0;
  std::uint64_t stale_nonces = 0;
  std::uint64_t ended = 0;
};

// What all streams of one Subscriptions object share. The references are owned by that object.
struct StreamContext {
  const SubscriptionBounds& bounds;
  const std::string& service;
  std::uint64_t epoch;
  SubscriptionCounts& counts;
  std::vector<OperatorNotice>& notices;
};

}  // namespace reedspindle::control
