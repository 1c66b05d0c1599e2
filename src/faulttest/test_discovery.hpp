// A stand-in for discovery on loopback: the whole list, and watches that wait for a change or for their time.
// Who made it says what the list is; it says when an answer has been written.
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
  struct Now {
    long long revision = 0;
    std::string list;  // whole or what has changed, as JSON
  };
  // Of a watch with the revision that it has; below 0: the whole list is asked for.
  using Ask = std::function<Now(long long since)>;
  // How many bytes that connection has been sent, the answer included.
  using Written =
      std::function<void(const asio::ip::tcp::endpoint& to, std::size_t bytes, long long revision)>;

  TestDiscovery(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                const asio::ip::tcp::endpoint& at, Ask ask, Written written = {});
  ~TestDiscovery();

  [[nodiscard]] asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  // Those who watch are told.
  void changed();
  // It takes what is asked and says nothing.
  void be_silent(bool silent) { silent_ = silent; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct Link;
  using Linked = std::shared_ptr<Link>;
  void accept();
  void read(const Linked& link);
  void take(const Linked& link, const std::string& line);
  void answer(const Linked& link, const std::string& body, long long revision);

  net::Timers& timers_;
  const net::Clock& clock_;
  asio::ip::tcp::acceptor acceptor_;
  const Ask ask_;
  const Written written_;
  std::list<std::weak_ptr<Link>> watching_;
  bool silent_ = false;
  std::uint64_t calls_ = 0;
};

}  // namespace reedspindle::faulttest
