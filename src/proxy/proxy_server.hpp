// The front: events from all parties go to the decision module, one settle a turn of the loop, and its
// decisions are carried out. It owns the ops.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/instance_config.hpp"
#include "discovery/client.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"
#include "postgres/codec.hpp"
#include "proxy/arrival_bound.hpp"
#include "proxy/client_connections.hpp"
#include "proxy/fleet_coordinator.hpp"
#include "proxy/options.hpp"
#include "proxy/peer_socket.hpp"
#include "proxy/turn_gauge.hpp"
#include "routing/router.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::proxy {

class ProxyServer : private ClientConnections::RequestOwner {
 public:
  // Throws InvalidInput where the placement is faulty.
  explicit ProxyServer(config::Environment environment, const ProxyOptions& orders = {});

  // Runs until it has been told to stop and nothing is open.
  void run();

 private:
  struct Op {
    std::shared_ptr<const std::string> text;
    std::string id;  // as the client names it
    postgres::TextSpan remaining;
    int sends = 0;
    Millis arrived = 0;
  };
  // What happened, in order. An op's times are counted back from the clock of the settle that tells of it.
  struct Noted {
    Event event;
    Millis arrived = 0, position = 0;
  };

  std::optional<postgres::Fault> request_arrived(RequestId op, std::string_view text,
                                                 const postgres::Statement& statement) override;
  void request_abandoned(RequestId op) override;
  void list_read(net::EndpointList list);
  void send_ended(AttemptCompleted ended, std::string row);
  void sleep();
  void run_callbacks();
  void note(Event event);
  void tell_turn();
  void settle();
  // Why: for the log. No answer: nobody waits for it.
  void end_op(RequestId op, std::string answer, std::string_view why);
  void hear_signals();
  void read_again();

  void carry_out(const StartAttempt& decision);
  void carry_out(const CancelAttempt& decision);
  void carry_out(const RejectRequest& decision);
  void carry_out(const FailRequest& decision);
  void carry_out(const SetTimer& decision);
  void carry_out(const StartProbe& decision);
  void carry_out(const WatchEndpoints& decision);
  void carry_out(const ForgetServer& decision);
  void carry_out(const BroadcastToPeers& decision);
  void carry_out(const LogMessage& decision);

  const config::Environment environment_;
  std::string saved_list_;  // of the placement, until it has been read
  const config::InstanceConfig config_;
  const net::Clock clock_;
  TurnGauge turns_;
  ArrivalBound arrivals_{clock_.now()};
  logging::Log log_;
  asio::io_context io_;
  net::Timers timers_;
  asio::signal_set signals_;
  std::unique_ptr<Router> router_;
  std::vector<Noted> noted_;
  bool settle_wanted_ = false;  // for what was noted; what peers say alone can wait for a while
  bool turn_is_full_ = false;   // a part of a list is enough work for one
  std::optional<net::Timers::Handle> gathered_;
  Millis settled_ = 0;
  std::map<RequestId, Op> ops_;
  std::set<std::string, std::less<>> ids_;  // of the open ops
  std::set<GroupId> groups_;                // that discovery has named
  net::Allowance texts_;                    // of the open ops
  upstream::ConnectionPool members_;
  ClientConnections clients_;
  discovery::Client list_;
  PeerSocket peers_;
  std::optional<FleetCoordinator> tier_;  // none: nothing of the fleet is on
};

}  // namespace reedspindle::proxy
