#include "proxy/client_connections.hpp"

#include <poll.h>

#include <algorithm>
#include <random>
#include <utility>

namespace reedspindle::proxy {

using Tcp = asio::ip::tcp;

namespace {
// What a client may send ahead of its answers: one message of the longest kind.
constexpr std::size_t kAhead = postgres::kLongestMessage + 5;
// How many commands of one connection are handled side by side. A command that waits longer than its client
// does, behind answers to others, is lost; some times what a client sends within one slow answer.
constexpr std::size_t kPipelined = 64;
// The protocol's figures: new connections come for at most so long after SIGTERM, and a request that came up
// to so long after it has the whole of its time.
constexpr Millis kStillComing = 400, kSpared = 700;
// No descriptor is left to take a connection with: how soon to look again, and how long a connection that is
// being ended is read out at most. Both a round trip many times over.
constexpr Millis kLookAgain = 20, kReadOut = 1000;
// How long after it has come a client owes its first whole command: a little less than the time in which one
// that sends what can't be read is owed a word. Later ones may write slowly, and so may they read.
constexpr Millis kFirst = 2500, kOwed = 15000;
// From when on an idle connection may be closed for another (the protocol's figure), and how often that is
// looked at: half the time after which a client that has closed its connection counts as gone.
constexpr Millis kKept = 2000, kLookRound = 50;
// While clients hold more than their usual part, one that has been idle for so long may be closed.
constexpr Millis kKeptWhenCrowded = 100;
// Statements in a row that do not read, after which a connection is ended: a client that errs will not get
// better at full speed.
constexpr int kFaultsInARow = 8;
}  // namespace

struct ClientConnections::Connection {
  Connection(Tcp::socket accepted, net::Allowance& buffers, net::Allowance& replies)
      : socket(std::move(accepted)), buffer(buffers), owed(replies) {}
  Tcp::socket socket;
  net::Buffer buffer;
  PendingReplies owed;
  std::string out;  // being written
  // starting: before the startup message. closing: no more commands are taken, what is owed is still written.
  // leaving: the sending side is ended, or is about to be, and what still comes is read out.
  enum class State { starting, open, closing, leaving, given_back } state = State::starting;
  bool writing = false, reading = false, skipping = false, ended = false;
  bool commanded = false;  // a whole command has come
  int faults = 0;          // in a row
  std::optional<postgres::CancelKey> key;
  std::size_t read_out = 0;
  Millis since = 0;                          // when it came, was last heard or last answered
  std::optional<net::Timers::Handle> limit;  // of what the client owes, or of reading it out
  std::list<Connected>::iterator place;

  static State state_of(const Connected& connection) { return connection->state; }
};

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
      allowance_(config.memory / 8),
      reply_allowance_(config.memory / 8) {}

void ClientConnections::listen() {
  acceptor_.open(config_.listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(config_.listen);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accept();
  look_round();
}

// Above a sixth of the descriptors, half of what clients may hold for requests, connections go that have been
// idle for long, the longest first; above a quarter, any that is idle. Guards usual clients, who may hold no
// more than their part, against those that ask once and stay: no new connection comes then, for which one
// would have to give way.
void ClientConnections::look_round() {
  const std::size_t kept = config_.sockets / 6;
  std::vector<Connected> idle;
  std::vector<Connected> gone;
  const Millis long_ago = clock_.now() - (staying() > config_.sockets / 4 ? kKeptWhenCrowded : kKept);
  for (const Connected& connection : connections_) {
    const bool rested = connection->commanded && connection->since < long_ago;
    if (staying() > kept && rested && gives_way(*connection)) {
      idle.push_back(connection);
    }
    const bool unread = !connection->reading && connection->state != Connection::State::leaving;
    if (unread && hung_up(*connection)) {
      gone.push_back(connection);
    }
  }
  std::ranges::sort(idle, {}, [](const Connected& connection) { return connection->since; });
  for (const Connected& connection : idle) {
    if (staying() > kept) {
      leave(*connection);
    }
  }
  for (const Connected& connection : gone) {
    left(*connection);
  }
  end_leaving();
  look_ = timers_.set(clock_.now() + kLookRound, [this] { look_round(); });
}

// Commands are taken from it.
bool ClientConnections::listens(const Connection& connection) {
  return connection.state == Connection::State::starting || connection.state == Connection::State::open;
}

// Nothing is owed on it by either side, and nothing is on its way into the front already.
bool ClientConnections::gives_way(Connection& connection) {
  asio::error_code fault;
  return listens(connection) && !connection.writing && connection.owed.empty() &&
         connection.socket.available(fault) == 0;
}

// Whether the client has closed a connection that is not read now. Guards against sending on what a client
// left behind that sent more than is read ahead: the end of its connection lies behind all of that.
bool ClientConnections::hung_up(Connection& connection) {
  pollfd look{connection.socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) == 1 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ClientConnections::be_ready() {
  if (std::exchange(ready_, true)) {
    return;
  }
  for (const Connected& connection : std::list(connections_)) {
    connection->owed.complete_readiness(postgres::empty_answer());
    flush(*connection);
  }
}

void ClientConnections::accept() {
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (!fault) {
      accepted(std::move(socket));  // also one that came just before a drain stopped listening
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (!fault) {
      return accept();
    }
    log_.warn("clients", "no connection can be taken", {{"why", fault.message()}});
    pause_ = timers_.set(clock_.now() + kLookAgain, [this] {
      pause_.reset();
      accept();
    });
  });
}

void ClientConnections::accepted(Tcp::socket socket) {
  asio::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<Connection>(std::move(socket), allowance_, reply_allowance_);
  connection->since = clock_.now();
  const bool room = staying() < config_.client_connections() || make_room();
  connection->place = connections_.insert(connections_.end(), connection);
  if (!room) {
    log_.warn("clients", "connection turned away", {{"why", "the clients' share of descriptors"}});
    end_with(*connection, "53300", "too many connections");
  } else {
    judge(*connection);
    read(connection);
  }
  end_leaving();
}

// Those that are being ended have a share of their own; the first of them has had the most time to read.
// Once the front takes no more connections, nobody needs their descriptors.
void ClientConnections::end_leaving() {
  if (drained_) {
    return;
  }
  while (leaving_ > config_.leaving_connections()) {
    give_back(**std::ranges::find(connections_, Connection::State::leaving, &Connection::state_of));
  }
}

// Near the limit the connections go first that no usual client misses: one that has never sent anything, one
// that has been idle or in mid-message longest. Guards usual clients against those that connect and keep
// silent.
bool ClientConnections::make_room() {
  Connection* silent = nullptr;
  Connection* idle = nullptr;
  for (const Connected& connection : connections_) {
    if (!gives_way(*connection)) {
      continue;
    }
    if (!connection->commanded && connection->buffer.held().empty()) {
      if (!silent) {
        silent = connection.get();
      }
    } else if (!idle || connection->since < idle->since) {
      idle = connection.get();
    }
  }
  if (silent) {
    end_with(*silent, "53300", "too many connections");
  } else if (idle && clock_.now() - idle->since > kKept) {
    leave(*idle);
  } else {
    return false;
  }
  return true;
}

// Waits until there is something to read, and reads it in the moment in which it is taken. Guards against
// bytes that have left the kernel while their connection is being ended: the client could not know that its
// request was not read.
void ClientConnections::read(const Connected& connection) {
  using State = Connection::State;
  if (connection->reading || connection->state == State::given_back) {
    return;
  }
  const bool reads_out = !listens(*connection);
  if (reads_out ? connection->read_out > kAhead : connection->buffer.held().size() >= kAhead) {
    return;
  }
  connection->reading = true;
  connection->socket.async_wait(Tcp::socket::wait_read, [this, connection](const asio::error_code& fault) {
    connection->reading = false;
    if (connection->state == State::given_back) {
      return;
    }
    if (fault) {
      return left(*connection);
    }
    read_now(connection);
  });
}

void ClientConnections::read_now(const Connected& connection) {
  const auto room = connection->buffer.room(2048);
  if (room.empty()) {
    log_.warn("clients", "connection ended", {{"why", "clients make the front hold too much"}});
    return cut_off(*connection);
  }
  asio::error_code fault;
  const std::size_t count = connection->socket.read_some(asio::buffer(room.data(), room.size()), fault);
  if (fault == asio::error::would_block || fault == asio::error::interrupted) {
    return read(connection);
  }
  if (fault) {
    return left(*connection);
  }
  if (!listens(*connection)) {  // read out, unheard
    connection->read_out += count;
    return read(connection);
  }
  connection->buffer.filled(count);
  connection->since = clock_.now();
  take_commands(*connection);
  read(connection);
}

// What the client owes, with its limit: guards against those that say nothing, stop in mid-message, send
// without an end or do not read.
void ClientConnections::judge(Connection& connection) {
  using State = Connection::State;
  if (connection.state == State::leaving || connection.state == State::given_back) {
    return;
  }
  const bool mid_message = !connection.buffer.held().empty() && connection.owed.size() < kPipelined;
  const bool owes = connection.writing || (listens(connection) && (!connection.commanded || mid_message));
  if (!owes) {
    timers_.drop(connection.limit);
  }
  if (!owes || connection.limit) {
    return;
  }
  connection.limit =
      timers_.set(clock_.now() + (connection.commanded ? kOwed : kFirst), [this, held = *connection.place] {
        held->limit.reset();
        limit_passed(*held);
      });
}

void ClientConnections::limit_passed(Connection& connection) {
  if (connection.writing) {
    return cut_off(connection);
  }
  log_.warn("clients", "connection ended", {{"why", "no whole command in time"}});
  end_with(connection, "57P05", "no whole command in time");
}

// Takes the commands that are held, one after the other, up to as many as are handled side by side. One that
// is answered on the spot ends the turn, which the end of its writing goes on with: a client that sends many
// such commands at once waits behind the others after each.
void ClientConnections::take_commands(Connection& connection) {
  using State = Connection::State;
  while (listens(connection) && connection.owed.size() < kPipelined) {
    if (!connection.reading && connection.buffer.held().size() >= kAhead && hung_up(connection)) {
      return left(connection);
    }
    const std::string_view held = connection.buffer.held();
    const bool starting = connection.state == State::starting;
    const postgres::Read next = starting ? postgres::read_startup(held) : postgres::read_from_client(held);
    if (std::holds_alternative<postgres::Partial>(next)) {
      break;
    }
    if (const auto* fault = std::get_if<postgres::Fault>(&next)) {
      log_.warn("clients", "connection ended", {{"why", fault->text}});
      return end_with(connection, fault->code, fault->text);
    }
    const postgres::Message message = std::get<postgres::Message>(next);
    const std::size_t size = message.bytes.size();
    connection.commanded = connection.commanded || !starting;
    const Taken taken = take(connection, message);
    if (!listens(connection)) {
      return;
    }
    connection.buffer.consume(size);
    timers_.drop(connection.limit);
    if (taken == Taken::answered && connection.writing) {
      break;
    }
  }
  const bool at_rest = connection.buffer.held().empty() || refusing_;  // half a command has not been read
  if (connection.state == State::open && drained_ && at_rest && gives_way(connection)) {
    return leave(connection);
  }
  judge(connection);
}

ClientConnections::Taken ClientConnections::take(Connection& connection, const postgres::Message& message) {
  if (connection.state == Connection::State::starting) {
    return take_startup(connection, message);
  }
  if (message.type == 'X') {
    close_after_replies(connection);
    return Taken::answered;
  }
  if (message.type == 'S') {
    connection.skipping = false;
    return reply(connection, postgres::ready());
  }
  if (connection.skipping) {
    return Taken::pending;
  }
  if (message.type == 'Q') {
    const std::size_t end = message.body.find('\0');
    if (end + 1 == message.body.size()) {
      return take_query(connection, message.body.substr(0, end));
    }
    end_with(connection, "08P01", "a query does not end with its text");
    return Taken::answered;
  }
  // The extended protocol: passed over up to its Sync, as the protocol has it after an error.
  connection.skipping = message.type != 'F';
  return reply(connection, postgres::error(postgres::Severity::error, "0A000", "simple queries only") +
                               (connection.skipping ? "" : postgres::ready()));
}

ClientConnections::Taken ClientConnections::take_startup(Connection& connection,
                                                         const postgres::Message& message) {
  switch (postgres::startup_kind(message)) {
    case postgres::Startup::encryption:
      return reply(connection, "N");
    case postgres::Startup::session:
      connection.state = Connection::State::open;
      connection.key = postgres::CancelKey{++last_connection_, std::random_device()()};
      keys_[*connection.key] = &connection;
      return reply(connection, postgres::welcome(*connection.key));
    case postgres::Startup::cancel:
      if (const auto key = postgres::cancel_key(message)) {
        cancel(*key);
      }
      close_after_replies(connection);
      break;
    case postgres::Startup::unknown:
      end_with(connection, "0A000", "version 3 of the protocol is spoken");
      break;
  }
  return Taken::answered;
}

ClientConnections::Taken ClientConnections::take_query(Connection& connection, std::string_view text) {
  const std::string word = postgres::first_word(text);
  if (word.empty()) {
    if (ready_) {
      return reply(connection, postgres::empty_answer());
    }
    connection.owed.add_readiness();
    return Taken::answered;
  }
  for (const char* harmless : {"SET", "RESET", "DISCARD"}) {
    if (word == harmless) {
      return reply(connection, postgres::completed(harmless) + postgres::ready());
    }
  }
  return take_statement(connection, text);
}

ClientConnections::Taken ClientConnections::take_statement(Connection& connection, std::string_view text) {
  const auto read = postgres::read_statement(text);
  std::optional<postgres::Fault> fault;
  const RequestId request{++last_request_};
  if (const auto* statement = std::get_if<postgres::Statement>(&read)) {
    fault = refusing_ ? postgres::Fault{"57P03", "the front is stopping"}
                      : owner_.request_arrived(request, text, *statement);
  } else {
    fault = std::get<postgres::Fault>(read);
  }
  if (!fault) {
    connection.faults = 0;
    connection.owed.add_request(request);
    asking_[request] = &connection;
    return Taken::pending;
  }
  log_.warn("clients", "statement turned away", {{"why", fault->text}});
  if (++connection.faults >= kFaultsInARow && !refusing_) {
    end_with(connection, fault->code, fault->text);
    return Taken::answered;
  }
  return reply(connection,
               postgres::error(postgres::Severity::error, fault->code, fault->text) + postgres::ready());
}

void ClientConnections::answer(RequestId request, std::string bytes) {
  const auto found = asking_.find(request);
  if (found == asking_.end()) {
    return;
  }
  Connection& connection = *found->second;
  asking_.erase(found);
  connection.since = clock_.now();
  static const std::string kNotHeld =
      postgres::error(postgres::Severity::error, "53200", "answers that wait behind others take too much") +
      postgres::ready();
  connection.owed.complete(request, std::move(bytes) + postgres::ready(), kNotHeld);
  flush(connection);
}

// The oldest request of that connection, whose client has given up on it: nothing more is sent of it.
// Answered at once, as the protocol has it; a key that is nobody's does nothing.
void ClientConnections::cancel(const postgres::CancelKey& key) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) {
    return;
  }
  const std::vector<RequestId> open = found->second->owed.open_requests();
  if (open.empty()) {
    return;
  }
  owner_.request_abandoned(open.front());
  answer(open.front(), postgres::error(postgres::Severity::error, "57014", "canceled on user request"));
}

ClientConnections::Taken ClientConnections::reply(Connection& connection, std::string bytes) {
  connection.owed.add_complete(std::move(bytes));
  flush(connection);
  return Taken::answered;
}

// Writes the replies that are next, unless some are being written.
void ClientConnections::flush(Connection& connection) {
  if (connection.writing || connection.state == Connection::State::given_back) {
    return;
  }
  connection.out = connection.owed.take_complete();
  if (connection.out.empty()) {
    return;
  }
  connection.writing = true;
  asio::async_write(connection.socket, asio::buffer(connection.out),
                    [this, held = *connection.place](const asio::error_code& fault, std::size_t) {
                      held->writing = false;
                      held->out = {};
                      if (held->state == Connection::State::given_back) {
                        return;
                      }
                      if (fault) {
                        return left(*held);
                      }
                      written(*held);
                    });
  judge(connection);
}

void ClientConnections::written(Connection& connection) {
  const Connected held = *connection.place;
  if (connection.state == Connection::State::leaving) {
    return leave(connection);
  }
  timers_.drop(connection.limit);
  flush(connection);
  if (connection.state == Connection::State::closing) {
    if (connection.owed.empty() && !connection.writing) {
      leave(connection);
    }
    return;
  }
  take_commands(connection);
  read(held);
}

void ClientConnections::end_with(Connection& connection, std::string_view code, std::string_view text) {
  connection.owed.add_complete(postgres::error(postgres::Severity::fatal, code, text));
  close_after_replies(connection);
}

// Takes no more commands; the connection is ended once all that is owed on it is written.
void ClientConnections::close_after_replies(Connection& connection) {
  const Connected held = *connection.place;
  connection.state = Connection::State::closing;
  connection.buffer.consume(connection.buffer.held().size());
  timers_.drop(connection.limit);
  flush(connection);
  if (connection.owed.empty() && !connection.writing) {
    return leave(connection);
  }
  judge(connection);
  read(held);
}

// Ends a connection in good order: what is written goes out, then the sending side is ended, and what the
// client still sends is read out, for a connection closed before that would take the last answer with it. One
// message's worth of it: who sends on at full speed is left unread until the time is over.
void ClientConnections::leave(Connection& connection) {
  const Connected held = *connection.place;
  if (connection.state != Connection::State::leaving) {
    connection.state = Connection::State::leaving;
    ++leaving_;
    connection.buffer.consume(connection.buffer.held().size());
    timers_.drop(connection.limit);
    connection.limit = timers_.set(clock_.now() + kReadOut, [this, held] {
      held->limit.reset();
      give_back(*held);
    });
  }
  if (connection.writing) {
    return;
  }
  if (!std::exchange(connection.ended, true)) {
    asio::error_code ignored;
    connection.socket.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  read(held);
}

// The client does not take what is written to it, or makes the front hold too much.
void ClientConnections::cut_off(Connection& connection) {
  if (connection.owed.open_requests().empty()) {
    return give_back(connection);
  }
  judge(connection);  // its requests are answered first
}

// The client has ended the connection.
void ClientConnections::left(Connection& connection) {
  for (const RequestId request : connection.owed.open_requests()) {
    asking_.erase(request);
    owner_.request_abandoned(request);
  }
  give_back(connection);
}

// Connections are given back here and nowhere else.
void ClientConnections::give_back(Connection& connection) {
  if (connection.state == Connection::State::given_back) {
    return;
  }
  if (connection.state == Connection::State::leaving) {
    --leaving_;
  }
  connection.state = Connection::State::given_back;
  if (connection.key) {
    keys_.erase(*connection.key);
  }
  timers_.drop(connection.limit);
  asio::error_code ignored;
  connection.socket.close(ignored);
  const Connected last = *connection.place;
  connections_.erase(connection.place);
}

void ClientConnections::drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  // Between the two figures, so that what comes last is both taken and spared.
  drain_ = timers_.set(clock_.now() + (kStillComing + kSpared) / 2, [this] { stop_listening(); });
}

void ClientConnections::stop_listening() {
  drained_ = true;
  asio::error_code fault;
  while (acceptor_.is_open() && !fault) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, fault);
    if (!fault) {
      accepted(std::move(socket));
    }
  }
  acceptor_.close(fault);
  for (const Connected& connection : std::list(connections_)) {
    take_commands(*connection);
  }
  drain_ = timers_.set(clock_.now() + (kSpared - kStillComing) / 2, [this] { refuse_requests(); });
}

// What has just come up may have had a question on its way; what says nothing by now has none. Guards against
// clients that send one command behind the other: their connections would never be at rest.
void ClientConnections::refuse_requests() {
  drain_.reset();
  refusing_ = true;
  for (const Connected& connection : std::list(connections_)) {
    if (connection->state == Connection::State::starting || !ready_) {
      leave(*connection);
    } else {
      take_commands(*connection);
    }
  }
}

void ClientConnections::stop() {
  timers_.drop(pause_);
  timers_.drop(look_);
  timers_.drop(drain_);
  asio::error_code ignored;
  acceptor_.close(ignored);
  while (!connections_.empty()) {
    left(*connections_.front());
  }
}

}  // namespace reedspindle::proxy
