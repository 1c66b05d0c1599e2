// The client connections: accepting, capacity, commands and their replies, and draining.
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
#include "proxy/connection_ending.hpp"
#include "routing/router.hpp"

namespace reedspindle::proxy {

struct ClientConnection;

// Owns all client connections. Commands are handled as soon as they are received; replies are sent in the
// order of the commands. All functions have to be called on the event loop's thread.
class ClientConnections {
 public:
  // Handles the requests that clients send.
  struct RequestOwner {
    virtual ~RequestOwner() = default;
    // Handles a new request. If a fault is returned, the request is rejected with it; otherwise the owner
    // calls answer() later.
    virtual std::optional<postgres::Fault> request_arrived(RequestId request, std::string_view text,
                                                           const postgres::Statement& statement) = 0;
    // Returns whether a client whose open requests have so many bytes of text may have one more.
    [[nodiscard]] virtual bool may_open_more(std::size_t requests, std::size_t text_bytes) const = 0;
    // Handles a request whose client has disconnected or cancelled it: no answer is expected.
    virtual void request_abandoned(RequestId request) = 0;
  };

  // All referenced objects have to outlive this one.
  ClientConnections(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                    const config::InstanceConfig& config, RequestOwner& owner);

  // Starts to accept connections. Throws asio::system_error if the address is not available.
  void listen();
  // Declares that this instance can serve requests. From then on it answers empty queries, which serve as
  // readiness checks.
  void set_ready();
  // Sends the final answer of a request, up to ReadyForQuery. Has no effect if the client has disconnected.
  void answer(RequestId request, net::ChargedText bytes);
  // Returns whether the client of an open request is still there, as far as can be known. To be asked right
  // before an attempt begins. If it is not, its requests are abandoned in the next turn of the event loop.
  bool is_client_present(RequestId request);
  // Starts the graceful shutdown: connections are still accepted for a short time, then each is closed as
  // soon as it has no open request.
  void start_draining();

  // Returns whether the graceful shutdown is complete: no connection is accepted any more, and none is open.
  [[nodiscard]] bool finished() const { return accept_stopped_ && connections_.empty(); }
  // Closes the listening socket and all connections at once.
  void stop();

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  struct OpenRequest {
    ClientConnection* connection = nullptr;
    std::size_t text_bytes = 0;
  };
  enum class CommandResult { pending, answered };  // pending: the reply follows later, or there is none

  // Accepting, capacity and draining (client_connections.cpp).
  void accept();
  void add_connection(asio::ip::tcp::socket socket);
  [[nodiscard]] std::size_t active_connections() const { return connections_.size() - lingering_; }
  static Activity activity_of(ClientConnection& connection);
  bool free_capacity();
  bool free_read_memory();
  void check_connections();
  void limit_lingering();
  void stop_accepting();
  void reject_new_requests();
  void handle_disconnect(ClientConnection& connection);
  void close(ClientConnection& connection);

  // One connection (client_commands.cpp).
  void read(const ConnectionPtr& connection);
  void read_now(const ConnectionPtr& connection);
  void discard_now(const ConnectionPtr& connection);
  [[nodiscard]] bool may_owe_more(const ClientConnection& connection) const;
  void handle_commands(ClientConnection& connection);
  void handle_later(ClientConnection& connection);
  CommandResult handle_message(ClientConnection& connection, const postgres::Message& message);
  CommandResult handle_startup(ClientConnection& connection, const postgres::Message& message);
  CommandResult handle_query(ClientConnection& connection, std::string_view text);
  CommandResult handle_statement(ClientConnection& connection, std::string_view text);
  CommandResult reply(ClientConnection& connection, std::string bytes);
  // Forgets an open request. Returns its connection; null if there is no such request.
  ClientConnection* take_request(RequestId request);
  void cancel(const postgres::CancelKey& key);
  void flush(ClientConnection& connection);
  void write(ClientConnection& connection);
  void write_completed(ClientConnection& connection);

  // Clients that have gone or do not go on, and closing (client_endings.cpp).
  static bool has_hung_up(ClientConnection& connection);
  static bool may_hide_end(const ClientConnection& connection);
  void check_presence(ClientConnection& connection);
  void update_deadline(ClientConnection& connection);
  void clear_deadline(ClientConnection& connection);
  void deadline_passed(ClientConnection& connection);
  bool has_acted_in_time(const ConnectionPtr& connection);
  bool end_for_drain(ClientConnection& connection);
  static postgres::Fault stopping_fault();
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
  net::MemoryBudget budget_;              // of the read buffers of all connections
  net::MemoryBudget reply_budget_;        // of the replies that wait behind others, and of their records
  std::list<ConnectionPtr> connections_;  // owns all connections
  std::size_t lingering_ = 0;             // number of lingering connections
  std::map<RequestId, OpenRequest> requests_;
  std::map<postgres::CancelKey, ClientConnection*> cancel_keys_;
  std::uint64_t last_request_ = 0;
  std::uint32_t last_connection_ = 0;
  bool ready_ = false;           // readiness checks are answered
  bool draining_ = false;        // the graceful shutdown has started
  bool accept_stopped_ = false;  // draining: no more connections are accepted
  bool rejecting_ = false;       // draining: new requests are rejected
  std::optional<net::Timers::Handle> accept_timer_;
  std::optional<net::Timers::Handle> drain_timer_;
  std::optional<net::Timers::Handle> check_timer_;
};

}  // namespace reedspindle::proxy
