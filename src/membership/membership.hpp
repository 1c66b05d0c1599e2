// Failure detection and membership of the fleet: SWIM with the extensions of Lifeguard, anti-entropy over a
// hash tree, and pings of empty slots so that instances find each other again after a partition. Free of I/O:
// events in, decisions out. docs/design-membership.md names the sources and the differences from them.
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

// Fixed for the life of a Membership, but for the number of slots.
struct Options {
  std::string name;
  SlotId slot;                      // of this instance
  int slots = 0;                    // length of the list of peers
  Millis protocol_period = 500;     // protocol period: the time between two probes
  Millis ack_timeout = 200;         // for an ack, until other members are asked for indirect probes
  double suspicion_multiplier = 4;  // the shortest suspicion, in paces times log10 of the number of members
  Millis forget_after = 300000;     // until a failed or left peer is removed from the view
  int max_peers = 4096;             // peers that are stored
};

// Events.
// The list of peers has changed its length.
struct SlotCountChanged {
  int slots = 0;
};
// Graceful shutdown of this instance begins.
struct Leaving {};
using Event = std::variant<SlotCountChanged, DatagramReceived, Leaving>;

// Decisions.
enum class PeerEvent { joined, suspected, cleared, failed, left, rejoined, moved, forgotten };
const char* to_string(PeerState state);
const char* to_string(PeerEvent event);
// This instance's opinion of a peer has changed.
struct PeerChanged {
  std::string name;
  SlotId slot;
  PeerEvent event = PeerEvent::joined;
  Incarnation incarnation;
};
// An event that concerns this instance itself.
enum class SelfEvent { paused, refuted, name_contested, name_yielded, name_claimed };
struct SelfReport {
  SelfEvent event = SelfEvent::paused;
  SlotId slot;          // refuted: who suspected it; name_*: the slot of the other process; else none
  Millis duration = 0;  // paused: of the pause
};
using Decision = std::variant<SendDatagram, RequestWakeup, PeerChanged, SelfReport>;

struct PeerView {
  std::string name;
  SlotId slot;
  PeerState state = PeerState::alive;
  Incarnation incarnation;
  Millis since = 0;
};
// Datagrams that were not used, by cause.
struct Dropped {
  std::uint64_t malformed = 0;          // did not decode
  std::uint64_t unexpected_sender = 0;  // the slot in the message is not that of the sender, or not plausible
  std::uint64_t rate_limited = 0;       // more from one slot in one pace than are accepted
  std::uint64_t stale_reply = 0;        // replies to no request, or to one that has timed out
};
struct View {
  std::uint64_t version = 0;  // rises with each change
  Incarnation incarnation;    // of this instance
  int health = 0;             // Lifeguard's local health score; 0 is healthy
  bool yielded = false;       // another process holds this instance's name; it takes no part in the protocol
  std::vector<PeerView> peers;  // without this instance, by name
  Dropped dropped;
};

// The slots of the peers whose state is alive.
std::set<SlotId> alive_peers(const View& view);

class Membership : public EventCore<Event, Decision> {
 public:
  [[nodiscard]] virtual View view() const = 0;
};

// The seed decides the random choices; equal seeds and events give equal decisions.
std::unique_ptr<Membership> make_membership(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::membership
