#include "faulttest/test_discovery.hpp"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <utility>

namespace reedspindle::faulttest {

using Tcp = asio::ip::tcp;

struct TestDiscovery::Link {
  explicit Link(Tcp::socket open) : socket(std::move(open)) {}
  Tcp::socket socket;
  Tcp::endpoint from;
  std::string held, out;
  std::array<char, 4096> bytes;
  std::size_t sent = 0;
  long long since = -1;  // of a watch that waits
  std::optional<net::Timers::Handle> until;
};

TestDiscovery::TestDiscovery(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                             const Tcp::endpoint& at, Ask ask, Written written)
    : timers_(timers), clock_(clock), acceptor_(io, at), ask_(std::move(ask)), written_(std::move(written)) {
  accept();
}

TestDiscovery::~TestDiscovery() = default;

void TestDiscovery::accept() {
  acceptor_.async_accept([this](const asio::error_code& fault, Tcp::socket socket) {
    if (fault) {
      return;
    }
    const auto link = std::make_shared<Link>(std::move(socket));
    asio::error_code ignored;
    link->from = link->socket.remote_endpoint(ignored);
    read(link);
    accept();
  });
}

void TestDiscovery::read(const Linked& link) {
  link->socket.async_read_some(asio::buffer(link->bytes),
                               [this, link](const asio::error_code& fault, std::size_t count) {
                                 if (fault) {
                                   return timers_.cancel(link->until);
                                 }
                                 link->held.append(link->bytes.data(), count);
                                 const std::size_t end = link->held.find("\r\n\r\n");
                                 if (end != std::string::npos) {
                                   const std::string line = link->held.substr(0, link->held.find("\r\n"));
                                   link->held.erase(0, end + 4);
                                   take(link, line);
                                 }
                                 read(link);
                               });
}

void TestDiscovery::take(const Linked& link, const std::string& line) {
  const auto number = [&line](const char* name, long long other) {
    const std::size_t at = line.find(name);
    return at == std::string::npos ? other : std::stoll(line.substr(at + std::string(name).size()));
  };
  timers_.cancel(link->until);
  ++calls_;
  link->since = number("since=", -1);
  if (silent_) {
    return;
  }
  const Now now = ask_(link->since);
  if (link->since < 0 || link->since < now.revision) {
    return answer(link, now.list, now.revision);
  }
  watching_.push_back(link);
  // A watch whose time is over hears that nothing has changed.
  link->until = timers_.set(clock_.now() + static_cast<double>(number("timeout_ms=", 60000)), [this, link] {
    link->until.reset();
    if (silent_ || link->since < 0) {
      return;
    }
    answer(link, fmt::format(R"({{"rev":{},"all":false,"targets":[]}})", link->since), link->since);
  });
}

void TestDiscovery::changed() {
  std::erase_if(watching_, [](const auto& weak) { return weak.expired() || weak.lock()->since < 0; });
  if (silent_) {
    return;
  }
  for (const auto& weak : std::exchange(watching_, {})) {
    const Linked link = weak.lock();
    if (!link || link->since < 0) {
      continue;
    }
    const Now now = ask_(link->since);
    answer(link, now.list, now.revision);
  }
}

void TestDiscovery::answer(const Linked& link, const std::string& body, long long revision) {
  link->since = -1;
  timers_.cancel(link->until);
  link->out = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
  link->sent += link->out.size();
  if (written_) {
    written_(link->from, link->sent, revision);
  }
  asio::async_write(link->socket, asio::buffer(link->out), [link](const asio::error_code&, std::size_t) {});
}

}  // namespace reedspindle::faulttest
