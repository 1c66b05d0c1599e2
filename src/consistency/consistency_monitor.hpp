// How far this front agrees with its fellows on what it acts on, and whether it is cut off from all that
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
  SlotId place;
  Millis pace = 1000;      // between two questions to a fellow
  Millis grace = 3000;     // that a difference may last before it is told of: news takes its time
  Millis silence = 10000;  // without contact, after which this front holds itself cut off
  // After the last contact, how long it still sends what only a primary may answer, and reads.
  Millis writes_for = std::numeric_limits<Millis>::infinity();
  Millis reads_for = std::numeric_limits<Millis>::infinity();
};

// Events.
// Who is there in the membership's eyes, without this front, and how many count as the fleet: those that are
// known to have ended don't.
struct PeersChanged {
  std::set<SlotId> there;
  int counted = 1;
};
// What this front acts on from now on.
struct Acts {
  Account account;
  std::set<std::uint32_t> ready;  // marks of the members that its list holds ready
};
// TestDiscovery has answered this front.
struct Confirmed {};
using Event = std::variant<DatagramReceived, PeersChanged, Acts, Confirmed>;

// Decisions.
enum class Finding { differs, agrees, cut_off, in_touch, turns_writes_away, turns_reads_away };
const char* word_of(Finding finding);
struct Found {
  Finding finding = Finding::differs;
  Matter matter = Matter::list;  // differs, agrees
  SlotId place;                  // differs: the fellow that was first seen to
  Account mine, theirs;          // differs: as it began
  Millis span = 0;               // since it began
};
// What may be sent.
struct Allowed {
  bool writes = true, reads = true;
  bool operator==(const Allowed&) const = default;
};
// Members that this front's list holds ready and a later one does not, as fellows say while discovery is
// silent here: nothing new goes there. Ends with discovery's next word, or when nobody says so any more.
struct Doubted {
  std::set<std::uint32_t> marks;
};
using Decision = std::variant<SendDatagram, RequestWakeup, Found, Allowed, Doubted>;

// Of one matter: over the fellows whose word is recent, at most kMostHeld of them. Where the fleet is larger
// that is a sample, and the share of those that differ has a standard error of sqrt(p (1 - p) / compared).
struct Difference {
  int differ = 0, compared = 0;
  Millis since = 0;  // 0: none
  SlotId first;
  bool behind = false;  // list: a fellow has a later one
};
struct View {
  std::array<Difference, kMatters> differences;
  Millis contact = 0;  // when there was contact last
  bool cut_off = false;
  Allowed allowed;
  std::set<std::uint32_t> doubted;  // marks of members
  std::uint64_t dropped = 0;        // datagrams that did not read, or are not believed
};
constexpr std::size_t kMostHeld = 64;

class ConsistencyMonitor : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& charge, std::uint64_t seed);

}  // namespace reedspindle::consistency
