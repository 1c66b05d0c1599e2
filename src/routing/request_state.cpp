// The idempotency window of a request.
#include "routing/request_state.hpp"

namespace reedspindle::routing {
namespace {

// The longest time that a repeat may be in transit, in milliseconds.
constexpr Millis kDeliveryDelay = 50;

}  // namespace

Millis remaining_idempotency_window(const Request& request, const RequestClass& request_class, Millis now) {
  return request.possibly_executed_at + request_class.idempotency_window - kDeliveryDelay - now;
}

}  // namespace reedspindle::routing
