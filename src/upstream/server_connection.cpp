// The part of ConnectionPool that opens connections, sends queries, reads responses, and resets connections
// before they are used again.
#include "upstream/server_connection.hpp"

#include <utility>
#include <variant>
#include <vector>

#include "net/receive.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::upstream {
namespace {
using Tcp = asio::ip::tcp;
constexpr std::size_t kReadBytes = 4096;  // the smallest space for one read
constexpr const char* kUser = "svc";
constexpr const char* kDatabase = "main";
constexpr const char* kProbeQuery = "SHOW vitals";
}  // namespace

// Returns whether the connection can't be used any more. One that was opened before the server's last start,
// or before its endpoint changed, can only end in a reset.
bool ConnectionPool::is_stale(const ServerConnection& connection) {
  return connection.server.state != ServerState::ready || connection.opened < connection.server.started_at;
}

// Opens a connection for a queued call. If the limit on all server connections is reached, closes the longest
// idle one first; if none is idle, ends the first queued call.
void ConnectionPool::open(ServerPool& server) {
  if (connections_.size() >= config_.server_connections() && !close_longest_idle()) {
    return complete(take_first_queued(server), AttemptOutcome::connect_failed);
  }
  const auto connection = std::make_shared<ServerConnection>(io_, server, budget_);
  connection->list_position = connections_.insert(connections_.end(), connection);
  connection->opened = clock_.now();
  ++server.becoming_ready;
  ++server.connections;
  connection->timer = timers_.set(clock_.now() + config_.connect_timeout, [this, connection] {
    connection->timer.reset();
    fail_open(*connection, AttemptOutcome::connect_failed);
  });
  connection->socket.async_connect(server.endpoint, [this, connection](const asio::error_code& error) {
    connect_completed(connection, error);
  });
}

void ConnectionPool::connect_completed(const ConnectionPtr& connection, const asio::error_code& error) {
  if (connection->state == ServerConnection::State::closed) {
    return;
  }
  if (error) {
    return fail_open(*connection, AttemptOutcome::connect_failed);
  }
  asio::error_code ignored;  // if the server has closed the connection, the read reports it
  connection->socket.set_option(Tcp::no_delay(true), ignored);
  connection->socket.non_blocking(true, ignored);
  connection->out.set(postgres::startup(kUser, kDatabase));
  asio::async_write(connection->socket, connection->out.after(0),
                    [connection](const asio::error_code&, std::size_t) {});  // the read reports a failure
  read(connection);
}

// Closes a connection that did not become ready, and ends the call that has been queued longest, unless
// another connection is becoming ready for it.
void ConnectionPool::fail_open(ServerConnection& connection, AttemptOutcome outcome) {
  ServerPool& server = connection.server;
  close(connection);
  if (server.queue.size() > server.becoming_ready) {
    complete(take_first_queued(server), outcome);
  }
}

// Writes as much of the query as the socket accepts synchronously, so that from then on it is known whether
// its last byte has been sent. With an asynchronous write, a broken connection could be read before the write
// was reported as complete; the query would count as never executed, and a second attempt could execute it
// twice.
void ConnectionPool::send_query(ServerConnection& connection, CallPtr call) {
  const Millis now = clock_.now();
  connection.state = ServerConnection::State::busy;
  call->connection = &connection;
  timers_.cancel(call->timer);
  call->timer = timers_.set(call->deadline, [this, late = call.get()] { call_timed_out(*late); });
  if (call->attempt) {
    connection.out.set(std::move(call->text), call->remaining_span, call->deadline - now);
  } else {
    connection.out.set(postgres::query(kProbeQuery));
  }
  connection.call = std::move(call);
  asio::error_code error;
  const std::size_t count = connection.socket.write_some(connection.out.after(0), error);
  connection.query_sent = count == connection.out.size();
  if (error && error != asio::error::would_block) {
    return handle_disconnect(connection);
  }
  if (!connection.query_sent) {
    return write_rest(connection, count);
  }
  connection.out.clear();
}

void ConnectionPool::write_rest(ServerConnection& connection, std::size_t written) {
  asio::async_write(connection.socket, connection.out.after(written),
                    [this, call = connection.call.get(), shared = *connection.list_position](
                        const asio::error_code& error, std::size_t) {
                      if (shared->call.get() != call) {
                        return;
                      }
                      shared->query_sent = !error;
                      shared->out.clear();
                      if (error) {
                        handle_disconnect(*shared);
                      }
                    });
}

// Waits until the socket is readable. Until then the connection holds no memory but for what it has received
// of a message.
void ConnectionPool::read(const ConnectionPtr& connection) {
  connection->buffer.release_unused();
  connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const asio::error_code& error) {
    if (connection->state == ServerConnection::State::closed) {
      return;
    }
    if (error) {
      return handle_disconnect(*connection);
    }
    read_now(connection);
  });
}

void ConnectionPool::read_now(const ConnectionPtr& connection) {
  const auto free_memory = [this, &connection] { return free_read_memory(*connection); };
  switch (net::receive(connection->socket, connection->buffer, kReadBytes, free_memory)) {
    case net::Received::bytes:
      connection->last_read = clock_.now();
      return handle_messages(connection);
    case net::Received::nothing:
      return read(connection);
    case net::Received::no_memory:
      log_.warn("upstream", "server connection closed",
                {{"server", connection->server.id.address}, {"reason", "read buffer memory exhausted"}});
      return handle_disconnect(*connection);
    case net::Received::failed:
      return handle_disconnect(*connection);
    case net::Received::closed:  // for a connection that replaces the one that was freed
      return;
  }
}

// Frees the read buffer of the connection that has been quiet for the longest time in the middle of a
// message: longer than a server may take to accept a connection. Its call ends as reset. Returns false if
// there is none. Without this, servers that hang in the middle of long responses could use up the memory of
// all others.
bool ConnectionPool::free_read_memory(const ServerConnection& reader) {
  ServerConnection* quiet = nullptr;
  for (const ConnectionPtr& connection : connections_) {
    const bool mid_message = connection.get() != &reader && !connection->buffer.data().empty();
    if (mid_message && (!quiet || connection->last_read < quiet->last_read)) {
      quiet = connection.get();
    }
  }
  if (!quiet || clock_.now() - quiet->last_read <= config_.connect_timeout) {
    return false;
  }
  log_.warn("upstream", "server connection closed",
            {{"server", quiet->server.id.address}, {"reason", "stopped in the middle of a response"}});
  handle_disconnect(*quiet);
  return true;
}

// Handles all complete messages in the buffer.
void ConnectionPool::handle_messages(const ConnectionPtr& connection) {
  for (;;) {
    const postgres::ReadResult next = postgres::read_from_server(connection->buffer.data());
    if (std::holds_alternative<postgres::Partial>(next)) {
      break;
    }
    const auto* message = std::get_if<postgres::Message>(&next);
    if (message) {
      connection->buffer.consume(message->bytes.size());  // its bytes stay valid until the next read
    }
    const bool allowed = message && handle_message(*connection, *message);
    if (connection->state == ServerConnection::State::closed) {
      return;
    }
    if (!allowed) {
      return handle_unreadable(*connection);
    }
  }
  // The rest of a message that arrives on an unused connection may never come, or would be read as part of
  // the next response.
  const bool unused = connection->state == ServerConnection::State::idle ||
                      connection->state == ServerConnection::State::ready;
  if (unused && !connection->buffer.data().empty()) {
    return handle_disconnect(*connection);
  }
  read(connection);
}

// Returns false if the protocol does not allow this message now.
bool ConnectionPool::handle_message(ServerConnection& connection, const postgres::Message& message) {
  using State = ServerConnection::State;
  PendingCall* call = connection.call.get();
  switch (message.type) {
    case 'R':  // AuthenticationOk
    case 'K':  // BackendKeyData
      return connection.state == State::opening;
    case 'N':  // NoticeResponse
      return true;
    case 'S':  // ParameterStatus, which may come at any time
      if (call) {
        call->response.read_parameter(message, clock_.now());
      }
      return true;
    case 'E':
      return handle_error(connection, message);
    case 'T':
      return call && call->response.read_row_description(message);
    case 'D':
      return call && call->response.read_data_row(message, clock_.now(), !call->attempt);
    case 'C':
      return call && call->response.read_command_complete(message);
    case 'Z':
      return handle_ready_for_query(connection, message);
    case 'I':  // EmptyQueryResponse
      return connection.state == State::resetting && !std::exchange(connection.reset_answered, true);
    default:
      return false;
  }
}

// While no call is on the connection, an error says why the server is about to close it. Returns false if the
// error can't be decoded or is not allowed now.
bool ConnectionPool::handle_error(ServerConnection& connection, const postgres::Message& message) {
  const auto fields = postgres::read_error(message.body);
  if (!fields || connection.state == ServerConnection::State::resetting) {
    return false;
  }
  if (connection.call) {
    return connection.call->response.read_error(fields->code);
  }
  connection.startup_error = outcome_of_code(fields->code);
  return true;
}

bool ConnectionPool::handle_ready_for_query(ServerConnection& connection, const postgres::Message& message) {
  using State = ServerConnection::State;
  if (message.body.size() != 1) {
    return false;
  }
  const bool reset_done = connection.state == State::resetting && connection.reset_answered;
  if (connection.state == State::opening || reset_done) {
    became_ready(connection);
    return true;
  }
  if (!connection.call || !connection.query_sent || !connection.call->response.finished()) {
    return false;
  }
  CallPtr done = std::move(connection.call);
  make_idle(connection);
  complete(std::move(done));
  return true;
}

// Sends an empty query before a connection is used again, which costs the server nothing. Its response shows
// that the connection still works and that no more messages of the previous response follow. Without it, a
// late duplicate could be taken for the response to the next request, and requests could be sent on
// connections that the server has dropped silently.
void ConnectionPool::reset(ServerConnection& connection) {
  // An incomplete message in the buffer would be read as part of the response to the empty query.
  if (!connection.buffer.data().empty()) {
    close(connection);
    return;
  }
  remove_from_idle(connection);
  connection.state = ServerConnection::State::resetting;
  ++connection.server.becoming_ready;
  connection.reset_answered = false;
  connection.out.set(postgres::query(""));
  const ConnectionPtr shared = *connection.list_position;
  connection.timer =
      timers_.set(clock_.now() + config_.connect_timeout, [this, shared] { reset_timed_out(shared); });
  asio::async_write(connection.socket, connection.out.after(0),
                    [shared](const asio::error_code&, std::size_t) {});  // the read reports a failure
}

// Handles a server that does not respond to a reset: closes its other idle connections too, since they would
// not respond either.
void ConnectionPool::reset_timed_out(const ConnectionPtr& connection) {
  connection->timer.reset();
  for (ServerConnection* idle : std::vector(connection->server.idle)) {
    close(*idle);
  }
  fail_open(*connection, AttemptOutcome::connect_failed);
}

void ConnectionPool::became_ready(ServerConnection& connection) {
  timers_.cancel(connection.timer);
  connection.state = ServerConnection::State::ready;
  ready_.push_back(*connection.list_position);
}

void ConnectionPool::send_ready() {
  for (const ConnectionPtr& connection : std::exchange(ready_, {})) {
    if (connection->state == ServerConnection::State::ready) {
      send_next(*connection);
    }
  }
}

// Sends the next queued call on a connection that has become ready.
void ConnectionPool::send_next(ServerConnection& connection) {
  ServerPool& server = connection.server;
  --server.becoming_ready;
  drop_unsendable(server);
  if (server.queue.empty() || is_stale(connection)) {
    return make_idle(connection);
  }
  send_query(connection, take_first_queued(server));
}

void ConnectionPool::make_idle(ServerConnection& connection) {
  ServerPool& server = connection.server;
  connection.state = ServerConnection::State::idle;
  connection.idle_since = clock_.now();
  server.idle.push_back(&connection);
  connection.idle_position = idle_.insert(idle_.end(), &connection);
  if (is_stale(connection) || (server.connections > open_limit_ && server.queue.empty())) {
    close(connection);
  }
  dispatch(server);
}

// Handles a connection that the server has closed or that can't be read any more.
void ConnectionPool::handle_disconnect(ServerConnection& connection) {
  if (connection.state == ServerConnection::State::opening) {
    const bool overloaded = connection.startup_error == AttemptOutcome::rejected_overloaded;
    return fail_open(connection,
                     overloaded ? AttemptOutcome::rejected_overloaded : AttemptOutcome::connect_failed);
  }
  const bool query_sent = connection.query_sent;
  ServerPool& server = connection.server;
  CallPtr call = close(connection);
  if (!call) {
    return dispatch(server);
  }
  if (call->response.finished()) {
    return complete(std::move(call));
  }
  complete(std::move(call), query_sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed);
}

// Handles data from the server that can't be decoded, or a message that is not allowed at that point: closes
// the connection. The query may have been executed, and the server is up; the call counts as failed, and
// nothing else of its response is used.
void ConnectionPool::handle_unreadable(ServerConnection& connection) {
  log_.warn("upstream", "server response unreadable", {{"server", connection.server.id.address}});
  if (!connection.call || !connection.query_sent) {
    return handle_disconnect(connection);
  }
  CallPtr call = close(connection);
  call->response.mark_unreadable();
  complete(std::move(call), AttemptOutcome::failed);
}

}  // namespace reedspindle::upstream
