// The clients: their connections, the commands that come on them, and the replies in the commands' order.
#pragma once

#include <asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "config/instance_config.hpp"
#include "logging/log.hpp"
#include "net/buffer.hpp"
#include "net/clock.hpp"
#include "postgres/codec.hpp"
#include "proxy/pending_replies.hpp"

namespace reedspindle::proxy {

class ClientConnections {
 public:
  // Who owns the requests. One that can't be taken is answered at once, which a fault says.
  struct RequestOwner {
    virtual ~RequestOwner() = default;
    virtual std::optional<postgres::Fault> request_arrived(RequestId request, std::string_view text,
                                                           const postgres::Statement& statement) = 0;
    // Its client has gone: nobody waits for the answer.
    virtual void request_abandoned(RequestId request) = 0;
  };

  ClientConnections(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
                    const config::InstanceConfig& config, RequestOwner& owner);

  // From now on connections are taken.
  void listen();
  // From now on empty queries are answered, by which clients are sent here.
  void be_ready();
  // The final answer of a request, without ReadyForQuery.
  void answer(RequestId request, std::string bytes);
  // The front is to stop: connections go on being taken for as long as they still come, then each is ended
  // between requests.
  void drain();

  [[nodiscard]] bool finished() const { return drained_ && connections_.empty(); }
  void stop();

 private:
  struct Connection;
  using Connected = std::shared_ptr<Connection>;
  enum class Taken { pending, answered };  // a command whose reply comes later or never, or is there

  void accept();
  void accepted(asio::ip::tcp::socket socket);
  void stop_listening();
  void refuse_requests();
  void look_round();
  void end_leaving();
  [[nodiscard]] std::size_t staying() const { return connections_.size() - leaving_; }
  static bool listens(const Connection& connection);
  static bool gives_way(Connection& connection);
  static bool hung_up(Connection& connection);
  bool make_room();
  void judge(Connection& connection);
  void limit_passed(Connection& connection);
  void cut_off(Connection& connection);
  void read(const Connected& connection);
  void read_now(const Connected& connection);
  void take_commands(Connection& connection);
  Taken take(Connection& connection, const postgres::Message& message);
  Taken take_startup(Connection& connection, const postgres::Message& message);
  Taken take_query(Connection& connection, std::string_view text);
  Taken take_statement(Connection& connection, std::string_view text);
  Taken reply(Connection& connection, std::string bytes);
  void flush(Connection& connection);
  void written(Connection& connection);
  void cancel(const postgres::CancelKey& key);
  void end_with(Connection& connection, std::string_view code, std::string_view text);
  void close_after_replies(Connection& connection);
  void leave(Connection& connection);
  void left(Connection& connection);
  void give_back(Connection& connection);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  RequestOwner& owner_;
  asio::ip::tcp::acceptor acceptor_;
  net::Allowance allowance_;          // what is held of what clients send
  net::Allowance reply_allowance_;    // of replies that wait behind others
  std::list<Connected> connections_;  // the one owner of each
  std::map<RequestId, Connection*> asking_;
  std::size_t leaving_ = 0;  // of these, how many are being ended
  std::map<postgres::CancelKey, Connection*> keys_;
  std::uint64_t last_request_ = 0;
  std::uint32_t last_connection_ = 0;
  bool ready_ = false;
  bool draining_ = false;  // told to stop
  bool drained_ = false;   // no connection is taken any more
  bool refusing_ = false;  // nor a request
  std::optional<net::Timers::Handle> pause_, drain_, look_;
};

}  // namespace reedspindle::proxy
