// The control service: the list and probes go to the decision module, its view is offered to proxies. One
// loop decides; gRPC's threads and the keeper's only hand over. It owns every part of the process.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/charge.hpp"
#include "control/offer.hpp"
#include "control/roster.hpp"
#include "control/server.hpp"
#include "control/streams.hpp"
#include "control/xds.hpp"
#include "discovery/client.hpp"
#include "keep/keeper.hpp"
#include "keep/store.hpp"
#include "links/clock.hpp"
#include "links/log.hpp"
#include "links/members.hpp"
#include "logic.hpp"

namespace reedspindle::control {

class Service : private Hearer {
 public:
  // Throws keep::DiskFault or std::runtime_error where it can't start.
  explicit Service(Charge charge);

  // Runs until it has been told to stop.
  void run();

 private:
  bool opened(StreamId id, Form form, Abilities abilities, const std::string& node) override;
  void heard(StreamId id, Heard heard) override;
  void written(StreamId id) override;
  void closed(StreamId id) override;

  std::uint64_t start_roster();
  void list_read(links::ServerList list);
  void tell_module();
  void settle();
  void hand_out(Millis now);
  void keep_roster();
  void kept(const std::string& fault);
  void hear_signals();
  void wake_at(Millis at);
  void report();

  void carry_out(const Probe& decision);
  void carry_out(const Wake& decision);
  void carry_out(const WatchList&);
  void carry_out(const Forget& decision);
  void carry_out(const LogLine& decision);
  template <typename Op>
  void carry_out(const Op&) {}  // there are no ops here and no peers

  void carry_out(const Write& write);
  void carry_out(const End& end);
  void carry_out(const Notice& notice);

  struct Proxy {
    Form form;
    std::string node;
  };

  const Charge charge_;
  const links::Clock clock_;
  links::Log log_;
  asio::io_context io_;
  links::Timers timers_;
  asio::signal_set signals_;
  keep::FolderDisk disk_;
  keep::Store store_;
  Roster roster_;
  std::string kept_;           // what the store was told last; made before the start's number, which tells it
  const std::uint64_t epoch_;  // the number of this start
  std::unique_ptr<Router> router_;
  Offering offering_;
  Streams streams_;
  links::Members members_;
  discovery::Client list_;
  std::map<StreamId, Proxy> proxies_;
  Doubt told_doubt_ = Doubt::none;
  // What has happened since the last settle: to a stream, to what the module knows, to the roster.
  bool due_ = true, noted_ = true, listed_ = true;
  Millis made_at_ = 0;  // when the offers were worked out last
  bool stopping_ = false, was_ready_ = false;
  std::set<Abilities> offered_;
  std::optional<links::Timers::Handle> wake_;
  Millis wake_time_ = 0;
  keep::Keeper keeper_;
  Server server_;
};

}  // namespace reedspindle::control
