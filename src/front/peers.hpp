// The other fronts of the tier: one datagram to all, and what they send.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
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
  // From now on datagrams of that kind go there instead.
  using Kind = bool (*)(std::string_view bytes);
  void hand_over(Kind kind, Heard heard) { handed_over_.emplace_back(kind, std::move(heard)); }
  // From now on as much as comes back of a datagram where nobody listens goes there.
  void on_refusals(Heard refused);
  // The list has changed: who stands where, and who is believed.
  void learn(std::vector<asio::ip::udp::endpoint> peers);
  void stop();

 private:
  void listen();
  void heard(std::string_view bytes, const asio::ip::udp::endpoint& sender);
  void hear_refusals();

  Log& log_;
  const Placement& placement_;
  const Heard heard_;
  std::vector<std::pair<Kind, Heard>> handed_over_;
  Heard refused_;  // none: nobody asks
  std::vector<asio::ip::udp::endpoint> peers_;
  std::map<asio::ip::udp::endpoint, int> numbers_;  // by which they are known
  asio::ip::udp::socket socket_;
  std::array<char, 512> bytes_;
};

}  // namespace reedspindle::front
