// Runs a plan: starts the fronts, injects faults into them and their links step by step, waits for the
// condition of each step and reports the result. Runs on one thread with one event loop; random choices come
// from the plan's seed.
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

// The result of a step.
struct StepResult {
  bool passed = false;
  Millis duration = 0;
  std::string reason;  // reason of a failure
};

class FaultTest {
 public:
  FaultTest(Plan plan, std::string program, std::string folder);

  StepResult run_step(const Step& step);
  // Stops the clients and waits until all open ops have ended.
  StepResult finish();
  // The record of the run, from which report() is made, as JSON.
  [[nodiscard]] nlohmann::json record() const;
  [[nodiscard]] const Plan& plan() const { return plan_; }
  // The membership view of each process, one line per process.
  [[nodiscard]] std::vector<std::string> views() const;
  // The same from the status files in the folder of a running or finished run.
  static std::vector<std::string> views(const std::string& folder);
  // The datagrams and bytes that the fronts sent one another in the last step, per second and front.
  [[nodiscard]] std::string load() const;

 private:
  void inject_faults(const Step& step);
  void start(int front, const Step& step);
  [[nodiscard]] std::string placement_of(int front) const;
  void run(Millis span);
  // These checks return why the condition is not met, or an empty string.
  [[nodiscard]] std::string unmet_condition(const Step& step) const;
  [[nodiscard]] std::string check_peers(int front, const std::set<int>& of, const std::string& state,
                                        bool alone) const;
  [[nodiscard]] std::string check_consistency(int front, const Step& step) const;
  std::string check_call_rates(const Step& step);
  [[nodiscard]] std::string check_spared_stores(const Step& step) const;
  std::string check_false_failures(const Step& step);
  std::string check_invariants();
  std::string check_connections();
  [[nodiscard]] std::string check_quota(const Step& step) const;
  [[nodiscard]] std::string check_op_outcomes(const Step& step, Millis from) const;
  void report_down(int front);
  [[nodiscard]] std::string name_of(int front) const { return names_.at(static_cast<std::size_t>(front)); }
  Process& process(int front) { return *processes_.at(static_cast<std::size_t>(front)); }
  [[nodiscard]] const Process& process(int front) const {
    return *processes_.at(static_cast<std::size_t>(front));
  }

  const Plan plan_;
  asio::io_context io_;
  asio::signal_set signals_;  // end the run early, with its processes and files removed
  bool interrupted_ = false;
  const net::Clock clock_;
  net::Timers timers_;
  std::vector<asio::ip::udp::endpoint> fronts_, relay_endpoints_;
  std::unique_ptr<DatagramRelay> relay_;
  std::unique_ptr<TestEnvironment> environment_;  // null: plan without stores
  struct InjectedStep {
    Millis at = 0;
    std::string text;
  };
  std::vector<InjectedStep> injected_;
  std::vector<invariants::Violation> violations_;
  std::set<int> over_limit_;  // stores that were over the limit at the last check
  int most_connections_ = 0;  // most connections that any store had at once
  // Counts at the start of the current second and of the step, and the highest rates of the step.
  TestEnvironment::Counters second_start_, step_start_;
  Millis second_started_at_ = 0;
  double most_probes_ = 0, most_calls_ = 0;
  std::vector<std::string> names_;
  int listed_fronts_;  // number of fronts in the peer lists
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<SentTraffic> traffic_before_;
  Millis step_duration_ = 0;
  const Millis started_at_;
};

}  // namespace reedspindle::faulttest
