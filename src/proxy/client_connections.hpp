// The client connections: accepting, capacity, commands with their replies in order, and draining.
#pragma once

#include <asio.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/instance_config.hpp"
#include "logging/log.hpp"
#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "postgres/codec.hpp"
#include "routing/router.hpp"

namespace reedspindle::proxy {

struct ClientConnection;

// Owns all client connections. A command is handled as soon as it has come; replies leave in the order of the
// commands. All functions are called from the event loop's thread.
class ClientConnections {
 public:
  // Receives the requests that clients send.
  struct RequestOwner {
    virtual ~RequestOwner() = default;
    // A fault: the request is rejected, and this is its answer. Otherwise answer() is called for it later.
    virtual std::optional<postgres::Fault> request_arrived(RequestId request, std::string_view text,
                                                           const postgres::Statement& statement) = 0;
    // Its client has disconnected or cancelled it: no answer is expected.
    virtual void request_abandoned(RequestId request) = 0;
  };

  ClientConnections(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                    const config::InstanceConfig& config, RequestOwner& owner);

  // Starts to accept connections. Throws asio::system_error where the address is not available.
  void listen();
  // The proxy can serve requests: from now on empty queries, by which readiness is checked, are answered.
  void set_ready();
  // The final answer of a request, without ReadyForQuery. Ignored where its client has disconnected.
  void answer(RequestId request, std::string bytes);
  // Starts the graceful shutdown: connections are accepted for a while yet, then each is closed between
  // requests.
  void start_draining();

  // The graceful shutdown is over: nothing is accepted any more and no connection is open.
  [[nodiscard]] bool finished() const { return accept_stopped_ && connections_.empty(); }
  // Closes everything at once.
  void stop();

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  enum class CommandResult { pending, answered };  // pending: the reply comes later, or there is none

  // Accepting, capacity and draining (client_connections.cpp).
  void accept();
  void add_connection(asio::ip::tcp::socket socket);
  [[nodiscard]] std::size_t active_connections() const { return connections_.size() - lingering_; }
  static bool is_evictable(ClientConnection& connection);
  bool free_capacity();
  void check_connections();
  void limit_lingering();
  void stop_accepting();
  void reject_new_requests();
  void handle_disconnect(ClientConnection& connection);
  void close(ClientConnection& connection);

  // One connection (client_commands.cpp).
  void read(const ConnectionPtr& connection);
  void read_now(const ConnectionPtr& connection);
  static bool has_hung_up(ClientConnection& connection);
  void update_deadline(ClientConnection& connection);
  void deadline_passed(ClientConnection& connection);
  void handle_commands(ClientConnection& connection);
  CommandResult handle_message(ClientConnection& connection, const postgres::Message& message);
  CommandResult handle_startup(ClientConnection& connection, const postgres::Message& message);
  CommandResult handle_query(ClientConnection& connection, std::string_view text);
  CommandResult handle_statement(ClientConnection& connection, std::string_view text);
  CommandResult reply(ClientConnection& connection, std::string bytes);
  void cancel(const postgres::CancelKey& key);
  void flush(ClientConnection& connection);
  void write_completed(ClientConnection& connection);
  void close_with_error(ClientConnection& connection, std::string_view code, std::string_view text);
  void close_after_replies(ClientConnection& connection);
  void begin_close(ClientConnection& connection);
  void abort(ClientConnection& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  RequestOwner& owner_;
  asio::ip::tcp::acceptor acceptor_;
  net::MemoryBudget budget_;              // bounds what all connections buffer together
  net::MemoryBudget reply_budget_;        // bounds the replies that wait behind others
  std::list<ConnectionPtr> connections_;  // the owner of each
  std::size_t lingering_ = 0;             // how many of them are lingering
  std::map<RequestId, ClientConnection*> requests_;
  std::map<postgres::CancelKey, ClientConnection*> cancel_keys_;
  std::uint64_t last_request_ = 0;
  std::uint32_t last_connection_ = 0;
  bool ready_ = false;           // readiness checks are answered
  bool draining_ = false;        // the graceful shutdown has started
  bool accept_stopped_ = false;  // in it: no more connections are accepted
  bool rejecting_ = false;       // in it: new requests are rejected
  std::optional<net::Timers::Handle> accept_timer_;
  std::optional<net::Timers::Handle> drain_timer_;
  std::optional<net::Timers::Handle> check_timer_;
};

}  // namespace reedspindle::proxy
