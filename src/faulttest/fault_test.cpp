#include "faulttest/fault_test.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/instance_config.hpp"

namespace reedspindle::faulttest {
namespace {

using Json = nlohmann::json;

constexpr Millis kPollInterval = 20;    // between two checks of a step's condition
constexpr int kBasePort = 20000;        // port of front 0; the relay's socket for it has another address
constexpr int kLogLinesPerKind = 1000;  // log lines of one kind that a front may write in ten seconds

// Returns an address that is derived from the process id, so that concurrent fault tests do not collide.
asio::ip::udp::endpoint own_endpoint(int role, int number) {
  const int pid = getpid();
  return {
      asio::ip::make_address(fmt::format("127.{}.{}.{}", role + (pid >> 16 & 31), pid >> 8 & 255, pid & 255)),
      static_cast<std::uint16_t>(kBasePort + number)};
}

std::string endpoint_text(const asio::ip::udp::endpoint& endpoint) {
  return config::format_endpoint({endpoint.address(), endpoint.port()});
}

// Formats the content of a status file, as the end of a line.
std::string format_view(const Json& status) {
  if (status.is_null()) {
    return "";
  }
  std::map<std::string, std::string> by_state;
  for (const Json& peer : status["fellows"]) {
    by_state[peer["standing"]].append(fmt::format(" {}", peer["name"].get<std::string>()));
  }
  std::string line = fmt::format(" version {} health {}", status["version"].dump(), status["health"].dump());
  for (const auto& [state, names] : by_state) {
    line += fmt::format("; {}:{}", state, names);
  }
  return line;
}

}  // namespace

FaultTest::FaultTest(Plan plan, std::string program, std::string folder)
    : plan_(std::move(plan)),
      io_(1),
      signals_(io_, SIGINT, SIGTERM),
      timers_(io_, clock_),
      listed_fronts_(plan_.fronts),
      started_at_(clock_.now()) {
  for (int front = 0; front < plan_.fronts; ++front) {
    fronts_.push_back(own_endpoint(160, front)), relay_endpoints_.push_back(own_endpoint(192, front));
    names_.push_back(fmt::format("n{}", front));
    processes_.push_back(std::make_unique<Process>(program, folder, names_.back()));
  }
  signals_.async_wait([this](const asio::error_code& fault, int) { interrupted_ = !fault; });
  relay_ = std::make_unique<DatagramRelay>(io_, timers_, clock_, fronts_, relay_endpoints_, plan_.seed);
  if (plan_.stores == 0) {
    return;
  }
  std::vector<Endpoint> listen;
  for (const auto& front : fronts_) {
    listen.emplace_back(front.address(), front.port());
  }
  environment_ =
      std::make_unique<TestEnvironment>(io_, timers_, clock_, plan_, listen, [](int role, int number) {
        const auto at = own_endpoint(role, number);
        return Endpoint(at.address(), at.port());
      });
}

// Tells the invariant checker that the process of a front has ended, together with its state.
void FaultTest::report_down(int front) {
  if (environment_) {
    environment_->enqueue(invariants::InstanceKilled{{front}});
  }
}

void FaultTest::start(int front, const Step& step) {
  if (process(front).running()) {
    return;
  }
  report_down(front);
  if (!step.name.empty()) {
    names_[static_cast<std::size_t>(front)] = step.name;
  }
  const membership::Options& fleet = plan_.fleet;
  relay_->set_listening(front, true);
  std::string quota;
  if (plan_.quota.connections > 0) {
    quota = fmt::format(
        " (shares (fleet {}) (connections {}) (lease {}ms) (evidence {}ms) (notice {}ms) (kept {}))",
        plan_.fronts, plan_.quota.connections, plan_.quota.lease, plan_.quota.evidence, plan_.quota.notice,
        plan_.quota.kept);
  }
  process(front).start(
      placement_of(front),
      fmt::format(
          "(reedspindle (log (form json) (lines-of-a-kind {}))\n (clock (offset {}ms))\n"
          " (fleet (place {}) (pace {}ms) (time-out {}ms) (patience {}) (forget {}ms) (status \"{}\"){}))\n",
          kLogLinesPerKind, step.clock, front, fleet.protocol_period, fleet.ack_timeout,
          fleet.suspicion_multiplier, fleet.forget_after, process(front).status_path(),
          quota + plan_.consistency + plan_.resends));
  if (environment_) {
    environment_->instance_started(front);
  }
}

std::string FaultTest::placement_of(int front) const {
  Json peers = Json::array();
  for (int place = 0; place < listed_fronts_; ++place) {
    peers.push_back(endpoint_text(relay_endpoints_[static_cast<std::size_t>(place)]));
  }
  const auto at = static_cast<std::size_t>(front);
  Json config = {
      {"name", name_of(front)},
      {"listen", endpoint_text(fronts_[at])},
      {"discovery", fmt::format("{}:1", relay_endpoints_[0].address().to_string())},
      {"seed", fmt::format("{:x}", plan_.seed * 1000 + static_cast<std::uint64_t>(front) + 1)},
      {"peer_listen", endpoint_text(fronts_[at])},
      {"peers", peers},
      {"peers_all", endpoint_text(relay_endpoints_[at])},
      {"settings", {{"requestClasses", Json::array({{{"name", "look"}, {"effect", "repeatable"}}})}}}};
  if (environment_) {
    config.update(environment_->placement_of(front));
  }
  return config.dump();
}

void FaultTest::inject_faults(const Step& step) {
  const auto each = [&](auto apply) {
    for (const int front : step.fronts) {
      apply(front);
    }
  };
  // Changes all links from and to the fronts of the step.
  const auto links = [&](auto change) {
    each([&](int front) {
      for (int other = 0; other < plan_.fronts; ++other) {
        change(relay_->link(front, other)), change(relay_->link(other, front));
      }
    });
  };
  if (step.fault == "start") {
    each([&](int front) { start(front, step); });
  }
  if (step.fault == "kill") {
    each([&](int front) {
      process(front).signal(SIGKILL);
      report_down(front);
    });
  }
  if (step.fault == "end") {
    each([&](int front) { process(front).signal(SIGTERM); });
  }
  if (step.fault == "stop") {
    each([&](int front) {
      if (environment_) {
        environment_->enqueue(invariants::InstancePaused{{front}, clock_.now()});
      }
      process(front).signal(SIGSTOP);
    });
  }
  if (step.fault == "wake") {
    each([&](int front) {
      process(front).signal(SIGCONT);
      if (environment_) {
        environment_->enqueue(invariants::InstanceResumed{{front}, clock_.now()});
      }
    });
  }
  if (step.fault == "pause") {  // unannounced: the invariants grant nothing for it
    each([&](int front) {
      process(front).signal(SIGSTOP);
      timers_.set(clock_.now() + step.by, [this, front] { process(front).signal(SIGCONT); });
    });
  }
  if (step.fault.starts_with("cut")) {
    each([&](int front) {
      for (const int other : step.to) {
        if (step.fault != "cut-back") {
          relay_->link(front, other).cut = true;
        }
        if (step.fault != "cut-one-way") {
          relay_->link(other, front).cut = true;
        }
      }
    });
  }
  if (step.fault == "heal") {
    relay_->heal();
  }
  if (environment_) {
    step.fault == "heal" ? environment_->heal() : environment_->apply_fault(step);
  }
  if (step.fault == "discovery-moves") {
    each([&](int front) { process(front).reload(placement_of(front)); });
  }
  if (step.fault == "list") {
    listed_fronts_ = std::min(step.count, plan_.fronts);
    each([&](int front) { process(front).reload(placement_of(front)); });
  }
  if (step.fault == "slow" && step.stores.empty() && step.with.empty()) {
    links([&](Link& link) { link.delay = step.by, link.jitter = step.jitter; });
  }
  if (step.fault == "loss") {
    links([&](Link& link) { link.loss = step.share; });
  }
  if (step.fault == "doubled") {
    links([&](Link& link) { link.duplication = step.share; });
  }
  if (step.fault == "garbage" || step.fault == "replay") {
    each([&](int front) {
      for (const int other : step.to) {
        step.fault == "garbage" ? relay_->send_garbage(front, other, step.count)
                                : relay_->replay(front, other, step.count);
      }
    });
  }
}

void FaultTest::run(Millis span) {
  io_.restart();
  // Keeps the event loop busy while no front sends anything.
  const auto timer = timers_.set(clock_.now() + span, [] {});
  io_.run_for(std::chrono::microseconds(static_cast<long long>(span * 1000)));
  timers_.cancel(timer);
}

StepResult FaultTest::run_step(const Step& step) {
  traffic_before_.clear();
  for (int front = 0; front < plan_.fronts; ++front) {
    traffic_before_.push_back(relay_->sent_traffic(front));
  }
  for (int front = 0; front < plan_.fronts; ++front) {
    process(front).log_lines();
  }
  const Millis from = clock_.now();
  if (environment_) {
    second_start_ = step_start_ = environment_->counters(), second_started_at_ = from,
    most_probes_ = most_calls_ = 0;
  }
  inject_faults(step);
  injected_.push_back({from, describe(step)});
  // Shares of ops are known only once all ops of the step have ended.
  const Millis over = step.acked > 0 || step.sends > 0 ? plan_.clients.request_timeout + 600 : 0;
  for (;;) {
    run(std::min(kPollInterval, std::max(1.0, from + step.lasts - clock_.now())));
    const Millis duration = step_duration_ = clock_.now() - from;
    if (interrupted_) {
      return {false, duration, "interrupted"};
    }
    for (int front = 0; front < plan_.fronts; ++front) {
      if (process(front).crashed()) {
        return {false, duration, fmt::format("{} exited without being told to", name_of(front))};
      }
      relay_->set_listening(front, process(front).exists());
    }
    if (std::string reason = check_false_failures(step); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (std::string reason = check_invariants(); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (std::string reason = check_connections(); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (std::string reason = check_call_rates(step); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (std::string reason = check_spared_stores(step); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (clock_.now() - started_at_ > plan_.longest) {
      return {false, duration, "the run exceeded its time limit"};
    }
    if (duration < step.lasts + over) {
      continue;
    }
    std::string reason = unmet_condition(step);
    if (reason.empty()) {
      reason = check_quota(step);
    }
    if (reason.empty()) {
      reason = check_op_outcomes(step, from);
    }
    // Clients start at the end of the first step.
    if (reason.empty() && environment_) {
      environment_->start_clients();
    }
    if (reason.empty()) {
      return {true, duration, ""};
    }
    if (duration > step.lasts + step.within) {
      return {false, duration, std::move(reason)};
    }
  }
}

StepResult FaultTest::finish() {
  if (!environment_ || !environment_->clients_started()) {
    return {true, 0, ""};
  }
  environment_->stop_clients();
  const Millis from = clock_.now();
  for (;;) {
    run(kPollInterval);
    const Millis duration = clock_.now() - from;
    if (std::string reason = check_invariants(); !reason.empty()) {
      return {false, duration, std::move(reason)};
    }
    if (environment_->open_requests() == 0) {
      return {true, duration, ""};
    }
    // Clients time out on their own, so no op should stay open for longer than this.
    if (duration > plan_.clients.request_timeout + 5000) {
      return {false, duration, "ops are still open after their time-out"};
    }
  }
}

// Describes the invariants that have been violated since the last check.
std::string FaultTest::check_invariants() {
  if (!environment_) {
    return "";
  }
  const std::vector<invariants::Violation> found = environment_->check_invariants();
  violations_.insert(violations_.end(), found.begin(), found.end());
  std::string text;
  for (const invariants::Violation& entry : found) {
    if (!text.empty()) {
      text += "; ";
    }
    text += fmt::format("{}: {}", invariants::description_of(entry.rule), entry.details);
    if (!entry.request.empty()) {
      text += fmt::format(", op {}", entry.request);
    }
    if (entry.instance.number >= 0) {
      text += fmt::format(", front {}", name_of(entry.instance.number));
    }
    if (entry.server.number >= 0) {
      text += fmt::format(", store s{}", entry.server.number);
    }
    text += fmt::format(", {:.0f} ms into the run", entry.at - started_at_);
    if (text.size() > 1000) {
      break;
    }
  }
  return text;
}

// Checks the limit of connections of each store from all fronts together. Stopped processes are left out,
// since they can't close their connections.
std::string FaultTest::check_connections() {
  if (!environment_) {
    return "";
  }
  // Handles pending events first: a connection whose close is pending would count beside its successor. The
  // limit has to be exceeded in two consecutive checks, since the kernel may report the open before the
  // close.
  io_.poll();
  std::set<int> stopped;
  std::set<int> over;
  for (int front = 0; front < plan_.fronts; ++front) {
    if (process(front).stopped()) {
      stopped.insert(front);
    }
  }
  for (int store = 0; store < plan_.stores; ++store) {
    const int open = environment_->connections(store, stopped);
    most_connections_ = std::max(most_connections_, open);
    if (plan_.quota.connections <= 0 || open <= plan_.quota.connections) {
      continue;
    }
    over.insert(store);
    if (over_limit_.contains(store)) {
      return fmt::format("{} connections to store s{}, limit for all fronts {}", open, store,
                         plan_.quota.connections);
    }
  }
  over_limit_ = std::move(over);
  return "";
}

std::string FaultTest::check_quota(const Step& step) const {
  if (step.part <= 0) {
    return "";
  }
  for (int front = 0; front < plan_.fronts; ++front) {
    if (!process(front).running() || process(front).stopped()) {
      continue;
    }
    const Json status = process(front).status();
    const double part =
        status.is_null() || status["shares"].is_null() ? 0 : status["shares"]["open"].get<double>() / 1000;
    if (part < step.part) {
      return fmt::format("{} may use {:.3f} connections, expected {:.3f}", name_of(front), part, step.part);
    }
  }
  return "";
}

std::string FaultTest::check_op_outcomes(const Step& step, Millis from) const {
  if (step.acked <= 0 && step.sends <= 0) {
    return "";
  }
  if (!environment_ || !environment_->clients_started()) {
    return "no client has sent an op yet";
  }
  const Tally tally = environment_->tally_between(from, from + step.lasts);
  // Counted up to now, since clients keep sending; the few ops still open count as sends only.
  const int over = environment_->tally_between(from, clock_.now()).ops();
  const double sends =
      static_cast<double>(environment_->counters().total_sends() - step_start_.total_sends()) /
      std::max(1, over);
  if (step.sends > 0 && sends > step.sends) {
    return fmt::format("{:.2f} sends per op over {} ops, limit {:.2f}", sends, over, step.sends);
  }
  if (tally.share(OpOutcome::in_time) >= step.acked) {
    return "";
  }
  std::string text =
      fmt::format("only {:.3f} of {} ops acknowledged in time", tally.share(OpOutcome::in_time), tally.ops());
  for (const auto& [outcome, count] : tally.outcomes) {
    text += fmt::format("; {} {}", outcome_name(outcome), count);
  }
  return text;
}

nlohmann::json FaultTest::record() const {
  Json record{{"fronts", plan_.fronts},
              {"stores", plan_.stores},
              {"seed", plan_.seed},
              {"ms", clock_.now() - started_at_}};
  record["steps"] = Json::array(), record["broken"] = Json::array(), record["spans"] = Json::array();
  for (const InjectedStep& entry : injected_) {
    record["steps"].push_back({{"at", entry.at - started_at_}, {"text", entry.text}});
  }
  for (const invariants::Violation& entry : violations_) {
    record["broken"].push_back({{"rule", invariants::description_of(entry.rule)},
                                {"op", entry.request},
                                {"front", entry.instance.number},
                                {"store", entry.server.number},
                                {"at", entry.at - started_at_},
                                {"why", entry.details}});
  }
  if (!environment_) {
    return record;
  }
  for (const Tally& tally : environment_->tallies()) {
    Json span{{"at", tally.at - started_at_}};
    for (const auto& [outcome, count] : tally.outcomes) {
      span[outcome_name(outcome)] = count;
    }
    std::vector<Millis> sorted = tally.latencies;
    std::ranges::sort(sorted);
    if (!sorted.empty()) {
      span["p50"] = sorted[sorted.size() / 2], span["p99"] = sorted[sorted.size() * 99 / 100];
    }
    record["spans"].push_back(std::move(span));
  }
  return record;
}

// Checks the step's 'until' condition: how the running fronts see the fronts named by 'of', or one another.
std::string FaultTest::unmet_condition(const Step& step) const {
  if (step.until == "now") {
    return "";
  }
  std::set<int> running;
  for (int front = 0; front < plan_.fronts; ++front) {
    if (process(front).running() && !process(front).stopped()) {
      running.insert(front);
    }
  }
  for (const int front : step.until == "yielded" ? step.of : running) {
    const Json status = process(front).status();
    if (status.is_null()) {
      return fmt::format("{} has not written a status file yet", name_of(front));
    }
    if (step.until == "yielded") {
      if (!status["yielded"].get<bool>()) {
        return fmt::format("{} has not yielded", name_of(front));
      }
      continue;
    }
    if (status["yielded"].get<bool>()) {
      continue;  // no longer in the fleet
    }
    if (is_consistency_condition(step.until)) {
      if (step.until != "accord" && !step.of.contains(front)) {
        continue;
      }
      if (std::string reason = check_consistency(front, step); !reason.empty()) {
        return reason;
      }
      continue;
    }
    std::string reason;
    if (step.until == "agreed") {
      reason = check_peers(front, running, "there", true);
    } else if (!step.of.contains(front)) {
      reason = check_peers(front, step.of, step.until, false);
    }
    if (!reason.empty()) {
      return reason;
    }
  }
  return "";
}

// Checks that a front sees the given fronts in the given state and, if 'alone', no other front as there or
// suspected.
std::string FaultTest::check_peers(int front, const std::set<int>& of, const std::string& state,
                                   bool alone) const {
  std::map<std::string, std::string> seen;
  const Json status = process(front).status();
  for (const Json& peer : status["fellows"]) {
    seen[peer["name"]] = peer["standing"];
  }
  std::set<std::string> expected{name_of(front)};
  for (const int other : of) {
    const std::string name = name_of(other);
    if (!expected.insert(name).second) {
      continue;  // the front itself, or a name that two fronts have
    }
    const auto found = seen.find(name);
    const std::string state_name = found == seen.end() ? "unknown" : found->second;
    if (state_name != state && !(state == "failed" && state_name == "unknown")) {
      return fmt::format("{} sees {} as {}, expected {}", name_of(front), name, state_name, state);
    }
  }
  if (!alone) {
    return "";
  }
  for (const auto& [name, state_name] : seen) {
    if (!expected.contains(name) && (state_name == "there" || state_name == "suspected")) {
      return fmt::format("{} sees {} as {}, but it is not running", name_of(front), name, state_name);
    }
  }
  return "";
}

// Checks the consistency status of a front against the step's condition.
std::string FaultTest::check_consistency(int front, const Step& step) const {
  const Json status = process(front).status();
  const Json& status_entry = status["accord"];
  if (status_entry.is_null()) {
    return fmt::format("{} reports no consistency status", name_of(front));
  }
  if (step.until == "cut-off") {
    return status_entry["cut_off"].get<bool>() ? "" : fmt::format("{} is not cut off", name_of(front));
  }
  if (step.until == "differs") {
    return status_entry[step.in]["differ"].get<int>() > 0
               ? ""
               : fmt::format("{} does not differ from any peer in its {}", name_of(front), step.in);
  }
  for (const char* subject : {"list", "primaries", "view"}) {
    const int differ = status_entry[subject]["differ"];
    const int compared = status_entry[subject]["compared"];
    if (differ > 0) {
      return fmt::format("{} differs from {} of {} peers in its {}", name_of(front), differ, compared,
                         subject);
    }
    if (compared == 0) {
      return fmt::format("{} has not compared its {} with any peer", name_of(front), subject);
    }
  }
  return status_entry["cut_off"].get<bool>() ? fmt::format("{} is cut off", name_of(front)) : "";
}

// Checks that no op has reached a store that the step lists as spared.
std::string FaultTest::check_spared_stores(const Step& step) const {
  if (step.spared.empty()) {
    return "";
  }
  const TestEnvironment::Counters now = environment_->counters();
  for (const int store : step.spared) {
    const auto at = static_cast<std::size_t>(store);
    if (now.sends_by_server[at] > step_start_.sends_by_server[at]) {
      return fmt::format("{} ops reached store s{}",
                         now.sends_by_server[at] - step_start_.sends_by_server[at], store);
    }
  }
  return "";
}

// Checks the rates of probes of stores and calls to discovery, once per second, against the limits of the
// step.
std::string FaultTest::check_call_rates(const Step& step) {
  if (!environment_ || clock_.now() < second_started_at_ + 1000) {
    return "";
  }
  const double seconds = (clock_.now() - second_started_at_) / 1000;
  const TestEnvironment::Counters now = environment_->counters();
  const double probes = static_cast<double>(now.probes - second_start_.probes) / seconds / plan_.stores;
  const double calls =
      static_cast<double>(now.discovery_requests - second_start_.discovery_requests) / seconds;
  second_start_ = now, second_started_at_ = clock_.now();
  most_probes_ = std::max(most_probes_, probes), most_calls_ = std::max(most_calls_, calls);
  if (step.probes > 0 && probes > step.probes) {
    return fmt::format("{:.1f} probes per second and store, limit {:.1f}", probes, step.probes);
  }
  if (step.calls > 0 && calls > step.calls) {
    return fmt::format("{:.1f} calls to discovery per second, limit {:.1f}", calls, step.calls);
  }
  return "";
}

// Checks that no front listed in 'none-failed' has been declared failed by another front in this step.
std::string FaultTest::check_false_failures(const Step& step) {
  if (step.none_failed.empty()) {
    return "";
  }
  std::set<std::string> spared;
  for (const int front : step.none_failed) {
    spared.insert(name_of(front));
  }
  for (int front = 0; front < plan_.fronts; ++front) {
    for (const Json& line : process(front).log_lines()) {
      if (line.value("component", "") == "membership" && line.value("event", "") == "peer failed" &&
          spared.contains(line.value("peer", ""))) {
        return fmt::format("{} declared {} failed", name_of(front), line["peer"].get<std::string>());
      }
    }
  }
  return "";
}

std::vector<std::string> FaultTest::views() const {
  std::vector<std::string> lines;
  for (int front = 0; front < plan_.fronts; ++front) {
    const char* state_name = !process(front).running() ? "down" : process(front).stopped() ? "stopped" : "up";
    lines.push_back(
        fmt::format("{} {:8}{}", name_of(front), state_name, format_view(process(front).status())));
  }
  return lines;
}

std::vector<std::string> FaultTest::views(const std::string& folder) {
  std::map<int, std::string> by_place;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".status") {
      continue;
    }
    std::ifstream file(entry.path());
    const Json status = Json::parse(file, nullptr, false);
    if (!status.is_object()) {
      continue;
    }
    by_place[status["place"]] = fmt::format("{}@{} written at {}{}", status["name"].get<std::string>(),
                                            status["place"].dump(), status["at"].dump(), format_view(status));
  }
  std::vector<std::string> lines;
  for (const auto& [place, line] : by_place) {
    lines.push_back(line);
  }
  return lines;
}

std::string FaultTest::load() const {
  double datagrams = 0;
  double bytes = 0;
  for (int front = 0; front < plan_.fronts; ++front) {
    const SentTraffic now = relay_->sent_traffic(front);
    const SentTraffic then = traffic_before_.at(static_cast<std::size_t>(front));
    datagrams += static_cast<double>(now.datagrams - then.datagrams);
    bytes += static_cast<double>(now.bytes - then.bytes);
  }
  const double seconds = std::max(1.0, step_duration_) / 1000 * plan_.fronts;
  std::string text = fmt::format("{:.1f} datagrams/s {:.0f} B/s", datagrams / seconds, bytes / seconds);
  if (environment_ && environment_->clients_started()) {
    const Millis now = clock_.now();
    const Tally tally = environment_->tally_between(now - step_duration_, now);
    text += fmt::format(", {} ops", tally.ops());
    text += fmt::format(", most connections {}, at most {:.1f} probes/s of a store, {:.1f} calls/s, {} sends",
                        most_connections_, most_probes_, most_calls_,
                        environment_->counters().total_sends() - step_start_.total_sends());
    for (const auto& [outcome, count] : tally.outcomes) {
      text += fmt::format(" {} {}", outcome_name(outcome), count);
    }
  }
  return text;
}

}  // namespace reedspindle::faulttest
