#include "faulttest/test_stores.hpp"

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

std::string failed(const char* code, const char* text) {
  return postgres::error(postgres::Severity::error, code, text) + postgres::ready_for_query();
}

}  // namespace

struct TestStores::Connection {
  Connection(Place& of, Tcp::socket open) : place(of), socket(std::move(open)) {}
  Place& place;
  Tcp::socket socket;
  Tcp::endpoint from;
  std::string held, out, writing;
  std::array<char, 4096> bytes;
  bool started = false;
};

struct TestStores::Job {
  Connected connection;
  std::string request, token;
  bool writes = false;
  Millis came = 0;
  int life = 0;
};

struct TestStores::Place {
  Place(asio::io_context& io, int number) : store(number), acceptor(io) {}
  const int store;
  Tcp::acceptor acceptor;
  Tcp::endpoint at;
  StoreState state;
  std::list<std::weak_ptr<Connection>> connections;
  std::deque<Job> queue;
  int utilization = 0, life = 0;

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
    : io_(io),
      timers_(timers),
      clock_(clock),
      work_(work),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  for (const Tcp::endpoint& endpoint : at) {
    places_.push_back(std::make_unique<Place>(io, size()));
    places_.back()->at = endpoint;
    places_.back()->listen();
    accept(*places_.back());
  }
}

TestStores::~TestStores() = default;

Tcp::endpoint TestStores::at(int store) const { return places_.at(static_cast<std::size_t>(store))->at; }
StoreState& TestStores::state(int store) { return place(store).state; }
const StoreState& TestStores::state(int store) const {
  return places_.at(static_cast<std::size_t>(store))->state;
}

Millis TestStores::position(int store) const {
  const StoreState& state = places_.at(static_cast<std::size_t>(store))->state;
  if (state.primary) {
    return clock_.now();
  }
  return state.stalled_at >= 0 ? state.stalled_at : std::max(state.reached, clock_.now() - state.lag);
}

double TestStores::slow_start_fraction(int store) const {
  const StoreState& state = places_.at(static_cast<std::size_t>(store))->state;
  if (state.booted <= 0) {
    return 1;
  }
  const double run = std::min(1.0, (clock_.now() - state.booted) / work_.warm_within);
  return work_.cold_from + (1 - work_.cold_from) * run;
}

void TestStores::fall(int store) {
  Place& place = this->place(store);
  if (!std::exchange(place.state.up, false)) {
    return;
  }
  ++place.life, place.utilization = 0;
  place.queue.clear();
  asio::error_code ignored;
  place.acceptor.close(ignored);
  for (const auto& weak : std::exchange(place.connections, {})) {
    if (const Connected connection = weak.lock()) {
      connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      connection->socket.close(ignored);
    }
  }
}

void TestStores::rise(int store) {
  Place& place = this->place(store);
  if (std::exchange(place.state.up, true)) {
    return;
  }
  place.state.booted = clock_.now();
  place.listen();
  accept(place);
}

void TestStores::accept(Place& place) {
  place.acceptor.async_accept([this, &place](const asio::error_code& fault, Tcp::socket socket) {
    if (fault || !place.state.up) {
      return;
    }
    ++accepted_;
    asio::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(place, std::move(socket));
    connection->from = connection->socket.remote_endpoint(ignored);
    std::erase_if(place.connections, [](const auto& weak) { return weak.expired(); });
    place.connections.push_back(connection);
    read(connection);
    accept(place);
  });
}

void TestStores::read(const Connected& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->bytes), [this, connection](const asio::error_code& fault, std::size_t count) {
        if (fault) {
          return;
        }
        connection->held.append(connection->bytes.data(), count);
        if (!connection->started && connection->held.starts_with("PRI")) {
          if (const auto port = http2_.find(connection->place.store); port != http2_.end()) {
            pass_on(connection, port->second);
          }
          return;
        }
        for (;;) {
          const postgres::ReadResult read = connection->started ? postgres::read_from_client(connection->held)
                                                                : postgres::read_startup(connection->held);
          const auto* asked = std::get_if<postgres::Message>(&read);
          if (!asked) {
            break;
          }
          const std::string text(asked->body.substr(0, asked->body.empty() ? 0 : asked->body.size() - 1));
          const bool asks = asked->type == 'Q';
          connection->held.erase(0, asked->bytes.size());
          if (!std::exchange(connection->started, true)) {
            answer(connection, postgres::startup_response());
          } else if (asks) {
            take(connection, text);
          }
        }
        this->read(connection);
      });
}

void TestStores::take(const Connected& connection, const std::string& text) {
  Place& place = connection->place;
  if (!place.state.answers) {
    return;
  }
  if (text == "SHOW vitals") {
    ++probes_;
    const double load = static_cast<double>(place.utilization) / work_.workers;
    return answer(connection, row(fmt::format("x0={:.6f},x1={},cpu={:.2f}", position(place.store) / 1000,
                                              place.state.primary ? 1 : 0, std::min(1.0, load)),
                                  "SHOW") +
                                  postgres::ready_for_query());
  }
  const auto read = postgres::read_statement(text);
  const auto* statement = std::get_if<postgres::Statement>(&read);
  if (!statement) {
    // Blanks are answered and do nothing; a store closes on anything else.
    if (postgres::first_word(text).empty()) {
      return answer(connection, postgres::empty_query_response());
    }
    asio::error_code ignored;
    connection->socket.close(ignored);
    return;
  }
  const Millis now = clock_.now();
  const Job job{connection, std::string(statement->id), std::string(statement->token), statement->writes, now,
                place.life};
  if (came_) {
    came_(place.store, job.request, connection->from);
  }
  const auto refuse = [&](Deed deed, const char* code, const char* why) {
    if (told_) {
      told_({place.store, connection->from, job.request, job.token, job.writes, place.state.primary, deed,
             now, now, position(place.store)});
    }
    answer(connection, failed(code, why));
  };
  const double drawn = static_cast<double>(random_()) / static_cast<double>(random_.max());
  if (drawn < place.state.errors) {
    return refuse(Deed::errored, "XX000", "it went wrong");
  }
  if (job.writes && !place.state.primary) {
    return refuse(Deed::not_primary, "25006", "no primary");
  }
  if (std::ssize(place.queue) >= work_.queue) {
    return refuse(Deed::full, "53300", "the queue is full");
  }
  place.queue.push_back(job);
  work(place);
}

void TestStores::work(Place& place) {
  const int workers =
      std::max(1, static_cast<int>(std::lround(work_.workers * slow_start_fraction(place.store))));
  while (place.utilization < workers && !place.queue.empty()) {
    const Job job = place.queue.front();
    place.queue.pop_front();
    ++place.utilization;
    timers_.set(clock_.now() + work_.work, [this, &place, job] {
      if (job.life != place.life) {
        return;
      }
      --place.utilization;
      done(job.connection, job);
      work(place);
    });
  }
}

void TestStores::done(const Connected& connection, const Job& job) {
  Place& place = connection->place;
  const Millis now = clock_.now();
  const Millis position = this->position(place.store);
  while (!by_age_.empty() && now - by_age_.front().first > work_.token_memory) {
    tokens_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
  Deed deed = Deed::ran;
  if (job.writes && !place.state.primary) {
    deed = Deed::not_primary;  // it was one when the op came
  }
  if (deed == Deed::ran && job.writes && !job.token.empty()) {
    const std::pair key(place.state.group, job.token);
    if (tokens_.emplace(key, now).second) {
      by_age_.emplace_back(now, key);
    } else {
      deed = Deed::repeated;
    }
  }
  if (told_) {
    told_({place.store, connection->from, job.request, job.token, job.writes, place.state.primary, deed,
           job.came, now, position});
  }
  if (!place.state.answers) {
    return;
  }
  if (deed == Deed::not_primary) {
    return answer(connection, failed("25006", "no primary"));
  }
  answer(connection, row("\x9f" + job.request, job.writes ? "INSERT 0 1" : "SELECT 1") +
                         parameter("rank", place.state.primary ? "source" : "copy") +
                         parameter("as_of", fmt::format("{:.0f}", std::floor(position))) +
                         postgres::ready_for_query());
}

void TestStores::answer(const Connected& connection, const std::string& bytes) {
  connection->out += bytes;
  if (!connection->writing.empty()) {
    return;
  }
  connection->writing = std::exchange(connection->out, "");
  asio::async_write(connection->socket, asio::buffer(connection->writing),
                    [this, connection](const asio::error_code& fault, std::size_t) {
                      connection->writing.clear();
                      if (!fault && !connection->out.empty()) {
                        answer(connection, "");
                      }
                    });
}

void TestStores::pass_on(const Connected& connection, int port) {
  const auto other = std::make_shared<Connection>(connection->place, Tcp::socket(io_));
  other->writing = std::exchange(connection->held, "");
  const Tcp::endpoint to(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
  other->socket.async_connect(to, [this, connection, other](const asio::error_code& fault) {
    if (fault) {
      return;
    }
    asio::async_write(other->socket, asio::buffer(other->writing),
                      [this, connection, other](const asio::error_code& broken, std::size_t) {
                        if (broken) {
                          return;
                        }
                        relay(connection, other);
                        relay(other, connection);
                      });
  });
}

void TestStores::relay(const Connected& from, const Connected& to) {
  from->socket.async_read_some(
      asio::buffer(from->bytes), [this, from, to](const asio::error_code& fault, std::size_t count) {
        asio::error_code ignored;
        if (fault) {
          from->socket.close(ignored);
          to->socket.close(ignored);
          return;
        }
        asio::async_write(to->socket, asio::buffer(from->bytes, count),
                          [this, from, to](const asio::error_code& broken, std::size_t) {
                            if (!broken) {
                              relay(from, to);
                            }
                          });
      });
}

}  // namespace reedspindle::faulttest
