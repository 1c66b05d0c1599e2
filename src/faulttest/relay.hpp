// Every datagram between two fronts goes through here: one socket a front, which the others take for that
// front, so that who speaks to whom is told by the socket it came to and the address it came from. What the
// link between the two does to it stands in Link.
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

// One way.
struct Link {
  bool cut = false;
  Millis by = 0, jitter = 0;
  double loss = 0, doubled = 0;
};

struct Carried {
  std::uint64_t datagrams = 0, bytes = 0;  // that a front has sent
};

class Relay {
 public:
  using Endpoint = asio::ip::udp::endpoint;

  // Where each front listens, and where the relay stands in for it.
  Relay(asio::io_context& io, net::Timers& timers, const net::Clock& clock, std::vector<Endpoint> fronts,
        std::vector<Endpoint> stands, std::uint64_t seed);

  ~Relay();

  Link& link(int from, int to) { return links_.at(index(from, to)); }
  void heal();
  // Whether somebody listens at a front's place. Where nobody does, who sends there is told so by this
  // machine, as by the front's own; but not while any link to it is cut, for nothing comes through those.
  void listening(int front, bool process);
  [[nodiscard]] Carried carried(int front) const { return carried_.at(static_cast<std::size_t>(front)); }

  // To one front as if from another, whatever the link between them is like: what does not read, or what that
  // one has sent before.
  void garbage(int to, int from, int count);
  void replay(int to, int from, int count);

 private:
  struct Stand;
  void listen(Stand& stand);
  [[nodiscard]] bool any_cut(int front) const;
  void came(int from, int to, std::string bytes);
  void carry(int from, int to, const std::string& bytes);
  void pass(int from, int to, const std::string& bytes);
  [[nodiscard]] std::size_t index(int from, int to) const {
    return static_cast<std::size_t>(from) * fronts_.size() + static_cast<std::size_t>(to);
  }
  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  net::Timers& timers_;
  const net::Clock& clock_;
  const std::vector<Endpoint> fronts_;
  std::minstd_rand random_;
  std::vector<Link> links_;
  std::vector<Carried> carried_;
  std::vector<std::unique_ptr<Stand>> stands_;
};

}  // namespace reedspindle::faulttest
