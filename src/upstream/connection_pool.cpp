#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace reedspindle::upstream {

using Tcp = asio::ip::tcp;

namespace {

// A position that is there yet; all machines read one clock, so it is at most rounded beyond now.
bool can_be(Millis position, Millis now) { return position >= 0 && position < now + 10; }

// "x0=1767225600.123,x1=1,cpu=0.61": the position in seconds, 1 from a primary, share of processors in use,
// which the settings name cpu and the protocol's example util. What does not read as a whole, or says what
// can't be, is no report.
void read_report(std::string_view text, Millis now, ReplicaSample& sample) {
  ReplicaSample read = sample;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto [name, value] = postgres::name_and_value(item);
    const auto number = postgres::number(value);
    if (!number) {
      return;
    }
    if (name == "x0") {
      read.position = *number * 1000;
    }
    if (name == "x1") {
      read.role = *number > 0 ? Role::primary : Role::replica;
    }
    if (name == "x0" && !can_be(read.position, now)) {
      return;
    }
    if (name == "x1" && *number != 0 && *number != 1) {
      return;
    }
    if (name == "cpu" || name == "util") {
      read.utilization = *number;
    }
  }
  sample = read;
}

AttemptOutcome ending_of_code(const std::string& code) {
  if (code == "25006" || code == "72000") {
    return AttemptOutcome::rejected_not_executed;
  }
  return code == "53300" ? AttemptOutcome::rejected_overloaded : AttemptOutcome::failed;
}

}  // namespace

// One send or one probe.
struct ConnectionPool::Work {
  std::optional<std::pair<RequestId, AttemptNumber>> attempt;  // none: a probe
  Store* store = nullptr;
  std::shared_ptr<const std::string> text;  // of the statement, none for a probe
  postgres::TextSpan remaining;
  Millis from = 0, until = 0;
  Millis start_by = 0;        // it is not begun later
  net::Timers::Handle limit;  // start_by while it waits, then until
  Connection* on = nullptr;   // none: it waits for a connection
  // What has come of the answer.
  ReplicaSample sample;
  std::string row;
  std::optional<std::string> code;  // of an error
  bool described = false, has_row = false, complete = false, spoilt = false;
};

struct ConnectionPool::Store {
  ServerId id;
  Tcp::endpoint endpoint;
  ServerState state = ServerState::ready;
  Millis started_at = 0;
  std::deque<std::unique_ptr<Work>> waiting;
  std::vector<Connection*> idle;  // the one used last at the end
  std::size_t coming = 0;         // connections that open or settle
  std::size_t connections = 0;    // all of them
};

struct ConnectionPool::Connection {
  Connection(asio::io_context& io, Store& of, net::Allowance& allowance)
      : socket(io), store(of), buffer(allowance) {}
  Tcp::socket socket;
  Store& store;
  net::Buffer buffer;
  std::string out;
  enum class State { opening, idle, busy, settling, given_back } state = State::opening;
  Millis opened = 0, idle_since = 0;
  std::list<Connection*>::iterator idle_place;  // while it is idle
  bool written = false;                         // the query's last byte
  std::unique_ptr<Work> work;
  std::optional<net::Timers::Handle> limit;  // while it opens or settles
  std::optional<std::string> code;           // of an error while it opens
  std::list<Connected>::iterator place;
};

ConnectionPool::ConnectionPool(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                               logging::Log& log, const config::InstanceConfig& config, AttemptDone send_done,
                               ProbeDone probe_done)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      config_(config),
      send_done_(std::move(send_done)),
      probe_done_(std::move(probe_done)),
      allowance_(config.memory / 8) {
  sweep();
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::learn(const net::EndpointList& list) {
  if (list.kind == EndpointListKind::failed) {
    return;
  }
  std::vector<Store*> changed;
  if (list.kind == EndpointListKind::complete) {
    for (auto& [id, store] : stores_) {
      store->state = ServerState::gone;
      changed.push_back(store.get());
    }
  }
  for (const net::ListedEndpoint& listed : list.servers) {
    auto& store = stores_[listed.entry.id];
    if (!store) {
      store = std::make_unique<Store>();
    }
    store->id = listed.entry.id;
    if (std::exchange(store->endpoint, listed.endpoint) != listed.endpoint) {
      store->started_at = clock_.now();
    }
    store->state = listed.entry.state;
    store->started_at = std::max(store->started_at, listed.entry.started_at);
    changed.push_back(store.get());
  }
  for (Store* store : changed) {
    for (Connection* connection : std::vector(store->idle)) {
      if (outlived(*connection)) {
        give_back(*connection);
      }
    }
    // The rule counts a send from its first byte, which these have not written.
    if (store->state != ServerState::ready) {
      while (!store->waiting.empty()) {
        end(take_first(*store), AttemptOutcome::not_sent);
      }
    }
  }
}

// A connection from before the store's last start, or to where it was before, can only end as a reset.
bool ConnectionPool::outlived(const Connection& connection) {
  return connection.store.state != ServerState::ready || connection.opened < connection.store.started_at;
}

void ConnectionPool::send(RequestId op, const StartAttempt& decision, Millis decided, AttemptNumber number,
                          std::shared_ptr<const std::string> text, postgres::TextSpan patience) {
  auto work = std::make_unique<Work>();
  work->attempt = {op, number};
  work->text = std::move(text);
  work->remaining = patience;
  sends_[{op, number}] = work.get();
  add(*stores_.at(decision.server), std::move(work), decided, decision.timeout, decision.start_within);
}

void ConnectionPool::probe(const ServerId& member, Millis time_out) {
  add(*stores_.at(member), std::make_unique<Work>(), clock_.now(), time_out);
}

// TestStores are given back here and nowhere else.
void ConnectionPool::forget(const ServerId& member) {
  const auto found = stores_.find(member);
  if (found == stores_.end()) {
    return;
  }
  if (found->second->connections > 0) {
    for (const Connected& connection : std::list(connections_)) {
      if (&connection->store == found->second.get()) {
        give_back(*connection);
      }
    }
  }
  stores_.erase(found);
}

void ConnectionPool::add(Store& store, std::unique_ptr<Work> work, Millis from, Millis time_out,
                         std::optional<Millis> start_within) {
  work->store = &store;
  work->from = from;
  work->until = work->from + time_out;
  work->start_by = work->from + std::min(time_out, start_within.value_or(time_out));
  work->limit = timers_.set(work->start_by, [this, late = work.get()] { out_of_time(*late); });
  store.waiting.push_back(std::move(work));
  dispatch(store);
}

void ConnectionPool::dispatch(Store& store) {
  while (store.coming < store.waiting.size() && !store.idle.empty()) {
    settle(*store.idle.back());
  }
  while (store.coming < store.waiting.size() && store.connections < open_) {
    open(store);
  }
  count(store);
}

// What stands idle is not needed; what waits and has no connection coming is.
void ConnectionPool::count(const Store& store) {
  const std::size_t without = store.waiting.size() > store.coming ? store.waiting.size() - store.coming : 0;
  need_ = std::max(need_, store.connections - store.idle.size() + without);
}

void ConnectionPool::limit(std::size_t open, std::size_t hold) {
  open_ = open, hold_ = hold;
  for (auto& [id, store] : stores_) {
    shrink(*store);
    dispatch(*store);
  }
}

// Idle connections go first, up to the first figure; beyond the second all others too, whatever is on them.
void ConnectionPool::shrink(Store& store) {
  while (store.connections > open_ && !store.idle.empty()) {
    give_back(*store.idle.front());
  }
  while (store.connections > hold_) {
    const auto last = std::ranges::find_if(connections_.rbegin(), connections_.rend(),
                                           [&](const Connected& one) { return &one->store == &store; });
    Connection& connection = **last;
    const AttemptOutcome ending = connection.written ? AttemptOutcome::reset : AttemptOutcome::connect_failed;
    if (std::unique_ptr<Work> work = give_back(connection)) {
      end(std::move(work), ending);
    }
  }
}

void ConnectionPool::open(Store& store) {
  if (connections_.size() >= config_.store_connections() && !close_an_idle_one()) {
    return end(take_first(store), AttemptOutcome::connect_failed);
  }
  const auto connection = std::make_shared<Connection>(io_, store, allowance_);
  connection->place = connections_.insert(connections_.end(), connection);
  connection->opened = clock_.now();
  ++store.coming, ++store.connections;
  connection->limit = timers_.set(clock_.now() + config_.connect_timeout, [this, connection] {
    connection->limit.reset();
    opened_not(*connection, AttemptOutcome::connect_failed);
  });
  connection->socket.async_connect(store.endpoint, [this, connection](const asio::error_code& fault) {
    if (connection->state == Connection::State::given_back) {
      return;
    }
    if (fault) {
      return opened_not(*connection, AttemptOutcome::connect_failed);
    }
    asio::error_code ignored;  // a store that is gone again is seen by the read
    connection->socket.set_option(Tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
    connection->out = postgres::startup("svc", "main");
    asio::async_write(connection->socket, asio::buffer(connection->out),
                      [](const asio::error_code&, std::size_t) {});  // the read sees what breaks
    read(connection);
  });
}

// A connection that never came up takes the send with it that has waited longest, if that has no other.
void ConnectionPool::opened_not(Connection& connection, AttemptOutcome ending) {
  Store& store = connection.store;
  give_back(connection);
  if (store.waiting.size() > store.coming) {
    end(take_first(store), ending);
  }
}

// Written at once as far as the system takes it, so that at every later moment it is known whether the
// query's last byte is out. Guards against taking a query for one that never ran because what broke its
// connection was read before the end of the writing was told: a second attempt would have its effect twice.
void ConnectionPool::begin(Connection& connection, std::unique_ptr<Work> work) {
  const Millis now = clock_.now();
  connection.state = Connection::State::busy;
  work->on = &connection;
  timers_.drop(work->limit);
  work->limit = timers_.set(work->until, [this, late = work.get()] { out_of_time(*late); });
  connection.out =
      postgres::query(work->attempt ? postgres::with_patience(*work->text, work->remaining, work->until - now)
                                    : "SHOW vitals");
  connection.work = std::move(work);
  asio::error_code fault;
  const std::size_t count = connection.socket.write_some(asio::buffer(connection.out), fault);
  connection.written = count == connection.out.size();
  if (fault && fault != asio::error::would_block) {
    return broken(connection);
  }
  if (!connection.written) {
    write_rest(connection, count);
  }
}

void ConnectionPool::write_rest(Connection& connection, std::size_t written) {
  const Work* of = connection.work.get();
  asio::async_write(connection.socket, asio::buffer(connection.out) + written,
                    [this, of, held = *connection.place](const asio::error_code& fault, std::size_t) {
                      if (held->work.get() != of) {
                        return;
                      }
                      held->written = !fault;
                      if (fault) {
                        broken(*held);
                      }
                    });
}

void ConnectionPool::read(const Connected& connection) {
  const auto room = connection->buffer.room(4096);
  if (room.empty()) {
    log_.warn("stores", "connection ended",
              {{"member", connection->store.id.address}, {"why", "stores make us hold too much"}});
    return broken(*connection);
  }
  connection->socket.async_read_some(asio::buffer(room.data(), room.size()),
                                     [this, connection](const asio::error_code& fault, std::size_t count) {
                                       if (connection->state == Connection::State::given_back) {
                                         return;
                                       }
                                       connection->buffer.filled(count);
                                       for (;;) {
                                         const postgres::Read next =
                                             postgres::read_from_store(connection->buffer.held());
                                         if (std::holds_alternative<postgres::Partial>(next)) {
                                           break;
                                         }
                                         const auto* message = std::get_if<postgres::Message>(&next);
                                         // Its bytes stay where they are until there is room for more.
                                         if (message) {
                                           connection->buffer.consume(message->bytes.size());
                                         }
                                         const bool fits = message && take(*connection, *message);
                                         if (connection->state == Connection::State::given_back) {
                                           return;
                                         }
                                         if (!fits) {
                                           return spoilt(*connection);
                                         }
                                       }
                                       if (fault) {
                                         return broken(*connection);
                                       }
                                       read(connection);
                                     });
}

// One message of a store. False: it does not belong there.
bool ConnectionPool::take(Connection& connection, const postgres::Message& message) {
  using State = Connection::State;
  Work* work = connection.work.get();
  switch (message.type) {
    case 'R':
    case 'K':
      return connection.state == State::opening;
    case 'N':
      return true;
    case 'S': {  // beside the answer: one that does not read takes nothing from it
      const auto parameter = postgres::read_parameter(message.body);
      if (!work || !parameter) {
        return true;
      }
      const auto [name, value] = *parameter;
      if (name == "rank") {
        work->sample.role = value == "source" ? Role::primary
                            : value == "copy" ? Role::replica
                                              : Role::unknown;
      }
      if (const auto position = postgres::number(value);
          name == "as_of" && position && can_be(*position, clock_.now())) {
        work->sample.position = *position;
      }
      if (name == "vitals") {
        read_report(value, clock_.now(), work->sample);
      }
      return true;
    }
    case 'E': {
      const auto fields = postgres::read_error(message.body);
      if (!fields || connection.state == State::settling || (work && (work->complete || work->code))) {
        return false;
      }
      (work ? work->code : connection.code) = fields->code;
      return true;  // an idle store says why it ends the connection, which comes next
    }
    case 'T':
      if (!work || work->code || work->described || !postgres::describes_one_column(message.body)) {
        return false;
      }
      work->described = true;
      work->row += message.bytes;
      return true;
    case 'D': {
      const auto value = postgres::read_row(message.body);
      if (!work || work->code || !work->described || work->has_row || !value) {
        return false;
      }
      work->has_row = true;
      if (!work->attempt) {
        read_report(*value, clock_.now(), work->sample);
      }
      work->row += message.bytes;
      return true;
    }
    case 'C':
      if (!work || work->code || !work->has_row || work->complete || !postgres::read_tag(message.body)) {
        return false;
      }
      work->complete = true;
      work->row += message.bytes;
      return true;
    case 'Z':
      if (message.body.size() != 1) {
        return false;
      }
      if (connection.state == State::opening || (connection.state == State::settling && connection.written)) {
        ready(connection);
        return true;
      }
      if (!work || !connection.written || !(work->complete || work->code)) {
        return false;
      }
      {
        std::unique_ptr<Work> done = std::move(connection.work);
        rest(connection);
        end(std::move(done));
      }
      return true;
    case 'I':
      return connection.state == State::settling && !std::exchange(connection.written, true);
    default:
      return false;
  }
}

// Before a connection is used again an empty query is asked on it, which costs the store nothing: its answer
// shows that the connection still stands and that nothing comes any more that belongs to the answer before.
// Guards against a second copy being taken for the next op's answer, and ops against connections that have
// been ended without a word.
void ConnectionPool::settle(Connection& connection) {
  // Half a line that was left there: it would swallow the answer.
  if (!connection.buffer.held().empty()) {
    return void(give_back(connection));
  }
  stop_idling(connection);
  connection.state = Connection::State::settling;
  ++connection.store.coming;
  connection.written = false;  // until the answer to the empty query begins
  connection.out = postgres::query("");
  const Connected held = *connection.place;
  connection.limit = timers_.set(clock_.now() + config_.connect_timeout, [this, held] {
    held->limit.reset();
    // The store says nothing: its other connections would not, either.
    for (Connection* idle : std::vector(held->store.idle)) {
      give_back(*idle);
    }
    opened_not(*held, AttemptOutcome::connect_failed);
  });
  asio::async_write(connection.socket, asio::buffer(connection.out),
                    [held](const asio::error_code&, std::size_t) {});  // the read sees what breaks
}

// Guards against beginning what is late by now: a connection that took long to come up, or a process that was
// put aside, where connections speak before timers are looked at.
void ConnectionPool::end_overdue(Store& store) {
  while (!store.waiting.empty() && store.waiting.front()->start_by < clock_.now()) {
    end(take_first(store), AttemptOutcome::not_sent);
  }
}

// The connection may take a send or a probe now.
void ConnectionPool::ready(Connection& connection) {
  --connection.store.coming;
  timers_.drop(connection.limit);
  Store& store = connection.store;
  end_overdue(store);
  if (store.waiting.empty() || outlived(connection)) {
    return rest(connection);
  }
  begin(connection, take_first(store));
}

void ConnectionPool::rest(Connection& connection) {
  connection.state = Connection::State::idle;
  connection.idle_since = clock_.now();
  connection.store.idle.push_back(&connection);
  connection.idle_place = idle_.insert(idle_.end(), &connection);
  Store& store = connection.store;
  if (outlived(connection) || (store.connections > open_ && store.waiting.empty())) {
    give_back(connection);
  }
  dispatch(store);
}

// The store has ended the connection, or nothing more can be understood on it.
void ConnectionPool::broken(Connection& connection) {
  if (connection.state == Connection::State::opening) {
    const bool full =
        connection.code && ending_of_code(*connection.code) == AttemptOutcome::rejected_overloaded;
    return opened_not(connection,
                      full ? AttemptOutcome::rejected_overloaded : AttemptOutcome::connect_failed);
  }
  const bool written = connection.written;
  Store& store = connection.store;
  std::unique_ptr<Work> work = give_back(connection);
  if (!work) {
    return dispatch(store);
  }
  if (work->complete || work->code) {
    return end(std::move(work));
  }
  end(std::move(work), written ? AttemptOutcome::reset : AttemptOutcome::connect_failed);
}

// What came can't be read, or does not belong there. An answer that is spoilt may have run, and the store is
// there: it counts as an error, of which nothing else is believed. The connection is of no further use.
void ConnectionPool::spoilt(Connection& connection) {
  log_.warn("stores", "answer unreadable", {{"member", connection.store.id.address}});
  if (!connection.work || !connection.written) {
    return broken(connection);
  }
  std::unique_ptr<Work> work = give_back(connection);
  work->sample = {};
  work->spoilt = true;
  end(std::move(work), AttemptOutcome::failed);
}

void ConnectionPool::out_of_time(Work& late) {
  if (late.on) {
    return end(give_back(*late.on), AttemptOutcome::timed_out);
  }
  end(take_waiting(late), AttemptOutcome::not_sent);
}

void ConnectionPool::call_off(RequestId op, AttemptNumber number) {
  const auto found = sends_.find({op, number});
  if (found == sends_.end()) {
    return;
  }
  Work& work = *found->second;
  if (work.on) {
    return end(give_back(*work.on), AttemptOutcome::cancelled);
  }
  end(take_waiting(work), AttemptOutcome::not_sent);
}

void ConnectionPool::forget(RequestId op) {
  std::vector<Work*> unwritten;
  for (auto at = sends_.lower_bound({op, {}}); at != sends_.end() && at->first.first == op; ++at) {
    if (!at->second->on) {
      unwritten.push_back(at->second);
    }
  }
  for (Work* work : unwritten) {
    end(take_waiting(*work), AttemptOutcome::not_sent);
  }
}

std::unique_ptr<ConnectionPool::Work> ConnectionPool::take_first(Store& store) {
  std::unique_ptr<Work> first = std::move(store.waiting.front());
  store.waiting.pop_front();
  return first;
}

std::unique_ptr<ConnectionPool::Work> ConnectionPool::take_waiting(Work& work) {
  auto& waiting = work.store->waiting;
  const auto at = std::ranges::find(waiting, &work, [](const auto& owned) { return owned.get(); });
  std::unique_ptr<Work> taken = std::move(*at);
  waiting.erase(at);
  return taken;
}

// What came whole is an answer, whatever became of the connection after it.
void ConnectionPool::end(std::unique_ptr<Work> work) {
  const bool acked = !work->code && work->complete;
  const AttemptOutcome ending = acked        ? AttemptOutcome::acknowledged
                                : work->code ? ending_of_code(*work->code)
                                             : AttemptOutcome::failed;
  end(std::move(work), ending);
}

// Sends, probes and their timers are given back here and nowhere else.
void ConnectionPool::end(std::unique_ptr<Work> work, AttemptOutcome ending) {
  timers_.drop(work->limit);
  const Millis took = clock_.now() - work->from;
  if (!work->attempt) {
    return probe_done_(
        {work->store->id, ending == AttemptOutcome::acknowledged || work->spoilt, took, work->sample});
  }
  sends_.erase(*work->attempt);
  AttemptCompleted ended{work->attempt->first, work->attempt->second, work->store->id, ending, took, false,
                         work->sample};
  send_done_(std::move(ended), std::move(work->row));
}

// Connections are given back here and nowhere else; what one had in hand is returned.
std::unique_ptr<ConnectionPool::Work> ConnectionPool::give_back(Connection& connection) {
  if (connection.state == Connection::State::opening || connection.state == Connection::State::settling) {
    --connection.store.coming;
  }
  if (connection.state == Connection::State::idle) {
    stop_idling(connection);
  }
  connection.state = Connection::State::given_back;
  timers_.drop(connection.limit);
  asio::error_code ignored;
  connection.socket.close(ignored);
  std::unique_ptr<Work> work = std::move(connection.work);
  const Connected last = *connection.place;  // callbacks that are still out hold it, too
  connections_.erase(connection.place);
  // Where a limit holds sends back, one of them may have its turn now.
  if (--connection.store.connections < open_ && open_ != kAny &&
      connection.store.waiting.size() > connection.store.coming) {
    asio::post(io_, [this, id = connection.store.id] {
      if (const auto found = stores_.find(id); found != stores_.end()) {
        dispatch(*found->second);
      }
    });
  }
  return work;
}

void ConnectionPool::stop_idling(Connection& connection) {
  std::erase(connection.store.idle, &connection);
  idle_.erase(connection.idle_place);
}

bool ConnectionPool::close_an_idle_one() {
  if (idle_.empty()) {
    return false;
  }
  give_back(*idle_.front());
  return true;
}

// TestStores close what stands idle for the stated time; a tenth of it before, the connection is closed here,
// so that no send crosses that. Twice as often as that tenth, so that none is missed.
void ConnectionPool::sweep() {
  const Millis tenth = config_.connection_idle / 10;
  const Millis long_ago = clock_.now() - config_.connection_idle + 1.5 * tenth;
  while (!idle_.empty() && idle_.front()->idle_since < long_ago) {
    give_back(*idle_.front());
  }
  sweep_ = timers_.set(clock_.now() + tenth / 2, [this] { sweep(); });
}

void ConnectionPool::stop() {
  timers_.drop(sweep_);
  while (!connections_.empty()) {
    give_back(*connections_.front());
  }
}

}  // namespace reedspindle::upstream
