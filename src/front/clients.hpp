// The clients: their connections, what they ask on them, and the answers in the order of the questions.
#pragma once

#include <asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "links/buffer.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/pgwire.hpp"
#include "links/placement.hpp"

namespace reedspindle::front {

using namespace links;

class Clients {
 public:
  // Who owns the ops. An op that can't be taken is answered at once, which a fault says.
  struct Ops {
    virtual ~Ops() = default;
    virtual std::optional<pgwire::Fault> op_arrived(OpId op, std::string_view text,
                                                    const pgwire::Statement& statement) = 0;
    virtual void op_gone(OpId op) = 0;
  };

  Clients(asio::io_context& io, Timers& timers, const Clock& clock, Log& log, const Placement& placement,
          Ops& ops);

  // From now on connections are taken.
  void listen();
  // From now on empty queries are answered, by which clients are sent here.
  void be_ready();
  void answer(OpId op, std::string bytes);
  // The front is to stop: connections go on being taken for as long as they still come, then each is ended
  // between ops.
  void drain();

  bool finished() const { return drained_ && connections_.empty(); }
  void stop();

 private:
  struct Connection;
  using Connected = std::shared_ptr<Connection>;

  void accept();
  void taken(asio::ip::tcp::socket socket);
  void look_round();
  void end_leaving();
  std::size_t staying() const { return connections_.size() - leaving_; }
  static bool gives_way(Connection& connection);
  bool make_room();
  void judge(Connection& connection);
  void cut_off(Connection& connection);
  void read(const Connected& connection);
  void go_on(Connection& connection);
  void take(Connection& connection, const pgwire::Message& message);
  void asked(Connection& connection, std::string_view text);
  void write(Connection& connection, std::string bytes);
  void end_with(Connection& connection, std::string_view code, std::string_view text);
  void leave(Connection& connection);
  void left(Connection& connection);
  void give_back(Connection& connection);

  asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  Log& log_;
  const Placement& placement_;
  Ops& ops_;
  asio::ip::tcp::acceptor acceptor_;
  Allowance allowance_;               // what is held of what clients send
  std::list<Connected> connections_;  // the one owner of each
  std::map<OpId, Connection*> asking_;
  std::size_t leaving_ = 0;  // of these, how many are being ended
  std::uint64_t last_op_ = 0;
  bool ready_ = false, draining_ = false, drained_ = false;
  std::optional<Timers::Handle> pause_, drain_, look_;
};

}  // namespace reedspindle::front
