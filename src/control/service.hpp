// The control service: the list and probes go to the decision module, its view is offered to proxies. One
// loop decides; gRPC's threads and the keeper's only hand over. It owns every part of the process.
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
  // Throws keep::DiskFault or std::runtime_error where it can't start.
  explicit Service(Options charge);

  // Runs until it has been told to stop.
  void run();

 private:
  bool opened(StreamId id, Form form, Abilities abilities, const std::string& node) override;
  void heard(StreamId id, SubscriptionRequest heard) override;
  void written(StreamId id) override;
  void closed(StreamId id) override;

  std::uint64_t start_roster();
  void list_read(net::EndpointList list);
  void tell_module();
  void settle();
  void hand_out(Millis now);
  void keep_roster();
  void kept(const std::string& fault);
  void hear_signals();
  void wake_at(Millis at);
  void report();

  void carry_out(const StartProbe& decision);
  void carry_out(const SetTimer& decision);
  void carry_out(const WatchEndpoints& /*unused*/);
  void carry_out(const ForgetServer& decision);
  void carry_out(const LogMessage& decision);
  template <typename Op>
  void carry_out(const Op& /*unused*/) {}  // there are no ops here and no peers

  void carry_out(const Write& write);
  void carry_out(const End& end);
  void carry_out(const Notice& notice);

  struct Proxy {
    Form form;
    std::string node;
  };

  const Options charge_;
  const net::Clock clock_;
  logging::Log log_;
  asio::io_context io_;
  net::Timers timers_;
  asio::signal_set signals_;
  snapshot::FolderDisk disk_;
  snapshot::Store store_;
  EndpointRegistry roster_;
  std::string kept_;           // what the store was told last; made before the start's number, which tells it
  const std::uint64_t epoch_;  // the number of this start
  std::unique_ptr<Router> router_;
  SnapshotBuilder offering_;
  Subscriptions streams_;
  upstream::ConnectionPool members_;
  discovery::Client list_;
  std::map<StreamId, Proxy> proxies_;
  UpdateDoubt told_doubt_ = UpdateDoubt::none;
  // What has happened since the last settle: to a stream, to what the module knows, to the roster.
  bool due_ = true, noted_ = true, listed_ = true;
  Millis made_at_ = 0;  // when the offers were worked out last
  bool stopping_ = false, was_ready_ = false;
  std::set<Abilities> offered_;
  std::optional<net::Timers::Handle> wake_;
  Millis wake_time_ = 0;
  snapshot::SnapshotWriter keeper_;
  Server server_;
};

}  // namespace reedspindle::control
