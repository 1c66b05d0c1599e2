#include "faulttest/test_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "postgres/codec.hpp"

namespace reedspindle::faulttest {

namespace postgres = postgres;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kOfSession = 16;  // connections that a session has at most; beyond, ops are not sent
constexpr Millis kHome = 5000;          // after which a session tries its own front again
constexpr Millis kGivesUp = 500;  // after its op timeout a client closes, whatever the rules say by then
constexpr Millis kCrosses = 50;   // an end this soon after an op came has crossed it: it is asked again
constexpr std::size_t kTallies = 36000;  // an hour of them

}  // namespace

const char* word_of(Came came) {
  constexpr const char* words[] = {"in time", "late", "busy replied", "errored", "unanswered", "unsent"};
  return words[static_cast<int>(came)];
}

int Tally::ops() const {
  int all = 0;
  for (const auto& [one, count] : came) {
    all += count;
  }
  return all;
}

double Tally::share(Came one) const {
  const auto found = came.find(one);
  return found == came.end() ? 0 : static_cast<double>(found->second) / std::max(1, ops());
}

struct TestClients::Session {
  int number = 0, home = 0, front = 0;
  Millis moved = 0, token = 0;  // token: the position of its last commit
  std::vector<Connected> idle;
  std::size_t connections = 0;
};

struct TestClients::Op {
  std::string id, text;
  const ClientOp* type = nullptr;
  Session* session = nullptr;
  int front = 0;
  Millis meant = 0, after = 0;
  bool taken = false;
  std::optional<net::Timers::Handle> limit;
};

struct TestClients::Connection {
  Connection(asio::io_context& io, Session& of) : session(of), front(of.front), socket(io) {}
  Session& session;
  const int front;
  Tcp::socket socket;
  Endpoint end;
  std::string held, out;
  std::array<char, 4096> bytes;
  std::size_t sent = 0;  // bytes, in all
  bool welcomed = false, given_back = false, has_value = false;
  bool taken = false, used = false;  // taken: the op it has; used: an op was answered on it
  std::string code, value;
  std::shared_ptr<Op> request;
};

TestClients::TestClients(asio::io_context& io, net::Timers& timers, const net::Clock& clock, Streams& streams,
                         invariants::InvariantChecker& rules, std::vector<Endpoint> fronts, int groups,
                         const ClientWork& work, std::uint64_t seed)
    : io_(io),
      timers_(timers),
      clock_(clock),
      streams_(streams),
      rules_(rules),
      fronts_(std::move(fronts)),
      groups_(std::max(1, groups)),
      work_(work),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  for (int number = 0; number < work_.sessions; ++number) {
    sessions_.push_back(std::make_unique<Session>());
    Session& session = *sessions_.back();
    session.number = number, session.home = session.front = number % static_cast<int>(fronts_.size());
  }
}

TestClients::~TestClients() = default;

void TestClients::begin() {
  meant_ = clock_.now();
  next();
}

void TestClients::rest() { timers_.cancel(next_); }

// By a clock of its own: where the loop was late, ops that were meant for then are sent now and count from
// then.
void TestClients::next() {
  timers_.cancel(next_);
  const Millis now = clock_.now();
  while (meant_ <= now) {
    const auto op = std::make_shared<Op>();
    op->id = fmt::format("{:016x}", ++last_);
    op->meant = meant_;
    double drawn = chance();
    for (const ClientOp& type : work_.mix) {
      drawn -= type.weight, op->type = drawn < 0 && !op->type ? &type : op->type;
    }
    if (!op->type) {
      op->type = &work_.mix.back();
    }
    op->session = sessions_[random_() % sessions_.size()].get();
    ask(op);
    meant_ += -std::log(1 - std::min(0.999999, chance())) * 1000 / work_.rate;
  }
  next_ = timers_.set(meant_, [this] { next_.reset(), next(); });
}

void TestClients::ask(const std::shared_ptr<Op>& op) {
  Session& session = *op->session;
  const Millis now = clock_.now();
  if (session.front != session.home && now - session.moved > kHome) {
    session.front = session.home;
  }
  std::erase_if(session.idle, [&](const Connected& idle) { return idle->given_back; });
  const auto known = std::ranges::find(session.idle, session.front, &Connection::front);
  if (known == session.idle.end() && session.connections >= kOfSession) {
    if (op->taken) {
      rules_.record(invariants::ClientDisconnected{op->id});
    }
    return end(op, Came::unsent, now);
  }
  ops_[op->id] = op;
  op->front = session.front;
  const double left = std::max(1.0, op->meant + work_.request_timeout - now);
  const int group = session.number % groups_;
  std::string more;
  if (op->type->effect == invariants::Effect::tokened) {
    more += fmt::format(",k=t{}", op->id);
  }
  more += fmt::format(",cluster={}", group);
  if (op->type->needs == invariants::Needs::session && session.token > 0) {
    more += fmt::format(",after={:.0f}", op->after = std::ceil(session.token));
  }
  const std::string comment = fmt::format("/* id={},c={},d={:.0f}{} */", op->id, op->type->name, left, more);
  op->text = op->type->needs == invariants::Needs::write
                 ? fmt::format("INSERT INTO records (k, v) VALUES ('s{}', '\\x9f03') RETURNING v {}",
                               session.number, comment)
                 : fmt::format("SELECT v FROM records WHERE k = 's{}' {}", session.number, comment);
  if (!op->limit) {
    op->limit = timers_.set(op->meant + work_.request_timeout + kGivesUp, [this, op] {
      op->limit.reset();
      give_up(op);
    });
  }
  if (known != session.idle.end()) {
    const Connected connection = *known;
    session.idle.erase(known);
    connection->request = op;
    return write(connection);
  }
  const auto connection = std::make_shared<Connection>(io_, session);
  ++session.connections;
  connections_.push_back(connection);
  connection->request = op;
  connect(connection);
}

void TestClients::connect(const Connected& connection) {
  connection->socket.async_connect(fronts_[static_cast<std::size_t>(connection->front)],
                                   [this, connection](const asio::error_code& fault) {
                                     if (connection->given_back) {
                                       return;
                                     }
                                     if (fault) {
                                       return broken(connection);
                                     }
                                     asio::error_code ignored;
                                     connection->socket.set_option(Tcp::no_delay(true), ignored);
                                     connection->end = connection->socket.local_endpoint(ignored);
                                     ends_[connection->end] = connection;
                                     connection->out = postgres::startup("svc", "main");
                                     write(connection);
                                     read(connection);
                                   });
}

void TestClients::write(const Connected& connection) {
  connection->out += postgres::query(connection->request->text);
  connection->sent += connection->out.size();
  connection->code.clear(), connection->value.clear(), connection->has_value = connection->taken = false;
  asio::async_write(connection->socket, asio::buffer(connection->out),
                    [this, connection](const asio::error_code& fault, std::size_t) {
                      if (connection->given_back) {
                        return;
                      }
                      connection->out.clear();
                      if (fault) {
                        broken(connection);
                      }
                    });
}

void TestClients::passed(const Streams::Passed& passed) {
  const auto found = ends_.find(passed.opener);
  const Connected connection = found == ends_.end() ? nullptr : found->second.lock();
  if (!connection || !connection->request || passed.back || passed.given < connection->sent) {
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
                                           passed.at,
                                           std::max(1.0, op.meant + work_.request_timeout - passed.at),
                                           op.type->bound,
                                           op.after});
}

void TestClients::read(const Connected& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->bytes), [this, connection](const asio::error_code& fault, std::size_t count) {
        if (connection->given_back) {
          return;
        }
        if (fault) {
          return broken(connection);
        }
        connection->held.append(connection->bytes.data(), count);
        for (;;) {
          const postgres::ReadResult read = postgres::read_from_server(connection->held);
          const auto* message = std::get_if<postgres::Message>(&read);
          if (!message) {
            break;
          }
          const std::string body(message->body);
          const char type = message->type;
          connection->held.erase(0, message->bytes.size());
          if (type == 'E') {
            const auto fields = postgres::read_error(body);
            connection->code = fields ? fields->code : "?";
          }
          if (type == 'D') {
            if (const auto value = postgres::read_row(body)) {
              connection->value = *value, connection->has_value = true;
            }
          }
          if (type == 'Z' && std::exchange(connection->welcomed, true)) {
            answered(connection);
          }
          if (connection->given_back) {
            return;
          }
        }
        this->read(connection);
      });
}

void TestClients::answered(const Connected& connection) {
  const std::shared_ptr<Op> op = std::exchange(connection->request, nullptr);
  if (!op) {
    return;
  }
  const auto crossing = streams_.crossing(connection->end);
  const Millis now = clock_.now();
  const bool busy = connection->code == "53300" || connection->code == "57P03";
  const invariants::ResponseKind answer = connection->code.empty() ? invariants::ResponseKind::acknowledged
                                          : busy                   ? invariants::ResponseKind::busy
                                                                   : invariants::ResponseKind::error;
  rules_.record(invariants::ResponseSent{op->id, answer, crossing ? crossing->back.read : now,
                                         connection->has_value && connection->value == "\x9f" + op->id});
  if (answer == invariants::ResponseKind::acknowledged && op->type->needs == invariants::Needs::write) {
    if (const auto commit = commits_.find(op->id); commit != commits_.end()) {
      op->session->token = std::max(op->session->token, commit->second);
    }
  }
  const bool in_time = now - op->meant <= work_.latency_target;
  end(op,
      answer == invariants::ResponseKind::acknowledged ? (in_time ? Came::in_time : Came::late)
      : busy                                           ? Came::busy_replied
                                                       : Came::errored,
      now);
  connection->used = true;
  connection->session.idle.push_back(connection);
}

void TestClients::broken(const Connected& connection) {
  // A fatal error is an answer, and needs no ReadyForQuery behind it.
  if (connection->request && !connection->code.empty()) {
    answered(connection);
  }
  const std::shared_ptr<Op> op = std::exchange(connection->request, nullptr);
  const auto crossing = streams_.crossing(connection->end);
  give_back(connection);
  if (!op) {
    return;
  }
  const Millis ended = crossing ? crossing->back.ended : -1;
  const Millis came = crossing ? crossing->to.written : -1;
  Session& session = *op->session;
  // The first op on a connection that is closed at once was turned away with it.
  if (connection->taken && connection->used && ended >= 0 && ended - came > kCrosses) {
    rules_.record(invariants::ConnectionClosed{op->id, ended});
  } else if (connection->used && ended >= 0 && clock_.now() < op->meant + work_.request_timeout) {
    return ask(op);  // the front ended the connection before it can have read the op
  } else if (op->taken) {
    rules_.record(invariants::ClientDisconnected{op->id});
  }
  move_on(session);
  end(op, op->taken ? Came::unanswered : Came::unsent, clock_.now());
}

void TestClients::give_up(const std::shared_ptr<Op>& op) {
  if (op->taken) {
    rules_.record(invariants::ClientDisconnected{op->id});
  }
  for (const Connected& connection : std::list<Connected>(connections_)) {
    if (connection->request == op) {
      give_back(connection);
    }
  }
  move_on(*op->session);
  end(op, op->taken ? Came::unanswered : Came::unsent, clock_.now());
}

void TestClients::move_on(Session& session) {
  session.front = (session.front + 1) % static_cast<int>(fronts_.size()), session.moved = clock_.now();
}

void TestClients::end(const std::shared_ptr<Op>& op, Came came, Millis at) {
  timers_.cancel(op->limit);
  ops_.erase(op->id);
  commits_.erase(op->id);
  const Millis span = std::floor(op->meant / kTallied) * kTallied;
  // Ops end out of order, but none is far behind.
  auto tally = tallies_.end();
  while (tally != tallies_.begin() && std::prev(tally)->at >= span) {
    --tally;
  }
  if (tally == tallies_.end() || tally->at != span) {
    tally = tallies_.insert(tally, Tally{span, {}, {}});
  }
  ++tally->came[came];
  if (came == Came::in_time || came == Came::late) {
    tally->latencies.push_back(at - op->meant);
  }
  if (tallies_.size() > kTallies) {
    tallies_.pop_front();
  }
}

void TestClients::give_back(const Connected& connection) {
  if (std::exchange(connection->given_back, true)) {
    return;
  }
  asio::error_code ignored;
  connection->socket.close(ignored);
  ends_.erase(connection->end);
  std::erase(connection->session.idle, connection);
  --connection->session.connections;
  connections_.remove(connection);
}

}  // namespace reedspindle::faulttest
