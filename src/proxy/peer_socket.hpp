// The UDP socket for datagrams between this instance and its peers.
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

// Sends datagrams to peers, and passes received ones to handlers. A peer is identified by its position in the
// configured list of peers. Datagrams from other addresses are dropped.
class PeerSocket {
 public:
  using DatagramHandler = std::function<void(int peer, std::string text)>;

  // Does nothing if the configuration has no address for peers (`peer_listen`). `handler` receives all
  // datagrams that no added handler takes. Throws asio::system_error if the address is not available.
  PeerSocket(asio::io_context& io, logging::Log& log, const config::InstanceConfig& config,
             DatagramHandler handler);
  // Sends one datagram to the address of all peers. Losses are not reported.
  void broadcast(const std::string& text);
  // Sends one datagram to one peer. Losses are not reported.
  void send(int peer, const std::string& bytes);
  // Passes the datagrams for which `kind` returns true to `handler` from now on.
  using Kind = bool (*)(std::string_view bytes);
  void add_handler(Kind kind, DatagramHandler handler) { handlers_.emplace_back(kind, std::move(handler)); }
  // Calls the handler from now on if a peer's machine reports that no process has the port. It gets as much
  // of the datagram as the report holds.
  void on_port_unreachable(DatagramHandler handler);
  // Replaces the list of peers, and with it their positions and the addresses that datagrams are accepted
  // from.
  void set_peers(std::vector<asio::ip::udp::endpoint> peers);
  // Closes the socket.
  void stop();

 private:
  void wait_for_datagrams();
  void handle_datagram(std::string_view bytes, const asio::ip::udp::endpoint& sender);
  void read_error_queue();

  logging::Log& log_;
  const config::InstanceConfig& config_;
  const DatagramHandler default_handler_;
  std::vector<std::pair<Kind, DatagramHandler>> handlers_;
  DatagramHandler port_unreachable_;  // none: reports are not read
  std::vector<asio::ip::udp::endpoint> peers_;
  std::map<asio::ip::udp::endpoint, int> peer_numbers_;  // positions in peers_, by address
  asio::ip::udp::socket socket_;
  std::array<char, 512> bytes_;
};

}  // namespace reedspindle::proxy
