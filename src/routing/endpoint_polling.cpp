// Calls of the instances are spread, for discovery is one service for all.
#include "routing/endpoint_polling.hpp"

#include <algorithm>

namespace reedspindle::routing {
namespace {

// The wait after a failed call, before it is spread (in milliseconds).
constexpr Millis kRetryDelay = 200;
// Calls of two instances are so far apart on average (in milliseconds).
constexpr Millis kSpreadPerInstance = 25;
// The spread is at most this part of the time within which a call is wanted, so that a lost call, the wait
// and the next call fit into it.
constexpr double kPartsOfLimit = 4;

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
      std::min(kSpreadPerInstance * (context_.instances - 1), context_.options.poll_within / kPartsOfLimit);
  return context_.draw() * spread;
}

}  // namespace reedspindle::routing
