// The state of each server, connection and call in the connection pool. Internal to the package.
#pragma once

#include <asio.hpp>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "net/memory_budget.hpp"
#include "postgres/codec.hpp"
#include "upstream/outgoing_message.hpp"
#include "upstream/server_response.hpp"

namespace reedspindle::upstream {

struct ServerConnection;
struct ServerPool;

// One attempt or one probe. Owned by its server's queue until it is sent, then by the connection.
struct PendingCall {
  explicit PendingCall(net::MemoryBudget& responses) : response(responses) {}

  std::optional<std::pair<RequestId, AttemptNumber>> attempt;  // none: a probe
  ServerPool* server = nullptr;
  std::shared_ptr<const net::ChargedText> text;  // of the statement; null for a probe, and once it is sent
  postgres::TextSpan remaining_span;       // the place in the text that states the client's remaining time
  Millis started = 0;                      // Unix time from which the reported duration counts
  Millis deadline = 0;                     // Unix time at which it times out
  Millis start_by = 0;                     // Unix time after which it is not sent
  net::Timers::Handle timer;               // expires at start_by while queued, then at deadline
  ServerConnection* connection = nullptr;  // null while it is queued
  ServerResponse response;
};

// One server with its queue of calls and its connections.
struct ServerPool {
  ServerId id;
  asio::ip::tcp::endpoint endpoint;
  ServerState state = ServerState::ready, logged_state = ServerState::ready;
  Millis started_at = 0;  // Unix time; connections opened earlier are not used
  std::deque<std::unique_ptr<PendingCall>> queue;
  std::vector<ServerConnection*> idle;  // the most recently used one last
  std::size_t becoming_ready = 0;       // connections that are opening, resetting or ready
  std::size_t connections = 0;          // in every state
};

// One connection to a server. Owned by the pool's list; pending callbacks share the ownership.
struct ServerConnection {
  // ready: opened or reset, and its queued call has not been sent yet.
  enum class State { opening, resetting, ready, busy, idle, closed };

  ServerConnection(asio::io_context& io, ServerPool& of, net::MemoryBudget& budget)
      : socket(io), server(of), buffer(budget) {}

  asio::ip::tcp::socket socket;
  ServerPool& server;
  net::Buffer buffer;
  OutgoingMessage out;
  State state = State::opening;
  Millis opened = 0;                                     // Unix time
  Millis last_read = 0;                                  // Unix time
  Millis idle_since = 0;                                 // Unix time
  std::list<ServerConnection*>::iterator idle_position;  // valid while it is idle
  bool query_sent = false;                               // the last byte of the call's query has been written
  bool reset_answered = false;                           // EmptyQueryResponse has been received
  std::unique_ptr<PendingCall> call;                     // set while it is busy
  std::optional<net::Timers::Handle> timer;              // set while it is opening or resetting
  std::optional<AttemptOutcome> startup_error;           // of an error received while opening
  std::list<std::shared_ptr<ServerConnection>>::iterator list_position;  // in the pool's list
};

}  // namespace reedspindle::upstream
