#include "control/client_stream.hpp"

namespace reedspindle::control {

void ClientStream::check_responsiveness(Millis now, Millis timeout) {
  Millis since = response_in_flight ? response_started_at : now;
  for (const TypeSubscription& type : types) {
    if (!type.unacknowledged.empty()) {
      since = std::min(since, type.unacknowledged.front().sent_at);
    }
  }
  if (since == now) {
    return;
  }
  if (now - since >= timeout) {
    close_reason = response_in_flight ? "it does not read" : "it does not answer";
  } else {
    schedule_check(since + timeout);
  }
}

}  // namespace reedspindle::control
