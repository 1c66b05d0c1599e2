// Open-loop clients: ops arrive as a Poisson process, independent of the outcome of earlier ops, and latency
// is measured from the time at which an op was due. A session stays with one front, carries the position of
// its last commit, and fails over to the next front when its own does not answer. What fronts receive and
// answer is reported to the invariant checker.
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
  double rate = 0;  // ops per second of all sessions together
  int sessions = 32;
  Millis request_timeout = 1000, latency_target = 300;
  std::vector<ClientOp> mix;
};

enum class OpOutcome { in_time, late, busy_replied, errored, unanswered, unsent };
constexpr int kOpOutcomes = 6;
const char* outcome_name(OpOutcome outcome);

// The outcomes of the ops that were due within one interval.
struct Tally {
  Millis at = 0;
  std::map<OpOutcome, int> outcomes;
  std::vector<Millis> latencies;  // of acknowledged ops
  [[nodiscard]] int ops() const;
  [[nodiscard]] double share(OpOutcome outcome) const;
};
constexpr Millis kTallySpan = 100;  // length of the interval of a tally

class TestClients {
 public:
  // 'fronts' are the addresses at which clients reach the fronts.
  TestClients(asio::io_context& io, net::Timers& timers, const net::Clock& clock, StreamRelay& streams,
              invariants::InvariantChecker& rules, std::vector<Endpoint> fronts, int groups,
              const ClientWork& work, std::uint64_t seed);
  ~TestClients();

  void start();
  // Stops sending new ops; open ones run to their end.
  void stop();
  [[nodiscard]] std::size_t open_ops() const { return ops_.size(); }
  // Reports that a store has committed the write of an op.
  void committed(const std::string& op, Millis position) {
    if (ops_.contains(op)) {
      commits_[op] = position;
    }
  }
  void on_delivery(const StreamRelay::Delivery& delivery);

  [[nodiscard]] const std::deque<Tally>& tallies() const { return tallies_; }

 private:
  struct Session;
  struct Op;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void send_due_ops();
  void send(const std::shared_ptr<Op>& op);
  void connect(const ConnectionPtr& connection);
  void write(const ConnectionPtr& connection);
  void read(const ConnectionPtr& connection);
  void on_answer(const ConnectionPtr& connection);
  void on_disconnect(const ConnectionPtr& connection);
  void on_timeout(const std::shared_ptr<Op>& op);
  void finish(const std::shared_ptr<Op>& op, OpOutcome outcome, Millis at);
  void fail_over(Session& session);
  void close(const ConnectionPtr& connection);
  double random_share() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  StreamRelay& streams_;
  invariants::InvariantChecker& rules_;
  const std::vector<Endpoint> fronts_;
  const int groups_;
  const ClientWork work_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::map<std::string, std::shared_ptr<Op>> ops_;  // open ops by id
  std::list<ConnectionPtr> connections_;            // owns all connections
  std::map<ConnectionAddress, std::weak_ptr<Connection>> by_address_;
  std::map<std::string, Millis> commits_;  // commit positions of open writes
  std::deque<Tally> tallies_;
  std::optional<net::Timers::Handle> next_op_;
  Millis next_due_ = 0;  // when the next op is due
  std::uint64_t last_id_ = 0;
};

}  // namespace reedspindle::faulttest
