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
  command_begun,  // a part of a command has been received, or bytes are waiting in the kernel
  owing,          // this instance owes replies, or is writing them
};
constexpr int kActivities = 5;

// Why a connection may have to end. A reload of the configuration ends none.
enum class EndReason : std::uint8_t {
  idle_limit,         // clients have many connections, and this one has been idle for long
  capacity,           // a new client needs its place
  memory_for_others,  // another connection needs the memory of its read buffer
  no_memory,          // there is no memory to read what it has sent
  draining,           // no more connections are accepted
  rejecting,          // draining: new requests are rejected
  time_limit,         // the client has not sent its command in time
};
constexpr int kEndReasons = 7;

enum class EndAction : std::uint8_t {
  keep,
  close,             // without a word: nothing is owed
  close_with_error,  // the error answers what the client has begun, after all replies that are owed
};

// The table of all cases. What replies are owed on is ended by its own deadline only, when its client does
// not read them.
[[nodiscard]] constexpr EndAction end_action(EndReason reason, Activity activity) {
  using enum EndAction;
  constexpr EndAction kTable[kEndReasons][kActivities] = {
      // connecting, unused, resting, command_begun, owing
      {keep, keep, close, keep, keep},                          // idle_limit
      {close_with_error, close_with_error, close, keep, keep},  // capacity
      {keep, keep, keep, close_with_error, keep},               // memory_for_others
      {close_with_error, close_with_error, close_with_error, close_with_error,
       close_with_error},                                                              // no_memory
      {keep, close, close, keep, keep},                                                // draining
      {close, close, close, keep, keep},                                               // rejecting
      {close_with_error, close_with_error, keep, close_with_error, close_with_error},  // time_limit
  };
  return kTable[static_cast<int>(reason)][static_cast<int>(activity)];
}

}  // namespace reedspindle::proxy
