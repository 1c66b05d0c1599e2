// TestDiscovery and stores on loopback for tests that are not on a loop of their own: the rig's stand-ins,
// driven by a thread. What tests ask of them is handed over to it.
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

double now_ms();  // Unix ms with fractions

enum class Manner { answers, silent, empty_list };
using faulttest::StoreState;

class World {
 public:
  explicit World(int stores);
  ~World();

  std::string discovery_address() const;
  std::string name_of(int store) const;
  std::string address_of(int store) const;
  int store_at(const std::string& address) const;  // below 0: none there
  int size() const { return stores_.size(); }

  // Changes the stores by a function, then tells of it under a new revision, and returns when all that watch
  // are being written to (or at once, when discovery says nothing). Returns the time of the writing.
  double change(const std::function<void(std::vector<StoreState>&)>& by);
  // Without a word of discovery.
  void quietly(const std::function<void(std::vector<StoreState>&)>& by);
  void discovery(Manner manner);
  void revision(long long to);  // from here on
  // What begins as HTTP/2 at a store is passed on to this port, where a server of the test answers.
  void pass_http2(int store, int port);
  // Where each store truly stands now.
  std::vector<double> positions() const;
  StoreState state(int store) const;
  long long probes() const;

 private:
  // Done on the loop's thread, before it returns.
  void on_loop(const std::function<void()>& done) const;
  void apply(const std::function<void(std::vector<StoreState>&)>& by);
  faulttest::TestDiscovery::ListUpdate list() const;

  mutable asio::io_context io_;
  const net::Clock clock_;
  net::Timers timers_;
  faulttest::TestStores stores_;
  long long revision_ = 1;
  Manner manner_ = Manner::answers;
  faulttest::TestDiscovery discovery_;
  std::thread thread_;
};

}  // namespace reedspindle::testservers
