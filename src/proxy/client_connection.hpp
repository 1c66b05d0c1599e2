// The state of one client connection. Internal to the sources of ClientConnections.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "postgres/codec.hpp"
#include "proxy/pending_replies.hpp"

namespace reedspindle::proxy {

// How many bytes are read ahead of the replies: one message of the longest type.
constexpr std::size_t kReadAheadBytes = postgres::kMaxMessageBytes + 5;
constexpr std::size_t kReadBytes = 2048;  // the smallest space for one read

// One client connection. Owned by the list in ClientConnections; pending callbacks share the ownership.
struct ClientConnection {
  enum class State {
    starting,   // the startup message has not been received
    open,       // commands are accepted
    closing,    // no more commands are accepted; pending replies are written
    lingering,  // the sending side is shut down or about to be; received bytes are discarded
    closed,
  };
  // What the client has to do next, within a time limit.
  enum class Awaited { nothing, first_command, rest_of_command, reading };

  // Of the read buffers of all connections.
  static constexpr net::FairShare kBufferShare = {.divisor = 2, .reserve_divisor = 4};

  ClientConnection(asio::ip::tcp::socket accepted, net::MemoryBudget& buffers,
                   net::MemoryBudget& reply_budget)
      : socket(std::move(accepted)), buffer(buffers, kBufferShare), replies(reply_budget, reply_budget) {}

  [[nodiscard]] bool accepts_commands() const { return state == State::starting || state == State::open; }
  static State state_of(const std::shared_ptr<ClientConnection>& connection) { return connection->state; }

  asio::ip::tcp::socket socket;
  net::Buffer buffer;
  PendingReplies replies;
  std::vector<PendingReplies::Outgoing> out;  // the replies being written
  State state = State::starting;
  bool writing = false;
  bool reading = false;
  bool skipping_to_sync = false;  // after a message of the extended query protocol
  bool send_shutdown = false;
  std::uint64_t commands = 0;  // complete commands received
  std::size_t open_requests = 0;
  std::size_t request_bytes = 0;  // of the texts of its open requests
  bool answered_while_rejecting = false;
  bool handled_later = false;  // its buffered commands are handled in a later callback
  int invalid_in_row = 0;      // invalid statements in succession
  std::optional<postgres::CancelKey> cancel_key;
  std::size_t discarded = 0;  // bytes read while closing or lingering, which were dropped
  Millis presence_checked =
      0;                     // Unix time at which something was last sent to show whether the client is there
  Millis last_activity = 0;  // Unix time at which it was accepted, or last read from or replied to
  Awaited awaited = Awaited::nothing;
  std::optional<net::Timers::Handle> deadline;  // for what is awaited, or the end of lingering
  std::list<std::shared_ptr<ClientConnection>>::iterator list_position;  // in the list of ClientConnections
};

}  // namespace reedspindle::proxy
