#include "faulttest/outages.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::faulttest {
namespace {

constexpr std::array kFailures{"hangs", "holds", "half", "trickles", "resets", "refuses", "status", "late"};
constexpr Millis kShortestOutage = 500;
constexpr Millis kMaxLateness = 2500;  // of responses that come late
// The longest time for which the platform holds a process up.
constexpr Millis kPause = 150;
// Time after the return of an agent in which late sends would be seen.
constexpr Millis kObservation = 1200;
// The longest time for which a killed process stays away.
constexpr Millis kMaxRestart = 700;
// SIGKILL follows SIGTERM no sooner than the longest deadline, or kShortestDrain, plus kKillMargin.
constexpr Millis kShortestDrain = 3000, kKillMargin = 700;

class OutageSequence {
 public:
  OutageSequence(const Plan& plan, const Step& like, std::uint64_t seed)
      : plan_(plan), like_(like), random_(make_random(seed)) {}

  std::vector<Step> draw(int count) {
    for (int outage = 0; outage < count; ++outage) {
      add_outage();
    }
    add_shutdown();
    return std::move(steps_);
  }

 private:
  Millis below(Millis most) { return static_cast<Millis>(random_() % static_cast<unsigned>(most)); }
  bool one_in(int times) { return random_() % static_cast<unsigned>(times) == 0; }

  Step& add(const char* fault, Millis lasts) {
    Step step;
    step.fault = fault;
    step.until = "now";
    step.line = like_.line;
    step.within = like_.within;
    step.lasts = lasts;
    step.fronts = all_fronts(plan_.fronts);
    steps_.push_back(std::move(step));
    return steps_.back();
  }

  void add_failure(Millis lasts) {
    Step& step = add("discovery-fails", lasts);
    step.how = kFailures[random_() % kFailures.size()];
    step.by = 1 + below(kMaxLateness);
  }

  void add_pause(Millis lasts) { add("pause", lasts).by = kPause; }

  void add_drain(Millis lasts) {
    Step& step = add("drain", lasts);
    // The first servers are the primaries.
    for (int drained = 0; drained < 2 && plan_.stores > plan_.groups; ++drained) {
      step.stores.insert(plan_.groups + static_cast<int>(below(plan_.stores - plan_.groups)));
    }
    drained_ = step.stores;
  }

  void add_restart() {
    add("kill", below(kMaxRestart));
    add("start", below(kPause));
  }

  void add_outage() {
    const Millis duration = kShortestOutage + below(std::max(1.0, like_.by - kShortestOutage));
    const bool two_failures = one_in(3);
    add_failure(two_failures ? duration / 2 : 0);
    if (two_failures) {
      add_failure(0);
    }
    const Millis left = two_failures ? duration / 2 : duration;
    const bool drains_late = one_in(4);
    if (one_in(4)) {
      for (int reload = 0; reload <= static_cast<int>(below(3)); ++reload) {
        add("discovery-moves", below(60));
      }
    }
    if (!drains_late) {
      add_drain(0);
    }
    add("none", left);
    const bool paused = one_in(3);
    if (paused && one_in(2)) {
      add_pause(below(kPause));
    }
    const bool restarts = one_in(5);
    if (restarts && one_in(2)) {
      add_restart();
    }
    add("discovery-speaks", drains_late || paused ? below(300) : kObservation);
    if (drains_late) {
      add_drain(paused ? below(300) : kObservation);
    }
    if (paused) {
      add_pause(kObservation);
    }
    if (restarts) {
      add_restart();
      add("none", kObservation);
    }
    add("enlist", 300 + below(700)).stores = drained_;
  }

  void add_shutdown() {
    add_failure(kShortestOutage);
    add("end", std::max(kShortestDrain, plan_.clients.request_timeout) + kKillMargin);
    add("kill", 0);
  }

  const Plan& plan_;
  const Step& like_;
  std::minstd_rand random_;
  std::set<int> drained_;
  std::vector<Step> steps_;
};

}  // namespace

std::vector<Step> random_outages(const Plan& plan, int count, const Step& like, std::uint64_t seed) {
  return OutageSequence(plan, like, seed).draw(count);
}

}  // namespace reedspindle::faulttest
