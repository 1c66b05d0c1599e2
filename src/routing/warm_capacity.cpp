// Keeps the sums as integers and updates them incrementally.
#include "routing/warm_capacity.hpp"

#include <cmath>

namespace reedspindle::routing {
namespace {

constexpr double kUnitsPerCapacity = 1 << 20;

std::int64_t to_units(double capacity) { return std::llround(capacity * kUnitsPerCapacity); }

}  // namespace

void WarmCapacity::update(Slot& slot, const Condition& condition, Millis now) {
  remove(slot);
  slot.condition_ = condition;
  slot.warm_ = warm_within_ <= 0 || now - condition.cold_since >= warm_within_;
  if (!slot.warm_) {
    slot.warming_ = warming_.emplace(condition.cold_since, &slot);
    slot.is_warming_ = true;
  }
  include(slot);
}

void WarmCapacity::remove(Slot& slot) {
  exclude(slot);
  if (slot.is_warming_) {
    warming_.erase(slot.warming_);
  }
  slot.is_warming_ = false;
}

double WarmCapacity::sum(Millis now, bool probes_count) {
  warm_up(now);
  return static_cast<double>(probes_count ? total_ - failed_by_probes_total_ : total_) / kUnitsPerCapacity;
}

void WarmCapacity::warm_up(Millis now) {
  while (!warming_.empty() && now - warming_.begin()->first >= warm_within_) {
    Slot& slot = *warming_.begin()->second;
    warming_.erase(warming_.begin());
    slot.is_warming_ = false;
    slot.warm_ = true;
    include(slot);
  }
}

void WarmCapacity::include(Slot& slot) {
  const Condition& condition = slot.condition_;
  if (!slot.warm_ || !condition.sendable || condition.failed_by_requests) {
    return;
  }
  slot.counted_ = true;
  total_ += to_units(condition.capacity);
  if (!condition.failed_by_probes) {
    return;
  }
  slot.counted_as_failed_ = true;
  failed_by_probes_total_ += to_units(condition.capacity);
}

void WarmCapacity::exclude(Slot& slot) {
  if (slot.counted_) {
    total_ -= to_units(slot.condition_.capacity);
  }
  if (slot.counted_as_failed_) {
    failed_by_probes_total_ -= to_units(slot.condition_.capacity);
  }
  slot.counted_ = false;
  slot.counted_as_failed_ = false;
}

}  // namespace reedspindle::routing
