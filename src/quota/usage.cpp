#include "quota/usage.hpp"

#include <algorithm>
#include <cmath>

namespace reedspindle::quota {

namespace {
// Number of recent samples that are considered, one lease in total. Lent capacity comes back after two
// leases, so nothing is lent that was needed during the last one.
constexpr std::size_t kNeedSamples = 6;
// Connections requested beyond the need, so that the next request finds a free one.
constexpr std::size_t kSpareConnections = 1;
}  // namespace

Connections connections_of(const Allocation& allocation, const Options& options, int connections) {
  const auto of = [&](int thousandths) {
    return static_cast<std::size_t>(static_cast<long long>(thousandths) * connections /
                                    (static_cast<long long>(kSlot) * options.slot_count));
  };
  return {of(allocation.open), of(allocation.hold)};
}

Demand Usage::demand(std::size_t need) {
  needs_.push_back(need);
  if (needs_.size() > kNeedSamples) {
    needs_.pop_front();
  }
  const double connections_per_slot = static_cast<double>(connections_) / options_.slot_count;
  const std::size_t max_need = *std::ranges::max_element(needs_);
  const double slots = static_cast<double>(max_need + kSpareConnections) / connections_per_slot;
  Demand demand;
  if (slots > 1) {
    demand.wanted = static_cast<int>(std::ceil((slots - 1) * kSlot));
  }
  if (slots < 1 && needs_.size() == kNeedSamples) {
    demand.lent = static_cast<int>(std::floor((1 - slots) * kSlot));
  }
  return demand;
}

}  // namespace reedspindle::quota
