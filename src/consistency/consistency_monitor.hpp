// How far this instance agrees with its peers on what it acts on, and whether it is cut off from all that
// could tell it otherwise. Free of I/O: events in, decisions out. docs/design-accord.md says what was
// weighed.
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
  Millis pace = 1000;      // between two questions to a peer
  Millis grace = 3000;     // that a difference may last before it is told of: news takes its time
  Millis silence = 10000;  // without contact, after which this instance holds itself cut off
  // After the last contact, how long it still sends what only a primary may answer, and reads.
  Millis writes_for = std::numeric_limits<Millis>::infinity();
  Millis reads_for = std::numeric_limits<Millis>::infinity();
};

// Events.
// Who is there in the membership's eyes, without this instance, and how many count as the fleet: those that
// are known to have ended don't.
struct PeersChanged {
  std::set<SlotId> alive;
  int fleet_size = 1;
};
// What this instance acts on from now on.
struct AppliedState {
  StateDigest digest;
  std::set<std::uint32_t> ready;  // marks of the members that its list holds ready
};
// discovery has answered this instance.
struct DiscoveryAnswered {};
using Event = std::variant<DatagramReceived, PeersChanged, AppliedState, DiscoveryAnswered>;

// Decisions.
enum class ConsistencyEvent { diverged, converged, isolated, reconnected, rejecting_writes, rejecting_reads };
const char* word_of(ConsistencyEvent event);
struct ConsistencyReport {
  ConsistencyEvent event = ConsistencyEvent::diverged;
  DigestKind kind = DigestKind::list;  // differs, agrees
  SlotId slot;                         // differs: the peer that was first seen to
  StateDigest local;
  StateDigest remote;   // differs: as it began
  Millis duration = 0;  // since it began
};
// What may be sent.
struct Admission {
  bool writes = true, reads = true;
  bool operator==(const Admission&) const = default;
};
// Members that this instance's list holds ready and a later one does not, as peers say while discovery is
// silent here: nothing new goes there. Ends with discovery's next word, or when nobody says so any more.
struct SuspectServers {
  std::set<std::uint32_t> marks;
};
using Decision = std::variant<SendDatagram, RequestWakeup, ConsistencyReport, Admission, SuspectServers>;

// Of one matter: over the peers whose word is recent, at most kMostHeld of them. Where the fleet is larger
// that is a sample, and the share of those that differ has a standard error of sqrt(p (1 - p) / compared).
struct Difference {
  int differ = 0, compared = 0;
  Millis since = 0;  // 0: none
  SlotId first;
  bool behind = false;  // list: a peer has a later one
};
struct View {
  std::array<Difference, kDigestKinds> differences;
  Millis last_contact = 0;  // when there was contact last
  bool isolated = false;
  Admission admission;
  std::set<std::uint32_t> suspect_servers;  // marks of members
  std::uint64_t dropped = 0;                // datagrams that did not read, or are not believed
};
constexpr std::size_t kMaxPeerDigests = 64;

class ConsistencyMonitor : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::consistency
