#include "faulttest/relay.hpp"

#include <algorithm>
#include <utility>

namespace reedspindle::faulttest {

constexpr std::size_t kKept = 256;  // datagrams of each front, for replays

struct Relay::Stand {
  Stand(asio::io_context& io, int of, const Endpoint& place) : front(of), at(place), socket(io) { open(); }
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
  std::deque<std::string> sent;  // by this front, the last ones
};

Relay::Relay(asio::io_context& io, net::Timers& timers, const net::Clock& clock, std::vector<Endpoint> fronts,
             std::vector<Endpoint> stands, std::uint64_t seed)
    : timers_(timers),
      clock_(clock),
      fronts_(std::move(fronts)),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      links_(fronts_.size() * fronts_.size()),
      carried_(fronts_.size()) {
  for (const Endpoint& at : stands) {
    stands_.push_back(std::make_unique<Stand>(io, static_cast<int>(stands_.size()), at));
    listen(*stands_.back());
  }
}

Relay::~Relay() = default;

void Relay::heal() { std::ranges::fill(links_, Link{}); }

bool Relay::any_cut(int front) const {
  for (std::size_t other = 0; other < fronts_.size(); ++other) {
    if (links_[index(front, static_cast<int>(other))].cut ||
        links_[index(static_cast<int>(other), front)].cut) {
      return true;
    }
  }
  return false;
}

void Relay::listening(int front, bool process) {
  Stand& stand = *stands_[static_cast<std::size_t>(front)];
  const bool wanted = process || any_cut(front);
  if (wanted == stand.socket.is_open()) {
    return;
  }
  if (!wanted) {
    return stand.socket.close();
  }
  stand.open();
  listen(stand);
}

void Relay::listen(Stand& stand) {
  stand.socket.async_receive_from(asio::buffer(stand.bytes), stand.sender,
                                  [this, &stand](const asio::error_code& fault, std::size_t count) {
                                    if (fault == asio::error::operation_aborted || !stand.socket.is_open()) {
                                      return;
                                    }
                                    const auto from = std::ranges::find(fronts_, stand.sender);
                                    if (!fault && from != fronts_.end()) {
                                      came(static_cast<int>(from - fronts_.begin()), stand.front,
                                           std::string(stand.bytes.data(), count));
                                    }
                                    listen(stand);
                                  });
}

void Relay::came(int from, int to, std::string bytes) {
  Carried& carried = carried_[static_cast<std::size_t>(from)];
  ++carried.datagrams, carried.bytes += bytes.size();
  std::deque<std::string>& sent = stands_[static_cast<std::size_t>(from)]->sent;
  sent.push_back(bytes);
  if (sent.size() > kKept) {
    sent.pop_front();
  }
  // What a front sends to its own stand is for all the others.
  if (from != to) {
    return carry(from, to, bytes);
  }
  for (int other = 0; other < static_cast<int>(fronts_.size()); ++other) {
    if (other != from) {
      carry(from, other, bytes);
    }
  }
}

void Relay::carry(int from, int to, const std::string& bytes) {
  const Link& link = this->link(from, to);
  if (link.cut) {
    return;
  }
  const int copies = link.doubled > 0 && chance() < link.doubled ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (link.loss > 0 && chance() < link.loss) {
      continue;
    }
    const Millis later = link.by + (link.jitter > 0 ? link.jitter * chance() : 0);
    if (later <= 0) {
      pass(from, to, bytes);
    } else {
      timers_.set(clock_.now() + later, [this, from, to, bytes] { pass(from, to, bytes); });
    }
  }
}

void Relay::pass(int from, int to, const std::string& bytes) {
  asio::error_code lost;  // as a network does
  if (!stands_[static_cast<std::size_t>(from)]->socket.is_open()) {
    return;  // it has ended meanwhile
  }
  stands_[static_cast<std::size_t>(from)]->socket.send_to(asio::buffer(bytes),
                                                          fronts_[static_cast<std::size_t>(to)], 0, lost);
}

void Relay::garbage(int to, int from, int count) {
  for (int turn = 0; turn < count; ++turn) {
    std::string bytes(1 + random_() % 256, 'M');
    for (std::size_t at = 1; at < bytes.size(); ++at) {
      bytes[at] = static_cast<char>(random_());
    }
    pass(from, to, bytes);
  }
}

void Relay::replay(int to, int from, int count) {
  const std::deque<std::string>& sent = stands_[static_cast<std::size_t>(from)]->sent;
  for (std::size_t at = 0; at < sent.size() && static_cast<int>(at) < count; ++at) {
    pass(from, to, sent[at]);
  }
}

}  // namespace reedspindle::faulttest
