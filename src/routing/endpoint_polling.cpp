// Spreads the calls of the instances over time, because they all use the same discovery service.
#include "routing/endpoint_polling.hpp"

#include <algorithm>

namespace reedspindle::routing {
namespace {

// Milliseconds to wait after a failed call, before the random spread is added.
constexpr Millis kRetryDelay = 200;
// The average interval between the calls of two instances, in milliseconds.
constexpr Millis kSpreadPerInstance = 25;
// The spread is at most 1/kSpreadDivisor of the time within which a list is required, so that a lost call,
// the wait and the next call fit into that time.
constexpr double kSpreadDivisor = 4;

}  // namespace

void EndpointPolling::handle_failure() { next_poll_at_ = context_.now + kRetryDelay + draw_delay(); }

bool EndpointPolling::take_due() {
  if (next_poll_at_ == kNever) {
    next_poll_at_ = context_.now + draw_delay();
  }
  if (!context_.options.poll_endpoints || context_.now < next_poll_at_) {
    return false;
  }
  next_poll_at_ = kForever;
  return true;
}

Millis EndpointPolling::next_at() const { return context_.options.poll_endpoints ? next_poll_at_ : kForever; }

Millis EndpointPolling::draw_delay() {
  const Millis spread =
      std::min(kSpreadPerInstance * (context_.instances - 1), context_.options.poll_within / kSpreadDivisor);
  return context_.draw() * spread;
}

}  // namespace reedspindle::routing
