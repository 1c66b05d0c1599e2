// The stores: connections to them, one op's send or one probe at a time on each, and how each ended.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/instance_config.hpp"
#include "logging/log.hpp"
#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "net/endpoint_list.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

class ConnectionPool {
 public:
  // How a send ended; with acked, the row as the store's messages gave it.
  using AttemptDone = std::function<void(AttemptCompleted, std::string row)>;
  using ProbeDone = std::function<void(ProbeCompleted)>;

  ConnectionPool(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                 const config::InstanceConfig& config, AttemptDone send_done, ProbeDone probe_done);

  ~ConnectionPool();

  void learn(const net::EndpointList& list);
  // The times of the decision run from when it was taken.
  void send(RequestId op, const StartAttempt& decision, Millis decided, AttemptNumber number,
            std::shared_ptr<const std::string> text, postgres::TextSpan patience);
  void call_off(RequestId op, AttemptNumber number);
  // The op has ended: what is not written of it yet never will be.
  void forget(RequestId op);
  // Nothing is out at the store, and nothing more will be.
  void forget(const ServerId& member);
  void probe(const ServerId& member, Millis time_out);

  // How many connections to one store there may be: new ones up to the first figure, none beyond the second.
  void limit(std::size_t open, std::size_t hold);
  // The most that any store has needed at once since the last call, those not had for the limit included.
  std::size_t take_need() { return std::exchange(need_, 0); }

  void stop();

 private:
  struct Work;
  struct Store;
  struct Connection;
  using Connected = std::shared_ptr<Connection>;

  void add(Store& store, std::unique_ptr<Work> work, Millis from, Millis time_out,
           std::optional<Millis> start_within = {});
  void dispatch(Store& store);
  void open(Store& store);
  void opened_not(Connection& connection, AttemptOutcome ending);
  void begin(Connection& connection, std::unique_ptr<Work> work);
  void write_rest(Connection& connection, std::size_t written);
  void read(const Connected& connection);
  bool take(Connection& connection, const postgres::Message& message);
  static bool outlived(const Connection& connection);

  void settle(Connection& connection);
  void broken(Connection& connection);
  void spoilt(Connection& connection);
  void out_of_time(Work& work);
  std::unique_ptr<Work> take_first(Store& store);
  std::unique_ptr<Work> take_waiting(Work& work);
  void end(std::unique_ptr<Work> work);
  void end(std::unique_ptr<Work> work, AttemptOutcome ending);
  void end_overdue(Store& store);
  void ready(Connection& connection);
  void rest(Connection& connection);
  std::unique_ptr<Work> give_back(Connection& connection);
  void sweep();
  void shrink(Store& store);
  void count(const Store& store);
  void stop_idling(Connection& connection);
  // Gives back the connection that has been idle longest, of any store. False: none is idle.
  bool close_an_idle_one();

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  const AttemptDone send_done_;
  const ProbeDone probe_done_;
  net::Allowance allowance_;  // what is held of what stores send
  std::map<ServerId, std::unique_ptr<Store>> stores_;
  std::list<Connected> connections_;  // the one owner of each
  std::list<Connection*> idle_;       // of all stores, the one that has been idle longest first
  std::map<std::pair<RequestId, AttemptNumber>, Work*> sends_;
  std::optional<net::Timers::Handle> sweep_;
  std::size_t open_ = kAny, hold_ = kAny, need_ = 0;
  static constexpr std::size_t kAny = static_cast<std::size_t>(-1);
};

}  // namespace reedspindle::upstream
