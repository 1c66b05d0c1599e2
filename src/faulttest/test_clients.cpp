#include "faulttest/test_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "core/random.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::faulttest {

namespace postgres = postgres;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxConnectionsPerSession = 16;  // further ops count as unsent
constexpr Millis kReturnHomeAfter = 5000;              // after a failover a session returns to its home front
constexpr Millis kTimeoutMargin = 500;                 // after the op timeout a client closes the connection
// A close this soon after an op arrived is taken as a race with it, and the op is sent again.
constexpr Millis kCloseRace = 50;
constexpr std::size_t kMaxTallies = 36000;  // one hour

}  // namespace

const char* outcome_name(OpOutcome outcome) {
  constexpr const char* words[] = {"in time", "late", "busy replied", "errored", "unanswered", "unsent"};
  return words[static_cast<int>(outcome)];
}

int Tally::ops() const {
  int sum = 0;
  for (const auto& [outcome, count] : outcomes) {
    sum += count;
  }
  return sum;
}

double Tally::share(OpOutcome outcome) const {
  const auto found = outcomes.find(outcome);
  return found == outcomes.end() ? 0 : static_cast<double>(found->second) / std::max(1, ops());
}

struct TestClients::Session {
  int number = 0, home = 0, front = 0;
  Millis failed_over_at = 0, token = 0;  // token: position of the session's last commit
  std::vector<ConnectionPtr> idle;
  std::size_t connections = 0;
};

struct TestClients::Op {
  std::string id, text;
  const ClientOp* type = nullptr;
  Session* session = nullptr;
  int front = 0;
  Millis due = 0, after = 0;
  bool taken = false;
  std::optional<net::Timers::Handle> timeout;
};

struct TestClients::Connection {
  Connection(asio::io_context& io, Session& of) : session(of), front(of.front), socket(io) {}
  Session& session;
  const int front;
  Tcp::socket socket;
  ConnectionAddress address;
  std::string received, out;
  std::array<char, 4096> bytes;
  std::size_t sent = 0;  // total bytes
  bool ready = false, closed = false, has_value = false;
  // taken: the front has received the current op; used: an op was answered on it.
  bool taken = false, used = false;
  std::string code, value;
  std::shared_ptr<Op> request;
};

TestClients::TestClients(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                         StreamRelay& streams, invariants::InvariantChecker& rules,
                         std::vector<Endpoint> fronts, int groups, const ClientWork& work, std::uint64_t seed)
    : io_(io),
      timers_(timers),
      clock_(clock),
      streams_(streams),
      rules_(rules),
      fronts_(std::move(fronts)),
      groups_(std::max(1, groups)),
      work_(work),
      random_(make_random(seed)) {
  for (int number = 0; number < work_.sessions; ++number) {
    sessions_.push_back(std::make_unique<Session>());
    Session& session = *sessions_.back();
    session.number = number, session.home = session.front = number % static_cast<int>(fronts_.size());
  }
}

TestClients::~TestClients() = default;

void TestClients::start() {
  next_due_ = clock_.now();
  send_due_ops();
}

void TestClients::stop() { timers_.cancel(next_op_); }

// Due times do not depend on the event loop: where it was late, overdue ops are sent now, with their latency
// measured from the due time.
void TestClients::send_due_ops() {
  timers_.cancel(next_op_);
  const Millis now = clock_.now();
  while (next_due_ <= now) {
    const auto op = std::make_shared<Op>();
    op->id = fmt::format("{:016x}", ++last_id_);
    op->due = next_due_;
    double random = random_share();
    for (const ClientOp& type : work_.mix) {
      random -= type.weight, op->type = random < 0 && !op->type ? &type : op->type;
    }
    if (!op->type) {
      op->type = &work_.mix.back();
    }
    op->session = sessions_[random_() % sessions_.size()].get();
    send(op);
    next_due_ += -std::log(1 - std::min(0.999999, random_share())) * 1000 / work_.rate;
  }
  next_op_ = timers_.set(next_due_, [this] { next_op_.reset(), send_due_ops(); });
}

void TestClients::send(const std::shared_ptr<Op>& op) {
  Session& session = *op->session;
  const Millis now = clock_.now();
  if (session.front != session.home && now - session.failed_over_at > kReturnHomeAfter) {
    session.front = session.home;
  }
  std::erase_if(session.idle, [&](const ConnectionPtr& idle) { return idle->closed; });
  const auto idle = std::ranges::find(session.idle, session.front, &Connection::front);
  if (idle == session.idle.end() && session.connections >= kMaxConnectionsPerSession) {
    if (op->taken) {
      rules_.record(invariants::ClientDisconnected{op->id});
    }
    return finish(op, OpOutcome::unsent, now);
  }
  ops_[op->id] = op;
  op->front = session.front;
  const double left = std::max(1.0, op->due + work_.request_timeout - now);
  const int group = session.number % groups_;
  std::string fields;
  if (op->type->effect == invariants::Effect::tokened) {
    fields += fmt::format(",k=t{}", op->id);
  }
  fields += fmt::format(",cluster={}", group);
  if (op->type->needs == invariants::Needs::session && session.token > 0) {
    fields += fmt::format(",after={:.0f}", op->after = std::ceil(session.token));
  }
  const std::string comment =
      fmt::format("/* id={},c={},d={:.0f}{} */", op->id, op->type->name, left, fields);
  op->text = op->type->needs == invariants::Needs::write
                 ? fmt::format("INSERT INTO records (k, v) VALUES ('s{}', '\\x9f03') RETURNING v {}",
                               session.number, comment)
                 : fmt::format("SELECT v FROM records WHERE k = 's{}' {}", session.number, comment);
  if (!op->timeout) {
    op->timeout = timers_.set(op->due + work_.request_timeout + kTimeoutMargin, [this, op] {
      op->timeout.reset();
      on_timeout(op);
    });
  }
  if (idle != session.idle.end()) {
    const ConnectionPtr connection = *idle;
    session.idle.erase(idle);
    connection->request = op;
    return write(connection);
  }
  const auto connection = std::make_shared<Connection>(io_, session);
  ++session.connections;
  connections_.push_back(connection);
  connection->request = op;
  connect(connection);
}

void TestClients::connect(const ConnectionPtr& connection) {
  connection->socket.async_connect(fronts_[static_cast<std::size_t>(connection->front)],
                                   [this, connection](const asio::error_code& fault) {
                                     if (connection->closed) {
                                       return;
                                     }
                                     if (fault) {
                                       return on_disconnect(connection);
                                     }
                                     asio::error_code ignored;
                                     connection->socket.set_option(Tcp::no_delay(true), ignored);
                                     connection->address = {
                                         connection->socket.local_endpoint(ignored),
                                         fronts_[static_cast<std::size_t>(connection->front)]};
                                     by_address_[connection->address] = connection;
                                     connection->out = postgres::startup("svc", "main");
                                     write(connection);
                                     read(connection);
                                   });
}

void TestClients::write(const ConnectionPtr& connection) {
  connection->out += postgres::query(connection->request->text);
  connection->sent += connection->out.size();
  connection->code.clear(), connection->value.clear(), connection->has_value = connection->taken = false;
  asio::async_write(connection->socket, asio::buffer(connection->out),
                    [this, connection](const asio::error_code& fault, std::size_t) {
                      if (connection->closed) {
                        return;
                      }
                      connection->out.clear();
                      if (fault) {
                        on_disconnect(connection);
                      }
                    });
}

void TestClients::on_delivery(const StreamRelay::Delivery& delivery) {
  const auto found = by_address_.find(delivery.opener);
  const ConnectionPtr connection = found == by_address_.end() ? nullptr : found->second.lock();
  if (!connection || !connection->request || delivery.backward || delivery.bytes_written < connection->sent) {
    return;
  }
  Op& op = *connection->request;
  connection->taken = true;
  if (std::exchange(op.taken, true)) {
    return;
  }
  rules_.record(invariants::RequestArrived{op.id,
                                           {op.front},
                                           op.type->needs,
                                           op.type->effect,
                                           delivery.at,
                                           std::max(1.0, op.due + work_.request_timeout - delivery.at),
                                           op.type->bound,
                                           op.after});
}

void TestClients::read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->bytes), [this, connection](const asio::error_code& fault, std::size_t count) {
        if (connection->closed) {
          return;
        }
        if (fault) {
          return on_disconnect(connection);
        }
        connection->received.append(connection->bytes.data(), count);
        for (;;) {
          const postgres::ReadResult read = postgres::read_from_server(connection->received);
          const auto* message = std::get_if<postgres::Message>(&read);
          if (!message) {
            break;
          }
          const std::string body(message->body);
          const char type = message->type;
          connection->received.erase(0, message->bytes.size());
          if (type == 'E') {
            const auto fields = postgres::read_error(body);
            connection->code = fields ? fields->code : "?";
          }
          if (type == 'D') {
            if (const auto value = postgres::read_row(body)) {
              connection->value = *value, connection->has_value = true;
            }
          }
          if (type == 'Z' && std::exchange(connection->ready, true)) {
            on_answer(connection);
          }
          if (connection->closed) {
            return;
          }
        }
        this->read(connection);
      });
}

void TestClients::on_answer(const ConnectionPtr& connection) {
  const std::shared_ptr<Op> op = std::exchange(connection->request, nullptr);
  if (!op) {
    return;
  }
  const auto record = streams_.record(connection->address);
  const Millis now = clock_.now();
  const bool busy = connection->code == "53300" || connection->code == "57P03";
  const invariants::ResponseKind answer = connection->code.empty() ? invariants::ResponseKind::acknowledged
                                          : busy                   ? invariants::ResponseKind::busy
                                                                   : invariants::ResponseKind::error;
  rules_.record(invariants::ResponseSent{op->id, answer, record ? record->backward.read : now,
                                         connection->has_value && connection->value == "\x9f" + op->id});
  if (answer == invariants::ResponseKind::acknowledged && op->type->needs == invariants::Needs::write) {
    if (const auto commit = commits_.find(op->id); commit != commits_.end()) {
      op->session->token = std::max(op->session->token, commit->second);
    }
  }
  const bool in_time = now - op->due <= work_.latency_target;
  finish(op,
         answer == invariants::ResponseKind::acknowledged ? (in_time ? OpOutcome::in_time : OpOutcome::late)
         : busy                                           ? OpOutcome::busy_replied
                                                          : OpOutcome::errored,
         now);
  connection->used = true;
  connection->session.idle.push_back(connection);
}

void TestClients::on_disconnect(const ConnectionPtr& connection) {
  // A FATAL error is an answer even though no ReadyForQuery follows.
  if (connection->request && !connection->code.empty()) {
    on_answer(connection);
  }
  const std::shared_ptr<Op> op = std::exchange(connection->request, nullptr);
  const auto record = streams_.record(connection->address);
  close(connection);
  if (!op) {
    return;
  }
  const Millis ended_at = record ? record->backward.ended_at : -1;
  const Millis received_at = record ? record->forward.written : -1;
  Session& session = *op->session;
  // A connection closed right after its first op was rejected together with the op.
  if (connection->taken && connection->used && ended_at >= 0 && ended_at - received_at > kCloseRace) {
    rules_.record(invariants::ConnectionClosed{op->id, ended_at});
  } else if (connection->used && ended_at >= 0 && clock_.now() < op->due + work_.request_timeout) {
    return send(op);  // the front closed the connection before it can have read the op
  } else if (op->taken) {
    rules_.record(invariants::ClientDisconnected{op->id});
  }
  fail_over(session);
  finish(op, op->taken ? OpOutcome::unanswered : OpOutcome::unsent, clock_.now());
}

void TestClients::on_timeout(const std::shared_ptr<Op>& op) {
  if (op->taken) {
    rules_.record(invariants::ClientDisconnected{op->id});
  }
  for (const ConnectionPtr& connection : std::list<ConnectionPtr>(connections_)) {
    if (connection->request == op) {
      close(connection);
    }
  }
  fail_over(*op->session);
  finish(op, op->taken ? OpOutcome::unanswered : OpOutcome::unsent, clock_.now());
}

void TestClients::fail_over(Session& session) {
  session.front = (session.front + 1) % static_cast<int>(fronts_.size()),
  session.failed_over_at = clock_.now();
}

void TestClients::finish(const std::shared_ptr<Op>& op, OpOutcome outcome, Millis at) {
  timers_.cancel(op->timeout);
  ops_.erase(op->id);
  commits_.erase(op->id);
  const Millis span = std::floor(op->due / kTallySpan) * kTallySpan;
  // Ops finish out of order, but only slightly, so the search starts at the newest tally.
  auto tally = tallies_.end();
  while (tally != tallies_.begin() && std::prev(tally)->at >= span) {
    --tally;
  }
  if (tally == tallies_.end() || tally->at != span) {
    tally = tallies_.insert(tally, Tally{span, {}, {}});
  }
  ++tally->outcomes[outcome];
  if (outcome == OpOutcome::in_time || outcome == OpOutcome::late) {
    tally->latencies.push_back(at - op->due);
  }
  if (tallies_.size() > kMaxTallies) {
    tallies_.pop_front();
  }
}

void TestClients::close(const ConnectionPtr& connection) {
  if (std::exchange(connection->closed, true)) {
    return;
  }
  asio::error_code ignored;
  connection->socket.close(ignored);
  by_address_.erase(connection->address);
  std::erase(connection->session.idle, connection);
  --connection->session.connections;
  connections_.remove(connection);
}

}  // namespace reedspindle::faulttest
