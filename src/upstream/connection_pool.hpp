// Connections to the servers, with at most one attempt or probe at a time on each.
#pragma once

#include <asio.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "config/instance_config.hpp"
#include "logging/log.hpp"
#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "net/endpoint_list.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

struct PendingCall;
struct ServerConnection;
struct ServerPool;

// Owns the server pools, their connections, and the attempts and probes on them. Each attempt and each probe
// that is started is reported exactly once, from the event loop or from the call that ends it.
class ConnectionPool {
 public:
  // How an attempt ended. Acknowledged: the row holds the server's messages up to CommandComplete.
  using AttemptDone = std::function<void(AttemptCompleted, std::string row)>;
  using ProbeDone = std::function<void(ProbeCompleted)>;

  // The references have to outlive the pool.
  ConnectionPool(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                 const config::InstanceConfig& config, AttemptDone attempt_done, ProbeDone probe_done);
  ~ConnectionPool();

  // Adds and updates servers. Closes idle connections that can't be used any more, and ends the queued calls
  // of servers that are not ready.
  void apply_endpoint_list(const net::EndpointList& list);

  // Queues one attempt. The decision's times count from `decided`, in Unix milliseconds. `patience` says
  // where the text states the client's remaining time, which is replaced by what is left when the query is
  // sent.
  void start_attempt(RequestId request, const StartAttempt& decision, Millis decided, AttemptNumber number,
                     std::shared_ptr<const std::string> text, postgres::TextSpan patience);
  // Ends an attempt early. Nothing happens where it has ended already.
  void cancel_attempt(RequestId request, AttemptNumber number);
  // The request has ended: its attempts that are still queued are never sent.
  void forget(RequestId request);
  // Removes a server on which no attempt or probe is open, with its connections.
  void forget(const ServerId& server);
  // Queues one probe with a timeout in milliseconds from now.
  void probe(const ServerId& server, Millis timeout);

  // Sets how many connections each server may have: new ones are opened up to `open`, and none are kept
  // beyond `hold`.
  void set_connection_limits(std::size_t open, std::size_t hold);
  // The largest number of connections that any server has needed at once since the last call, including those
  // that the limit did not allow.
  std::size_t take_connection_need() { return std::exchange(need_, 0); }

  // Closes all connections and reports nothing more of what was on them.
  void stop();

 private:
  using ConnectionPtr = std::shared_ptr<ServerConnection>;
  using CallPtr = std::unique_ptr<PendingCall>;
  static constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

  // Calls (connection_pool.cpp).
  void enqueue(ServerPool& server, CallPtr call, Millis started, Millis timeout,
               std::optional<Millis> start_within = {});
  void dispatch(ServerPool& server);
  void record_need(const ServerPool& server);
  void call_timed_out(PendingCall& call);
  void drop_overdue(ServerPool& server);
  static CallPtr take_first_queued(ServerPool& server);
  static CallPtr take_queued(PendingCall& call);
  void complete(CallPtr call);
  void complete(CallPtr call, AttemptOutcome outcome);

  // The number of connections (connection_pool.cpp).
  void close_surplus(ServerPool& server);
  void close_expired_idle();
  bool close_longest_idle();
  CallPtr close(ServerConnection& connection);
  void remove_from_idle(ServerConnection& connection);

  // The life of one connection (server_connection.cpp).
  void open(ServerPool& server);
  void connect_completed(const ConnectionPtr& connection, const asio::error_code& error);
  void fail_open(ServerConnection& connection, AttemptOutcome outcome);
  void send_query(ServerConnection& connection, CallPtr call);
  void write_rest(ServerConnection& connection, std::size_t written);
  void read(const ConnectionPtr& connection);
  void read_completed(const ConnectionPtr& connection, const asio::error_code& error, std::size_t count);
  bool handle_message(ServerConnection& connection, const postgres::Message& message);
  bool handle_error(ServerConnection& connection, const postgres::Message& message);
  bool handle_ready_for_query(ServerConnection& connection, const postgres::Message& message);
  void reset(ServerConnection& connection);
  void reset_timed_out(const ConnectionPtr& connection);
  void became_ready(ServerConnection& connection);
  void make_idle(ServerConnection& connection);
  void handle_disconnect(ServerConnection& connection);
  void handle_unreadable(ServerConnection& connection);
  static bool is_stale(const ServerConnection& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  const AttemptDone attempt_done_;
  const ProbeDone probe_done_;
  net::MemoryBudget budget_;  // bounds what all connections buffer together
  std::map<ServerId, std::unique_ptr<ServerPool>> servers_;
  std::list<ConnectionPtr> connections_;  // the owner of each
  std::list<ServerConnection*> idle_;     // of all servers, the one that has been idle longest first
  std::map<std::pair<RequestId, AttemptNumber>, PendingCall*> attempts_;
  std::optional<net::Timers::Handle> idle_timer_;
  std::size_t open_limit_ = kUnlimited;
  std::size_t hold_limit_ = kUnlimited;
  std::size_t need_ = 0;
};

}  // namespace reedspindle::upstream
