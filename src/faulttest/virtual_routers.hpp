// Many fronts' decision modules in virtual time, with their membership beside them: who probes which store,
// what is told of it, and how old the samples are that ops are steered by. TestStores answer probes; no ops
// yet. One thread, one seed, the same run each time.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "faulttest/virtual_fleet.hpp"
#include "routing/router.hpp"

namespace reedspindle::faulttest {

struct Stage {
  int fronts = 10, groups = 4, members = 6;  // members of each group, the first is primary
  bool by_view = false;  // the membership's view is told to the modules; else they go by what they hear
  Millis answer = 1, lag = 20;  // of a probe; of a replica
};

// Of a span of time.
struct Probing {
  double probes = 0;                        // a second and store
  double words = 0;                         // texts to all, a second, of all fronts
  Millis median = 0, p99 = 0, longest = 0;  // ages of samples, over live fronts and stores
  double unusable = 0;                      // share of them over a second old, by which no read may go
};

class VirtualRouters {
 public:
  VirtualRouters(const Stage& stage, std::uint64_t seed);

  void start(int front);
  void kill(int front);
  void stop(int front);
  void wake(int front);
  // Links between fronts, membership and words alike.
  void cut(int from, int to) { cut_.insert({from, to}), cut_.insert({to, from}); }
  void heal() { cut_.clear(); }
  void loss(double share) { fleet_.network.loss = share; }
  Probing run(Millis span);

 private:
  struct Front {
    std::unique_ptr<Router> router;
    int life = 0;
    bool stopped = false, changed = false;  // changed: its membership's view
    std::vector<Event> waiting;
  };
  struct Due {
    Millis at = 0;
    std::uint64_t order = 0;
    int front = 0, life = 0;
    Event event;
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  Front& front(int number) { return fronts_.at(static_cast<std::size_t>(number)); }
  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }
  [[nodiscard]] EndpointListReceived list() const;
  void settle(int number);
  void due(Millis at, int number, Event event);

  const Stage stage_;
  VirtualFleet fleet_;
  std::minstd_rand random_;
  std::vector<Front> fronts_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::set<std::pair<int, int>> cut_;
  std::uint64_t order_ = 0, probes_ = 0, words_ = 0;
};

}  // namespace reedspindle::faulttest
