// The frame of every subsystem that decides: events in, decisions out, no I/O and no clock of its own.
#pragma once

#include <vector>

#include "core/types.hpp"

namespace reedspindle {

// Queue the events of a batch in order, then call process once with the clock of that batch.
template <typename Event, typename Decision>
class EventCore {
 public:
  EventCore() = default;
  EventCore(const EventCore&) = delete;
  EventCore& operator=(const EventCore&) = delete;
  virtual ~EventCore() = default;

  // Takes note of what happened; nothing is decided yet.
  virtual void enqueue(Event event) = 0;
  // Handles all queued events and returns what is to be done, in order.
  [[nodiscard]] virtual std::vector<Decision> process(Millis now) = 0;
};

}  // namespace reedspindle
