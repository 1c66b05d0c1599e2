// Carries a plan out: starts the fronts, strikes them and their links step by step, waits for what each step
// names and says what came of it. One thread, one loop; chance from the plan's seed.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "faulttest/environment.hpp"
#include "faulttest/plan.hpp"
#include "faulttest/process.hpp"
#include "faulttest/relay.hpp"
#include "net/clock.hpp"

namespace reedspindle::faulttest {

// What came of a step.
struct Outcome {
  bool held = false;
  Millis took = 0;
  std::string why;  // where it did not hold
};

class FaultTest {
 public:
  FaultTest(Plan plan, std::string program, std::string folder);

  Outcome carry_out(const Step& step);
  // Clients ask nothing more, what is open comes to its end.
  Outcome finish();
  // All that a report needs, as JSON.
  [[nodiscard]] nlohmann::json record() const;
  [[nodiscard]] const Plan& plan() const { return plan_; }
  // Each process' view side by side, a line a process.
  [[nodiscard]] std::vector<std::string> views() const;
  // The same of a folder that a run is using or has left.
  static std::vector<std::string> views(const std::string& folder);
  // What the fronts sent one another in the last step, a second and front.
  [[nodiscard]] std::string load() const;

 private:
  void strike(const Step& step);
  void start(int front, const Step& step);
  [[nodiscard]] std::string placement_of(int front) const;
  void run(Millis span);
  // Empty: it is so.
  [[nodiscard]] std::string missing(const Step& step) const;
  [[nodiscard]] std::string hold(int front, const std::set<int>& of, const std::string& standing,
                                 bool alone) const;
  [[nodiscard]] std::string consistency(int front, const Step& step) const;
  std::string too_often(const Step& step);
  [[nodiscard]] std::string not_spared(const Step& step) const;
  std::string mistaken(const Step& step);
  std::string broken();
  std::string too_many();
  [[nodiscard]] std::string too_little(const Step& step) const;
  [[nodiscard]] std::string too_few(const Step& step, Millis from) const;
  void begin_anew(int front);
  [[nodiscard]] std::string name_of(int front) const { return names_.at(static_cast<std::size_t>(front)); }
  Process& process(int front) { return *processes_.at(static_cast<std::size_t>(front)); }
  [[nodiscard]] const Process& process(int front) const {
    return *processes_.at(static_cast<std::size_t>(front));
  }

  const Plan plan_;
  asio::io_context io_;
  asio::signal_set signals_;  // that end the run early, so that nothing of it is left behind
  bool interrupted_ = false;
  const net::Clock clock_;
  net::Timers timers_;
  std::vector<asio::ip::udp::endpoint> fronts_, stands_;
  std::unique_ptr<DatagramRelay> relay_;
  std::unique_ptr<TestEnvironment> surroundings_;  // none: fronts alone
  struct Happened {
    Millis at = 0;
    std::string text;
  };
  std::vector<Happened> happened_;
  std::vector<invariants::Broken> broken_;
  std::set<int> over_;  // stores that had too many at the last look
  int most_ = 0;        // connections that any store had at once
  // Of the second that runs, and the highest of the step.
  TestEnvironment::Asked counted_, counted_first_;
  Millis counted_at_ = 0;
  double most_probes_ = 0, most_calls_ = 0;
  std::vector<std::string> names_;
  int listed_;  // places that the lists have
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<SentTraffic> before_;
  Millis spent_ = 0;
  const Millis began_;
};

}  // namespace reedspindle::faulttest
