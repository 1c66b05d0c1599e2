#include "faulttest/streams.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::faulttest {

namespace {

// Buffered bytes of one direction of a connection; with more, its source is not read.
constexpr std::size_t kMaxBuffered = 256 * 1024;
// How long records of closed connections are kept: longer than any op of a plan may take.
constexpr Millis kRecordRetention = 20000;
constexpr int kBacklog = 512;

void set_reset(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct StreamRelay::Forwarder {
  Forwarder(asio::io_context& io, const Endpoint& at, Endpoint to) : acceptor(io), target(std::move(to)) {
    acceptor.open(at.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(kBacklog);
    address = acceptor.local_endpoint();
  }
  int number = 0;
  asio::ip::tcp::acceptor acceptor;
  Endpoint address;  // on which it listens
  const Endpoint target;
  Direction forward, backward;
  int open = 0;  // connections that the opening party has not closed
};

struct StreamRelay::Pipe {
  Pipe(asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink, Direction& of, TransferRecord& record)
      : from(source), to(sink), direction(of), transfer(record) {}
  struct Chunk {
    Millis due = 0;
    std::string bytes;  // empty: end of the stream
    bool reset = false;
  };
  asio::ip::tcp::socket &from, &to;
  Direction& direction;
  TransferRecord& transfer;
  std::deque<Chunk> queue;
  std::size_t buffered = 0;
  Millis last_due = 0;
  bool reading = false, writing = false, ended = false;
  std::optional<net::Timers::Handle> timer;
  std::array<char, 16384> buffer;
};

struct StreamRelay::Connection {
  Connection(Forwarder& owner, asio::ip::tcp::socket socket, asio::io_context& io)
      : forwarder(owner),
        opener(std::move(socket)),
        target(io),
        record(std::make_shared<ConnectionRecord>()),
        forward(opener, target, owner.forward, record->forward),
        backward(target, opener, owner.backward, record->backward) {
    record->forwarder = owner.number;
  }
  Forwarder& forwarder;
  asio::ip::tcp::socket opener, target;
  std::shared_ptr<ConnectionRecord> record;
  Pipe forward, backward;
  ConnectionAddress opener_address, target_address;  // as the opener and the target see it
  bool connecting = false, connected = false, closed = false;
};

StreamRelay::StreamRelay(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                         std::uint64_t seed)
    : io_(io), timers_(timers), clock_(clock), random_(make_random(seed)) {}

StreamRelay::~StreamRelay() = default;

int StreamRelay::open(const Endpoint& at, const Endpoint& target) {
  forwarders_.push_back(std::make_unique<Forwarder>(io_, at, target));
  forwarders_.back()->number = static_cast<int>(forwarders_.size()) - 1;
  accept(*forwarders_.back());
  return forwarders_.back()->number;
}

Direction& StreamRelay::forward(int forwarder) {
  return forwarders_.at(static_cast<std::size_t>(forwarder))->forward;
}
Direction& StreamRelay::backward(int forwarder) {
  return forwarders_.at(static_cast<std::size_t>(forwarder))->backward;
}

void StreamRelay::accept(Forwarder& forwarder) {
  forwarder.acceptor.async_accept(
      [this, &forwarder](const asio::error_code& fault, asio::ip::tcp::socket socket) {
        if (fault == asio::error::operation_aborted) {
          return;
        }
        if (!fault) {
          const auto connection = std::make_shared<Connection>(forwarder, std::move(socket), io_);
          asio::error_code closed;
          connection->opener_address = {connection->opener.remote_endpoint(closed), forwarder.address};
          if (!closed) {
            connections_.push_back(connection);
            ++forwarder.open;
            by_address_[connection->opener_address] = connection;
            read(connection, connection->forward);
            connect(connection);
          }
        }
        accept(forwarder);
      });
}

void StreamRelay::connect(const ConnectionPtr& connection) {
  if (connection->connecting || connection->forwarder.forward.cut || connection->forwarder.backward.cut) {
    return;
  }
  connection->connecting = true;
  connection->target.async_connect(connection->forwarder.target, [this,
                                                                  connection](const asio::error_code& fault) {
    if (connection->closed) {
      return;
    }
    if (fault) {
      return reset_connection(connection);
    }
    connection->connected = true;
    asio::error_code ignored;
    connection->target_address = {connection->target.local_endpoint(ignored), connection->forwarder.target};
    by_address_[connection->target_address] = connection;
    for (asio::ip::tcp::socket* socket : {&connection->opener, &connection->target}) {
      socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    deliver(connection, connection->forward);
    read(connection, connection->backward);
  });
}

void StreamRelay::read(const ConnectionPtr& connection, Pipe& pipe) {
  if (pipe.reading || pipe.ended || pipe.buffered > kMaxBuffered) {
    return;
  }
  pipe.reading = true;
  pipe.from.async_read_some(
      asio::buffer(pipe.buffer), [this, connection, &pipe](const asio::error_code& fault, std::size_t count) {
        pipe.reading = false;
        if (connection->closed) {
          return;
        }
        const Millis now = clock_.now();
        // Never before earlier bytes, so that jitter does not reorder the stream.
        const double random = static_cast<double>(random_()) / static_cast<double>(random_.max());
        Millis due = std::max(pipe.last_due, now + pipe.direction.delay + pipe.direction.jitter * random);
        if (pipe.direction.rate > 0) {
          due += static_cast<double>(count) * 1000 / pipe.direction.rate;
        }
        pipe.last_due = due;
        if (fault) {
          pipe.transfer.ended_at = now, pipe.ended = true;
          if (&pipe == &connection->forward) {
            --connection->forwarder.open;
          }
          pipe.queue.push_back({due, "", fault != asio::error::eof});
        } else {
          pipe.transfer.read = now, pipe.transfer.bytes_read += count, pipe.buffered += count;
          pipe.queue.push_back({due, std::string(pipe.buffer.data(), count), false});
        }
        deliver(connection, pipe);
        read(connection, pipe);
      });
}

void StreamRelay::deliver(const ConnectionPtr& connection, Pipe& pipe) {
  if (connection->closed || !connection->connected || pipe.writing || pipe.queue.empty() ||
      pipe.direction.cut) {
    return;
  }
  if (pipe.queue.front().due > clock_.now()) {
    if (!pipe.timer) {
      pipe.timer = timers_.set(pipe.queue.front().due, [this, connection, &pipe] {
        pipe.timer.reset();
        deliver(connection, pipe);
      });
    }
    return;
  }
  if (pipe.queue.front().bytes.empty()) {
    const bool reset = pipe.queue.front().reset;
    pipe.queue.pop_front();
    if (reset) {
      return reset_connection(connection);
    }
    asio::error_code ignored;
    pipe.to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (connection->forward.ended && connection->backward.ended && connection->forward.queue.empty() &&
        connection->backward.queue.empty()) {
      close(connection);
    }
    return;
  }
  pipe.writing = true;
  asio::async_write(pipe.to, asio::buffer(pipe.queue.front().bytes),
                    [this, connection, &pipe](const asio::error_code& fault, std::size_t count) {
                      pipe.writing = false;
                      if (connection->closed) {
                        return;
                      }
                      fault ? reset_connection(connection) : on_written(connection, pipe, count);
                    });
}

void StreamRelay::on_written(const ConnectionPtr& connection, Pipe& pipe, std::size_t bytes) {
  pipe.transfer.written = clock_.now(), pipe.transfer.bytes_written += bytes;
  pipe.buffered -= bytes;
  pipe.queue.pop_front();
  if (on_delivery_) {
    on_delivery_({connection->forwarder.number, &pipe == &connection->backward, connection->opener_address,
                  connection->target_address, pipe.transfer.bytes_written, pipe.transfer.written});
  }
  deliver(connection, pipe);
  read(connection, pipe);
}

void StreamRelay::reset_connection(const ConnectionPtr& connection) {
  set_reset(connection->opener);
  set_reset(connection->target);
  close(connection);
}

void StreamRelay::close(const ConnectionPtr& connection) {
  if (std::exchange(connection->closed, true)) {
    return;
  }
  if (!connection->forward.ended) {
    --connection->forwarder.open;
  }
  asio::error_code ignored;
  connection->opener.close(ignored);
  connection->target.close(ignored);
  timers_.cancel(connection->forward.timer);
  timers_.cancel(connection->backward.timer);
  const Millis now = clock_.now();
  for (const ConnectionAddress& address : {connection->opener_address, connection->target_address}) {
    if (by_address_.erase(address) > 0) {
      closed_records_[address] = {now, connection->record}, closed_order_.push_back(address);
    }
  }
  while (!closed_order_.empty()) {
    const auto oldest = closed_records_.find(closed_order_.front());
    // The same address may have been used again since, by a connection that closed later.
    if (oldest != closed_records_.end() && now - oldest->second.first < kRecordRetention) {
      break;
    }
    if (oldest != closed_records_.end()) {
      closed_records_.erase(oldest);
    }
    closed_order_.pop_front();
  }
  connections_.remove(connection);
}

void StreamRelay::resume() {
  for (const ConnectionPtr& connection : std::list<ConnectionPtr>(connections_)) {
    connect(connection);
    deliver(connection, connection->forward);
    deliver(connection, connection->backward);
  }
}

void StreamRelay::heal() {
  for (const auto& forwarder : forwarders_) {
    forwarder->forward = forwarder->backward = {};
  }
  resume();
}

void StreamRelay::reset(int forwarder) {
  for (const ConnectionPtr& connection : std::list<ConnectionPtr>(connections_)) {
    if (connection->forwarder.number == forwarder) {
      reset_connection(connection);
    }
  }
}

int StreamRelay::open_connections(int forwarder) const {
  return forwarders_.at(static_cast<std::size_t>(forwarder))->open;
}

std::shared_ptr<const ConnectionRecord> StreamRelay::record(const ConnectionAddress& address) const {
  if (const auto found = by_address_.find(address); found != by_address_.end()) {
    if (const ConnectionPtr connection = found->second.lock()) {
      return connection->record;
    }
  }
  const auto closed = closed_records_.find(address);
  return closed == closed_records_.end() ? nullptr : closed->second.second;
}

}  // namespace reedspindle::faulttest
