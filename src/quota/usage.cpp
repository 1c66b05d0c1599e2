#include "quota/usage.hpp"

#include <algorithm>
#include <cmath>

namespace reedspindle::quota {

namespace {
// Looks at the need: what is lent comes back two leases later, so nothing is lent that was needed in the last
// one.
constexpr std::size_t kLooks = 6;
// Connections beyond the need: the next op should find one.
constexpr std::size_t kSpare = 1;
}  // namespace

Connections connections_of(const Part& part, const Options& charge, int all) {
  const auto of = [&](int thousandths) {
    return static_cast<std::size_t>(static_cast<long long>(thousandths) * all /
                                    (static_cast<long long>(kSlot) * charge.fleet));
  };
  return {of(part.open), of(part.hold)};
}

Demand Use::demand(std::size_t need) {
  needs_.push_back(need);
  if (needs_.size() > kLooks) {
    needs_.pop_front();
  }
  const double each = static_cast<double>(all_) / charge_.fleet;  // connections of a slot
  const std::size_t most = *std::ranges::max_element(needs_);
  const double slots = static_cast<double>(most + kSpare) / each;
  Demand demand;
  if (slots > 1) {
    demand.wants = static_cast<int>(std::ceil((slots - 1) * kSlot));
  }
  if (slots < 1 && needs_.size() == kLooks) {
    demand.lends = static_cast<int>(std::floor((1 - slots) * kSlot));
  }
  return demand;
}

}  // namespace reedspindle::quota
