// Sums in whole numbers, updated by what changes.
#include "routing/warm_capacity.hpp"

#include <cmath>

namespace reedspindle::routing {
namespace {

constexpr double kPartsOfSize = 1 << 20;

std::int64_t parts_of(double size) { return std::llround(size * kPartsOfSize); }

}  // namespace

void WarmCapacity::update(Slot& slot, const Condition& condition, Millis now) {
  remove(slot);
  slot.condition_ = condition;
  slot.warm_ = warm_within_ <= 0 || now - condition.cold_since >= warm_within_;
  if (!slot.warm_) {
    slot.warming_ = warming_.emplace(condition.cold_since, &slot);
    slot.waits_ = true;
  }
  put_in(slot);
}

void WarmCapacity::remove(Slot& slot) {
  take_out(slot);
  if (slot.waits_) {
    warming_.erase(slot.warming_);
  }
  slot.waits_ = false;
}

double WarmCapacity::sum(Millis now, bool probes_count) {
  warm_up(now);
  return static_cast<double>(probes_count ? all_ - failed_by_probes_ : all_) / kPartsOfSize;
}

void WarmCapacity::warm_up(Millis now) {
  while (!warming_.empty() && now - warming_.begin()->first >= warm_within_) {
    Slot& slot = *warming_.begin()->second;
    warming_.erase(warming_.begin());
    slot.waits_ = false;
    slot.warm_ = true;
    put_in(slot);
  }
}

void WarmCapacity::put_in(Slot& slot) {
  const Condition& condition = slot.condition_;
  if (!slot.warm_ || !condition.sendable || condition.failed_by_requests) {
    return;
  }
  slot.counted_ = true;
  all_ += parts_of(condition.size);
  if (!condition.failed_by_probes) {
    return;
  }
  slot.counted_by_probes_ = true;
  failed_by_probes_ += parts_of(condition.size);
}

void WarmCapacity::take_out(Slot& slot) {
  if (slot.counted_) {
    all_ -= parts_of(slot.condition_.size);
  }
  if (slot.counted_by_probes_) {
    failed_by_probes_ -= parts_of(slot.condition_.size);
  }
  slot.counted_ = false;
  slot.counted_by_probes_ = false;
}

}  // namespace reedspindle::routing
