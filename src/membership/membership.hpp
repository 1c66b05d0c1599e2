// Who of the fleet is there: SWIM with the refinements of Lifeguard, a hash tree against what gossip has
// missed, and questions to empty slots so that what was cut off is found again. Free of I/O: events in,
// decisions out, as in the router. docs/design-membership.md gives the sources and what was changed.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/datagram.hpp"
#include "core/event_core.hpp"
#include "membership/message.hpp"

namespace reedspindle::membership {

// What an instance is told of itself and of how to watch its peers.
struct Options {
  std::string name;
  SlotId slot;           // where it stands in the fleet's list itself
  int slots = 0;         // how many the list has
  Millis pace = 500;     // between two probes
  Millis timeout = 200;  // until peers are asked to probe as well
  double suspicion_multiplier =
      4;                   // paces that a suspicion lasts at least, times log10 of how many are there
  Millis forget = 300000;  // until who is gone is shown no more
  int most = 4096;         // instances that are kept
};

// Events.
struct SlotCountChanged {
  int slots = 0;
};
struct Leaving {};
using Event = std::variant<SlotCountChanged, DatagramReceived, Leaving>;

// Decisions.
enum class PeerEvent { joined, suspected, cleared, failed, left, rejoined, moved, forgotten };
const char* word_of(PeerState state);
const char* word_of(PeerEvent event);
// How a peer stands has changed in this instance's eyes.
struct PeerChanged {
  std::string name;
  SlotId slot;
  PeerEvent event = PeerEvent::joined;
  Incarnation incarnation;
};
// Something about this instance itself.
enum class SelfEvent { paused, refuted, name_contested, name_yielded, name_claimed };
struct SelfReport {
  SelfEvent event = SelfEvent::paused;
  SlotId slot;          // of whom it is about, where there is one
  Millis duration = 0;  // stopped: for how long
};
using Decision = std::variant<SendDatagram, RequestWakeup, PeerChanged, SelfReport>;

struct PeerView {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  Millis since = 0;
};
struct Dropped {
  std::uint64_t malformed = 0;          // did not read as a whole
  std::uint64_t unexpected_sender = 0;  // came from a slot that the sender does not claim
  std::uint64_t rate_limited = 0;       // beyond what one slot may send
  std::uint64_t stale_reply = 0;        // answers to what was not asked, or not any more
};
struct View {
  std::uint64_t version = 0;    // rises with each change
  Incarnation incarnation;      // of this instance
  int health = 0;               // how much it doubts itself, from 0
  bool yielded = false;         // another holds its name
  std::vector<PeerView> peers;  // without itself, by name
  Dropped dropped;
};

// Places of those that are there.
std::set<SlotId> alive_peers(const View& view);

class Membership : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<Membership> make_membership(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::membership
