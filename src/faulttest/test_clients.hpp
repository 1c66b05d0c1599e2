// Clients with an open loop: ops come by chance at a rate, whatever became of the ones before, and latency
// counts from when an op was meant to be sent. Sessions stay with a front, carry the position of their last
// commit, and move on when their front does not answer. What fronts took and answered is noted for the
// checker of the rules.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "faulttest/streams.hpp"
#include "invariants/invariants.hpp"
#include "net/clock.hpp"

namespace reedspindle::faulttest {

struct ClientOp {
  std::string name;
  double weight = 0;
  invariants::Needs needs = invariants::Needs::any;
  invariants::Effect effect = invariants::Effect::retryable;
  Millis bound = 0;
};

struct ClientWork {
  double rate = 0;  // ops a second, of all together
  int sessions = 32;
  Millis request_timeout = 1000, latency_target = 300;
  std::vector<ClientOp> mix;
};

enum class Came { in_time, late, busy_replied, errored, unanswered, unsent };
constexpr int kCames = 6;
const char* word_of(Came came);

// What became of the ops that were meant for one span of time.
struct Tally {
  Millis at = 0;
  std::map<Came, int> came;
  std::vector<Millis> latencies;  // of those acked
  [[nodiscard]] int ops() const;
  [[nodiscard]] double share(Came one) const;
};
constexpr Millis kTallied = 100;  // the span of a tally

class TestClients {
 public:
  // Fronts by where clients reach them.
  TestClients(asio::io_context& io, net::Timers& timers, const net::Clock& clock, Streams& streams,
              invariants::InvariantChecker& rules, std::vector<Endpoint> fronts, int groups,
              const ClientWork& work, std::uint64_t seed);
  ~TestClients();

  void begin();
  // No new ops from now on.
  void rest();
  [[nodiscard]] std::size_t open() const { return ops_.size(); }
  // A write has been committed.
  void committed(const std::string& op, Millis position) {
    if (ops_.contains(op)) {
      commits_[op] = position;
    }
  }
  void passed(const Streams::Passed& passed);

  [[nodiscard]] const std::deque<Tally>& tallies() const { return tallies_; }

 private:
  struct Session;
  struct Op;
  struct Connection;
  using Connected = std::shared_ptr<Connection>;

  void next();
  void ask(const std::shared_ptr<Op>& op);
  void connect(const Connected& connection);
  void write(const Connected& connection);
  void read(const Connected& connection);
  void answered(const Connected& connection);
  void broken(const Connected& connection);
  void give_up(const std::shared_ptr<Op>& op);
  void end(const std::shared_ptr<Op>& op, Came came, Millis at);
  void move_on(Session& session);
  void give_back(const Connected& connection);
  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  Streams& streams_;
  invariants::InvariantChecker& rules_;
  const std::vector<Endpoint> fronts_;
  const int groups_;
  const ClientWork work_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::map<std::string, std::shared_ptr<Op>> ops_;  // that are open
  std::list<Connected> connections_;                // the one owner of each
  std::map<Endpoint, std::weak_ptr<Connection>> ends_;
  std::map<std::string, Millis> commits_;  // of writes that are open
  std::deque<Tally> tallies_;
  std::optional<net::Timers::Handle> next_;
  Millis meant_ = 0;  // when the next op is meant to be sent
  std::uint64_t last_ = 0;
};

}  // namespace reedspindle::faulttest
