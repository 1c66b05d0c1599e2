// Failure detection and membership of the fleet: SWIM with the extensions of Lifeguard, anti-entropy over a
// hash tree, and pings of empty slots so that instances find each other again after a partition. Performs no
// I/O: it receives events and returns decisions. docs/design-membership.md lists the sources and the
// differences from them.
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

// Settings of a Membership, constant except for the number of slots. Durations are in milliseconds.
struct Options {
  std::string name;              // of this instance, unique in the fleet
  SlotId slot;                   // of this instance
  int slots = 0;                 // length of the list of peers
  Millis protocol_period = 500;  // SWIM's protocol period: the time between two probes
  Millis ack_timeout = 200;      // time to wait for an ack before other members are asked for indirect probes
  double suspicion_multiplier = 4;  // minimum suspicion in protocol periods, times log10 of the member count
  Millis forget_after = 300000;     // time until a failed or left peer is removed from the view
  int max_peers = 4096;             // maximum number of stored peers
};

// Events.

// The length of the list of peers has changed.
struct SlotCountChanged {
  int slots = 0;
};
// Graceful shutdown of this instance begins.
struct Leaving {};
using Event = std::variant<SlotCountChanged, DatagramReceived, Leaving>;

// Decisions.

// Changes of a peer's state in the view of this instance.
enum class PeerEvent { joined, suspected, cleared, failed, left, rejoined, moved, forgotten };
// Returns the name that the status file uses for the state.
const char* to_string(PeerState state);
// Returns the text of the log event.
const char* to_string(PeerEvent event);
// The view of this instance of one peer has changed.
struct PeerChanged {
  std::string name;
  SlotId slot;
  PeerEvent event = PeerEvent::joined;
  Incarnation incarnation;
};
// Events that concern this instance itself. paused: the process did not run for longer than a protocol
// period. refuted: it refuted a suspicion or failure. name_contested, name_yielded, name_claimed: another
// process uses the same name, this instance stops using it, this instance uses it again.
enum class SelfEvent { paused, refuted, name_contested, name_yielded, name_claimed };
struct SelfReport {
  SelfEvent event = SelfEvent::paused;
  SlotId slot;          // refuted: the suspecting instance; name_*: the slot of the other process; else none
  Millis duration = 0;  // paused: length of the pause
};
using Decision = std::variant<SendDatagram, RequestWakeup, PeerChanged, SelfReport>;

// One peer in a View.
struct PeerView {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  Millis since = 0;  // when the peer entered its state
};
// Numbers of dropped datagrams by cause.
struct Dropped {
  std::uint64_t malformed = 0;          // did not decode
  std::uint64_t unexpected_sender = 0;  // wrong slot in the message, or an implausible slot or incarnation
  std::uint64_t rate_limited = 0;       // more from one slot in one protocol period than are accepted
  std::uint64_t stale_reply = 0;        // replies without a request, or after its timeout
};
// A snapshot of the membership state for the status file, other packages and tests.
struct View {
  std::uint64_t version = 0;    // rises with each change
  Incarnation incarnation;      // of this instance
  int health = 0;               // Lifeguard's local health score; 0 is healthy
  bool yielded = false;         // another process uses the same name: this instance does not take part
  std::vector<PeerView> peers;  // without this instance, sorted by name
  Dropped dropped;
};

// Returns the slots of the peers in state alive.
std::set<SlotId> alive_peers(const View& view);

// The state machine of the membership protocol.
class Membership : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

// The seed determines all random choices: equal seeds and events give equal decisions.
std::unique_ptr<Membership> make_membership(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::membership
