#include "control/client_stream.hpp"

namespace reedspindle::control {

void ClientStream::check_responsiveness(Millis now, Millis timeout) {
  Millis waiting_since = response_in_flight ? response_started_at : now;
  for (const TypeSubscription& type : types) {
    if (!type.unacknowledged.empty()) {
      waiting_since = std::min(waiting_since, type.unacknowledged.front().sent_at);
    }
  }
  if (waiting_since == now) {
    return;
  }
  if (now - waiting_since >= timeout) {
    close_reason = response_in_flight ? "it does not read" : "it does not answer";
  } else {
    schedule_check(waiting_since + timeout);
  }
}

}  // namespace reedspindle::control
