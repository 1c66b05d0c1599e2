// The vocabulary that all packages share: identifiers, servers and what is known of them. No logic.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace reedspindle {

// Milliseconds. As a time point: since the Unix epoch, on a clock that never goes back.
using Millis = double;

// A server as discovery names it; the same at every instance.
struct ServerId {
  std::string address;
  auto operator<=>(const ServerId&) const = default;
};

// A request that a client has made of this instance. Numbers are not used again while a process lives.
struct RequestId {
  std::uint64_t number = 0;
  auto operator<=>(const RequestId&) const = default;
};

// A replica group: a primary and its replicas, which hold the same data.
struct GroupId {
  int number = 0;
  auto operator<=>(const GroupId&) const = default;
};

// A class of requests as the settings state them, by its place among them.
struct RequestClassId {
  int number = 0;
  auto operator<=>(const RequestClassId&) const = default;
};

struct ZoneId {
  int number = 0;
  auto operator<=>(const ZoneId&) const = default;
};

struct TimerId {
  std::int64_t number = 0;
  auto operator<=>(const TimerId&) const = default;
};

// The attempts of one request, counted from 0.
struct AttemptNumber {
  int number = 0;
  auto operator<=>(const AttemptNumber&) const = default;
};

enum class ServerState { ready, draining, gone };

// What a list from discovery holds: changes to the one before, every server, or the list saved from an
// earlier run. Failed: discovery did not answer.
enum class EndpointListKind { changes, complete, saved, failed };

// How an attempt ended.
enum class AttemptOutcome {
  acknowledged,
  failed,               // the server answered with an error; the request may have had an effect
  rejected_overloaded,  // shed by the server, without an effect
  timed_out,
  connect_failed,
  reset,
  cancelled,
  not_sent,
  rejected_not_executed,  // refused by the server for what it is, for instance a replica that lags
};

enum class Role { unknown, primary, replica };

// One server of an endpoint list.
struct ServerEntry {
  ServerId id;
  ZoneId zone;
  int kind = 0;
  GroupId group;
  ServerState state = ServerState::ready;
  double relative_capacity = 1;  // capacity relative to the other servers'
  Millis started_at = 0;         // 0: long ago
  bool primary = false;
  bool operator==(const ServerEntry&) const = default;
};

// What a server's answer or the answer to a probe says of it.
struct ReplicaSample {
  Role role = Role::unknown;
  Millis position = -1;     // time up to which it has applied all commits; below 0: not stated
  double utilization = -1;  // share of its processors in use; below 0: not stated
};

}  // namespace reedspindle
