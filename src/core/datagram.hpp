// Events and decisions shared by all event cores that exchange datagrams with other instances.
#pragma once

#include <compare>
#include <string>

#include "core/types.hpp"

namespace reedspindle {

// Identifies an instance by its index in the fleet's peer list, counting from 0. The number is the same at
// every instance, whatever address each one reaches the peer by. A negative number means no instance.
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

// Decision: call process() again no later than `at` (milliseconds, see Millis), even if no event arrives.
struct RequestWakeup {
  Millis at = 0;
};

}  // namespace reedspindle
