// Events and decisions that all cores which speak to other instances have in common.
#pragma once

#include <compare>
#include <string>

#include "core/types.hpp"

namespace reedspindle {

// The position of an instance in the fleet's list of peers, from 0; the same number everywhere, whatever
// address each instance reaches it by. Below 0: none.
struct SlotId {
  int number = -1;
  auto operator<=>(const SlotId&) const = default;
};

// Event: a datagram has arrived.
struct DatagramReceived {
  SlotId from;
  std::string bytes;
};

// Decision: send a datagram to one instance.
struct SendDatagram {
  SlotId to;
  std::string bytes;
};

// Decision: process again at that time at the latest, though nothing happens.
struct RequestWakeup {
  Millis at = 0;
};

}  // namespace reedspindle
