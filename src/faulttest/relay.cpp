#include "faulttest/relay.hpp"

#include <algorithm>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::faulttest {

constexpr std::size_t kReplayable = 256;  // last datagrams of each front that are kept for replay

struct DatagramRelay::FrontSocket {
  FrontSocket(asio::io_context& io, int number, const Endpoint& endpoint)
      : front(number), at(endpoint), socket(io) {
    open();
  }
  void open() {
    socket.open(at.protocol());
    socket.bind(at);
    socket.non_blocking(true);
  }
  const int front;
  const Endpoint at;
  asio::ip::udp::socket socket;
  Endpoint sender;
  std::array<char, 2048> bytes;
  std::deque<std::string> sent;  // last datagrams sent by this front
};

DatagramRelay::DatagramRelay(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                             std::vector<Endpoint> fronts, std::vector<Endpoint> endpoints,
                             std::uint64_t seed)
    : timers_(timers),
      clock_(clock),
      fronts_(std::move(fronts)),
      random_(make_random(seed)),
      links_(fronts_.size() * fronts_.size()),
      sent_traffic_(fronts_.size()) {
  for (const Endpoint& at : endpoints) {
    sockets_.push_back(std::make_unique<FrontSocket>(io, static_cast<int>(sockets_.size()), at));
    listen(*sockets_.back());
  }
}

DatagramRelay::~DatagramRelay() = default;

void DatagramRelay::heal() { std::ranges::fill(links_, Link{}); }

bool DatagramRelay::any_cut(int front) const {
  for (std::size_t other = 0; other < fronts_.size(); ++other) {
    if (links_[index(front, static_cast<int>(other))].cut ||
        links_[index(static_cast<int>(other), front)].cut) {
      return true;
    }
  }
  return false;
}

void DatagramRelay::set_listening(int front, bool running) {
  FrontSocket& front_socket = *sockets_[static_cast<std::size_t>(front)];
  const bool wanted = running || any_cut(front);
  if (wanted == front_socket.socket.is_open()) {
    return;
  }
  if (!wanted) {
    return front_socket.socket.close();
  }
  front_socket.open();
  listen(front_socket);
}

void DatagramRelay::listen(FrontSocket& front_socket) {
  front_socket.socket.async_receive_from(
      asio::buffer(front_socket.bytes), front_socket.sender,
      [this, &front_socket](const asio::error_code& fault, std::size_t count) {
        if (fault == asio::error::operation_aborted || !front_socket.socket.is_open()) {
          return;
        }
        const auto from = std::ranges::find(fronts_, front_socket.sender);
        if (!fault && from != fronts_.end()) {
          on_datagram(static_cast<int>(from - fronts_.begin()), front_socket.front,
                      std::string(front_socket.bytes.data(), count));
        }
        listen(front_socket);
      });
}

void DatagramRelay::on_datagram(int from, int to, std::string bytes) {
  SentTraffic& sent_traffic = sent_traffic_[static_cast<std::size_t>(from)];
  ++sent_traffic.datagrams, sent_traffic.bytes += bytes.size();
  std::deque<std::string>& sent = sockets_[static_cast<std::size_t>(from)]->sent;
  sent.push_back(bytes);
  if (sent.size() > kReplayable) {
    sent.pop_front();
  }
  // A datagram that a front sends to its own relay socket goes to all other fronts.
  if (from != to) {
    return apply_link(from, to, bytes);
  }
  for (int other = 0; other < static_cast<int>(fronts_.size()); ++other) {
    if (other != from) {
      apply_link(from, other, bytes);
    }
  }
}

void DatagramRelay::apply_link(int from, int to, const std::string& bytes) {
  const Link& link = this->link(from, to);
  if (link.cut) {
    return;
  }
  const int copies = link.duplication > 0 && random_share() < link.duplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (link.loss > 0 && random_share() < link.loss) {
      continue;
    }
    const Millis delay = link.delay + (link.jitter > 0 ? link.jitter * random_share() : 0);
    if (delay <= 0) {
      send(from, to, bytes);
    } else {
      timers_.set(clock_.now() + delay, [this, from, to, bytes] { send(from, to, bytes); });
    }
  }
}

void DatagramRelay::send(int from, int to, const std::string& bytes) {
  asio::error_code ignored;  // send errors are ignored: datagrams may get lost
  if (!sockets_[static_cast<std::size_t>(from)]->socket.is_open()) {
    return;  // the sending front has ended meanwhile
  }
  sockets_[static_cast<std::size_t>(from)]->socket.send_to(asio::buffer(bytes),
                                                           fronts_[static_cast<std::size_t>(to)], 0, ignored);
}

void DatagramRelay::send_garbage(int to, int from, int count) {
  for (int index = 0; index < count; ++index) {
    std::string bytes(1 + random_() % 256, 'M');
    for (std::size_t at = 1; at < bytes.size(); ++at) {
      bytes[at] = static_cast<char>(random_());
    }
    send(from, to, bytes);
  }
}

void DatagramRelay::replay(int to, int from, int count) {
  const std::deque<std::string>& sent = sockets_[static_cast<std::size_t>(from)]->sent;
  for (std::size_t at = 0; at < sent.size() && static_cast<int>(at) < count; ++at) {
    send(from, to, sent[at]);
  }
}

}  // namespace reedspindle::faulttest
