#include "quota/usage.hpp"

#include <algorithm>
#include <cmath>

namespace reedspindle::quota {

namespace {
// Looks at the need: what is lent comes back two leases later, so nothing is lent that was needed in the last
// one.
constexpr std::size_t kNeedSamples = 6;
// Connections beyond the need: the next op should find one.
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
  const double each = static_cast<double>(connections_) / options_.slot_count;  // connections of a slot
  const std::size_t most = *std::ranges::max_element(needs_);
  const double slots = static_cast<double>(most + kSpareConnections) / each;
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
