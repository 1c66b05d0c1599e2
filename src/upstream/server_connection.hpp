// What the connection pool keeps for each server, connection and call. Internal to the package.
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
#include "postgres/codec.hpp"
#include "upstream/server_response.hpp"

namespace reedspindle::upstream {

struct ServerConnection;
struct ServerPool;

// One attempt or one probe. Owned by its server's queue until a connection takes it, then by the connection.
struct PendingCall {
  std::optional<std::pair<RequestId, AttemptNumber>> attempt;  // none: a probe
  ServerPool* server = nullptr;
  std::shared_ptr<const std::string> text;  // of the statement; none for a probe
  postgres::TextSpan remaining_span;        // where the text states the client's remaining time
  Millis started = 0;                       // Unix time; the reported duration counts from here
  Millis deadline = 0;                      // Unix time at which it counts as timed out
  Millis start_by = 0;                      // Unix time after which it is not sent any more
  net::Timers::Handle timer;                // for start_by while it is queued, then for deadline
  ServerConnection* connection = nullptr;   // none: it is queued
  ServerResponse response;
};

// One server with its queue and its connections.
struct ServerPool {
  ServerId id;
  asio::ip::tcp::endpoint endpoint;
  ServerState state = ServerState::ready;
  Millis started_at = 0;  // Unix time; connections opened earlier are unusable
  std::deque<std::unique_ptr<PendingCall>> queue;
  std::vector<ServerConnection*> idle;  // the one used last at the end
  std::size_t becoming_ready = 0;       // connections that are opening or resetting
  std::size_t connections = 0;          // in every state
};

// One connection to a server. Owned by the pool's list; callbacks that are still out share the ownership.
struct ServerConnection {
  enum class State { opening, idle, busy, resetting, closed };

  ServerConnection(asio::io_context& io, ServerPool& of, net::MemoryBudget& budget)
      : socket(io), server(of), buffer(budget) {}

  asio::ip::tcp::socket socket;
  ServerPool& server;
  net::Buffer buffer;
  std::string out;  // the bytes being written
  State state = State::opening;
  Millis opened = 0;                                  // Unix time
  Millis idle_since = 0;                              // Unix time
  std::list<ServerConnection*>::iterator idle_place;  // valid while it is idle
  bool query_sent = false;                            // the call's query, to its last byte
  bool reset_answered = false;                        // EmptyQueryResponse has come
  std::unique_ptr<PendingCall> call;                  // while it is busy
  std::optional<net::Timers::Handle> timer;           // while it is opening or resetting
  std::optional<std::string> startup_error;           // SQLSTATE of an error while it is opening
  std::list<std::shared_ptr<ServerConnection>>::iterator place;
};

}  // namespace reedspindle::upstream
