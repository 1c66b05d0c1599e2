// Relays the datagrams between the fronts. The relay has one socket per front, whose address the other fronts
// have as that front's: the receiving socket identifies the destination of a datagram, the source address its
// sender. Link holds the faults that are injected in one direction between two fronts.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/clock.hpp"

namespace reedspindle::faulttest {

// The link from one front to another, in that direction only.
struct Link {
  bool cut = false;
  Millis delay = 0, jitter = 0;
  double loss = 0, duplication = 0;
};

struct SentTraffic {
  std::uint64_t datagrams = 0, bytes = 0;  // sent by a front
};

class DatagramRelay {
 public:
  using Endpoint = asio::ip::udp::endpoint;

  // 'fronts' are the addresses at which the fronts listen, 'endpoints' those of the relay's sockets for them.
  DatagramRelay(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                std::vector<Endpoint> fronts, std::vector<Endpoint> endpoints, std::uint64_t seed);

  ~DatagramRelay();

  Link& link(int from, int to) { return links_.at(index(from, to)); }
  void heal();
  // Opens or closes the relay's socket for a front. While it is closed, senders get "port unreachable" from
  // this machine, as they would from the front's own. It stays open while any link of the front is cut, since
  // a cut link delivers no such reply.
  void set_listening(int front, bool running);
  [[nodiscard]] SentTraffic sent_traffic(int front) const {
    return sent_traffic_.at(static_cast<std::size_t>(front));
  }

  // Sends datagrams to one front as if from another, whatever the state of the link: malformed ones, or ones
  // that the other front has sent before.
  void send_garbage(int to, int from, int count);
  void replay(int to, int from, int count);

 private:
  struct FrontSocket;
  void listen(FrontSocket& front_socket);
  [[nodiscard]] bool any_cut(int front) const;
  void on_datagram(int from, int to, std::string bytes);
  void apply_link(int from, int to, const std::string& bytes);
  void send(int from, int to, const std::string& bytes);
  [[nodiscard]] std::size_t index(int from, int to) const {
    return static_cast<std::size_t>(from) * fronts_.size() + static_cast<std::size_t>(to);
  }
  double random_share() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  net::Timers& timers_;
  const net::Clock& clock_;
  const std::vector<Endpoint> fronts_;
  std::minstd_rand random_;
  std::vector<Link> links_;
  std::vector<SentTraffic> sent_traffic_;
  std::vector<std::unique_ptr<FrontSocket>> sockets_;
};

}  // namespace reedspindle::faulttest
