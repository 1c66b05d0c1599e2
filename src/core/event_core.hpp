// Base class of the decision-making subsystems: events go in, decisions come out. A core does no I/O and
// reads no clock.
#pragma once

#include <vector>

#include "core/types.hpp"

namespace reedspindle {

// Event-driven core. Callers enqueue the events of a batch in order, then call process() once with the time
// of the batch.
template <typename Event, typename Decision>
class EventCore {
 public:
  EventCore() = default;
  EventCore(const EventCore&) = delete;
  EventCore& operator=(const EventCore&) = delete;
  virtual ~EventCore() = default;

  // Queues an event. Decisions are made only in process().
  virtual void enqueue(Event event) = 0;
  // Handles all queued events and returns the resulting decisions in the order in which they are to be
  // carried out.
  [[nodiscard]] virtual std::vector<Decision> process(Millis now) = 0;
};

}  // namespace reedspindle
