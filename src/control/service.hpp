// The control service: passes endpoint lists and probe results to the router, builds xDS resources from the
// router's view of the servers and sends them to clients. All decisions are made on one event loop; the
// threads of gRPC and of the snapshot writer only post to it.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/endpoint_registry.hpp"
#include "control/options.hpp"
#include "control/resource_snapshot.hpp"
#include "control/server.hpp"
#include "control/subscriptions.hpp"
#include "control/xds.hpp"
#include "discovery/client.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"
#include "routing/router.hpp"
#include "snapshot/snapshot_store.hpp"
#include "snapshot/snapshot_writer.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::control {

// Owns every component of the process and connects them.
class Service : private StreamListener {
 public:
  // Restores the saved registry and starts the gRPC server. Throws snapshot::DiskFault or std::runtime_error
  // if that fails.
  explicit Service(Options options);

  // Runs the event loop; returns after SIGTERM or SIGINT, once the server has stopped.
  void run();

 private:
  bool on_stream_opened(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                        const std::string& node) override;
  void on_request(StreamId id, SubscriptionRequest request) override;
  void on_response_sent(StreamId id) override;
  void on_stream_closed(StreamId id) override;

  std::uint64_t restore_registry();
  void on_endpoint_list(net::EndpointList list);
  void notify_router();
  void process_events();
  void send_responses(Millis now);
  void persist_registry();
  void on_persisted(const std::string& error);
  void wait_for_signals();
  void wake_at(Millis at);
  void log_state();

  void execute(const StartProbe& decision);
  void execute(const SetTimer& decision);
  void execute(const WatchEndpoints& /*unused*/);
  void execute(const ForgetServer& decision);
  void execute(const LogMessage& decision);
  template <typename Op>
  void execute(const Op& /*unused*/) {}  // not applicable: the control service has no requests and no peers

  void execute(const ResponseToSend& response);
  void execute(const StreamToClose& closure);
  void execute(const OperatorNotice& notice);

  struct OpenStream {
    ProtocolVariant variant;
    std::string node;  // the client's node id, truncated for the log
  };

  const Options options_;
  const net::Clock clock_;
  logging::Log log_;
  asio::io_context io_;
  net::Timers timers_;
  asio::signal_set signals_;
  snapshot::DirectoryDisk disk_;
  snapshot::SnapshotStore store_;
  EndpointRegistry registry_;
  // The registry state that was last passed to the store. Declared before epoch_, whose initializer sets it.
  std::string persisted_state_;
  const std::uint64_t epoch_;  // unique for each start of the service, and higher than all before
  std::unique_ptr<Router> router_;
  SnapshotBuilder snapshot_builder_;
  Subscriptions subscriptions_;
  upstream::ConnectionPool server_connections_;
  discovery::Client discovery_client_;
  std::map<StreamId, OpenStream> open_streams_;
  UpdateVerdict logged_verdict_ = UpdateVerdict::accepted;
  // Whether any work, an event for the router or a change of the registry is pending since the last
  // process_events.
  bool work_pending_ = true, router_pending_ = true, registry_changed_ = true;
  Millis snapshot_built_at_ = 0;  // time of the last build
  bool stopping_ = false, was_ready_ = false;
  std::set<ClientCapabilities> snapshot_capabilities_;  // for which the last snapshots were built
  std::optional<net::Timers::Handle> wake_;
  Millis wake_time_ = 0;  // when wake_ expires
  snapshot::SnapshotWriter snapshot_writer_;
  Server server_;
};

}  // namespace reedspindle::control
