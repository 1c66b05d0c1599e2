// The pool's part that opens connections, sends queries, reads responses, and resets connections for reuse.
#include <utility>
#include <variant>
#include <vector>

#include "upstream/connection_pool.hpp"
#include "upstream/server_connection.hpp"

namespace reedspindle::upstream {
namespace {
using Tcp = asio::ip::tcp;
constexpr std::size_t kReadBytes = 4096;  // the least that one read has space for
constexpr const char* kUser = "svc";
constexpr const char* kDatabase = "main";
constexpr const char* kProbeQuery = "SHOW vitals";
}  // namespace

// A connection that is older than the server's last start or its endpoint can only end as a reset.
bool ConnectionPool::is_stale(const ServerConnection& connection) {
  return connection.server.state != ServerState::ready || connection.opened < connection.server.started_at;
}

// Opens a connection for a queued call. Where all descriptors are used, the longest idle one is closed first.
void ConnectionPool::open(ServerPool& server) {
  if (connections_.size() >= config_.server_connections() && !close_longest_idle()) {
    return complete(take_first_queued(server), AttemptOutcome::connect_failed);
  }
  const auto connection = std::make_shared<ServerConnection>(io_, server, budget_);
  connection->place = connections_.insert(connections_.end(), connection);
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
  asio::error_code ignored;  // a server that is gone again is noticed by the read
  connection->socket.set_option(Tcp::no_delay(true), ignored);
  connection->socket.non_blocking(true, ignored);
  connection->out = postgres::startup(kUser, kDatabase);
  asio::async_write(connection->socket, asio::buffer(connection->out),
                    [](const asio::error_code&, std::size_t) {});  // the read notices a failure
  read(connection);
}

// Closes a connection that did not become ready, and ends the call queued longest unless another connection
// is becoming ready for it.
void ConnectionPool::fail_open(ServerConnection& connection, AttemptOutcome outcome) {
  ServerPool& server = connection.server;
  close(connection);
  if (server.queue.size() > server.becoming_ready) {
    complete(take_first_queued(server), outcome);
  }
}

// Writes the query at once as far as the system takes it, so that at every later moment it is known whether
// its last byte has been sent. Guards against taking a query for one that never ran because the failure of
// its connection was read before the end of the write was reported: a second attempt would have its effect
// twice.
void ConnectionPool::send_query(ServerConnection& connection, CallPtr call) {
  const Millis now = clock_.now();
  connection.state = ServerConnection::State::busy;
  call->connection = &connection;
  timers_.cancel(call->timer);
  call->timer = timers_.set(call->deadline, [this, late = call.get()] { call_timed_out(*late); });
  connection.out = postgres::query(
      call->attempt ? postgres::with_remaining_time(*call->text, call->remaining_span, call->deadline - now)
                    : kProbeQuery);
  connection.call = std::move(call);
  asio::error_code error;
  const std::size_t count = connection.socket.write_some(asio::buffer(connection.out), error);
  connection.query_sent = count == connection.out.size();
  if (error && error != asio::error::would_block) {
    return handle_disconnect(connection);
  }
  if (!connection.query_sent) {
    write_rest(connection, count);
  }
}

void ConnectionPool::write_rest(ServerConnection& connection, std::size_t written) {
  asio::async_write(connection.socket, asio::buffer(connection.out) + written,
                    [this, call = connection.call.get(), held = *connection.place](
                        const asio::error_code& error, std::size_t) {
                      if (held->call.get() != call) {
                        return;
                      }
                      held->query_sent = !error;
                      if (error) {
                        handle_disconnect(*held);
                      }
                    });
}

void ConnectionPool::read(const ConnectionPtr& connection) {
  const auto space = connection->buffer.prepare(kReadBytes);
  if (space.empty()) {
    log_.warn("stores", "connection ended",
              {{"member", connection->server.id.address}, {"why", "stores make us hold too much"}});
    return handle_disconnect(*connection);
  }
  connection->socket.async_read_some(asio::buffer(space.data(), space.size()),
                                     [this, connection](const asio::error_code& error, std::size_t count) {
                                       read_completed(connection, error, count);
                                     });
}

// Handles the messages that have come, also where an error came with them.
void ConnectionPool::read_completed(const ConnectionPtr& connection, const asio::error_code& error,
                                    std::size_t count) {
  if (connection->state == ServerConnection::State::closed) {
    return;
  }
  connection->buffer.commit(count);
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
  if (error) {
    return handle_disconnect(*connection);
  }
  read(connection);
}

// False: the server may not send this message now.
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

// An idle server says by an error why it is about to close the connection.
bool ConnectionPool::handle_error(ServerConnection& connection, const postgres::Message& message) {
  const auto fields = postgres::read_error(message.body);
  if (!fields || connection.state == ServerConnection::State::resetting) {
    return false;
  }
  if (connection.call) {
    return connection.call->response.read_error(fields->code);
  }
  connection.startup_error = fields->code;
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

// Sends an empty query before a connection is used again, which costs the server nothing: its answer shows
// that the connection still works and that nothing more comes of the response before.
// Guards against a late duplicate being taken for the next request's response, and requests against
// connections that the server has dropped silently.
void ConnectionPool::reset(ServerConnection& connection) {
  // Half a message that was left there would be read as part of the answer.
  if (!connection.buffer.data().empty()) {
    close(connection);
    return;
  }
  remove_from_idle(connection);
  connection.state = ServerConnection::State::resetting;
  ++connection.server.becoming_ready;
  connection.reset_answered = false;
  connection.out = postgres::query("");
  const ConnectionPtr held = *connection.place;
  connection.timer =
      timers_.set(clock_.now() + config_.connect_timeout, [this, held] { reset_timed_out(held); });
  asio::async_write(connection.socket, asio::buffer(connection.out),
                    [held](const asio::error_code&, std::size_t) {});  // the read notices a failure
}

// The server does not answer: its other idle connections would not, either.
void ConnectionPool::reset_timed_out(const ConnectionPtr& connection) {
  connection->timer.reset();
  for (ServerConnection* idle : std::vector(connection->server.idle)) {
    close(*idle);
  }
  fail_open(*connection, AttemptOutcome::connect_failed);
}

// The connection is open or reset: it takes the next queued call.
void ConnectionPool::became_ready(ServerConnection& connection) {
  ServerPool& server = connection.server;
  --server.becoming_ready;
  timers_.cancel(connection.timer);
  drop_overdue(server);
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
  connection.idle_place = idle_.insert(idle_.end(), &connection);
  if (is_stale(connection) || (server.connections > open_limit_ && server.queue.empty())) {
    close(connection);
  }
  dispatch(server);
}

// The server has ended the connection, or nothing more can be read on it.
void ConnectionPool::handle_disconnect(ServerConnection& connection) {
  if (connection.state == ServerConnection::State::opening) {
    const bool overloaded = connection.startup_error &&
                            outcome_of_code(*connection.startup_error) == AttemptOutcome::rejected_overloaded;
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

// The server sent something that can't be read or is not allowed there. The query may have run, and the
// server is up: the call counts as failed, and nothing else of its response is used. The connection is
// closed.
void ConnectionPool::handle_unreadable(ServerConnection& connection) {
  log_.warn("stores", "answer unreadable", {{"member", connection.server.id.address}});
  if (!connection.call || !connection.query_sent) {
    return handle_disconnect(connection);
  }
  CallPtr call = close(connection);
  call->response.mark_unreadable();
  complete(std::move(call), AttemptOutcome::failed);
}

}  // namespace reedspindle::upstream
