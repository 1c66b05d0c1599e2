#include "faulttest/test_stores.hpp"

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

std::string big_endian(std::uint32_t number) {
  std::string bytes;
  for (const int shift : {24, 16, 8, 0}) {
    bytes += static_cast<char>(number >> shift & 0xff);
  }
  return bytes;
}

std::string message(char type, const std::string& body) {
  return std::string(1, type) + big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string parameter(const std::string& name, const std::string& value) {
  return message('S', name + '\0' + value + '\0');
}

std::string row(const std::string& value, const std::string& tag) {
  const std::string description = std::string("\0\1value\0", 8) + std::string("\0\0\0\0\0\0", 6) +
                                  std::string("\0\0\0\31\377\377\377\377\377\377\0\0", 12);
  return message('T', description) +
         message('D', std::string("\0\1", 2) + big_endian(static_cast<std::uint32_t>(value.size())) + value) +
         postgres::command_complete(tag);
}

std::string error_response(const char* code, const char* text) {
  return postgres::error(postgres::Severity::error, code, text) + postgres::ready_for_query();
}

}  // namespace

struct TestStores::Connection {
  Connection(Store& of, Tcp::socket open) : store_entry(of), socket(std::move(open)) {}
  Store& store_entry;
  Tcp::socket socket;
  Tcp::endpoint from;
  std::string received, out, writing;
  std::array<char, 4096> bytes;
  bool started = false;
};

struct TestStores::Job {
  ConnectionPtr connection;
  std::string request, token;
  bool writes = false;
  Millis received_at = 0;
  int generation = 0;
};

struct TestStores::Store {
  Store(asio::io_context& io, int number) : store(number), acceptor(io) {}
  const int store;
  Tcp::acceptor acceptor;
  Tcp::endpoint at;
  StoreState state;
  std::list<std::weak_ptr<Connection>> connections;
  std::deque<Job> queue;
  int utilization = 0, generation = 0;

  void listen() {
    acceptor.open(at.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen();
    at = acceptor.local_endpoint();
  }
};

TestStores::TestStores(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                       const std::vector<Tcp::endpoint>& at, const StoreWork& work, std::uint64_t seed)
    : io_(io), timers_(timers), clock_(clock), work_(work), random_(make_random(seed)) {
  for (const Tcp::endpoint& endpoint : at) {
    stores_.push_back(std::make_unique<Store>(io, size()));
    stores_.back()->at = endpoint;
    stores_.back()->listen();
    accept(*stores_.back());
  }
}

TestStores::~TestStores() = default;

Tcp::endpoint TestStores::at(int store) const { return stores_.at(static_cast<std::size_t>(store))->at; }
StoreState& TestStores::state(int store) { return store_entry(store).state; }
const StoreState& TestStores::state(int store) const {
  return stores_.at(static_cast<std::size_t>(store))->state;
}

Millis TestStores::position(int store) const {
  const StoreState& state = stores_.at(static_cast<std::size_t>(store))->state;
  if (state.primary) {
    return clock_.now();
  }
  return state.stalled_at >= 0 ? state.stalled_at : std::max(state.min_position, clock_.now() - state.lag);
}

double TestStores::slow_start_fraction(int store) const {
  const StoreState& state = stores_.at(static_cast<std::size_t>(store))->state;
  if (state.booted <= 0) {
    return 1;
  }
  const double progress = std::min(1.0, (clock_.now() - state.booted) / work_.warm_within);
  return work_.cold_from + (1 - work_.cold_from) * progress;
}

void TestStores::fall(int store) {
  Store& store_entry = this->store_entry(store);
  if (!std::exchange(store_entry.state.up, false)) {
    return;
  }
  ++store_entry.generation, store_entry.utilization = 0;
  store_entry.queue.clear();
  asio::error_code ignored;
  store_entry.acceptor.close(ignored);
  for (const auto& weak : std::exchange(store_entry.connections, {})) {
    if (const ConnectionPtr connection = weak.lock()) {
      connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      connection->socket.close(ignored);
    }
  }
}

void TestStores::rise(int store) {
  Store& store_entry = this->store_entry(store);
  if (std::exchange(store_entry.state.up, true)) {
    return;
  }
  store_entry.state.booted = clock_.now();
  store_entry.listen();
  accept(store_entry);
}

void TestStores::accept(Store& store_entry) {
  store_entry.acceptor.async_accept([this, &store_entry](const asio::error_code& fault, Tcp::socket socket) {
    if (fault || !store_entry.state.up) {
      return;
    }
    ++accepted_;
    asio::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(store_entry, std::move(socket));
    connection->from = connection->socket.remote_endpoint(ignored);
    std::erase_if(store_entry.connections, [](const auto& weak) { return weak.expired(); });
    store_entry.connections.push_back(connection);
    read(connection);
    accept(store_entry);
  });
}

void TestStores::read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(asio::buffer(connection->bytes), [this, connection](
                                                                          const asio::error_code& fault,
                                                                          std::size_t count) {
    if (fault) {
      return;
    }
    connection->received.append(connection->bytes.data(), count);
    if (!connection->started && connection->received.starts_with("PRI")) {
      if (const auto port = http2_ports_.find(connection->store_entry.store); port != http2_ports_.end()) {
        forward_to(connection, port->second);
      }
      return;
    }
    for (;;) {
      const postgres::ReadResult read = connection->started ? postgres::read_from_client(connection->received)
                                                            : postgres::read_startup(connection->received);
      const auto* message = std::get_if<postgres::Message>(&read);
      if (!message) {
        break;
      }
      const std::string text(message->body.substr(0, message->body.empty() ? 0 : message->body.size() - 1));
      const bool is_query = message->type == 'Q';
      connection->received.erase(0, message->bytes.size());
      if (!std::exchange(connection->started, true)) {
        send(connection, postgres::startup_response());
      } else if (is_query) {
        handle_query(connection, text);
      }
    }
    this->read(connection);
  });
}

void TestStores::handle_query(const ConnectionPtr& connection, const std::string& text) {
  Store& store_entry = connection->store_entry;
  if (!store_entry.state.responsive) {
    return;
  }
  if (text == "SHOW vitals") {
    ++probes_;
    const double load = static_cast<double>(store_entry.utilization) / work_.workers;
    return send(connection, row(fmt::format("x0={:.6f},x1={},cpu={:.2f}", position(store_entry.store) / 1000,
                                            store_entry.state.primary ? 1 : 0, std::min(1.0, load)),
                                "SHOW") +
                                postgres::ready_for_query());
  }
  const auto read = postgres::read_statement(text);
  const auto* statement = std::get_if<postgres::Statement>(&read);
  if (!statement) {
    // An empty query is answered and does nothing; the store closes the connection on any other text.
    if (postgres::first_word(text).empty()) {
      return send(connection, postgres::empty_query_response());
    }
    asio::error_code ignored;
    connection->socket.close(ignored);
    return;
  }
  const Millis now = clock_.now();
  const Job job{connection, std::string(statement->id), std::string(statement->token), statement->writes,
                now,        store_entry.generation};
  if (on_received_) {
    on_received_(store_entry.store, job.request, connection->from);
  }
  const auto refuse = [&](ExecutionOutcome outcome, const char* code, const char* why) {
    if (on_executed_) {
      on_executed_({store_entry.store, connection->from, job.request, job.token, job.writes,
                    store_entry.state.primary, outcome, now, now, position(store_entry.store)});
    }
    send(connection, error_response(code, why));
  };
  const double random = static_cast<double>(random_()) / static_cast<double>(random_.max());
  if (random < store_entry.state.errors) {
    return refuse(ExecutionOutcome::errored, "XX000", "it went wrong");
  }
  if (job.writes && !store_entry.state.primary) {
    return refuse(ExecutionOutcome::not_primary, "25006", "no primary");
  }
  if (std::ssize(store_entry.queue) >= work_.queue) {
    return refuse(ExecutionOutcome::full, "53300", "the queue is full");
  }
  store_entry.queue.push_back(job);
  start_jobs(store_entry);
}

void TestStores::start_jobs(Store& store_entry) {
  const int workers =
      std::max(1, static_cast<int>(std::lround(work_.workers * slow_start_fraction(store_entry.store))));
  while (store_entry.utilization < workers && !store_entry.queue.empty()) {
    const Job job = store_entry.queue.front();
    store_entry.queue.pop_front();
    ++store_entry.utilization;
    timers_.set(clock_.now() + work_.work, [this, &store_entry, job] {
      if (job.generation != store_entry.generation) {
        return;
      }
      --store_entry.utilization;
      finish(job.connection, job);
      start_jobs(store_entry);
    });
  }
}

void TestStores::finish(const ConnectionPtr& connection, const Job& job) {
  Store& store_entry = connection->store_entry;
  const Millis now = clock_.now();
  const Millis position = this->position(store_entry.store);
  while (!token_ages_.empty() && now - token_ages_.front().first > work_.token_memory) {
    tokens_.erase(token_ages_.front().second);
    token_ages_.pop_front();
  }
  ExecutionOutcome outcome = ExecutionOutcome::ran;
  if (job.writes && !store_entry.state.primary) {
    outcome = ExecutionOutcome::not_primary;  // the store was primary when the op arrived
  }
  if (outcome == ExecutionOutcome::ran && job.writes && !job.token.empty()) {
    const std::pair key(store_entry.state.group, job.token);
    if (tokens_.emplace(key, now).second) {
      token_ages_.emplace_back(now, key);
    } else {
      outcome = ExecutionOutcome::repeated;
    }
  }
  if (on_executed_) {
    on_executed_({store_entry.store, connection->from, job.request, job.token, job.writes,
                  store_entry.state.primary, outcome, job.received_at, now, position});
  }
  if (!store_entry.state.responsive) {
    return;
  }
  if (outcome == ExecutionOutcome::not_primary) {
    return send(connection, error_response("25006", "no primary"));
  }
  send(connection, row("\x9f" + job.request, job.writes ? "INSERT 0 1" : "SELECT 1") +
                       parameter("rank", store_entry.state.primary ? "source" : "copy") +
                       parameter("as_of", fmt::format("{:.0f}", std::floor(position))) +
                       postgres::ready_for_query());
}

void TestStores::send(const ConnectionPtr& connection, const std::string& bytes) {
  connection->out += bytes;
  if (!connection->writing.empty()) {
    return;
  }
  connection->writing = std::exchange(connection->out, "");
  asio::async_write(connection->socket, asio::buffer(connection->writing),
                    [this, connection](const asio::error_code& fault, std::size_t) {
                      connection->writing.clear();
                      if (!fault && !connection->out.empty()) {
                        send(connection, "");
                      }
                    });
}

void TestStores::forward_to(const ConnectionPtr& connection, int port) {
  const auto upstream = std::make_shared<Connection>(connection->store_entry, Tcp::socket(io_));
  upstream->writing = std::exchange(connection->received, "");
  const Tcp::endpoint to(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
  upstream->socket.async_connect(to, [this, connection, upstream](const asio::error_code& fault) {
    if (fault) {
      return;
    }
    asio::async_write(upstream->socket, asio::buffer(upstream->writing),
                      [this, connection, upstream](const asio::error_code& write_fault, std::size_t) {
                        if (write_fault) {
                          return;
                        }
                        copy(connection, upstream);
                        copy(upstream, connection);
                      });
  });
}

void TestStores::copy(const ConnectionPtr& from, const ConnectionPtr& to) {
  from->socket.async_read_some(
      asio::buffer(from->bytes), [this, from, to](const asio::error_code& fault, std::size_t count) {
        asio::error_code ignored;
        if (fault) {
          from->socket.close(ignored);
          to->socket.close(ignored);
          return;
        }
        asio::async_write(to->socket, asio::buffer(from->bytes, count),
                          [this, from, to](const asio::error_code& write_fault, std::size_t) {
                            if (!write_fault) {
                              copy(from, to);
                            }
                          });
      });
}

}  // namespace reedspindle::faulttest
