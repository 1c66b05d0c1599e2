// Requests and responses of discovery streams, independent of the xDS message types. Times in ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

// Numbers streams in the order in which they are opened, from 1.
struct StreamId {
  std::uint64_t number = 0;
  auto operator<=>(const StreamId&) const = default;
};

// The two variants of the xDS protocol, "state of the world" (SotW) and "incremental" (delta).
enum class ProtocolVariant { state_of_the_world, incremental };

// A decoded request from a client.
struct SubscriptionRequest {
  ResourceType type = ResourceType::clusters;
  std::string nonce;                      // of the response that it acknowledges or rejects; empty: none
  std::string version;                    // state of the world: the version that the client accepted last
  std::vector<std::string> names;         // state of the world: all subscribed; incremental: to add
  std::vector<std::string> unsubscribed;  // incremental: names to remove
  std::map<std::string, std::string> known_versions;  // incremental: what the client has, by name
  std::optional<std::string> rejection_reason;        // set if the client rejects the response
};

// A response to send on a stream.
struct ResponseToSend {
  struct Item {
    ResourcePtr resource;
    std::optional<Millis> time_to_live;
    bool body = true;  // false: a heartbeat that only renews the time to live
  };

  StreamId stream;
  ResourceType type = ResourceType::clusters;
  std::string nonce;
  std::string version;
  std::vector<Item> items;
  std::vector<std::string> removed;  // incremental only
  bool urgent = false;               // it removes an endpoint
};

// A stream to close; `why` is the status message for the client.
struct StreamToClose {
  StreamId stream;
  std::string why;
};

// An event on a stream for the log; `event` is a constant phrase.
struct OperatorNotice {
  StreamId stream;
  std::string event;
  std::string detail;
};

using StreamAction = std::variant<ResponseToSend, StreamToClose, OperatorNotice>;

// Limits on the streams and requests of clients, and the times that the service allows them.
struct SubscriptionBounds {
  std::size_t streams = 2000;     // open streams
  std::size_t names = 4096;       // subscribed names of one stream
  std::size_t name_length = 256;  // bytes
  Millis unread = 10000;          // within which a client must read and answer a response
  Millis behind = 30000;  // how long a client with a newer endpoint list than the service is sent nothing
  Millis transit = 100;   // the longest that a response takes to reach its client
};

// Counters since the start of the service.
struct SubscriptionCounts {
  std::uint64_t responses = 0;
  std::uint64_t urgent = 0;  // of the responses
  std::uint64_t acknowledged = 0;
  std::uint64_t rejected = 0;
  std::uint64_t stale_nonces = 0;  // requests whose nonce is neither pending nor the last one sent
  std::uint64_t ended = 0;         // streams
};

// What all streams of a Subscriptions object share. That object owns what the references refer to.
struct StreamContext {
  const SubscriptionBounds& bounds;
  const std::string& service;
  std::uint64_t epoch;
  SubscriptionCounts& counts;
  std::vector<OperatorNotice>& notices;
};

}  // namespace reedspindle::control
