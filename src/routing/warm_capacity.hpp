// The total capacity of the warm replicas to which requests may be sent. The sum is updated when a replica
// changes, so that the cost of a request does not depend on the number of replicas.
#pragma once

#include <cstdint>
#include <map>

#include "core/types.hpp"

namespace reedspindle::routing {

// Maintains the sum of the capacities of all warm replicas.
class WarmCapacity {
 public:
  // The inputs that determine whether a replica counts.
  struct Condition {
    double capacity = 0;    // capacity relative to that of the others, not negative
    Millis cold_since = 0;  // when it last started cold
    bool sendable = false;  // neither draining nor gone
    bool failed_by_requests = false;
    bool failed_by_probes = false;  // ignored while probes are not trusted
  };
  // A replica's part of the sum, held by its owner. It must keep its address in memory until it is removed.
  class Slot {
    friend WarmCapacity;
    Condition condition_;
    bool warm_ = false;
    bool is_warming_ = false;
    bool counted_ = false;
    bool counted_as_failed_ = false;
    std::multimap<Millis, Slot*>::iterator warming_;
  };

  // A replica becomes warm this many milliseconds after its start; 0: at once.
  explicit WarmCapacity(Millis warm_within) : warm_within_(warm_within) {}

  // Replaces the condition of a replica, which is added if it is new.
  void update(Slot& slot, const Condition& condition, Millis now);
  void remove(Slot& slot);
  // Returns the sum. The caller decides whether replicas with failed probes are left out (`probes_count`).
  double sum(Millis now, bool probes_count);

 private:
  void exclude(Slot& slot);
  void include(Slot& slot);
  void warm_up(Millis now);

  const Millis warm_within_;
  std::multimap<Millis, Slot*> warming_;  // cold replicas, ordered by start
  // Fixed-point units of capacity: with integers, adding and subtracting the same value leaves no residue.
  std::int64_t total_ = 0;
  std::int64_t failed_by_probes_total_ = 0;
};

}  // namespace reedspindle::routing
