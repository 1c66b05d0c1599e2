// The part of ClientConnections that accepts connections, limits their number, and drains them.
#include "proxy/client_connections.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy/client_connection.hpp"

namespace reedspindle::proxy {
namespace {
using Tcp = asio::ip::tcp;
// Read buffers and pending replies of client connections may each use one part in kMemoryDivisor of the
// memory.
constexpr std::size_t kMemoryDivisor = 8;
// From the protocol, in milliseconds after SIGTERM: new connections arrive until the first time, and a
// request that arrives before the second time still gets its full remaining time.
constexpr Millis kAcceptAfterDrain = 400;
constexpr Millis kServeAfterDrain = 700;
// The delay after which accepting is tried again if no descriptor was free, in milliseconds: many round
// trips.
constexpr Millis kAcceptRetry = 20;
// A connection that has been idle for longer may be closed for a new one, in milliseconds (from the
// protocol).
constexpr Millis kIdleTime = 2000;
// The same while clients have more than their usual number of connections.
constexpr Millis kIdleTimeWhenCrowded = 100;
// The interval between checks of all connections, in milliseconds: half the time after which a client that
// has closed its connection counts as gone.
constexpr Millis kCheckInterval = 50;
// With more connections than this part of the descriptors, idle connections are closed; with more than the
// second part, they are closed after the shorter idle time.
constexpr std::size_t kManyConnectionsDivisor = 6;
constexpr std::size_t kCrowdedDivisor = 4;
}  // namespace

ClientConnections::ClientConnections(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                                     logging::Log& log, const config::InstanceConfig& config,
                                     RequestOwner& owner)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      config_(config),
      owner_(owner),
      acceptor_(io),
      budget_(config.memory_bytes / kMemoryDivisor),
      reply_budget_(config.memory_bytes / kMemoryDivisor) {}

void ClientConnections::listen() {
  acceptor_.open(config_.listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(config_.listen);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accept();
  check_connections();
}

// Runs periodically. If the clients use more than a sixth of the descriptors, which is half of their
// capacity, closes connections that have been idle for kIdleTime, the longest idle first; above a quarter,
// after kIdleTimeWhenCrowded. Also closes connections that are not being read and whose client has hung up.
// Ordinary clients are limited to their quota of connections; without this check, clients that send one
// request and stay connected would keep theirs, since idle connections are otherwise closed only for a new
// one.
void ClientConnections::check_connections() {
  const std::size_t many = config_.max_descriptors / kManyConnectionsDivisor;
  std::vector<ConnectionPtr> idle;
  std::vector<ConnectionPtr> gone;
  const Millis idle_before =
      clock_.now() -
      (active_connections() > config_.max_descriptors / kCrowdedDivisor ? kIdleTimeWhenCrowded : kIdleTime);
  for (const ConnectionPtr& connection : connections_) {
    const bool may_be_ended = active_connections() > many && connection->last_activity < idle_before &&
                              connection->accepts_commands();
    if (may_be_ended && end_action(EndReason::idle_limit, activity_of(*connection)) == EndAction::close) {
      idle.push_back(connection);
    }
    const bool not_read = !connection->reading && connection->state != ClientConnection::State::lingering;
    if (not_read && has_hung_up(*connection)) {
      gone.push_back(connection);
    } else {
      check_presence(*connection);
    }
  }
  std::ranges::sort(idle, {}, [](const ConnectionPtr& connection) { return connection->last_activity; });
  for (const ConnectionPtr& connection : idle) {
    if (active_connections() > many) {
      begin_close(*connection);
    }
  }
  for (const ConnectionPtr& connection : gone) {
    handle_disconnect(*connection);
  }
  limit_lingering();
  check_timer_ = timers_.set(clock_.now() + kCheckInterval, [this] { check_connections(); });
}

// Returns what is owed on a connection that accepts commands.
Activity ClientConnections::activity_of(ClientConnection& connection) {
  if (connection.writing || !connection.replies.empty()) {
    return Activity::owing;
  }
  asio::error_code error;
  if (connection.socket.available(error) > 0) {
    return Activity::unread;
  }
  if (!connection.buffer.data().empty()) {
    return Activity::command_begun;
  }
  if (connection.state == ClientConnection::State::starting) {
    return Activity::connecting;
  }
  return connection.commands == 0 ? Activity::unused : Activity::resting;
}

void ClientConnections::set_ready() {
  if (std::exchange(ready_, true)) {
    return;
  }
  for (const ConnectionPtr& connection : std::list(connections_)) {
    connection->replies.complete_readiness(postgres::empty_query_response());
    flush(*connection);
  }
}

void ClientConnections::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, Tcp::socket socket) {
    if (!error) {
      add_connection(std::move(socket));  // even if a drain has stopped listening meanwhile
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (!error) {
      return accept();
    }
    log_.warn("clients", "accept failed", {{"error", error.message()}});
    accept_timer_ = timers_.set(clock_.now() + kAcceptRetry, [this] {
      accept_timer_.reset();
      accept();
    });
  });
}

void ClientConnections::add_connection(Tcp::socket socket) {
  asio::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<ClientConnection>(std::move(socket), budget_, reply_budget_);
  connection->last_activity = clock_.now();
  const bool has_capacity = active_connections() < config_.client_connections() || free_capacity();
  connection->list_position = connections_.insert(connections_.end(), connection);
  if (!has_capacity) {
    log_.warn("clients", "client connection rejected", {{"reason", "limit on client connections reached"}});
    close_with_error(*connection, "53300", "too many connections");
  } else {
    update_deadline(*connection);
    read(connection);
  }
  limit_lingering();
}

// Closes lingering connections beyond their own limit, the oldest connection first, since its client has had
// the most time to read. Once no more connections are accepted, their descriptors are not needed for others.
void ClientConnections::limit_lingering() {
  if (accept_stopped_) {
    return;
  }
  while (lingering_ > config_.closing_client_connections()) {
    close(**std::ranges::find(connections_, ClientConnection::State::lingering, &ClientConnection::state_of));
  }
}

// Closes one connection to make room for a new one: one that has never sent a command, or else the one that
// has been idle for the longest time. Returns false if there is none. Without this, clients that connect and
// send nothing could keep ordinary clients out.
bool ClientConnections::free_capacity() {
  ClientConnection* silent = nullptr;
  ClientConnection* idle = nullptr;
  for (const ConnectionPtr& connection : connections_) {
    if (!connection->accepts_commands()) {
      continue;
    }
    const EndAction action = end_action(EndReason::capacity, activity_of(*connection));
    if (action == EndAction::close_with_error && !silent) {
      silent = connection.get();
    }
    if (action == EndAction::close && (!idle || connection->last_activity < idle->last_activity)) {
      idle = connection.get();
    }
  }
  if (silent) {
    close_with_error(*silent, "53300", "too many connections");
  } else if (idle && clock_.now() - idle->last_activity > kIdleTime) {
    begin_close(*idle);
  } else {
    return false;
  }
  return true;
}

// Frees the read buffer of one client that has stopped in the middle of a message: of the one that has been
// quiet for the longest time, over kIdleTime. Its connection is closed with an error; nothing that it has
// sent completely is unanswered. Returns false if there is none. Without this, clients that stop in the
// middle of long messages could use up the memory of all others.
bool ClientConnections::free_read_memory() {
  ClientConnection* quiet = nullptr;
  for (const ConnectionPtr& connection : connections_) {
    const bool holds_part = connection->accepts_commands() && !connection->buffer.data().empty();
    if (holds_part && end_action(EndReason::memory_for_others, activity_of(*connection)) != EndAction::keep &&
        (!quiet || connection->last_activity < quiet->last_activity)) {
      quiet = connection.get();
    }
  }
  if (!quiet || clock_.now() - quiet->last_activity <= kIdleTime) {
    return false;
  }
  log_.warn("clients", "client connection closed", {{"reason", "stopped in the middle of a message"}});
  close_with_error(*quiet, "57P05", "no whole command in time");
  return true;
}

// Abandons the open requests of a connection that the client has closed, and closes it.
void ClientConnections::handle_disconnect(ClientConnection& connection) {
  for (const RequestId request : connection.replies.open_requests()) {
    take_request(request);
    owner_.request_abandoned(request);
  }
  close(connection);
}

// Sockets are closed, and connections removed, nowhere else.
void ClientConnections::close(ClientConnection& connection) {
  if (connection.state == ClientConnection::State::closed) {
    return;
  }
  if (connection.state == ClientConnection::State::lingering) {
    --lingering_;
  }
  connection.state = ClientConnection::State::closed;
  if (connection.cancel_key) {
    cancel_keys_.erase(*connection.cancel_key);
  }
  timers_.cancel(connection.deadline);
  asio::error_code ignored;
  connection.socket.close(ignored);
  const ConnectionPtr last = *connection.list_position;  // the connection stays valid until this returns
  connections_.erase(connection.list_position);
}

void ClientConnections::start_draining() {
  if (std::exchange(draining_, true)) {
    return;
  }
  // Halfway between the two times, so that the last connections are accepted and their requests served.
  drain_timer_ =
      timers_.set(clock_.now() + (kAcceptAfterDrain + kServeAfterDrain) / 2, [this] { stop_accepting(); });
}

void ClientConnections::stop_accepting() {
  accept_stopped_ = true;
  asio::error_code error;
  while (acceptor_.is_open() && !error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      add_connection(std::move(socket));
    }
  }
  acceptor_.close(error);
  for (const ConnectionPtr& connection : std::list(connections_)) {
    handle_commands(*connection);
  }
  drain_timer_ = timers_.set(clock_.now() + (kServeAfterDrain - kAcceptAfterDrain) / 2,
                             [this] { reject_new_requests(); });
}

// Rejects new requests from now on, and closes connections that have sent no startup message: if they had had
// a query on its way when accepting stopped, it would have arrived by now. Rejecting is necessary for clients
// that send one command right after the other: their connections would never be idle, and would never be
// closed.
void ClientConnections::reject_new_requests() {
  drain_timer_.reset();
  rejecting_ = true;
  for (const ConnectionPtr& connection : std::list(connections_)) {
    connection->replies.complete_readiness(postgres::error_reply(stopping_fault()));
    flush(*connection);
    handle_commands(*connection);
  }
}

void ClientConnections::stop() {
  timers_.cancel(accept_timer_);
  timers_.cancel(check_timer_);
  timers_.cancel(drain_timer_);
  asio::error_code ignored;
  acceptor_.close(ignored);
  while (!connections_.empty()) {
    handle_disconnect(*connections_.front());
  }
}

}  // namespace reedspindle::proxy
