// Relays the TCP connections between the parties of a fault test. Each pair of parties has a forwarder, a
// listener whose address the opening party has as that of the other. Direction holds the faults that are
// injected in one direction of a link; a cut holds the bytes back, as retransmission does on a network that
// loses every packet, and they are delivered after it is healed. The relay records what each connection
// transferred and when, to be passed to the invariant checker.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "net/clock.hpp"

namespace reedspindle::faulttest {

using Endpoint = asio::ip::tcp::endpoint;

// Identifies an open connection. A source alone does not: the kernel gives out a port again for another
// destination.
struct ConnectionAddress {
  Endpoint source, destination;  // source: of the party that opened the connection
  bool operator<(const ConnectionAddress& other) const {
    return std::tie(source, destination) < std::tie(other.source, other.destination);
  }
};

// One direction of a link.
struct Direction {
  bool cut = false;
  Millis delay = 0, jitter = 0;
  double rate = 0;  // bytes per second; 0: no limit
};

// What one connection has transferred in one direction. Times below 0: not yet.
struct TransferRecord {
  Millis read = -1, written = -1;  // when the last bytes were read from the source, and written to the sink
  std::size_t bytes_read = 0, bytes_written = 0;
  Millis ended_at = -1;  // when the source ended its sending side
};
struct ConnectionRecord {
  int forwarder = -1;
  TransferRecord forward, backward;  // forward: from the party that opened the connection
};

class StreamRelay {
 public:
  StreamRelay(asio::io_context& io, net::Timers& timers, const net::Clock& clock, std::uint64_t seed);
  ~StreamRelay();

  int open(const Endpoint& at, const Endpoint& target);
  Direction& forward(int forwarder);
  Direction& backward(int forwarder);
  // Delivers what was held back on links that are no longer cut.
  void resume();
  void reset(int forwarder);
  // Removes all faults.
  void heal();

  // Connections that the opening party has not closed.
  [[nodiscard]] int open_connections(int forwarder) const;

  // The record of a connection, by its address on either side of the relay; kept for a while after both
  // parties have closed it.
  [[nodiscard]] std::shared_ptr<const ConnectionRecord> record(const ConnectionAddress& address) const;
  // Bytes have been written to a party: to the target of the connection or, backward, to its opener.
  struct Delivery {
    int forwarder = -1;
    bool backward = false;
    ConnectionAddress opener, target;  // of the connection as opener and target see it
    std::size_t bytes_written = 0;     // total bytes written in this direction of the connection
    Millis at = 0;
  };
  void set_callback(std::function<void(const Delivery&)> on_delivery) {
    on_delivery_ = std::move(on_delivery);
  }

 private:
  struct Forwarder;
  struct Connection;
  struct Pipe;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept(Forwarder& forwarder);
  void connect(const ConnectionPtr& connection);
  void read(const ConnectionPtr& connection, Pipe& pipe);
  void deliver(const ConnectionPtr& connection, Pipe& pipe);
  void on_written(const ConnectionPtr& connection, Pipe& pipe, std::size_t bytes);
  void reset_connection(const ConnectionPtr& connection);
  void close(const ConnectionPtr& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  std::list<ConnectionPtr> connections_;  // owns all connections
  std::map<ConnectionAddress, std::weak_ptr<Connection>> by_address_;
  std::map<ConnectionAddress, std::pair<Millis, std::shared_ptr<const ConnectionRecord>>>
      closed_records_;                         // with the time of closing
  std::list<ConnectionAddress> closed_order_;  // keys of closed_records_, oldest first
  std::function<void(const Delivery&)> on_delivery_;
};

}  // namespace reedspindle::faulttest
