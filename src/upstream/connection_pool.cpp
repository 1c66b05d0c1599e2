// The part of ConnectionPool that queues attempts and probes and limits the number of connections.
#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "upstream/server_connection.hpp"

namespace reedspindle::upstream {
namespace {
// Read buffers of server connections may use one part in kBufferDivisor of the memory, and the rows of
// responses, until their clients have them, one part in kResponseDivisor.
constexpr std::size_t kBufferDivisor = 8;
constexpr std::size_t kResponseDivisor = 16;
// Servers close a connection that has been idle for the configured time. The pool closes it a tenth of that
// time earlier, so that no attempt is sent on a connection that the server is closing. It checks twice within
// that tenth, so that no connection is missed.
constexpr double kIdleMarginDivisor = 10;
constexpr double kIdleChecksPerMargin = 2;
}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                               logging::Log& log, const config::InstanceConfig& config, MaySend may_send,
                               AttemptDone attempt_done, ProbeDone probe_done)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      config_(config),
      may_send_(std::move(may_send)),
      attempt_done_(std::move(attempt_done)),
      probe_done_(std::move(probe_done)),
      budget_(config.memory_bytes / kBufferDivisor),
      response_budget_(config.memory_bytes / kResponseDivisor) {
  close_expired_idle();
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::apply_endpoint_list(const net::EndpointList& list) {
  if (list.kind == EndpointListKind::failed) {
    return;
  }
  std::vector<ServerPool*> changed;
  if (list.kind == EndpointListKind::complete) {
    for (auto& [id, server] : servers_) {
      server->state = ServerState::gone;
      changed.push_back(server.get());
    }
  }
  for (const net::ListedEndpoint& listed : list.servers) {
    auto& server = servers_[listed.entry.id];
    if (!server) {
      server = std::make_unique<ServerPool>();
    }
    server->id = listed.entry.id;
    if (std::exchange(server->endpoint, listed.endpoint) != listed.endpoint) {
      server->started_at = clock_.now();
    }
    server->state = listed.entry.state;
    server->started_at = std::max(server->started_at, listed.entry.started_at);
    changed.push_back(server.get());
  }
  for (ServerPool* server : changed) {
    log_state(*server, list);
    for (ServerConnection* connection : std::vector(server->idle)) {
      if (is_stale(*connection)) {
        close(*connection);
      }
    }
    // An attempt counts as sent from its first byte on. No byte of a queued attempt has been written.
    if (server->state != ServerState::ready) {
      while (!server->queue.empty()) {
        complete(take_first_queued(*server), AttemptOutcome::not_sent);
      }
    }
  }
}

// Logs which list says that no more requests may be sent to a server, and how many queued attempts end by it.
void ConnectionPool::log_state(ServerPool& server, const net::EndpointList& list) {
  if (std::exchange(server.logged_state, server.state) == server.state ||
      server.state == ServerState::ready) {
    return;
  }
  log_.info("server_state", "server receives no more requests",
            {{"server", server.id.address},
             {"state", server.state == ServerState::gone ? "gone" : "draining"},
             {"revision", list.partial_revision.value_or(list.revision)},
             {"queued_attempts_ended", server.queue.size()}});
}

void ConnectionPool::start_attempt(RequestId request, const StartAttempt& decision, Millis decided,
                                   AttemptNumber number, std::shared_ptr<const net::ChargedText> text,
                                   postgres::TextSpan remaining) {
  auto call = std::make_unique<PendingCall>(response_budget_);
  call->attempt = {request, number};
  call->text = std::move(text);
  call->remaining_span = remaining;
  attempts_[{request, number}] = call.get();
  enqueue(*servers_.at(decision.server), std::move(call), decided, decision.timeout, decision.start_within);
}

void ConnectionPool::probe(const ServerId& server, Millis timeout) {
  enqueue(*servers_.at(server), std::make_unique<PendingCall>(response_budget_), clock_.now(), timeout);
}

void ConnectionPool::cancel_attempt(RequestId request, AttemptNumber number) {
  const auto found = attempts_.find({request, number});
  if (found == attempts_.end()) {
    return;
  }
  PendingCall& call = *found->second;
  if (call.connection) {
    return complete(close(*call.connection), AttemptOutcome::cancelled);
  }
  complete(take_queued(call), AttemptOutcome::not_sent);
}

void ConnectionPool::forget(RequestId request) {
  std::vector<PendingCall*> queued;
  for (auto at = attempts_.lower_bound({request, {}}); at != attempts_.end() && at->first.first == request;
       ++at) {
    if (!at->second->connection) {
      queued.push_back(at->second);
    }
  }
  for (PendingCall* call : queued) {
    complete(take_queued(*call), AttemptOutcome::not_sent);
  }
}

// Servers are removed nowhere else.
void ConnectionPool::forget(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  if (found->second->connections > 0) {
    for (const ConnectionPtr& connection : std::list(connections_)) {
      if (&connection->server == found->second.get()) {
        close(*connection);
      }
    }
  }
  servers_.erase(found);
}

void ConnectionPool::enqueue(ServerPool& server, CallPtr call, Millis started, Millis timeout,
                             std::optional<Millis> start_within) {
  call->server = &server;
  call->started = started;
  call->deadline = started + timeout;
  call->start_by = started + std::min(timeout, start_within.value_or(timeout));
  call->timer = timers_.set(call->start_by, [this, late = call.get()] { call_timed_out(*late); });
  server.queue.push_back(std::move(call));
  dispatch(server);
}

// Gets a connection ready for each queued call: resets idle connections first, then opens new ones up to the
// limit.
void ConnectionPool::dispatch(ServerPool& server) {
  while (server.becoming_ready < server.queue.size() && !server.idle.empty()) {
    reset(*server.idle.back());
  }
  while (server.becoming_ready < server.queue.size() && server.connections < open_limit_) {
    open(server);
  }
  record_need(server);
}

// Counts the connections in use, and one more for each queued call that no connection is becoming ready for.
// Idle connections are not needed.
void ConnectionPool::record_need(const ServerPool& server) {
  const std::size_t unserved =
      server.queue.size() > server.becoming_ready ? server.queue.size() - server.becoming_ready : 0;
  need_ = std::max(need_, server.connections - server.idle.size() + unserved);
}

void ConnectionPool::set_connection_limits(std::size_t open, std::size_t hold) {
  open_limit_ = open;
  hold_limit_ = hold;
  for (auto& [id, server] : servers_) {
    close_surplus(*server);
    dispatch(*server);
  }
}

// Closes idle connections while there are more than `open_limit_`, and the newest connections in any state
// while there are more than `hold_limit_`.
void ConnectionPool::close_surplus(ServerPool& server) {
  while (server.connections > open_limit_ && !server.idle.empty()) {
    close(*server.idle.front());
  }
  while (server.connections > hold_limit_) {
    const auto newest =
        std::ranges::find_if(connections_.rbegin(), connections_.rend(),
                             [&](const ConnectionPtr& one) { return &one->server == &server; });
    ServerConnection& connection = **newest;
    const AttemptOutcome outcome =
        connection.query_sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed;
    if (CallPtr call = close(connection)) {
      complete(std::move(call), outcome);
    }
  }
}

void ConnectionPool::call_timed_out(PendingCall& call) {
  if (call.connection) {
    return complete(close(*call.connection), AttemptOutcome::timed_out);
  }
  complete(take_queued(call), AttemptOutcome::not_sent);
}

// Ends the queued calls, up to the first that may be sent, that may not be sent any more: they have waited
// for a connection since they were decided.
void ConnectionPool::drop_unsendable(ServerPool& server) {
  while (!server.queue.empty() && !is_sendable(*server.queue.front())) {
    complete(take_first_queued(server), AttemptOutcome::not_sent);
  }
}

// The start-by time is tested here because the call's timer may not have run yet: after a slow connect, or
// after the process was suspended, the event loop may handle connections before timers.
bool ConnectionPool::is_sendable(const PendingCall& call) const {
  if (call.start_by < clock_.now()) {
    return false;
  }
  return !call.attempt || may_send_(call.attempt->first, call.attempt->second);
}

ConnectionPool::CallPtr ConnectionPool::take_first_queued(ServerPool& server) {
  CallPtr first = std::move(server.queue.front());
  server.queue.pop_front();
  return first;
}

ConnectionPool::CallPtr ConnectionPool::take_queued(PendingCall& call) {
  auto& queue = call.server->queue;
  const auto at = std::ranges::find(queue, &call, [](const auto& owned) { return owned.get(); });
  CallPtr taken = std::move(*at);
  queue.erase(at);
  return taken;
}

// The response decides the outcome: a complete response is valid even if the connection broke right after it.
void ConnectionPool::complete(CallPtr call) {
  const AttemptOutcome outcome = call->response.outcome();
  complete(std::move(call), outcome);
}

// Calls are ended, and their timers cancelled, nowhere else.
void ConnectionPool::complete(CallPtr call, AttemptOutcome outcome) {
  timers_.cancel(call->timer);
  const Millis duration = clock_.now() - call->started;
  if (!call->attempt) {
    const bool answered = outcome == AttemptOutcome::acknowledged || call->response.unreadable();
    return probe_done_(
        {call->server->id, answered, duration, call->response.report(), call->response.sample()});
  }
  attempts_.erase(*call->attempt);
  AttemptCompleted completed{
      call->attempt->first,    call->attempt->second,  call->server->id, outcome, duration, false,
      call->response.sample(), call->response.report()};
  attempt_done_(std::move(completed), call->response.take_row());
}

// Connections are closed nowhere else. Returns the call that was on the connection, if any; the caller has to
// complete it.
ConnectionPool::CallPtr ConnectionPool::close(ServerConnection& connection) {
  using State = ServerConnection::State;
  ServerPool& server = connection.server;
  if (connection.state == State::opening || connection.state == State::resetting ||
      connection.state == State::ready) {
    --server.becoming_ready;
  }
  if (connection.state == State::idle) {
    remove_from_idle(connection);
  }
  connection.state = State::closed;
  timers_.cancel(connection.timer);
  asio::error_code ignored;
  connection.socket.close(ignored);
  CallPtr call = std::move(connection.call);
  const ConnectionPtr last = *connection.list_position;  // the connection stays valid until this returns
  connections_.erase(connection.list_position);
  --server.connections;
  // If the limit has kept calls queued, a connection can be opened for one of them now.
  const bool limited = open_limit_ != kUnlimited && server.connections < open_limit_;
  if (limited && server.queue.size() > server.becoming_ready) {
    asio::post(io_, [this, id = server.id] {
      if (const auto found = servers_.find(id); found != servers_.end()) {
        dispatch(*found->second);
      }
    });
  }
  return call;
}

void ConnectionPool::remove_from_idle(ServerConnection& connection) {
  std::erase(connection.server.idle, &connection);
  idle_.erase(connection.idle_position);
}

// Returns false if no connection is idle.
bool ConnectionPool::close_longest_idle() {
  if (idle_.empty()) {
    return false;
  }
  close(*idle_.front());
  return true;
}

void ConnectionPool::close_expired_idle() {
  const Millis margin = config_.connection_idle / kIdleMarginDivisor;
  const Millis expired = clock_.now() - config_.connection_idle + 1.5 * margin;
  while (!idle_.empty() && idle_.front()->idle_since < expired) {
    close(*idle_.front());
  }
  idle_timer_ = timers_.set(clock_.now() + margin / kIdleChecksPerMargin, [this] { close_expired_idle(); });
}

void ConnectionPool::stop() {
  timers_.cancel(idle_timer_);
  while (!connections_.empty()) {
    close(*connections_.front());
  }
}

}  // namespace reedspindle::upstream
