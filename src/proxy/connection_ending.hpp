// Decides what each reason to end a client connection means for it. Has no I/O and no clock.
//
// A command that a client has begun to send is a state of its own: the client has no way to know that it will
// not be read to its end. Such a connection is ended with an error, which answers the command, or not at all.
#pragma once

#include <cstdint>

namespace reedspindle::proxy {

// What a client and this instance owe each other on a connection.
enum class Activity : std::uint8_t {
  connecting,     // the client owes its startup message, and has sent nothing
  unused,         // the client owes its first command
  resting,        // between commands
  command_begun,  // a part of a command has been received, and nothing more is waiting in the kernel
  unread,         // bytes are waiting in the kernel: a command may be among them
  owing,          // this instance owes replies, or is writing them
};
constexpr int kActivities = 6;

// Why a connection may have to end. A reload of the configuration ends none.
enum class EndReason : std::uint8_t {
  idle_limit,         // clients have many connections, and this one has been idle for long
  capacity,           // a new client needs its place
  memory_for_others,  // another connection needs the memory of its read buffer
  no_memory,          // there is no memory to read what it has sent
  draining,           // no more connections are accepted
  rejecting,          // draining: new requests are rejected
  rejected,           // draining: a command of this connection was answered since requests are rejected
  time_limit,         // the client has not sent its command in time
};
constexpr int kEndReasons = 8;

enum class EndAction : std::uint8_t {
  keep,
  close,             // without a word: nothing is owed
  close_with_error,  // the error answers what the client has begun, after all replies that are owed
};

// The table of all cases. What replies are owed on is ended by its own deadline only, when its client does
// not read them.
[[nodiscard]] constexpr EndAction end_action(EndReason reason, Activity activity) {
  using enum EndAction;
  constexpr EndAction kError = close_with_error;
  constexpr EndAction kTable[kEndReasons][kActivities] = {
      // connecting, unused, resting, command_begun, unread, owing
      {keep, keep, close, keep, keep, keep},             // idle_limit
      {kError, kError, close, keep, keep, keep},         // capacity
      {keep, keep, keep, kError, keep, keep},            // memory_for_others
      {kError, kError, kError, kError, kError, kError},  // no_memory
      {keep, close, close, keep, keep, keep},            // draining
      {close, close, close, keep, keep, keep},           // rejecting
      {close, close, close, kError, keep, keep},         // rejected
      {kError, kError, keep, kError, kError, kError},    // time_limit
  };
  return kTable[static_cast<int>(reason)][static_cast<int>(activity)];
}

}  // namespace reedspindle::proxy
