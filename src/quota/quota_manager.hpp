// What this front may use of what the whole fleet has, so that all live fronts together never use more than
// the whole: its own slot, and for a time what others are known not to use, handed out by one front that
// holds an office by leases of a majority. Free of I/O: events in, decisions out. docs/design-shares.md says
// why it holds.
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

// What a front is told; all but its place has to be the same everywhere.
struct Options {
  SlotId place;
  int fleet = 1;           // places that count, as the operators have agreed; each has one slot
  Millis lease = 2000;     // of the office, and the most of what it hands out
  Millis evidence = 1000;  // for how long "nobody listens there" may be gone by
  double drift = 0.01;     // the share by which two steady clocks may differ in their rates
  int kept = 250;          // thousandths of its slot that nobody else is ever given: a front has them at once
  Millis notice = 500;     // before a lease ends, from when on nothing new is begun by it
};

// Events.
// A datagram came back: nobody listens there. As much of it as came back.
struct Refused {
  SlotId at;
  std::string bytes;
};
// Who is there in the membership's eyes, without this front. A hint on whom to ask; nothing is held safe by
// it.
struct PeersChanged {
  std::set<SlotId> there;
};
// What this front could use beyond its plain part, or does not use of it.
struct Demand {
  int wants = 0, lends = 0;
};
// It uses nothing any more and will not again.
struct Leaving {};
using Event = std::variant<DatagramReceived, Refused, PeersChanged, Demand, Leaving>;

// Thousandths of a slot.
struct Part {
  int open = 0;   // up to where something new may be begun
  int hold = 0;   // what must not be exceeded
  int among = 0;  // fronts that share what needs no more than a sum on average: the others have ended
  bool operator==(const Part&) const = default;
};

// Decisions.
enum class Finding { holds_office, lost_office, whole, other_terms };
const char* word_of(Finding finding);
struct Found {
  Finding finding = Finding::holds_office;
  SlotId place;  // other_terms: whose
};
struct Changed {
  Part part;
};
using Decision = std::variant<SendDatagram, RequestWakeup, Found, Changed>;

struct View {
  Part part;
  bool office = false;        // this front holds it
  SlotId holder;              // who holds it as far as is heard; below 0: nobody
  int pool = 0, given = 0;    // where it holds the office: there is to hand out, and is handed out
  std::uint64_t dropped = 0;  // datagrams that did not read or are not believed
};

class QuotaManager : public EventCore<Event, Decision> {
 public:
  // By the clock at that moment: what was handed out may have ended since the last settle.
  [[nodiscard]] virtual Part part(Millis now) const = 0;
  [[nodiscard]] virtual View view() const = 0;
};

std::unique_ptr<QuotaManager> make_quota_manager(const Options& charge, std::uint64_t seed);

}  // namespace reedspindle::quota
