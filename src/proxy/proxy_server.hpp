// The proxy process: its event loop, the open requests, and the execution of the router's decisions.
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
#include "proxy/request_ids.hpp"
#include "proxy/turn_gauge.hpp"
#include "routing/router.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::proxy {

// Owns all parts of the proxy and runs them in one thread. Events are queued, and the router processes them
// at most once in each turn of the event loop.
class ProxyServer : private ClientConnections::RequestOwner {
 public:
  // Throws InvalidInput if the configuration of the instance is not valid.
  explicit ProxyServer(config::Environment environment, const ProxyOptions& options = {});

  // Serves clients until SIGTERM or SIGINT has been received and every client connection is closed.
  void run();

 private:
  // A request that has no final answer yet.
  struct Request {
    std::shared_ptr<const net::ChargedText> text;  // of the statement
    net::MemoryCharge record;                      // of all that is kept besides the text
    std::string id;                                // chosen by the client
    postgres::TextSpan remaining_span;  // the place in the text that states the client's remaining time
    bool retryable = false;             // it may run several times
    int attempts = 0;
    Millis arrived = 0;   // Unix time
    Millis deadline = 0;  // Unix time; the client's
  };
  // An event for the router. A request's remaining time and token age are computed when the router runs.
  struct QueuedEvent {
    Event event;
    Millis arrived = 0;         // Unix time; for a request
    Millis token_position = 0;  // Unix time; for a request with a token
  };

  std::optional<postgres::Fault> request_arrived(RequestId request, std::string_view text,
                                                 const postgres::Statement& statement) override;
  [[nodiscard]] bool may_open_more(std::size_t requests, std::size_t text_bytes) const override;
  void request_abandoned(RequestId request) override;
  [[nodiscard]] std::optional<postgres::Fault> reject_reason(const postgres::Statement& statement);
  void handle_endpoint_list(net::EndpointList list);
  bool may_send(RequestId request, AttemptNumber attempt);
  void handle_attempt_completed(AttemptCompleted completed, std::optional<net::ChargedText> row);
  void handle_peer_message(int peer, std::string text);
  enum class Effect { none, possible };
  // Ends the request and sends its answer, up to ReadyForQuery, unless that is empty. The reason appears only
  // in the log.
  void complete_request(RequestId request, net::ChargedText answer, std::string_view reason,
                        Effect effect = Effect::possible);

  void restore_endpoint_list();
  void run_turn();
  void wait_for_event();
  void run_callbacks();
  // Queues the event for the router, which runs at the end of this turn.
  void enqueue(Event event);
  void run_router();
  void pass_events_to_router(Millis now);
  void log_turn();

  void wait_for_signal();
  void start_draining(int signal);
  void reload_configuration();

  void execute(const StartAttempt& decision);
  void execute(const CancelAttempt& decision);
  void execute(const RejectRequest& decision);
  void execute(const FailRequest& decision);
  void execute(const SetTimer& decision);
  void execute(const StartProbe& decision);
  void execute(const WatchEndpoints& decision);
  void execute(const ForgetServer& decision);
  void execute(const BroadcastToPeers& decision);
  void execute(const LogMessage& decision);

  const config::Environment environment_;
  std::string saved_endpoint_list_;  // from the configuration; empty once it has been used
  const config::InstanceConfig config_;
  const net::Clock clock_;
  TurnGauge turn_gauge_;
  ArrivalBound arrival_bound_{clock_.now()};
  logging::Log log_;
  asio::io_context io_;
  net::Timers timers_;
  asio::signal_set signals_;
  std::unique_ptr<Router> router_;
  std::vector<QueuedEvent> queued_events_;
  bool router_run_needed_ = false;  // not set by peer messages, which wait for their timer
  bool turn_full_ = false;          // set by a part of an endpoint list, which is enough work for one turn
  std::optional<net::Timers::Handle> peer_message_timer_;
  Millis last_run_ = 0;  // Unix time of the router's last run
  std::map<RequestId, Request> requests_;
  RequestIds request_ids_;
  std::set<GroupId> groups_;          // all groups in endpoint lists so far
  net::MemoryBudget request_budget_;  // of the open requests and their texts
  upstream::ConnectionPool connection_pool_;
  ClientConnections client_connections_;
  discovery::Client discovery_client_;
  PeerSocket peer_socket_;
  std::optional<FleetCoordinator> fleet_;  // none: the fleet coordination is disabled
};

}  // namespace reedspindle::proxy
