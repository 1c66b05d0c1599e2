// Every connection between two parties of the rig goes through a gate here: who opens one meets the gate in
// the place of the other party. What the link does to the bytes, each way, stands in Way; a cut holds them as
// a network does that loses every packet, and they come when it is healed. What crossed and when is written
// down for the checker of the rules.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/clock.hpp"

namespace reedspindle::faulttest {

using Endpoint = asio::ip::tcp::endpoint;

// One direction of a link.
struct Way {
  bool cut = false;
  Millis by = 0, jitter = 0;
  double rate = 0;  // bytes a second; 0: no limit
};

// What one connection has carried one way. Below 0: nothing yet.
struct Passage {
  Millis read = -1, written = -1;  // when the last bytes came from the one side, went out to the other
  std::size_t taken = 0, given = 0;
  Millis ended = -1;  // when the one side ended its sending
};
struct Crossing {
  int gate = -1;
  Passage to, back;  // to: from who opened it
};

class Streams {
 public:
  Streams(asio::io_context& io, net::Timers& timers, const net::Clock& clock, std::uint64_t seed);
  ~Streams();

  int open(const Endpoint& at, const Endpoint& target);
  Way& to(int gate);
  Way& back(int gate);
  // What was held goes on where nothing is cut any more.
  void go_on();
  void reset(int gate);
  // All ways whole again.
  void heal();

  // Connections that who opened them has not ended.
  [[nodiscard]] int open_at(int gate) const;

  // By either of its two far ends; stays for a while after both have ended.
  [[nodiscard]] std::shared_ptr<const Crossing> crossing(const Endpoint& end) const;
  // Bytes have gone out at the far side: to whom a connection was opened, or back to who opened it.
  struct Passed {
    int gate = -1;
    bool back = false;
    Endpoint opener, target;  // its two far ends, as the one and the other see them
    std::size_t given = 0;    // of that connection, that way, in all
    Millis at = 0;
  };
  void on(std::function<void(const Passed&)> passed) { passed_ = std::move(passed); }

 private:
  struct Gate;
  struct Connection;
  struct Pipe;
  using Connected = std::shared_ptr<Connection>;

  void accept(Gate& gate);
  void connect(const Connected& connection);
  void read(const Connected& connection, Pipe& pipe);
  void pass(const Connected& connection, Pipe& pipe);
  void wrote(const Connected& connection, Pipe& pipe, std::size_t bytes);
  void break_off(const Connected& connection);
  void give_back(const Connected& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::list<Connected> connections_;  // the one owner of each
  std::map<Endpoint, std::weak_ptr<Connection>> ends_;
  std::map<Endpoint, std::pair<Millis, std::shared_ptr<const Crossing>>> gone_;  // kept for a while
  std::list<Endpoint> going_;                                                    // the oldest first
  std::function<void(const Passed&)> passed_;
};

}  // namespace reedspindle::faulttest
