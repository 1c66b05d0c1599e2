// Stand-ins on loopback for what the control service talks to: discovery over HTTP, and stores that answer
// probes in PostgreSQL's protocol. One thread of its own drives them; what tests ask of them is handed over.
#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace reedspindle::standins {

double now_ms();  // Unix ms with fractions

enum class Manner { answers, silent, empty_list };

struct StoreState {
  int group = 0;
  bool primary = false, draining = false, listed = true;
  bool answers = true;     // probes; silent otherwise
  double lag = 5;          // ms a replica stands behind
  double stalled_at = -1;  // a position it stands still at; below 0: it does not
};

class World {
 public:
  explicit World(int stores);
  ~World();

  const std::string& discovery_address() const { return discovery_address_; }
  std::string name_of(int store) const;
  std::string address_of(int store) const;
  int store_at(const std::string& address) const;  // below 0: none there
  int size() const { return static_cast<int>(ports_.size()); }

  // Changes the stores by a function, then tells of it under a new revision, and returns when all that watch
  // have been written to (or at once, when discovery says nothing). Returns the time of the writing.
  double change(const std::function<void(std::vector<StoreState>&)>& by);
  // Without a word of discovery.
  void quietly(const std::function<void(std::vector<StoreState>&)>& by);
  void discovery(Manner manner);
  void revision(long long to);  // from here on
  // What begins as HTTP/2 at a store is passed on to this port, where a server of the test answers.
  void pass_http2(int store, int port);
  // Where a replica truly stands now.
  double position(int store) const;
  StoreState state(int store) const;
  long long probes() const { return probes_; }

 private:
  struct Link;
  void accept_discovery();
  void accept_store(int store);
  void read_http(const std::shared_ptr<Link>& link);
  void read_store(const std::shared_ptr<Link>& link, int store);
  void pass_on(const std::shared_ptr<Link>& link, int port);
  static void relay(const std::shared_ptr<Link>& from, const std::shared_ptr<Link>& to);
  void answer_http(const std::shared_ptr<Link>& link);
  std::string list() const;
  double position_of(const StoreState& state) const;

  asio::io_context io_;
  asio::ip::tcp::acceptor discovery_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> stores_;
  std::vector<int> ports_;
  std::string discovery_address_;
  mutable std::mutex mutex_;  // of the states, the revision and the manner
  std::vector<StoreState> states_;
  std::map<int, int> http2_;
  long long revision_ = 1;
  Manner manner_ = Manner::answers;
  std::list<std::weak_ptr<Link>> watching_;
  std::atomic<long long> probes_ = 0;
  std::thread thread_;
};

}  // namespace reedspindle::standins
