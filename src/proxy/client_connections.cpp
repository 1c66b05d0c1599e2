// The part of ClientConnections that accepts connections, bounds their number, and drains them.
#include <algorithm>
#include <utility>
#include <vector>

#include "proxy/client_connection.hpp"
#include "proxy/client_connections.hpp"

namespace reedspindle::proxy {
namespace {
using Tcp = asio::ip::tcp;
// The part of the memory that client connections may use for what they read, and for pending replies.
constexpr std::size_t kMemoryDivisor = 8;
// The protocol's figures: new connections come for at most so long after SIGTERM, and a request that came up
// to so long after it has its full time.
constexpr Millis kAcceptAfterDrain = 400;
constexpr Millis kServeAfterDrain = 700;
// How soon to try again where no descriptor was free for a connection: many round trips.
constexpr Millis kAcceptRetry = 20;
// From when on an idle connection may be closed for another (the protocol's figure).
constexpr Millis kIdleTime = 2000;
// The same while clients hold more than their usual number of connections.
constexpr Millis kIdleTimeWhenCrowded = 100;
// How often connections are checked: half the time after which a client that has closed its connection counts
// as gone.
constexpr Millis kCheckInterval = 50;
// Above these parts of the descriptors idle connections are closed, and closed after a shorter time.
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

// Runs periodically. Above a sixth of the descriptors, which is half of the clients' capacity, connections
// that have been idle for long are closed, the longest first; above a quarter, the idle time is short.
// Connections that are not being read are closed where the client has hung up. Guards usual clients, who may
// hold no more than their quota, against those that send one request and stay connected: no new connection
// comes then, for which an idle one would have to be closed.
void ClientConnections::check_connections() {
  const std::size_t many = config_.max_descriptors / kManyConnectionsDivisor;
  std::vector<ConnectionPtr> idle;
  std::vector<ConnectionPtr> gone;
  const Millis idle_before =
      clock_.now() -
      (active_connections() > config_.max_descriptors / kCrowdedDivisor ? kIdleTimeWhenCrowded : kIdleTime);
  for (const ConnectionPtr& connection : connections_) {
    const bool is_idle = connection->command_seen && connection->last_activity < idle_before;
    if (active_connections() > many && is_idle && is_evictable(*connection)) {
      idle.push_back(connection);
    }
    const bool not_read = !connection->reading && connection->state != ClientConnection::State::lingering;
    if (not_read && has_hung_up(*connection)) {
      gone.push_back(connection);
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

// Nothing is pending on it in either direction, also not in the kernel.
bool ClientConnections::is_evictable(ClientConnection& connection) {
  asio::error_code fault;
  return connection.accepts_commands() && !connection.writing && connection.replies.empty() &&
         connection.socket.available(fault) == 0;
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
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (!fault) {
      add_connection(std::move(socket));  // also one that came just before a drain stopped listening
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (!fault) {
      return accept();
    }
    log_.warn("clients", "no connection can be taken", {{"why", fault.message()}});
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
  connection->place = connections_.insert(connections_.end(), connection);
  if (!has_capacity) {
    log_.warn("clients", "connection turned away", {{"why", "the clients' share of descriptors"}});
    close_with_error(*connection, "53300", "too many connections");
  } else {
    update_deadline(*connection);
    read(connection);
  }
  limit_lingering();
}

// Lingering connections have a quota of their own; the first of them has had the most time to read. Once no
// more connections are accepted, their descriptors are not needed.
void ClientConnections::limit_lingering() {
  if (accept_stopped_) {
    return;
  }
  while (lingering_ > config_.closing_client_connections()) {
    close(**std::ranges::find(connections_, ClientConnection::State::lingering, &ClientConnection::state_of));
  }
}

// Closes one connection for a new one: one that has never sent anything, else the one that has been idle or
// in mid-message longest. False: there is none. Guards usual clients against those that connect and send
// nothing.
bool ClientConnections::free_capacity() {
  ClientConnection* silent = nullptr;
  ClientConnection* idle = nullptr;
  for (const ConnectionPtr& connection : connections_) {
    if (!is_evictable(*connection)) {
      continue;
    }
    if (!connection->command_seen && connection->buffer.data().empty()) {
      if (!silent) {
        silent = connection.get();
      }
    } else if (!idle || connection->last_activity < idle->last_activity) {
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

// The client has closed the connection.
void ClientConnections::handle_disconnect(ClientConnection& connection) {
  for (const RequestId request : connection.replies.open_requests()) {
    requests_.erase(request);
    owner_.request_abandoned(request);
  }
  close(connection);
}

// The only place that closes sockets and removes connections.
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
  const ConnectionPtr last = *connection.place;
  connections_.erase(connection.place);
}

void ClientConnections::start_draining() {
  if (std::exchange(draining_, true)) {
    return;
  }
  // Between the two times, so that what comes last is both accepted and served.
  drain_timer_ =
      timers_.set(clock_.now() + (kAcceptAfterDrain + kServeAfterDrain) / 2, [this] { stop_accepting(); });
}

void ClientConnections::stop_accepting() {
  accept_stopped_ = true;
  asio::error_code fault;
  while (acceptor_.is_open() && !fault) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, fault);
    if (!fault) {
      add_connection(std::move(socket));
    }
  }
  acceptor_.close(fault);
  for (const ConnectionPtr& connection : std::list(connections_)) {
    handle_commands(*connection);
  }
  drain_timer_ = timers_.set(clock_.now() + (kServeAfterDrain - kAcceptAfterDrain) / 2,
                             [this] { reject_new_requests(); });
}

// A connection that was new when accepting stopped may have had a query on its way; one that is still silent
// has none. Guards against clients that send one command right after the other: their connections would never
// be between commands.
void ClientConnections::reject_new_requests() {
  drain_timer_.reset();
  rejecting_ = true;
  for (const ConnectionPtr& connection : std::list(connections_)) {
    if (connection->state == ClientConnection::State::starting || !ready_) {
      begin_close(*connection);
    } else {
      handle_commands(*connection);
    }
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
