// Test stores, each a listener on loopback that speaks the server side of the PostgreSQL protocol. The
// primary of each group commits writes; replicas follow it with a replication lag. Ops take time on a limited
// number of workers, a token is executed once only, and a store that has just started runs with part of its
// workers (slow start). All stores share the event loop of their owner. What a store does with each op is
// reported through callbacks, to be passed to the invariant checker.
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

#include "net/clock.hpp"

namespace reedspindle::faulttest {

struct StoreState {
  int group = 0;
  bool primary = false;
  bool listed = true, draining = false;  // as discovery lists it
  Millis booted = 0;                     // 0: long before the run
  bool up = true;                        // false: the store does not listen
  bool responsive = true;                // false: the store hangs
  double errors = 0;                     // share of ops that fail with an error
  Millis lag = 5;                        // replication lag of a replica
  Millis stalled_at = -1;                // position at which replication is stalled; below 0: not stalled
  Millis min_position = -1;              // position already reached; the store never reports a lower one
};

struct StoreWork {
  Millis work = 2;  // duration of one op
  int workers = 4;  // concurrent ops
  int queue = 64;   // most waiting ops; further ones are rejected
  Millis token_memory = 10000;
  double cold_from = 1;  // share of its workers that a store has right after its start
  Millis warm_within = 15000;
};

// The outcome of an op that reached a store.
enum class ExecutionOutcome { ran, repeated, not_primary, full, errored };
struct RequestExecuted {
  int store = -1;
  asio::ip::tcp::endpoint from;  // client side of the connection
  std::string request;           // id given by the client
  std::string token;             // empty: no token
  bool writes = false, primary = false;
  ExecutionOutcome outcome = ExecutionOutcome::ran;
  Millis received_at = 0, at = 0;  // received_at: arrival of the last byte; at: execution
  Millis position = 0;             // position up to which the store had applied commits
};

class TestStores {
 public:
  using OnExecuted = std::function<void(const RequestExecuted&)>;
  using OnReceived =
      std::function<void(int store, const std::string& op, const asio::ip::tcp::endpoint& from)>;

  TestStores(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
             const std::vector<asio::ip::tcp::endpoint>& at, const StoreWork& work, std::uint64_t seed);
  ~TestStores();

  void set_callbacks(OnExecuted on_executed, OnReceived on_received) {
    on_executed_ = std::move(on_executed), on_received_ = std::move(on_received);
  }
  // Forwards connections to the store that start as HTTP/2 to a port on loopback.
  void forward_http2(int store, int port) { http2_ports_[store] = port; }

  [[nodiscard]] int size() const { return static_cast<int>(stores_.size()); }
  [[nodiscard]] asio::ip::tcp::endpoint at(int store) const;
  StoreState& state(int store);
  [[nodiscard]] const StoreState& state(int store) const;
  [[nodiscard]] Millis position(int store) const;
  [[nodiscard]] double slow_start_fraction(int store) const;
  // Closes the listener and resets all connections; or listens again with the data kept and slow start in
  // effect.
  void fall(int store);
  void rise(int store);
  [[nodiscard]] std::uint64_t probes() const { return probes_; }
  // Total connections accepted.
  [[nodiscard]] std::uint64_t accepted() const { return accepted_; }

 private:
  struct Store;
  struct Connection;
  struct Job;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept(Store& store_entry);
  void read(const ConnectionPtr& connection);
  void handle_query(const ConnectionPtr& connection, const std::string& text);
  void start_jobs(Store& store_entry);
  void finish(const ConnectionPtr& connection, const Job& job);
  void send(const ConnectionPtr& connection, const std::string& bytes);
  void forward_to(const ConnectionPtr& connection, int port);
  void copy(const ConnectionPtr& from, const ConnectionPtr& to);
  Store& store_entry(int store) { return *stores_.at(static_cast<std::size_t>(store)); }

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  const StoreWork work_;
  std::minstd_rand random_;
  std::vector<std::unique_ptr<Store>> stores_;
  std::map<std::pair<int, std::string>, Millis> tokens_;  // (group, token): when it was executed
  std::deque<std::pair<Millis, std::pair<int, std::string>>> token_ages_;
  std::map<int, int> http2_ports_;
  OnExecuted on_executed_;
  OnReceived on_received_;
  std::uint64_t probes_ = 0, accepted_ = 0;
};

}  // namespace reedspindle::faulttest
