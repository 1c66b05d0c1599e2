// The other fronts of the tier: one datagram to all, and what they send.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "links/log.hpp"
#include "links/placement.hpp"

namespace reedspindle::front {

using namespace links;

class Peers {
 public:
  using Heard = std::function<void(int peer, std::string text)>;

  Peers(asio::io_context& io, Log& log, const Placement& placement, Heard heard);
  void tell(const std::string& text);
  // To one front, by its place in the list.
  void tell(int peer, const std::string& bytes);
  // From now on the membership's datagrams go there.
  void hand_over(Heard heard) { membership_ = std::move(heard); }
  // From now on those on shares go there, and as much as comes back of one where nobody listens.
  void hand_over_shares(Heard heard, Heard refused);
  // The list has changed: who stands where, and who is believed.
  void learn(std::vector<asio::ip::udp::endpoint> peers) { peers_ = std::move(peers); }
  void stop();

 private:
  void listen();
  void hear_refusals();

  Log& log_;
  const Placement& placement_;
  const Heard heard_;
  Heard membership_, shares_, refused_;  // none: it is off
  std::vector<asio::ip::udp::endpoint> peers_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  std::array<char, 512> bytes_;
};

}  // namespace reedspindle::front
