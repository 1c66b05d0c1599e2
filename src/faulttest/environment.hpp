// What stands round the fronts of the rig: stores, discovery (an agent a front), clients, the links to all of
// them, and the checker of the rules that sees what crosses those links.
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
  // An address of the rig's own for a role and a number in it.
  using Own = std::function<Endpoint(int role, int number)>;

  // Fronts by where they listen for clients.
  TestEnvironment(asio::io_context& io, net::Timers& timers, const net::Clock& clock, const Plan& plan,
                  const std::vector<Endpoint>& fronts, const Own& own);

  // What a front's placement says of them: discovery, known, settings.
  [[nodiscard]] nlohmann::json placement_of(int front) const;
  void strike(const Step& step);
  void heal();
  void enqueue(invariants::Event event) { rules_.note(std::move(event)); }
  // Clients begin, once.
  void begin();
  void rest() { clients_.stop(); }
  [[nodiscard]] bool asking() const { return begun_; }
  std::vector<invariants::Broken> settle();
  [[nodiscard]] const std::deque<Tally>& tallies() const { return clients_.tallies(); }
  // Ops that were meant for a span of time and are over.
  [[nodiscard]] Tally between(Millis from, Millis to) const;
  // Connections that the fronts hold to a store, those left out that stand still.
  [[nodiscard]] int connections(int store, const std::set<int>& without) const;
  // By the fronts, since the run began.
  struct Asked {
    std::uint64_t probes = 0, calls = 0;  // stores; discovery
    std::vector<std::uint64_t> sends_to;  // each store
    [[nodiscard]] std::uint64_t sends() const;
  };
  [[nodiscard]] Asked asked() const;
  [[nodiscard]] std::size_t open_requests() const { return clients_.open_ops(); }

 private:
  struct Listed {
    int store = 0;
    bool wanted = true;
    Millis booted = 0;
  };
  [[nodiscard]] TestDiscovery::ListUpdate list_of(int front) const;
  [[nodiscard]] std::vector<Listed> listed() const;
  void told(int front, const std::vector<Listed>& listed, Millis at);
  void carried_out(const RequestExecuted& done);
  template <typename Change>
  void ways(const Step& step, Change change);
  [[nodiscard]] std::vector<int> gates(const Step& step) const;
  [[nodiscard]] int each() const { return plan_.stores + 2; }  // gates of a front
  // As they were opened: to the stores, to discovery, from clients.
  [[nodiscard]] int gate(int front, int other) const { return front * each() + other; }

  const Plan& plan_;
  const net::Clock& clock_;
  invariants::InvariantChecker rules_;
  StreamRelay streams_;
  TestStores stores_;
  std::vector<std::unique_ptr<TestDiscovery>> agents_;
  std::vector<std::vector<Endpoint>> seen_at_;  // of each front: where it meets stores and discovery
  std::vector<Endpoint> met_at_;                // where clients meet each front
  TestClients clients_;
  long long revision_ = 1;
  nlohmann::json first_;  // the list as the run began, a front's saved one
  struct Underway {       // an answer of discovery, until it has reached its front
    std::size_t bytes = 0;
    int front = 0;
    std::vector<Listed> listed;
  };
  std::map<Endpoint, std::deque<Underway>> underway_;
  bool begun_ = false;
  std::vector<std::uint64_t> sends_to_;
};

}  // namespace reedspindle::faulttest
