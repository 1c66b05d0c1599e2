// The capacity of the warm replicas that requests may be sent to: the sum of their sizes, kept up to date
// where a replica changes, so that a request costs the same however many replicas there are.
#pragma once

#include <cstdint>
#include <map>

#include "core/types.hpp"

namespace reedspindle::routing {

class WarmCapacity {
 public:
  // What decides whether a replica counts.
  struct Condition {
    double size = 0;        // capacity relative to the others', not negative
    Millis cold_since = 0;  // when it last started cold
    bool sendable = false;  // neither draining nor gone
    bool failed_by_requests = false;
    bool failed_by_probes = false;  // counts only while probes are trusted
  };
  // A replica's place in the sum, held by its owner; it must stay where it is in memory until it is removed.
  class Slot {
    friend WarmCapacity;
    Condition condition_;
    bool warm_ = false;
    bool waits_ = false;
    bool counted_ = false;
    bool counted_by_probes_ = false;
    std::multimap<Millis, Slot*>::iterator warming_;
  };

  // A replica is warm so long after it has started, in milliseconds; 0: at once.
  explicit WarmCapacity(Millis warm_within) : warm_within_(warm_within) {}

  void update(Slot& slot, const Condition& condition, Millis now);
  void remove(Slot& slot);
  // Whether failed probes speak against a replica is the caller's judgement.
  double sum(Millis now, bool probes_count);

 private:
  void take_out(Slot& slot);
  void put_in(Slot& slot);
  void warm_up(Millis now);

  const Millis warm_within_;
  std::multimap<Millis, Slot*> warming_;  // those that are cold, by when they started
  // In parts of a size, whole numbers: what is added and taken away again leaves nothing behind.
  std::int64_t all_ = 0;
  std::int64_t failed_by_probes_ = 0;
};

}  // namespace reedspindle::routing
