// The control service: feeds endpoint lists and health checks to the router and sends its view to clients as
// xDS resources. One event loop decides; gRPC's threads and the snapshot writer's only post to it. The
// service owns all parts of the process.
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

class Service : private StreamListener {
 public:
  // Throws snapshot::DiskFault or std::runtime_error where it can't start.
  explicit Service(Options options);

  // Runs until a signal stops it.
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
  void on_persisted(const std::string& fault);
  void wait_for_signals();
  void wake_at(Millis at);
  void log_state();

  void execute(const StartProbe& decision);
  void execute(const SetTimer& decision);
  void execute(const WatchEndpoints& /*unused*/);
  void execute(const ForgetServer& decision);
  void execute(const LogMessage& decision);
  template <typename Op>
  void execute(const Op& /*unused*/) {}  // the control service has no requests and no peers

  void execute(const ResponseToSend& response);
  void execute(const StreamToClose& end);
  void execute(const OperatorNotice& notice);

  struct Proxy {
    ProtocolVariant variant;
    std::string node;
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
  std::string
      persisted_state_;        // what the store was told last; made before the start's number, which tells it
  const std::uint64_t epoch_;  // the number of this start
  std::unique_ptr<Router> router_;
  SnapshotBuilder snapshot_builder_;
  Subscriptions subscriptions_;
  upstream::ConnectionPool members_;
  discovery::Client endpoint_watch_;
  std::map<StreamId, Proxy> proxies_;
  UpdateVerdict logged_verdict_ = UpdateVerdict::accepted;
  // Since the last process_events: anything, an event for the router, a change of the registry.
  bool due_ = true, router_pending_ = true, registry_changed_ = true;
  Millis snapshot_built_at_ = 0;  // when the snapshots were built last
  bool stopping_ = false, was_ready_ = false;
  std::set<ClientCapabilities> snapshot_capabilities_;
  std::optional<net::Timers::Handle> wake_;
  Millis wake_time_ = 0;
  snapshot::SnapshotWriter snapshot_writer_;
  Server server_;
};

}  // namespace reedspindle::control
