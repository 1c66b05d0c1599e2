// The connections of this instance to the servers, with at most one attempt or probe at a time on each.
#pragma once

#include <asio.hpp>
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
#include "net/memory_budget.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

struct PendingCall;
struct ServerConnection;
struct ServerPool;

// Owns the server pools, their connections, and the attempts and probes on them (together: calls). Each
// started attempt or probe is reported exactly once, either from the event loop or from within the function
// that ends it.
class ConnectionPool {
 public:
  // Reports how an attempt ended. If it was acknowledged, `row` holds the server's messages from
  // RowDescription up to CommandComplete, with space for a ReadyForQuery; it is none if there was no memory
  // to keep them.
  using AttemptDone = std::function<void(AttemptCompleted, std::optional<net::ChargedText> row)>;
  // Returns whether an attempt may still be sent. Asked right before its first byte is written.
  using MaySend = std::function<bool(RequestId, AttemptNumber)>;
  // Reports how a probe ended.
  using ProbeDone = std::function<void(ProbeCompleted)>;

  // All referenced objects have to outlive the pool.
  ConnectionPool(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                 const config::InstanceConfig& config, MaySend may_send, AttemptDone attempt_done,
                 ProbeDone probe_done);
  ~ConnectionPool();

  // Adds and updates servers. Closes idle connections that can't be used any more, and ends the queued calls
  // of servers that are not ready. A failed list has no effect.
  void apply_endpoint_list(const net::EndpointList& list);

  // Queues one attempt. The decision's times count from `decided`, in Unix milliseconds. `remaining` is the
  // place in the text that states the client's remaining time; it is updated when the query is sent.
  void start_attempt(RequestId request, const StartAttempt& decision, Millis decided, AttemptNumber number,
                     std::shared_ptr<const net::ChargedText> text, postgres::TextSpan remaining);
  // Ends an attempt early. Has no effect if the attempt has ended already.
  void cancel_attempt(RequestId request, AttemptNumber number);
  // Ends the attempts of a request that are still queued: they are never sent. To be called when the request
  // has ended.
  void forget(RequestId request);
  // Removes a server and its connections. No attempt or probe may be open on it.
  void forget(const ServerId& server);
  // Queues one probe. The timeout is in milliseconds from now.
  void probe(const ServerId& server, Millis timeout);

  // Sends queued calls on the connections that have become ready. To be called at the end of each turn of the
  // event loop, when the router has processed what was received in it: it may have withdrawn what was decided
  // before.
  void send_ready();

  // Sets how many connections each server may have: new connections are opened up to `open`, and connections
  // beyond `hold` are closed.
  void set_connection_limits(std::size_t open, std::size_t hold);
  // Returns the largest number of connections that any one server has needed at once since the last call of
  // this function, including connections that the limit did not allow.
  std::size_t take_connection_need() { return std::exchange(need_, 0); }

  // Closes all connections, without reporting the attempts and probes on them.
  void stop();

 private:
  using ConnectionPtr = std::shared_ptr<ServerConnection>;
  using CallPtr = std::unique_ptr<PendingCall>;
  static constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

  void log_state(ServerPool& server, const net::EndpointList& list);

  // The queues of calls (connection_pool.cpp).
  void enqueue(ServerPool& server, CallPtr call, Millis started, Millis timeout,
               std::optional<Millis> start_within = {});
  void dispatch(ServerPool& server);
  void record_need(const ServerPool& server);
  void call_timed_out(PendingCall& call);
  void drop_unsendable(ServerPool& server);
  [[nodiscard]] bool is_sendable(const PendingCall& call) const;
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
  void read_now(const ConnectionPtr& connection);
  bool free_read_memory(const ServerConnection& reader);
  void handle_messages(const ConnectionPtr& connection);
  bool handle_message(ServerConnection& connection, const postgres::Message& message);
  bool handle_error(ServerConnection& connection, const postgres::Message& message);
  bool handle_ready_for_query(ServerConnection& connection, const postgres::Message& message);
  void reset(ServerConnection& connection);
  void reset_timed_out(const ConnectionPtr& connection);
  void became_ready(ServerConnection& connection);
  void send_next(ServerConnection& connection);
  void make_idle(ServerConnection& connection);
  void handle_disconnect(ServerConnection& connection);
  void handle_unreadable(ServerConnection& connection);
  static bool is_stale(const ServerConnection& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  const MaySend may_send_;
  const AttemptDone attempt_done_;
  const ProbeDone probe_done_;
  net::MemoryBudget budget_;           // of the read buffers of all connections
  net::MemoryBudget response_budget_;  // of the rows of the responses
  std::map<ServerId, std::unique_ptr<ServerPool>> servers_;
  std::list<ConnectionPtr> connections_;  // owns all connections
  std::list<ServerConnection*> idle_;     // of all servers, the longest idle first
  std::vector<ConnectionPtr> ready_;      // for send_ready(); some may be closed
  std::map<std::pair<RequestId, AttemptNumber>, PendingCall*> attempts_;
  std::optional<net::Timers::Handle> idle_timer_;
  std::size_t open_limit_ = kUnlimited;  // for each server: new connections are opened up to this
  std::size_t hold_limit_ = kUnlimited;  // for each server: connections beyond this are closed
  std::size_t need_ = 0;                 // for take_connection_need()
};

}  // namespace reedspindle::upstream
