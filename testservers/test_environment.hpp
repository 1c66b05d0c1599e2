// Runs the TestDiscovery and TestStores of the fault test on loopback, on a thread with an event loop of its
// own, for tests that have no event loop. Calls from the test are run on that thread.
#pragma once

#include <asio.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "faulttest/test_discovery.hpp"
#include "faulttest/test_stores.hpp"
#include "net/clock.hpp"

namespace reedspindle::testservers {

double now_ms();  // Unix time in ms, with fractions

enum class DiscoveryMode { normal, silent, empty_list };
using faulttest::StoreState;

class TestEnvironment {
 public:
  explicit TestEnvironment(int stores);
  ~TestEnvironment();

  std::string discovery_address() const;
  std::string name_of(int store) const;
  std::string address_of(int store) const;
  int store_at(const std::string& address) const;  // returns -1 if no store has this address
  int size() const { return stores_.size(); }

  // Changes the states of the stores and publishes them by discovery under a new revision. Returns the time
  // at which the writes to all watching clients have been started, or at once if discovery is silent.
  double update(const std::function<void(std::vector<StoreState>&)>& change);
  // Changes the states of the stores without publishing them by discovery.
  void update_unpublished(const std::function<void(std::vector<StoreState>&)>& change);
  void set_discovery_mode(DiscoveryMode mode);
  void set_revision(long long revision);  // the revision of the current list; later updates count on from it
  // Forwards connections to a store that start with HTTP/2 to this port, where a server of the test listens.
  void pass_http2(int store, int port);
  // Returns the actual replication position of each store.
  std::vector<double> positions() const;
  StoreState state(int store) const;
  long long probes() const;

 private:
  // Runs the action on the thread of the event loop and waits until it is done.
  void run_on_loop(const std::function<void()>& action) const;
  void apply_change(const std::function<void(std::vector<StoreState>&)>& change);
  faulttest::TestDiscovery::ListUpdate endpoint_list() const;

  mutable asio::io_context io_;
  const net::Clock clock_;
  net::Timers timers_;
  faulttest::TestStores stores_;
  long long revision_ = 1;
  DiscoveryMode discovery_mode_ = DiscoveryMode::normal;
  faulttest::TestDiscovery discovery_;
  std::thread thread_;
};

}  // namespace reedspindle::testservers
