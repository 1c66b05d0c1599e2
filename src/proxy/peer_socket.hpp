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

#include "config/instance_config.hpp"
#include "logging/log.hpp"

namespace reedspindle::proxy {

class PeerSocket {
 public:
  using DatagramHandler = std::function<void(int peer, std::string text)>;

  PeerSocket(asio::io_context& io, logging::Log& log, const config::InstanceConfig& config,
             DatagramHandler heard);
  void tell(const std::string& text);
  // To one front, by its place in the list.
  void tell(int peer, const std::string& bytes);
  // From now on datagrams of that kind go there instead.
  using Kind = bool (*)(std::string_view bytes);
  void hand_over(Kind kind, DatagramHandler heard) { handed_over_.emplace_back(kind, std::move(heard)); }
  // From now on as much as comes back of a datagram where nobody listens goes there.
  void on_refusals(DatagramHandler refused);
  // The list has changed: who stands where, and who is believed.
  void set_peers(std::vector<asio::ip::udp::endpoint> peers);
  void stop();

 private:
  void listen();
  void heard(std::string_view bytes, const asio::ip::udp::endpoint& sender);
  void hear_refusals();

  logging::Log& log_;
  const config::InstanceConfig& config_;
  const DatagramHandler heard_;
  std::vector<std::pair<Kind, DatagramHandler>> handed_over_;
  DatagramHandler refused_;  // none: nobody asks
  std::vector<asio::ip::udp::endpoint> peers_;
  std::map<asio::ip::udp::endpoint, int> numbers_;  // by which they are known
  asio::ip::udp::socket socket_;
  std::array<char, 512> bytes_;
};

}  // namespace reedspindle::proxy
