// The membership, the shares and the accord on the peers' socket: their datagrams, timers, words in the log,
// and the status file.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "consistency/state_digest.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"
#include "net/endpoint_list.hpp"
#include "proxy/options.hpp"
#include "proxy/peer_socket.hpp"
#include "quota/usage.hpp"
#include "upstream/connection_pool.hpp"

namespace reedspindle::proxy {

class FleetCoordinator {
 public:
  using Among = std::function<void(FleetViewChanged)>;
  using Listed = std::function<void(EndpointListReceived)>;
  using Steered = std::function<std::vector<ServerView>()>;  // what the decision module holds true

  // Throws InvalidInput.
  FleetCoordinator(net::Timers& timers, const net::Clock& clock, logging::Log& log,
                   const config::InstanceConfig& config, const FleetOptions& fleet, PeerSocket& peers,
                   upstream::ConnectionPool& members, Among among, Listed listed, Steered steered);

  void listed(int places);
  // TestDiscovery's list, as it came.
  void list_read(const net::EndpointList& list);
  // Before anything is sent: what this front was given may have ended while it stood still.
  void look();
  // Told to the fellows at once; the front may take a while to end.
  void leave();
  void stop();

 private:
  // One that decides, with its timer.
  template <typename Core>
  struct Driven {
    std::unique_ptr<Core> core;  // none: it is off
    std::optional<net::Timers::Handle> wake;
  };
  template <typename Core>
  void turn(Driven<Core>& driven);
  void settle(std::optional<membership::Event> event);
  void carry_out(const membership::PeerChanged& decision);
  void carry_out(const membership::SelfReport& decision);
  void share(std::optional<quota::Event> event);
  void carry_out(const quota::LeaseReport& decision);
  void carry_out(const quota::AllocationChanged& decision);
  void compare(consistency::Event event);
  void carry_out(const consistency::ConsistencyReport& decision);
  void carry_out(const consistency::Admission& decision);
  void carry_out(const consistency::SuspectServers& decision);
  [[nodiscard]] std::set<SlotId> there() const;
  void tell_need();
  void tell_acts();
  void tell_fellows();
  void tell_who_counts();
  void tell_module();
  void write_later();
  void write_status();
  [[nodiscard]] std::string status() const;

  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  PeerSocket& peers_;
  upstream::ConnectionPool& members_;
  const std::string path_;
  const membership::Options membership_options_;
  Driven<membership::Membership> membership_;
  std::optional<quota::Options> quota_options_;  // none: each store may be used as it comes
  const int connections_;
  Driven<quota::QuotaManager> quota_;
  std::optional<quota::Usage> usage_;
  quota::Allocation allocation_;
  quota::Connections limit_;
  Driven<consistency::ConsistencyMonitor> consistency_;
  const Millis acts_pace_;
  const Among among_;
  const Listed listed_;
  const Steered steered_;
  consistency::EndpointListState list_;
  std::vector<ServerEntry> parts_;           // of the list that is being read
  std::set<std::uint32_t> suspect_servers_;  // marks of members
  int places_;
  FleetViewChanged told_;  // the module
  std::optional<net::Timers::Handle> write_, need_, acts_;
  Millis written_ = 0;
  bool changed_ = false;  // the membership's view, within a turn
};

}  // namespace reedspindle::proxy
