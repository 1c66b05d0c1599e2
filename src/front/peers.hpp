// The other fronts of the tier: one datagram to all, and what they send.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <string>

#include "links/log.hpp"
#include "links/placement.hpp"

namespace reedspindle::front {

using namespace links;

class Peers {
 public:
  using Heard = std::function<void(int peer, std::string text)>;

  Peers(asio::io_context& io, Log& log, const Placement& placement, Heard heard);
  void tell(const std::string& text);
  void stop();

 private:
  void listen();

  Log& log_;
  const Placement& placement_;
  const Heard heard_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  std::array<char, 512> bytes_;
};

}  // namespace reedspindle::front
