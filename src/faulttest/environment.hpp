// The environment of the proxy instances under test: simulated servers, clients and discovery (one per
// instance), relays on all connections to them, and the invariant checker that observes what crosses these
// connections.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "faulttest/plan.hpp"
#include "faulttest/streams.hpp"
#include "faulttest/test_clients.hpp"
#include "faulttest/test_discovery.hpp"
#include "faulttest/test_stores.hpp"
#include "invariants/invariants.hpp"

namespace reedspindle::faulttest {

class TestEnvironment {
 public:
  // Returns the local address for a role and a number within it.
  using AddressAllocator = std::function<Endpoint(int role, int number)>;

  // listen_addresses: where the instances listen for clients.
  TestEnvironment(asio::io_context& io, net::Timers& timers, const net::Clock& clock, const Plan& plan,
                  const std::vector<Endpoint>& listen_addresses, const AddressAllocator& allocate_address);

  // The part of an instance's placement file that describes the environment: discovery, known and settings.
  [[nodiscard]] nlohmann::json placement_of(int instance) const;
  void apply_fault(const Step& step);
  void heal();
  // Records what a process is told by its start.
  void instance_started(int instance);
  void enqueue(invariants::Event event) { checker_.record(std::move(event)); }
  // Starts the clients on the first call.
  void start_clients();
  void stop_clients() { clients_.stop(); }
  [[nodiscard]] bool clients_started() const { return clients_started_; }
  std::vector<invariants::Violation> check_invariants();
  [[nodiscard]] const std::deque<Tally>& tallies() const { return clients_.tallies(); }
  // The finished requests whose scheduled send time lies in the given interval.
  [[nodiscard]] Tally tally_between(Millis from, Millis to) const;
  // The connections that the instances hold to a server, without those of paused instances.
  [[nodiscard]] int connections(int server, const std::set<int>& paused_instances) const;
  // What the instances have sent since the start of the run.
  struct Counters {
    std::uint64_t probes = 0, discovery_requests = 0;  // to servers; to discovery
    std::vector<std::uint64_t> sends_by_server;
    [[nodiscard]] std::uint64_t total_sends() const;
  };
  [[nodiscard]] Counters counters() const;
  [[nodiscard]] std::size_t open_requests() const { return clients_.open_ops(); }

 private:
  struct ServerListing {
    int server = 0;
    bool accepts_requests = true;
    Millis started_at = 0;
  };
  [[nodiscard]] TestDiscovery::ListUpdate discovery_list(int instance) const;
  [[nodiscard]] std::vector<ServerListing> list_servers() const;
  void begin_revision();
  void record_agent_listing(int instance);
  void move_discovery(int instance);
  void record_listing(int instance, const std::vector<ServerListing>& listings, Millis at);
  void record_execution(const RequestExecuted& execution);
  template <typename Function>
  void for_each_link(const Step& step, Function apply);
  [[nodiscard]] std::vector<int> selected_relays(const Step& step) const;
  // One per server, one for discovery, one for clients.
  [[nodiscard]] int relays_per_instance() const { return plan_.stores + 2; }
  // Relays are numbered in the order in which they were opened: servers, discovery, clients.
  [[nodiscard]] int relay_index(int instance, int endpoint) const {
    return instance * relays_per_instance() + endpoint;
  }

  const Plan& plan_;
  const net::Clock& clock_;
  invariants::InvariantChecker checker_;
  StreamRelay streams_;
  TestStores stores_;
  std::vector<std::unique_ptr<TestDiscovery>> discoveries_;
  std::vector<std::vector<Endpoint>> upstream_addresses_;  // by instance: relays to servers and discovery
  std::vector<Endpoint> second_discovery_addresses_;       // by instance: further relays to discovery
  std::vector<Endpoint> client_addresses_;                 // relays to the instances, for clients
  TestClients clients_;
  struct Agent {
    bool moved = false;        // the instance reaches discovery through the second relay
    Millis notifies_from = 0;  // what discovery has counts as told from this time on
  };
  std::vector<Agent> agents_;
  net::Timers& timers_;
  long long revision_ = 0;
  std::map<long long, std::vector<ServerListing>> listings_;  // by revision
  nlohmann::json initial_lists_;  // by instance: the list at the start, as if saved by an earlier run
  struct ResponseInTransit {      // a response of discovery that its instance has not yet received
    std::size_t bytes = 0;
    int instance = 0;
    std::vector<ServerListing> listings;
  };
  std::map<ConnectionAddress, std::deque<ResponseInTransit>> responses_in_transit_;
  bool clients_started_ = false;
  std::vector<std::uint64_t> sends_by_server_;
};

}  // namespace reedspindle::faulttest
