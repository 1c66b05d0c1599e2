// Manages the quota of this instance, its part of the capacity that the whole fleet shares. All live
// instances together never exceed that capacity. Each has its own slot; unused slots are granted for a
// limited time by the one instance that holds a lease from a majority of the fleet. Performs no I/O: it
// receives events and returns decisions. docs/design-quota.md contains the proof.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/datagram.hpp"
#include "core/event_core.hpp"
#include "quota/message.hpp"

namespace reedspindle::quota {

// Settings of a QuotaManager. Durations are in milliseconds. All except slot and end_notice must be equal in
// the whole fleet; messages from instances with other values are ignored.
struct Options {
  SlotId slot;                      // of this instance
  int slot_count = 1;               // number of slots that share the capacity
  Millis lease = 2000;              // duration of the lease and maximum duration of a grant
  Millis evidence_lifetime = 1000;  // how long a returned liveness query proves that a slot is vacant
  double max_drift = 0.01;          // maximum relative difference between the rates of two monotonic clocks
  // Thousandths of each slot that are never granted to others, so that an instance can use them immediately
  // after its start.
  int reserved = 250;
  Millis end_notice = 500;  // time before the end of a grant from when on no new use of it begins
};

// Events.

// A datagram was returned as undeliverable: no process listens at the slot.
struct DatagramReturned {
  SlotId at;
  std::string bytes;  // possibly truncated at its end
};
// The peers that membership considers alive, without this instance. They only decide which slots are queried
// and who campaigns first; safety does not depend on them.
struct PeersChanged {
  std::set<SlotId> alive;
};
// The demand of this instance, in thousandths of a slot.
struct Demand {
  int wanted = 0;  // what it could use beyond its slot
  int lent = 0;    // what it does not use of its slot
};
// Graceful shutdown: this instance uses no capacity from now on.
struct Leaving {};
using Event = std::variant<DatagramReceived, DatagramReturned, PeersChanged, Demand, Leaving>;

// What an instance may use at the moment, in thousandths of a slot.
struct Allocation {
  int open = 0;               // new use may begin only below this limit
  int hold = 0;               // total use must not exceed this limit
  int sharing_instances = 0;  // number of slots that are not known to be vacant
  bool operator==(const Allocation&) const = default;
};

// Decisions.

// acquired, lost: this instance has acquired or lost the lease. slot_restored: it may use its whole slot
// again after its start. options_mismatch: a peer runs with other options.
enum class LeaseEvent { acquired, lost, slot_restored, options_mismatch };
// Returns the text of the log event.
const char* to_string(LeaseEvent event);
// An event for the log.
struct LeaseReport {
  LeaseEvent event = LeaseEvent::acquired;
  SlotId slot;  // of this instance; options_mismatch: of the peer
};
// The allocation of this instance has changed.
struct AllocationChanged {
  Allocation allocation;
};
using Decision = std::variant<SendDatagram, RequestWakeup, LeaseReport, AllocationChanged>;

// A snapshot of the manager's state for the status file and tests.
struct View {
  Allocation allocation;
  bool holds_lease = false;   // whether this instance holds the lease
  SlotId holder;              // the last known lease holder; below 0: none
  int pool = 0;               // holder only: what can be granted, in thousandths of a slot
  int allocated = 0;          // holder only: what is granted, in thousandths of a slot
  std::uint64_t dropped = 0;  // datagrams that did not decode or were rejected
};

// The state machine of the quota protocol.
class QuotaManager : public EventCore<Event, Decision> {
 public:
  // Returns the allocation at the given time. It may differ from the last AllocationChanged because grants
  // may have ended since the last call of process().
  [[nodiscard]] virtual Allocation allocation(Millis now) const = 0;
  [[nodiscard]] virtual View view() const = 0;
};

// The seed determines all random choices: equal seeds and events give equal decisions.
std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::quota
