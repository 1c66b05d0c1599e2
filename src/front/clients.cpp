#include "front/clients.hpp"

#include <utility>

namespace reedspindle::front {

using Tcp = asio::ip::tcp;

namespace {
// What a client may send ahead of its answers: one message of the longest kind.
constexpr std::size_t kAhead = pgwire::kLongestMessage + 5;
// The protocol's figures: new connections come for at most so long after SIGTERM, and an op that came up to
// so long after it has the whole of its time.
constexpr Millis kStillComing = 400, kSpared = 700;
// No descriptor is left to take a connection with: how soon to look again, and how long a connection that is
// being ended is read out at most. Both a round trip many times over.
constexpr Millis kLookAgain = 20, kReadOut = 1000;
}  // namespace

struct Clients::Connection {
  explicit Connection(Tcp::socket taken) : socket(std::move(taken)) {}
  Tcp::socket socket;
  Buffer buffer;
  std::string out, next_out;
  enum class State { starting, idle, asking, waiting_for_ready, leaving, given_back } state = State::starting;
  bool writing = false, reading = false, skipping = false, ended = false;
  OpId op;
  std::optional<Timers::Handle> limit;
  std::list<Connected>::iterator place;
};

Clients::Clients(asio::io_context& io, Timers& timers, const Clock& clock, Log& log,
                 const Placement& placement, std::function<bool()> may_open, Ops& ops)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      placement_(placement),
      may_open_(std::move(may_open)),
      ops_(ops),
      acceptor_(io) {}

void Clients::listen() {
  acceptor_.open(placement_.listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(placement_.listen);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accept();
}

void Clients::be_ready() {
  if (std::exchange(ready_, true)) return;
  for (const Connected& connection : connections_) {
    if (connection->state != Connection::State::waiting_for_ready) continue;
    connection->state = Connection::State::idle;
    write(*connection, pgwire::empty_answer());
    go_on(*connection);
  }
}

void Clients::accept() {
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (!fault) taken(std::move(socket));  // also one that came just before a drain stopped listening
    if (!acceptor_.is_open()) return;
    if (!fault) return accept();
    log_.warn("clients", "no connection can be taken: {}", fault.message());
    pause_ = timers_.set(clock_.now() + kLookAgain, [this] {
      pause_.reset();
      accept();
    });
  });
}

void Clients::taken(Tcp::socket socket) {
  asio::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(std::move(socket));
  connection->place = connections_.insert(connections_.end(), connection);
  if (!may_open_()) {
    log_.warn("clients", "a connection beyond the limit on descriptors is turned away");
    return end_with(*connection, "53300", "too many connections");
  }
  read(connection);
}

void Clients::read(const Connected& connection) {
  if (connection->reading || connection->state == Connection::State::given_back) return;
  if (connection->state != Connection::State::leaving && connection->buffer.held().size() >= kAhead) return;
  connection->reading = true;
  const auto room = connection->buffer.room(2048);
  connection->socket.async_read_some(asio::buffer(room.data(), room.size()),
                                     [this, connection](const asio::error_code& fault, std::size_t count) {
                                       connection->reading = false;
                                       if (connection->state == Connection::State::given_back) return;
                                       if (fault) return left(*connection);
                                       if (connection->state == Connection::State::leaving)
                                         return read(connection);  // read out, unheard
                                       connection->buffer.filled(count);
                                       go_on(*connection);
                                       read(connection);
                                     });
}

// Takes what is held, one message after the other, for as long as no answer is owed.
void Clients::go_on(Connection& connection) {
  using State = Connection::State;
  while (connection.state == State::starting || connection.state == State::idle) {
    const std::string_view held = connection.buffer.held();
    const bool starting = connection.state == State::starting;
    const pgwire::Read next = starting ? pgwire::read_startup(held) : pgwire::read_message(held);
    if (std::holds_alternative<pgwire::Partial>(next)) break;
    if (const auto* fault = std::get_if<pgwire::Fault>(&next)) {
      log_.warn("clients", "a connection is ended: {}", fault->text);
      return end_with(connection, fault->code, fault->text);
    }
    const pgwire::Message message = std::get<pgwire::Message>(next);
    take(connection, message);
    connection.buffer.consume(message.bytes.size());
  }
  if (connection.state == State::idle && drained_ && connection.buffer.held().empty()) leave(connection);
}

void Clients::take(Connection& connection, const pgwire::Message& message) {
  using State = Connection::State;
  if (connection.state == State::starting) {
    switch (pgwire::startup_kind(message)) {
      case pgwire::Startup::encryption:
        return write(connection, "N");
      case pgwire::Startup::cancel:
        return leave(connection);
      case pgwire::Startup::unknown:
        return end_with(connection, "0A000", "version 3 of the protocol is spoken");
      case pgwire::Startup::session:
        connection.state = State::idle;
        return write(connection, pgwire::welcome());
    }
  }
  if (message.type == 'X') return leave(connection);
  if (message.type == 'S') {
    connection.skipping = false;
    return write(connection, pgwire::ready());
  }
  if (connection.skipping) return;
  if (message.type == 'Q') {
    const std::size_t end = message.body.find('\0');
    if (end + 1 == message.body.size()) return asked(connection, message.body.substr(0, end));
    return end_with(connection, "08P01", "a query does not end with its text");
  }
  if (message.type == 'F' || std::string_view("PBDECHdcf").find(message.type) != std::string_view::npos) {
    // The extended protocol: passed over up to its Sync, as the protocol has it after an error.
    connection.skipping = message.type != 'F';
    write(connection, pgwire::error(pgwire::Severity::error, "0A000", "simple queries only") +
                          (connection.skipping ? "" : pgwire::ready()));
    return;
  }
  end_with(connection, "08P01", "an unknown type of message");
}

void Clients::asked(Connection& connection, std::string_view text) {
  using State = Connection::State;
  const std::string word = pgwire::first_word(text);
  if (word.empty()) {
    if (ready_) return write(connection, pgwire::empty_answer());
    connection.state = State::waiting_for_ready;
    return;
  }
  for (const char* harmless : {"SET", "RESET", "DISCARD"})
    if (word == harmless) return write(connection, pgwire::completed(harmless) + pgwire::ready());
  std::optional<pgwire::Fault> fault;
  const auto read = pgwire::read_statement(text);
  const OpId op{++last_op_};
  if (const auto* statement = std::get_if<pgwire::Statement>(&read))
    fault = ops_.op_arrived(op, text, *statement);
  else
    fault = std::get<pgwire::Fault>(read);
  if (fault)
    return write(connection,
                 pgwire::error(pgwire::Severity::error, fault->code, fault->text) + pgwire::ready());
  connection.state = State::asking;
  connection.op = op;
  asking_[op] = &connection;
}

void Clients::answer(OpId op, std::string bytes) {
  const auto found = asking_.find(op);
  if (found == asking_.end()) return;
  Connection& connection = *found->second;
  asking_.erase(found);
  connection.state = Connection::State::idle;
  write(connection, std::move(bytes) + pgwire::ready());
  const Connected held = *connection.place;
  go_on(connection);
  read(held);
}

void Clients::write(Connection& connection, std::string bytes) {
  connection.next_out += bytes;
  if (connection.writing) return;
  connection.writing = true;
  connection.out = std::exchange(connection.next_out, "");
  asio::async_write(connection.socket, asio::buffer(connection.out),
                    [this, held = *connection.place](const asio::error_code& fault, std::size_t) {
                      held->writing = false;
                      if (held->state == Connection::State::given_back) return;
                      if (fault) return left(*held);
                      if (!held->next_out.empty()) return write(*held, "");
                      if (held->state == Connection::State::leaving) leave(*held);
                    });
}

void Clients::end_with(Connection& connection, std::string_view code, std::string_view text) {
  write(connection, pgwire::error(pgwire::Severity::fatal, code, text));
  leave(connection);
}

// Ends a connection in good order: what is written goes out, then the sending side is ended, and what the
// client still sends is read out, for a connection closed before that would take the last answer with it.
void Clients::leave(Connection& connection) {
  connection.state = Connection::State::leaving;
  const Connected held = *connection.place;
  if (connection.writing) return;
  if (!std::exchange(connection.ended, true)) {
    asio::error_code ignored;
    connection.socket.shutdown(Tcp::socket::shutdown_send, ignored);
    connection.limit = timers_.set(clock_.now() + kReadOut, [this, held] {
      held->limit.reset();
      give_back(*held);
    });
  }
  read(held);
}

// The client has ended the connection.
void Clients::left(Connection& connection) {
  if (connection.state == Connection::State::asking) {
    asking_.erase(connection.op);
    ops_.op_gone(connection.op);
  }
  give_back(connection);
}

// Connections are given back here and nowhere else.
void Clients::give_back(Connection& connection) {
  if (connection.state == Connection::State::given_back) return;
  connection.state = Connection::State::given_back;
  timers_.drop(connection.limit);
  asio::error_code ignored;
  connection.socket.close(ignored);
  const Connected last = *connection.place;
  connections_.erase(connection.place);
}

void Clients::drain() {
  if (std::exchange(draining_, true)) return;
  // Between the two figures, so that what comes last is both taken and spared.
  drain_ = timers_.set(clock_.now() + (kStillComing + kSpared) / 2, [this] {
    drain_.reset();
    drained_ = true;
    asio::error_code fault;
    while (acceptor_.is_open() && !fault) {
      Tcp::socket socket(io_);
      acceptor_.accept(socket, fault);
      if (!fault) taken(std::move(socket));
    }
    acceptor_.close(fault);
    for (const Connected& connection : connections_) go_on(*connection);
    // What has just come up may have a question on its way; what says nothing by now has none.
    drain_ = timers_.set(clock_.now() + (kSpared - kStillComing) / 2, [this] {
      drain_.reset();
      using State = Connection::State;
      for (const Connected& connection : connections_)
        if (connection->state == State::starting || connection->state == State::waiting_for_ready)
          leave(*connection);
    });
  });
}

void Clients::stop() {
  timers_.drop(pause_);
  timers_.drop(drain_);
  asio::error_code ignored;
  acceptor_.close(ignored);
  while (!connections_.empty()) left(*connections_.front());
}

}  // namespace reedspindle::front
