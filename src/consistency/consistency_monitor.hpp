// Compares the state by which this instance routes with that of its peers, and detects when the instance is
// isolated from everything that could correct it. Performs no I/O: it receives events and returns decisions.
// docs/design-consistency.md explains the design.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consistency/message.hpp"
#include "core/datagram.hpp"
#include "core/event_core.hpp"

namespace reedspindle::consistency {

// Settings of a ConsistencyMonitor. Durations are in milliseconds.
struct Options {
  SlotId slot;                  // of this instance
  Millis poll_interval = 1000;  // time between two polls of peers
  // How long a difference may last before it is reported, and how long discovery may be silent before peers
  // are asked about removed servers: updates take time to spread.
  Millis grace_period = 3000;
  Millis isolation_timeout = 10000;  // time without contact after which this instance counts as isolated
  // How long after the last contact requests that need the primary (writes) and reads are still admitted.
  Millis admit_writes_for = std::numeric_limits<Millis>::infinity();
  Millis admit_reads_for = std::numeric_limits<Millis>::infinity();
};

// Events.

// The peers that membership considers alive, without this instance, and the number of instances in the fleet,
// including this one and excluding those that are known to have ended.
struct PeersChanged {
  std::set<SlotId> alive;
  int fleet_size = 1;
};
// The state by which this instance routes from now on.
struct AppliedState {
  StateDigest digest;
  std::set<std::uint32_t> ready;  // marks of the servers in state ready in its endpoint list
};
// Discovery has answered a request of this instance.
struct DiscoveryAnswered {};
using Event = std::variant<DatagramReceived, PeersChanged, AppliedState, DiscoveryAnswered>;

// Decisions.

// The kinds of log event that the monitor reports.
enum class ConsistencyEvent { diverged, converged, isolated, reconnected, rejecting_writes, rejecting_reads };
// Returns the text of the log event.
const char* to_string(ConsistencyEvent event);
// An event for the log.
struct ConsistencyReport {
  ConsistencyEvent event = ConsistencyEvent::diverged;
  DigestKind kind = DigestKind::list;  // diverged, converged: what differs or differed
  SlotId slot;                         // diverged, converged: the first peer seen with another digest
  StateDigest local;                   // diverged: digests of this instance when the difference began
  StateDigest remote;                  // diverged: digests of that peer when the difference began
  Millis duration = 0;                 // time since the reported condition began
};
// Which requests this instance may send to servers.
struct Admission {
  bool writes = true;
  bool reads = true;
  bool operator==(const Admission&) const = default;
};
// Servers that are ready in the endpoint list of this instance but not in a later list of a peer, while
// discovery does not answer this instance. They get no new requests. An entry ends with the next answer from
// discovery or by timeout.
struct SuspectServers {
  std::set<std::uint32_t> marks;  // all servers that are suspect now
};
using Decision = std::variant<SendDatagram, RequestWakeup, ConsistencyReport, Admission, SuspectServers>;

// Result of comparing one kind of digest with the recent digests of at most kMaxPeerDigests peers. In a
// larger fleet these are a sample: the share p of peers that differ has a standard error of sqrt(p * (1 - p)
// / compared).
struct Difference {
  int differ = 0;       // number of peers with another digest
  int compared = 0;     // number of peers whose digest is comparable
  Millis since = 0;     // when the difference began; 0: no difference
  SlotId first;         // the first peer with another digest
  bool behind = false;  // kind list only: a peer has a later revision
};
// A snapshot of the monitor's state for the status file and tests.
struct View {
  std::array<Difference, kDigestKinds> differences;
  Millis last_contact = 0;  // when discovery or a majority of the fleet was last reachable
  bool isolated = false;
  Admission admission;
  std::set<std::uint32_t> suspect_servers;  // marks
  std::uint64_t dropped = 0;                // datagrams that did not decode or were rejected
};
constexpr std::size_t kMaxPeerDigests = 64;  // peer digests that are stored at most

// The state machine of the consistency protocol.
class ConsistencyMonitor : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

// The seed determines all random choices: equal seeds and events give equal decisions.
std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::consistency
