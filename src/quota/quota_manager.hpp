// The quota of this instance: what it may use of the capacity that the whole fleet shares. All live instances
// together never exceed that capacity. Each has its own slot; unused slots are granted for a time by one
// instance that holds a lease from a majority of the fleet. Free of I/O: events in, decisions out.
// docs/design-quota.md gives the proof.
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

// All but the slot has to be equal in the whole fleet; instances with other options are ignored.
struct Options {
  SlotId slot;
  int slot_count = 1;               // number of slots that share the capacity
  Millis lease = 2000;              // duration of the lease, and the longest duration of a grant
  Millis evidence_lifetime = 1000;  // for how long a returned query counts as evidence of a vacant slot
  double max_drift = 0.01;          // the most by which the rates of two monotonic clocks differ, as a share
  int reserved =
      250;  // thousandths of its slot that are never granted to others: usable at once after a start
  Millis end_notice = 500;  // before a grant ends, from when on no new use of it begins
};

// Events.
// A datagram came back: nobody listens there. As much of it as came back.
struct DatagramReturned {
  SlotId at;
  std::string bytes;
};
// The peers that are alive in the membership's view, without this instance. Only a hint whom to query; no
// safety depends on it.
struct PeersChanged {
  std::set<SlotId> alive;
};
// What this instance could use beyond its slot, or does not use of it, in thousandths of a slot.
struct Demand {
  int wanted = 0;
  int lent = 0;
};
// Graceful shutdown: this instance uses nothing any more and will not again.
struct Leaving {};
using Event = std::variant<DatagramReceived, DatagramReturned, PeersChanged, Demand, Leaving>;

// What an instance may use now, in thousandths of a slot.
struct Allocation {
  int open = 0;               // up to where new use may begin
  int hold = 0;               // what use must not exceed
  int sharing_instances = 0;  // slots that are not known to be vacant
  bool operator==(const Allocation&) const = default;
};

// Decisions.
// acquired, lost: the lease, by this instance. slot_restored: its slot is usable again after a start.
// options_mismatch: a peer runs with other options.
enum class LeaseEvent { acquired, lost, slot_restored, options_mismatch };
const char* to_string(LeaseEvent event);
struct LeaseReport {
  LeaseEvent event = LeaseEvent::acquired;
  SlotId slot;  // options_mismatch: of that peer
};
struct AllocationChanged {
  Allocation allocation;
};
using Decision = std::variant<SendDatagram, RequestWakeup, LeaseReport, AllocationChanged>;

struct View {
  Allocation allocation;
  bool holds_lease = false;   // this instance does
  SlotId holder;              // the last known holder of the lease; below 0: none
  int pool = 0;               // of the holder: what can be granted, in thousandths of a slot
  int allocated = 0;          // of the holder: what is granted
  std::uint64_t dropped = 0;  // datagrams that did not decode or were not accepted
};

class QuotaManager : public EventCore<Event, Decision> {
 public:
  // By the clock at that moment: what was handed out may have ended since the last settle.
  [[nodiscard]] virtual Allocation allocation(Millis now) const = 0;
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::quota
