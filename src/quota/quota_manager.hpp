// What this instance may use of what the whole fleet has, so that all live instances together never use more
// than the whole: its own slot, and for a time what others are known not to use, handed out by one instance
// that holds a lease by leases of a majority. Free of I/O: events in, decisions out. docs/design-shares.md
// says why it holds.
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

// What an instance is told; all but its slot has to be the same everywhere.
struct Options {
  SlotId slot;
  int fleet = 1;           // slots that count, as the operators have agreed; each has one slot
  Millis lease = 2000;     // of the lease, and the most of what it hands out
  Millis evidence = 1000;  // for how long "nobody listens there" may be gone by
  double drift = 0.01;     // the share by which two steady clocks may differ in their rates
  int reserved = 250;  // thousandths of its slot that nobody else is ever given: an instance has them at once
  Millis notice = 500;  // before a lease ends, from when on nothing new is begun by it
};

// Events.
// A datagram came back: nobody listens there. As much of it as came back.
struct DatagramReturned {
  SlotId at;
  std::string bytes;
};
// Who is there in the membership's eyes, without this instance. A hint on whom to ask; nothing is held safe
// by it.
struct PeersChanged {
  std::set<SlotId> alive;
};
// What this instance could use beyond its plain part, or does not use of it.
struct Demand {
  int wanted = 0;
  int lent = 0;
};
// It uses nothing any more and will not again.
struct Leaving {};
using Event = std::variant<DatagramReceived, DatagramReturned, PeersChanged, Demand, Leaving>;

// Thousandths of a slot.
struct Allocation {
  int open = 0;  // up to where something new may be begun
  int hold = 0;  // what must not be exceeded
  int sharing_instances =
      0;  // instances that share what needs no more than a sum on average: the others have ended
  bool operator==(const Allocation&) const = default;
};

// Decisions.
enum class LeaseEvent { acquired, lost, slot_restored, options_mismatch };
const char* word_of(LeaseEvent event);
struct LeaseReport {
  LeaseEvent event = LeaseEvent::acquired;
  SlotId slot;  // other_terms: whose
};
struct AllocationChanged {
  Allocation allocation;
};
using Decision = std::variant<SendDatagram, RequestWakeup, LeaseReport, AllocationChanged>;

struct View {
  Allocation allocation;
  bool holds_lease = false;  // this instance holds it
  SlotId holder;             // who holds it as far as is heard; below 0: nobody
  int pool = 0;
  int allocated = 0;          // where it holds the lease: there is to hand out, and is handed out
  std::uint64_t dropped = 0;  // datagrams that did not read or are not believed
};

class QuotaManager : public EventCore<Event, Decision> {
 public:
  // By the clock at that moment: what was handed out may have ended since the last settle.
  [[nodiscard]] virtual Allocation allocation(Millis now) const = 0;
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed);

}  // namespace reedspindle::quota
