#include "faulttest/test_discovery.hpp"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <utility>

namespace reedspindle::faulttest {

using Tcp = asio::ip::tcp;

namespace {

constexpr Millis kTrickleInterval = 100;

std::string response_text(const std::string& body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

}  // namespace

struct TestDiscovery::Connection {
  explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
  Tcp::socket socket;
  Tcp::endpoint from;
  std::string received, out;
  std::array<char, 4096> bytes;
  std::size_t sent = 0;
  long long since = -1;    // revision of the waiting watch; below 0: none
  Millis wait = 0;         // longest wait of the request read last
  bool full_list = false;  // the request read last is for the full list
  bool closed = false;     // by the client
  std::optional<net::Timers::Handle> timeout;
};

TestDiscovery::TestDiscovery(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                             const Tcp::endpoint& at, ListSource list_source, OnWritten on_written)
    : timers_(timers),
      clock_(clock),
      address_(at),
      acceptor_(io),
      list_source_(std::move(list_source)),
      on_written_(std::move(on_written)) {
  listen();
}

TestDiscovery::~TestDiscovery() = default;

void TestDiscovery::listen() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  address_ = acceptor_.local_endpoint();
  acceptor_.listen();
  accept();
}

void TestDiscovery::set_failure(DiscoveryFailure failure, Millis delay) {
  const bool refused = failure_ == DiscoveryFailure::refuses;
  failure_ = failure;
  delay_ = delay;
  asio::error_code ignored;
  if (failure == DiscoveryFailure::refuses) {
    acceptor_.close(ignored);
  } else if (refused) {
    listen();
  }
  if (failure == DiscoveryFailure::none) {
    return answer_held();
  }
  const bool kept = failure == DiscoveryFailure::silent || failure == DiscoveryFailure::holds ||
                    failure == DiscoveryFailure::late;
  if (!kept) {
    drop_open_requests();
  }
}

void TestDiscovery::answer_held() {
  for (const ConnectionPtr& connection : std::exchange(held_, {})) {
    answer(connection);
  }
}

// Ends the open watches as the failure has it: closed, reset, or never answered.
void TestDiscovery::drop_open_requests() {
  const bool closes = failure_ == DiscoveryFailure::refuses || failure_ == DiscoveryFailure::resets;
  held_.clear();
  watchers_.clear();
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    connection->since = -1;
    timers_.cancel(connection->timeout);
    if (closes) {
      reset(connection);
    }
  }
}

void TestDiscovery::accept() {
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (fault) {
      return;
    }
    const auto connection = std::make_shared<Connection>(std::move(socket));
    asio::error_code ignored;
    connection->from = connection->socket.remote_endpoint(ignored);
    connections_.push_back(connection);
    read(connection);
    accept();
  });
}

void TestDiscovery::read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->bytes), [this, connection](const asio::error_code& fault, std::size_t count) {
        if (fault) {
          connection->closed = true;
          return timers_.cancel(connection->timeout);
        }
        connection->received.append(connection->bytes.data(), count);
        const std::size_t header_end = connection->received.find("\r\n\r\n");
        if (header_end != std::string::npos) {
          const std::string line = connection->received.substr(0, connection->received.find("\r\n"));
          connection->received.erase(0, header_end + 4);
          handle_request(connection, line);
        }
        read(connection);
      });
}

void TestDiscovery::handle_request(const ConnectionPtr& connection, const std::string& line) {
  const auto number = [&line](const char* name, long long fallback) {
    const std::size_t at = line.find(name);
    return at == std::string::npos ? fallback : std::stoll(line.substr(at + std::string(name).size()));
  };
  timers_.cancel(connection->timeout);
  ++calls_;
  connection->since = number("since=", -1);
  connection->full_list = connection->since < 0;
  connection->wait = static_cast<Millis>(number("timeout_ms=", 60000));
  if (failing()) {
    return fail(connection);
  }
  answer(connection);
}

// Answers the request at once, or keeps it as a watch.
void TestDiscovery::answer(const ConnectionPtr& connection) {
  const ListUpdate update = list_source_(connection->since);
  if (connection->full_list || connection->since < update.revision) {
    return respond(connection, update.list, update.revision);
  }
  watchers_.push_back(connection);
  // A watch that times out gets an empty list of changes.
  connection->timeout = timers_.set(clock_.now() + connection->wait, [this, connection] {
    connection->timeout.reset();
    if (connection->since < 0) {
      return;
    }
    if (failing()) {
      return fail(connection);
    }
    respond(connection, fmt::format(R"({{"rev":{},"all":false,"targets":[]}})", connection->since),
            connection->since);
  });
}

void TestDiscovery::fail(const ConnectionPtr& connection) {
  switch (failure_) {
    case DiscoveryFailure::none:
    case DiscoveryFailure::silent:
    case DiscoveryFailure::hangs:
    case DiscoveryFailure::refuses:
      return;
    case DiscoveryFailure::holds:
      return held_.push_back(connection);
    case DiscoveryFailure::half: {
      const std::string text = response_text(list_source_(connection->since).list);
      connection->out = text.substr(0, text.size() / 2);
      return write(connection);
    }
    case DiscoveryFailure::trickles:
      connection->out = response_text(std::string(1 << 20, ' ')).substr(0, 40);
      write(connection);
      return trickle(connection);
    case DiscoveryFailure::resets:
      return reset(connection);
    case DiscoveryFailure::status:
      connection->out = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
      return write(connection);
    case DiscoveryFailure::late:
      connection->timeout =
          timers_.set(clock_.now() + delay_, [this, connection, update = list_source_(connection->since)] {
            connection->timeout.reset();
            respond(connection, update.list, update.revision);
          });
      return;
  }
}

void TestDiscovery::trickle(const ConnectionPtr& connection) {
  connection->timeout = timers_.set(clock_.now() + kTrickleInterval, [this, connection] {
    connection->timeout.reset();
    connection->out = " ";
    write(connection);
    trickle(connection);
  });
}

void TestDiscovery::reset(const ConnectionPtr& connection) {
  asio::error_code ignored;
  connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  connection->socket.close(ignored);
}

void TestDiscovery::notify_watchers() {
  std::erase_if(watchers_, [](const auto& weak) { return weak.expired() || weak.lock()->since < 0; });
  if (failing()) {
    return;
  }
  for (const auto& weak : std::exchange(watchers_, {})) {
    const ConnectionPtr connection = weak.lock();
    if (!connection || connection->since < 0) {
      continue;
    }
    const ListUpdate update = list_source_(connection->since);
    respond(connection, update.list, update.revision);
  }
}

void TestDiscovery::respond(const ConnectionPtr& connection, const std::string& body, long long revision) {
  connection->since = -1;
  timers_.cancel(connection->timeout);
  if (connection->closed) {
    return;
  }
  connection->out = response_text(body);
  connection->sent += connection->out.size();
  if (on_written_) {
    on_written_(connection->from, connection->sent, revision);
  }
  write(connection);
}

void TestDiscovery::write(const ConnectionPtr& connection) {
  asio::async_write(connection->socket, asio::buffer(connection->out),
                    [connection](const asio::error_code&, std::size_t) {});
}

}  // namespace reedspindle::faulttest
