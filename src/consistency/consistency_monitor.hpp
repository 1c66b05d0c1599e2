// Compares the state by which this instance routes with that of its peers, and detects when the instance is
// isolated from everything that could correct it. Free of I/O: events in, decisions out.
// docs/design-consistency.md gives the reasons.
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

struct Options {
  SlotId slot;
  Millis poll_interval = 1000;  // between two polls of peers
  Millis grace_period =
      3000;  // that a difference may last before it is reported; updates take time to spread
  Millis isolation_timeout = 10000;  // without contact, after which this instance is isolated
  // For how long after the last contact requests that need the primary, and reads, are still admitted.
  Millis admit_writes_for = std::numeric_limits<Millis>::infinity();
  Millis admit_reads_for = std::numeric_limits<Millis>::infinity();
};

// Events.
// The peers that are alive in the membership's view, without this instance, and the size of the fleet without
// the instances that are known to have ended.
struct PeersChanged {
  std::set<SlotId> alive;
  int fleet_size = 1;
};
// The state by which this instance routes from now on.
struct AppliedState {
  StateDigest digest;
  std::set<std::uint32_t> ready;  // marks of the servers that are ready in its endpoint list
};
// Discovery has answered this instance.
struct DiscoveryAnswered {};
using Event = std::variant<DatagramReceived, PeersChanged, AppliedState, DiscoveryAnswered>;

// Decisions.
enum class ConsistencyEvent { diverged, converged, isolated, reconnected, rejecting_writes, rejecting_reads };
const char* to_string(ConsistencyEvent event);
struct ConsistencyReport {
  ConsistencyEvent event = ConsistencyEvent::diverged;
  DigestKind kind = DigestKind::list;  // diverged, converged
  SlotId slot;                         // diverged: the first peer with another digest
  StateDigest local;                   // diverged: of this instance, when it began
  StateDigest remote;                  // diverged: of that peer, when it began
  Millis duration = 0;                 // since it began
};
// Which requests this instance may send to servers.
struct Admission {
  bool writes = true;
  bool reads = true;
  bool operator==(const Admission&) const = default;
};
// Servers that are ready in this instance's list but not in a later list of a peer, while discovery does not
// answer here. No new requests go to them. Each entry ends with discovery's next answer or by timeout.
struct SuspectServers {
  std::set<std::uint32_t> marks;
};
using Decision = std::variant<SendDatagram, RequestWakeup, ConsistencyReport, Admission, SuspectServers>;

// Of one kind of digest, over the peers with recent digests, at most kMaxPeerDigests of them. In a larger
// fleet that is a sample: the share p of those that differ has a standard error of sqrt(p (1 - p) /
// compared).
struct Difference {
  int differ = 0;
  int compared = 0;
  Millis since = 0;     // 0: no difference
  SlotId first;         // the first peer with another digest
  bool behind = false;  // list: a peer has a later revision
};
struct View {
  std::array<Difference, kDigestKinds> differences;
  Millis last_contact = 0;
  bool isolated = false;
  Admission admission;
  std::set<std::uint32_t> suspect_servers;  // marks
  std::uint64_t dropped = 0;                // datagrams that did not decode or were not accepted
};
constexpr std::size_t kMaxPeerDigests = 64;

class ConsistencyMonitor : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::consistency
