// A test server for discovery on loopback. It serves the full endpoint list and long-poll watches, which it
// answers when the list changes or the watch times out. The owner provides the list and is notified of each
// response.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/clock.hpp"

namespace reedspindle::faulttest {

class TestDiscovery {
 public:
  struct ListUpdate {
    long long revision = 0;
    std::string list;  // the full list or the changes, as JSON
  };
  // Called for each request with the revision that the client has; below 0: it requests the full list.
  using ListSource = std::function<ListUpdate(long long since)>;
  // Called for each response with the total bytes sent on the connection, this response included.
  using OnWritten =
      std::function<void(const asio::ip::tcp::endpoint& to, std::size_t bytes, long long revision)>;

  TestDiscovery(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                const asio::ip::tcp::endpoint& at, ListSource list_source, OnWritten on_written = {});
  ~TestDiscovery();

  [[nodiscard]] asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  // Answers all waiting watches.
  void notify_watchers();
  // While silent, the server accepts requests and does not answer them.
  void set_silent(bool silent) { silent_ = silent; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void accept();
  void read(const ConnectionPtr& connection);
  void handle_request(const ConnectionPtr& connection, const std::string& line);
  void respond(const ConnectionPtr& connection, const std::string& body, long long revision);

  net::Timers& timers_;
  const net::Clock& clock_;
  asio::ip::tcp::acceptor acceptor_;
  const ListSource list_source_;
  const OnWritten on_written_;
  std::list<std::weak_ptr<Connection>> watchers_;
  bool silent_ = false;
  std::uint64_t calls_ = 0;
};

}  // namespace reedspindle::faulttest
