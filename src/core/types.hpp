// Types shared by all packages: identifiers, servers and samples of their state. Contains no logic.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace reedspindle {

// Milliseconds. As a time point: since the Unix epoch, on a clock that never goes backwards.
using Millis = double;

// Identifies a server by the address that discovery lists. Identical at every instance.
struct ServerId {
  std::string address;
  auto operator<=>(const ServerId&) const = default;
};

// Identifies a request that a client has made to this instance. Numbers are not reused within the lifetime of
// a process.
struct RequestId {
  std::uint64_t number = 0;
  auto operator<=>(const RequestId&) const = default;
};

// Identifies a replica group: a primary and its replicas, which hold the same data.
struct GroupId {
  int number = 0;
  auto operator<=>(const GroupId&) const = default;
};

// Identifies a request class by its index in the settings.
struct RequestClassId {
  int number = 0;
  auto operator<=>(const RequestClassId&) const = default;
};

// Identifies an availability zone.
struct ZoneId {
  int number = 0;
  auto operator<=>(const ZoneId&) const = default;
};

// Identifies a timer that an event core has set.
struct TimerId {
  std::int64_t number = 0;
  auto operator<=>(const TimerId&) const = default;
};

// The index of an attempt among the attempts of one request, counting from 0.
struct AttemptNumber {
  int number = 0;
  auto operator<=>(const AttemptNumber&) const = default;
};

// The state of a server as listed by discovery.
enum class ServerState { ready, draining, gone };

// The contents of a list from discovery: changes since the previous list, every server, or the list saved by
// an earlier run. `failed` means that discovery did not answer.
enum class EndpointListKind { changes, complete, saved, failed };

// The result of an attempt.
enum class AttemptOutcome {
  acknowledged,
  failed,               // the server answered with an error; the request may have had an effect
  rejected_overloaded,  // the server shed the request, without any effect
  timed_out,
  connect_failed,
  reset,
  cancelled,
  not_sent,
  rejected_not_executed,  // the server refused the request because of its own state, for example a lagging
                          // replica
};

// The replication role that a server claims to have.
enum class Role { unknown, primary, replica };

// One server of an endpoint list.
struct ServerEntry {
  ServerId id;
  ZoneId zone;
  int kind = 0;
  GroupId group;
  ServerState state = ServerState::ready;
  double relative_capacity = 1;  // capacity relative to that of the other servers
  Millis started_at = 0;         // 0: long ago
  bool primary = false;
  bool operator==(const ServerEntry&) const = default;
};

// The state that a server reports about itself: in an answer to a request, as of that answer, or in a load
// report, which the server made some time before it sends it.
struct ReplicaSample {
  Role role = Role::unknown;
  // Time up to which it has applied all commits; negative: not reported. In the answer to a write, the time
  // of its commit.
  Millis position = -1;
  double utilization = -1;  // fraction of its processors in use; negative: not reported
};

}  // namespace reedspindle
