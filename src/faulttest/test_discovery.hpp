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

// How the service fails. Watches that are open when a failure begins are never answered, unless it says
// otherwise.
enum class DiscoveryFailure {
  none,
  silent,    // requests are not answered; open watches wait for the next change
  hangs,     // requests are not answered, not even after the failure
  holds,     // requests are answered once the failure is over, open watches too
  half,      // half of the response is sent
  trickles,  // a response arrives byte by byte and never ends
  resets,    // connections are reset by a request; open watches are reset
  refuses,   // nobody listens; open connections are closed
  status,    // requests are answered with status 503
  late,      // responses are delayed, and state the list of the time of the request
};

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

  [[nodiscard]] asio::ip::tcp::endpoint at() const { return address_; }
  // Answers all waiting watches.
  void notify_watchers();
  // Begins or ends a failure. The delay is that of late responses.
  void set_failure(DiscoveryFailure failure, Millis delay = 0);
  [[nodiscard]] bool failing() const { return failure_ != DiscoveryFailure::none; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void listen();
  void accept();
  void answer_held();
  void drop_open_requests();
  void read(const ConnectionPtr& connection);
  void handle_request(const ConnectionPtr& connection, const std::string& line);
  void answer(const ConnectionPtr& connection);
  void fail(const ConnectionPtr& connection);
  void trickle(const ConnectionPtr& connection);
  void reset(const ConnectionPtr& connection);
  void respond(const ConnectionPtr& connection, const std::string& body, long long revision);
  void write(const ConnectionPtr& connection);

  net::Timers& timers_;
  const net::Clock& clock_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::acceptor acceptor_;
  const ListSource list_source_;
  const OnWritten on_written_;
  std::list<std::weak_ptr<Connection>> connections_, watchers_;
  std::list<ConnectionPtr> held_;
  DiscoveryFailure failure_ = DiscoveryFailure::none;
  Millis delay_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace reedspindle::faulttest
