// Who of the tier is there: SWIM with the refinements of Lifeguard, a hash tree against what gossip has
// missed, and questions to empty places so that what was cut off is found again. Free of I/O: events in,
// decisions out, as in the decision module. docs/design-membership.md gives the sources and what was changed.
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

// What a front is told of itself and of how to watch its fellows.
struct Options {
  std::string name;
  SlotId place;          // where it stands in the tier's list itself
  int places = 0;        // how many the list has
  Millis pace = 500;     // between two probes
  Millis timeout = 200;  // until fellows are asked to probe as well
  double suspicion_multiplier =
      4;                   // paces that a suspicion lasts at least, times log10 of how many are there
  Millis forget = 300000;  // until who is gone is shown no more
  int most = 4096;         // fronts that are kept
};

// Events.
struct Listed {
  int places = 0;
};
struct Leaving {};
using Event = std::variant<Listed, DatagramReceived, Leaving>;

// Decisions.
enum class Happening { joined, suspected, cleared, failed, left, back, moved, forgotten };
const char* word_of(Standing standing);
const char* word_of(Happening happening);
// How a fellow stands has changed in this front's eyes.
struct Change {
  std::string name;
  SlotId place;
  Happening happening = Happening::joined;
  Incarnation incarnation;
};
// Something about this front itself.
enum class Finding { stopped, refuted, contested, yields, claims };
struct Found {
  Finding finding = Finding::stopped;
  SlotId place;     // of whom it is about, where there is one
  Millis span = 0;  // stopped: for how long
};
using Decision = std::variant<SendDatagram, RequestWakeup, Change, Found>;

struct PeerView {
  std::string name;
  SlotId place;
  Standing standing = Standing::there;
  Incarnation incarnation;
  Millis since = 0;
};
struct Dropped {
  std::uint64_t unread = 0;   // did not read as a whole
  std::uint64_t strange = 0;  // came from a place that the sender does not claim
  std::uint64_t flood = 0;    // beyond what one place may send
  std::uint64_t late = 0;     // answers to what was not asked, or not any more
};
struct View {
  std::uint64_t version = 0;      // rises with each change
  Incarnation incarnation;        // of this front
  int health = 0;                 // how much it doubts itself, from 0
  bool yielded = false;           // another holds its name
  std::vector<PeerView> fellows;  // without itself, by name
  Dropped dropped;
};

// Places of those that are there.
std::set<SlotId> there_in(const View& view);

class Membership : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<Membership> make_membership(const Options& charge, std::uint64_t seed);

}  // namespace reedspindle::membership
