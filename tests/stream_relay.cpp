// Guards against charging a connection's bytes to another one: two connections of one source port, to two
// forwarders of a relay, have a record each.
#include <asio.hpp>
#include <iostream>
#include <map>

#include "faulttest/streams.hpp"

using namespace reedspindle;
using namespace reedspindle::faulttest;
using Tcp = asio::ip::tcp;

namespace {

const Endpoint kAnyPort{asio::ip::address_v4::loopback(), 0};

Endpoint unused_address(asio::io_context& io) {
  const Tcp::acceptor acceptor(io, kAnyPort);
  return acceptor.local_endpoint();
}

// Connects from this source, which other connections may use at the same time, and sends so many bytes.
void connect_and_send(Tcp::socket& socket, const Endpoint& source, const Endpoint& to, std::size_t bytes) {
  socket.open(Tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(source);
  socket.connect(to);
  asio::write(socket, asio::buffer(std::string(bytes, 'x')));
}

}  // namespace

int main() {
  asio::io_context io;
  const net::Clock clock;
  net::Timers timers(io, clock);
  StreamRelay relay(io, timers, clock, 1);
  Tcp::acceptor first_target(io, kAnyPort);
  Tcp::acceptor second_target(io, kAnyPort);
  const Endpoint first = unused_address(io);
  const Endpoint second = unused_address(io);
  const int first_forwarder = relay.open(first, first_target.local_endpoint());
  const int second_forwarder = relay.open(second, second_target.local_endpoint());

  std::map<int, std::size_t> delivered;  // by forwarder
  relay.set_callback([&delivered](const StreamRelay::Delivery& delivery) {
    delivered[delivery.forwarder] = delivery.bytes_written;
  });
  const Endpoint source = unused_address(io);
  Tcp::socket one(io);
  Tcp::socket other(io);
  connect_and_send(one, source, first, 10);
  connect_and_send(other, source, second, 20);
  while (delivered[first_forwarder] < 10 || delivered[second_forwarder] < 20) {
    io.run_one();
  }

  const auto one_record = relay.record({source, first});
  const auto other_record = relay.record({source, second});
  const bool distinct = one_record && other_record && one_record->forwarder == first_forwarder &&
                        other_record->forwarder == second_forwarder &&
                        one_record->forward.bytes_written == 10 && other_record->forward.bytes_written == 20;
  std::cout << (distinct ? "a record for each connection\n" : "records are mixed up\n");
  return distinct ? 0 : 1;
}
