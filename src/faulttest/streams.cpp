#include "faulttest/streams.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace reedspindle::faulttest {

namespace {

constexpr std::size_t kHeld =
    256 * 1024;                        // bytes that one connection may have under way; then it is not read
constexpr Millis kRemembered = 20000;  // longer than any op of a plan may take
constexpr int kWaiting = 512;          // connections that nobody has accepted yet

void set_reset(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct Streams::Gate {
  Gate(asio::io_context& io, const Endpoint& at, Endpoint to_whom)
      : acceptor(io), target(std::move(to_whom)) {
    acceptor.open(at.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(kWaiting);
  }
  int number = 0;
  asio::ip::tcp::acceptor acceptor;
  const Endpoint target;
  Way to, back;
  int open = 0;  // connections that who opened them has not ended
};

struct Streams::Pipe {
  Pipe(asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink, Way& of, Passage& written_down)
      : from(source), to(sink), way(of), passage(written_down) {}
  struct Piece {
    Millis due = 0;
    std::string bytes;  // none: the end
    bool reset = false;
  };
  asio::ip::tcp::socket &from, &to;
  Way& way;
  Passage& passage;
  std::deque<Piece> held;
  std::size_t bytes_held = 0;
  Millis last_due = 0;
  bool reading = false, writing = false, over = false;
  std::optional<net::Timers::Handle> wake;
  std::array<char, 16384> buffer;
};

struct Streams::Connection {
  Connection(Gate& of, asio::ip::tcp::socket socket, asio::io_context& io)
      : gate(of),
        opener(std::move(socket)),
        target(io),
        crossing(std::make_shared<Crossing>()),
        to(opener, target, of.to, crossing->to),
        back(target, opener, of.back, crossing->back) {
    crossing->gate = of.number;
  }
  Gate& gate;
  asio::ip::tcp::socket opener, target;
  std::shared_ptr<Crossing> crossing;
  Pipe to, back;
  Endpoint far, near;  // the two far ends
  bool connecting = false, connected = false, given_back = false;
};

Streams::Streams(asio::io_context& io, net::Timers& timers, const net::Clock& clock, std::uint64_t seed)
    : io_(io),
      timers_(timers),
      clock_(clock),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

Streams::~Streams() = default;

int Streams::open(const Endpoint& at, const Endpoint& target) {
  gates_.push_back(std::make_unique<Gate>(io_, at, target));
  gates_.back()->number = static_cast<int>(gates_.size()) - 1;
  accept(*gates_.back());
  return gates_.back()->number;
}

Way& Streams::to(int gate) { return gates_.at(static_cast<std::size_t>(gate))->to; }
Way& Streams::back(int gate) { return gates_.at(static_cast<std::size_t>(gate))->back; }

void Streams::accept(Gate& gate) {
  gate.acceptor.async_accept([this, &gate](const asio::error_code& fault, asio::ip::tcp::socket socket) {
    if (fault == asio::error::operation_aborted) {
      return;
    }
    if (!fault) {
      const auto connection = std::make_shared<Connection>(gate, std::move(socket), io_);
      asio::error_code gone;
      connection->far = connection->opener.remote_endpoint(gone);
      if (!gone) {
        connections_.push_back(connection);
        ++gate.open;
        ends_[connection->far] = connection;
        read(connection, connection->to);
        connect(connection);
      }
    }
    accept(gate);
  });
}

void Streams::connect(const Connected& connection) {
  if (connection->connecting || connection->gate.to.cut || connection->gate.back.cut) {
    return;
  }
  connection->connecting = true;
  connection->target.async_connect(
      connection->gate.target, [this, connection](const asio::error_code& fault) {
        if (connection->given_back) {
          return;
        }
        if (fault) {
          return break_off(connection);
        }
        connection->connected = true;
        asio::error_code ignored;
        connection->near = connection->target.local_endpoint(ignored);
        ends_[connection->near] = connection;
        for (asio::ip::tcp::socket* socket : {&connection->opener, &connection->target}) {
          socket->set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        pass(connection, connection->to);
        read(connection, connection->back);
      });
}

void Streams::read(const Connected& connection, Pipe& pipe) {
  if (pipe.reading || pipe.over || pipe.bytes_held > kHeld) {
    return;
  }
  pipe.reading = true;
  pipe.from.async_read_some(
      asio::buffer(pipe.buffer), [this, connection, &pipe](const asio::error_code& fault, std::size_t count) {
        pipe.reading = false;
        if (connection->given_back) {
          return;
        }
        const Millis now = clock_.now();
        // In order, whatever the jitter.
        const double drawn = static_cast<double>(random_()) / static_cast<double>(random_.max());
        Millis due = std::max(pipe.last_due, now + pipe.way.by + pipe.way.jitter * drawn);
        if (pipe.way.rate > 0) {
          due += static_cast<double>(count) * 1000 / pipe.way.rate;
        }
        pipe.last_due = due;
        if (fault) {
          pipe.passage.ended = now, pipe.over = true;
          if (&pipe == &connection->to) {
            --connection->gate.open;
          }
          pipe.held.push_back({due, "", fault != asio::error::eof});
        } else {
          pipe.passage.read = now, pipe.passage.taken += count, pipe.bytes_held += count;
          pipe.held.push_back({due, std::string(pipe.buffer.data(), count), false});
        }
        pass(connection, pipe);
        read(connection, pipe);
      });
}

void Streams::pass(const Connected& connection, Pipe& pipe) {
  if (connection->given_back || !connection->connected || pipe.writing || pipe.held.empty() || pipe.way.cut) {
    return;
  }
  if (pipe.held.front().due > clock_.now()) {
    if (!pipe.wake) {
      pipe.wake = timers_.set(pipe.held.front().due, [this, connection, &pipe] {
        pipe.wake.reset();
        pass(connection, pipe);
      });
    }
    return;
  }
  if (pipe.held.front().bytes.empty()) {
    const bool reset = pipe.held.front().reset;
    pipe.held.pop_front();
    if (reset) {
      return break_off(connection);
    }
    asio::error_code ignored;
    pipe.to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (connection->to.over && connection->back.over && connection->to.held.empty() &&
        connection->back.held.empty()) {
      give_back(connection);
    }
    return;
  }
  pipe.writing = true;
  asio::async_write(pipe.to, asio::buffer(pipe.held.front().bytes),
                    [this, connection, &pipe](const asio::error_code& fault, std::size_t count) {
                      pipe.writing = false;
                      if (connection->given_back) {
                        return;
                      }
                      fault ? break_off(connection) : wrote(connection, pipe, count);
                    });
}

void Streams::wrote(const Connected& connection, Pipe& pipe, std::size_t bytes) {
  pipe.passage.written = clock_.now(), pipe.passage.given += bytes;
  pipe.bytes_held -= bytes;
  pipe.held.pop_front();
  if (passed_) {
    passed_({connection->gate.number, &pipe == &connection->back, connection->far, connection->near,
             pipe.passage.given, pipe.passage.written});
  }
  pass(connection, pipe);
  read(connection, pipe);
}

void Streams::break_off(const Connected& connection) {
  set_reset(connection->opener);
  set_reset(connection->target);
  give_back(connection);
}

void Streams::give_back(const Connected& connection) {
  if (std::exchange(connection->given_back, true)) {
    return;
  }
  if (!connection->to.over) {
    --connection->gate.open;
  }
  asio::error_code ignored;
  connection->opener.close(ignored);
  connection->target.close(ignored);
  timers_.cancel(connection->to.wake);
  timers_.cancel(connection->back.wake);
  const Millis now = clock_.now();
  for (const Endpoint& end : {connection->far, connection->near}) {
    if (ends_.erase(end) > 0) {
      gone_[end] = {now, connection->crossing}, going_.push_back(end);
    }
  }
  while (!going_.empty()) {
    const auto oldest = gone_.find(going_.front());
    // An end may have come back since, under the same numbers.
    if (oldest != gone_.end() && now - oldest->second.first < kRemembered) {
      break;
    }
    if (oldest != gone_.end()) {
      gone_.erase(oldest);
    }
    going_.pop_front();
  }
  connections_.remove(connection);
}

void Streams::go_on() {
  for (const Connected& connection : std::list<Connected>(connections_)) {
    connect(connection);
    pass(connection, connection->to);
    pass(connection, connection->back);
  }
}

void Streams::heal() {
  for (const auto& gate : gates_) {
    gate->to = gate->back = {};
  }
  go_on();
}

void Streams::reset(int gate) {
  for (const Connected& connection : std::list<Connected>(connections_)) {
    if (connection->gate.number == gate) {
      break_off(connection);
    }
  }
}

int Streams::open_at(int gate) const { return gates_.at(static_cast<std::size_t>(gate))->open; }

std::shared_ptr<const Crossing> Streams::crossing(const Endpoint& end) const {
  if (const auto found = ends_.find(end); found != ends_.end()) {
    if (const Connected connection = found->second.lock()) {
      return connection->crossing;
    }
  }
  const auto gone = gone_.find(end);
  return gone == gone_.end() ? nullptr : gone->second.second;
}

}  // namespace reedspindle::faulttest
