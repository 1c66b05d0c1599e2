#include "faulttest/test_discovery.hpp"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <utility>

namespace reedspindle::faulttest {

using Tcp = asio::ip::tcp;

struct TestDiscovery::Connection {
  explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
  Tcp::socket socket;
  Tcp::endpoint from;
  std::string received, out;
  std::array<char, 4096> bytes;
  std::size_t sent = 0;
  long long since = -1;  // revision of the waiting watch; below 0: none
  std::optional<net::Timers::Handle> timeout;
};

TestDiscovery::TestDiscovery(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                             const Tcp::endpoint& at, ListSource list_source, OnWritten on_written)
    : timers_(timers),
      clock_(clock),
      acceptor_(io, at),
      list_source_(std::move(list_source)),
      on_written_(std::move(on_written)) {
  accept();
}

TestDiscovery::~TestDiscovery() = default;

void TestDiscovery::accept() {
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (fault) {
      return;
    }
    const auto connection = std::make_shared<Connection>(std::move(socket));
    asio::error_code ignored;
    connection->from = connection->socket.remote_endpoint(ignored);
    read(connection);
    accept();
  });
}

void TestDiscovery::read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->bytes), [this, connection](const asio::error_code& fault, std::size_t count) {
        if (fault) {
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
  if (silent_) {
    return;
  }
  const ListUpdate update = list_source_(connection->since);
  if (connection->since < 0 || connection->since < update.revision) {
    return respond(connection, update.list, update.revision);
  }
  watchers_.push_back(connection);
  // A watch that times out gets an empty list of changes.
  connection->timeout =
      timers_.set(clock_.now() + static_cast<double>(number("timeout_ms=", 60000)), [this, connection] {
        connection->timeout.reset();
        if (silent_ || connection->since < 0) {
          return;
        }
        respond(connection, fmt::format(R"({{"rev":{},"all":false,"targets":[]}})", connection->since),
                connection->since);
      });
}

void TestDiscovery::notify_watchers() {
  std::erase_if(watchers_, [](const auto& weak) { return weak.expired() || weak.lock()->since < 0; });
  if (silent_) {
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
  connection->out = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
  connection->sent += connection->out.size();
  if (on_written_) {
    on_written_(connection->from, connection->sent, revision);
  }
  asio::async_write(connection->socket, asio::buffer(connection->out),
                    [connection](const asio::error_code&, std::size_t) {});
}

}  // namespace reedspindle::faulttest
