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

constexpr Millis kLook = 20;         // between two looks at what is waited for
constexpr int kPort = 20000;         // of front 0; the relay stands in for it on another address
constexpr int kLinesOfAKind = 1000;  // of a front's log in ten seconds

// Addresses of this process' own, so that rigs side by side don't meet.
asio::ip::udp::endpoint own(int role, int number) {
  const int pid = getpid();
  return {
      asio::ip::make_address(fmt::format("127.{}.{}.{}", role + (pid >> 16 & 31), pid >> 8 & 255, pid & 255)),
      static_cast<std::uint16_t>(kPort + number)};
}

std::string endpoint_text(const asio::ip::udp::endpoint& endpoint) {
  return config::format_endpoint({endpoint.address(), endpoint.port()});
}

// What a status file says, as the end of a line.
std::string view_in(const Json& status) {
  if (status.is_null()) {
    return "";
  }
  std::map<std::string, std::string> by_standing;
  for (const Json& fellow : status["fellows"]) {
    by_standing[fellow["standing"]].append(fmt::format(" {}", fellow["name"].get<std::string>()));
  }
  std::string line = fmt::format(" version {} health {}", status["version"].dump(), status["health"].dump());
  for (const auto& [standing, names] : by_standing) {
    line += fmt::format("; {}:{}", standing, names);
  }
  return line;
}

}  // namespace

FaultTest::FaultTest(Plan plan, std::string program, std::string folder)
    : plan_(std::move(plan)),
      io_(1),
      signals_(io_, SIGINT, SIGTERM),
      timers_(io_, clock_),
      listed_(plan_.fronts),
      began_(clock_.now()) {
  for (int front = 0; front < plan_.fronts; ++front) {
    fronts_.push_back(own(160, front)), stands_.push_back(own(192, front));
    names_.push_back(fmt::format("n{}", front));
    processes_.push_back(std::make_unique<Process>(program, folder, names_.back()));
  }
  signals_.async_wait([this](const asio::error_code& fault, int) { interrupted_ = !fault; });
  relay_ = std::make_unique<DatagramRelay>(io_, timers_, clock_, fronts_, stands_, plan_.seed);
  if (plan_.stores == 0) {
    return;
  }
  std::vector<Endpoint> listen;
  for (const auto& front : fronts_) {
    listen.emplace_back(front.address(), front.port());
  }
  surroundings_ =
      std::make_unique<TestEnvironment>(io_, timers_, clock_, plan_, listen, [](int role, int number) {
        const auto at = own(role, number);
        return Endpoint(at.address(), at.port());
      });
}

// What the checker of the rules knows of a front's former life is over.
void FaultTest::begin_anew(int front) {
  if (surroundings_) {
    surroundings_->enqueue(invariants::Down{{front}});
  }
}

void FaultTest::start(int front, const Step& step) {
  if (process(front).running()) {
    return;
  }
  begin_anew(front);
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
          kLinesOfAKind, step.clock, front, fleet.protocol_period, fleet.ack_timeout,
          fleet.suspicion_multiplier, fleet.forget_after, process(front).status_path(),
          quota + plan_.consistency + plan_.resends));
}

std::string FaultTest::placement_of(int front) const {
  Json peers = Json::array();
  for (int place = 0; place < listed_; ++place) {
    peers.push_back(endpoint_text(stands_[static_cast<std::size_t>(place)]));
  }
  const auto at = static_cast<std::size_t>(front);
  Json config = {
      {"name", name_of(front)},
      {"listen", endpoint_text(fronts_[at])},
      {"discovery", fmt::format("{}:1", stands_[0].address().to_string())},
      {"seed", fmt::format("{:x}", plan_.seed * 1000 + static_cast<std::uint64_t>(front) + 1)},
      {"peer_listen", endpoint_text(fronts_[at])},
      {"peers", peers},
      {"peers_all", endpoint_text(stands_[at])},
      {"settings", {{"requestClasses", Json::array({{{"name", "look"}, {"effect", "repeatable"}}})}}}};
  if (surroundings_) {
    config.update(surroundings_->placement_of(front));
  }
  return config.dump();
}

void FaultTest::strike(const Step& step) {
  const auto each = [&](auto strike) {
    for (const int front : step.fronts) {
      strike(front);
    }
  };
  // Of all links of and to these.
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
      begin_anew(front);
    });
  }
  if (step.fault == "end") {
    each([&](int front) { process(front).signal(SIGTERM); });
  }
  if (step.fault == "stop") {
    each([&](int front) {
      if (surroundings_) {
        surroundings_->enqueue(invariants::Paused{{front}, clock_.now()});
      }
      process(front).signal(SIGSTOP);
    });
  }
  if (step.fault == "wake") {
    each([&](int front) {
      process(front).signal(SIGCONT);
      if (surroundings_) {
        surroundings_->enqueue(invariants::Woken{{front}, clock_.now()});
      }
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
  if (surroundings_) {
    step.fault == "heal" ? surroundings_->heal() : surroundings_->strike(step);
  }
  if (step.fault == "list") {
    listed_ = std::min(step.count, plan_.fronts);
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
  // Something to wait for even while no front speaks.
  const auto turn = timers_.set(clock_.now() + span, [] {});
  io_.run_for(std::chrono::microseconds(static_cast<long long>(span * 1000)));
  timers_.cancel(turn);
}

Outcome FaultTest::carry_out(const Step& step) {
  before_.clear();
  for (int front = 0; front < plan_.fronts; ++front) {
    before_.push_back(relay_->sent_traffic(front));
  }
  for (int front = 0; front < plan_.fronts; ++front) {
    process(front).log_lines();
  }
  const Millis from = clock_.now();
  if (surroundings_) {
    counted_ = counted_first_ = surroundings_->asked(), counted_at_ = from, most_probes_ = most_calls_ = 0;
  }
  strike(step);
  happened_.push_back({from, describe(step)});
  // A share of ops can be told once all of them are over.
  const Millis over = step.acked > 0 || step.sends > 0 ? plan_.clients.request_timeout + 600 : 0;
  for (;;) {
    run(std::min(kLook, std::max(1.0, from + step.lasts - clock_.now())));
    const Millis took = spent_ = clock_.now() - from;
    if (interrupted_) {
      return {false, took, "interrupted"};
    }
    for (int front = 0; front < plan_.fronts; ++front) {
      if (process(front).crashed()) {
        return {false, took, fmt::format("{} has ended by itself", name_of(front))};
      }
      relay_->set_listening(front, process(front).exists());
    }
    if (std::string why = mistaken(step); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (std::string why = broken(); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (std::string why = too_many(); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (std::string why = too_often(step); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (std::string why = not_spared(step); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (clock_.now() - began_ > plan_.longest) {
      return {false, took, "the whole run has taken too long"};
    }
    if (took < step.lasts + over) {
      continue;
    }
    std::string why = missing(step);
    if (why.empty()) {
      why = too_little(step);
    }
    if (why.empty()) {
      why = too_few(step, from);
    }
    // Clients ask from the end of the first step on.
    if (why.empty() && surroundings_) {
      surroundings_->begin();
    }
    if (why.empty()) {
      return {true, took, ""};
    }
    if (took > step.lasts + step.within) {
      return {false, took, std::move(why)};
    }
  }
}

Outcome FaultTest::finish() {
  if (!surroundings_ || !surroundings_->asking()) {
    return {true, 0, ""};
  }
  surroundings_->rest();
  const Millis from = clock_.now();
  for (;;) {
    run(kLook);
    const Millis took = clock_.now() - from;
    if (std::string why = broken(); !why.empty()) {
      return {false, took, std::move(why)};
    }
    if (surroundings_->open_requests() == 0) {
      return {true, took, ""};
    }
    // Clients give up by themselves.
    if (took > plan_.clients.request_timeout + 5000) {
      return {false, took, "ops are open that should have ended"};
    }
  }
}

// Rules that have been broken since the last look.
std::string FaultTest::broken() {
  if (!surroundings_) {
    return "";
  }
  const std::vector<invariants::Broken> found = surroundings_->settle();
  broken_.insert(broken_.end(), found.begin(), found.end());
  std::string text;
  for (const invariants::Broken& one : found) {
    if (!text.empty()) {
      text += "; ";
    }
    text += fmt::format("{}: {}", invariants::word_of(one.rule), one.why);
    if (!one.request.empty()) {
      text += fmt::format(", op {}", one.request);
    }
    if (one.front.number >= 0) {
      text += fmt::format(", front {}", name_of(one.front.number));
    }
    if (one.store.number >= 0) {
      text += fmt::format(", store s{}", one.store.number);
    }
    text += fmt::format(", {:.0f} ms into the run", one.at - began_);
    if (text.size() > 1000) {
      break;
    }
  }
  return text;
}

// Beyond what a store takes from all fronts together. A process that stands still can't close what it has
// open.
std::string FaultTest::too_many() {
  if (!surroundings_) {
    return "";
  }
  // What has happened and was not taken yet: an end behind a beginning would count twice. Two looks in a row
  // have to show it, for the kernel may have the one and not yet the other.
  io_.poll();
  std::set<int> stopped;
  std::set<int> over;
  for (int front = 0; front < plan_.fronts; ++front) {
    if (process(front).stopped()) {
      stopped.insert(front);
    }
  }
  for (int store = 0; store < plan_.stores; ++store) {
    const int open = surroundings_->connections(store, stopped);
    most_ = std::max(most_, open);
    if (plan_.quota.connections <= 0 || open <= plan_.quota.connections) {
      continue;
    }
    over.insert(store);
    if (over_.contains(store)) {
      return fmt::format("{} connections to store s{}, {} are there for all fronts", open, store,
                         plan_.quota.connections);
    }
  }
  over_ = std::move(over);
  return "";
}

std::string FaultTest::too_little(const Step& step) const {
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
      return fmt::format("{} has a part of {:.3f}, not {:.3f}", name_of(front), part, step.part);
    }
  }
  return "";
}

std::string FaultTest::too_few(const Step& step, Millis from) const {
  if (step.acked <= 0 && step.sends <= 0) {
    return "";
  }
  if (!surroundings_ || !surroundings_->asking()) {
    return "no client asks yet";
  }
  const Tally tally = surroundings_->between(from, from + step.lasts);
  // Up to now, for clients ask on; the few ops that are open count as sends only.
  const int over = surroundings_->between(from, clock_.now()).ops();
  const double sends =
      static_cast<double>(surroundings_->asked().sends() - counted_first_.sends()) / std::max(1, over);
  if (step.sends > 0 && sends > step.sends) {
    return fmt::format("{:.2f} sends for each of {} ops, {:.2f} are allowed", sends, over, step.sends);
  }
  if (tally.share(OpOutcome::in_time) >= step.acked) {
    return "";
  }
  std::string text =
      fmt::format("only {:.3f} of {} ops were acked in time", tally.share(OpOutcome::in_time), tally.ops());
  for (const auto& [outcome, count] : tally.outcomes) {
    text += fmt::format("; {} {}", outcome_name(outcome), count);
  }
  return text;
}

nlohmann::json FaultTest::record() const {
  Json record{{"fronts", plan_.fronts},
              {"stores", plan_.stores},
              {"seed", plan_.seed},
              {"ms", clock_.now() - began_}};
  record["steps"] = Json::array(), record["broken"] = Json::array(), record["spans"] = Json::array();
  for (const Happened& one : happened_) {
    record["steps"].push_back({{"at", one.at - began_}, {"text", one.text}});
  }
  for (const invariants::Broken& one : broken_) {
    record["broken"].push_back({{"rule", invariants::word_of(one.rule)},
                                {"op", one.request},
                                {"front", one.front.number},
                                {"store", one.store.number},
                                {"at", one.at - began_},
                                {"why", one.why}});
  }
  if (!surroundings_) {
    return record;
  }
  for (const Tally& tally : surroundings_->tallies()) {
    Json span{{"at", tally.at - began_}};
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

// How the others hold whom the step names, or one another.
std::string FaultTest::missing(const Step& step) const {
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
      return fmt::format("{} has said nothing yet", name_of(front));
    }
    if (step.until == "yielded") {
      if (!status["yielded"].get<bool>()) {
        return fmt::format("{} has not yielded", name_of(front));
      }
      continue;
    }
    if (status["yielded"].get<bool>()) {
      continue;  // out of the fleet
    }
    if (is_consistency_condition(step.until)) {
      if (step.until != "accord" && !step.of.contains(front)) {
        continue;
      }
      if (std::string why = consistency(front, step); !why.empty()) {
        return why;
      }
      continue;
    }
    std::string why;
    if (step.until == "agreed") {
      why = hold(front, running, "there", true);
    } else if (!step.of.contains(front)) {
      why = hold(front, step.of, step.until, false);
    }
    if (!why.empty()) {
      return why;
    }
  }
  return "";
}

// Whether a front holds those so, and, where they are to be alone, nobody else here.
std::string FaultTest::hold(int front, const std::set<int>& of, const std::string& standing,
                            bool alone) const {
  std::map<std::string, std::string> held;
  const Json status = process(front).status();
  for (const Json& fellow : status["fellows"]) {
    held[fellow["name"]] = fellow["standing"];
  }
  std::set<std::string> named{name_of(front)};
  for (const int other : of) {
    const std::string name = name_of(other);
    if (!named.insert(name).second) {
      continue;  // itself, or a name that two have
    }
    const auto found = held.find(name);
    const std::string is = found == held.end() ? "unknown" : found->second;
    if (is != standing && !(standing == "failed" && is == "unknown")) {
      return fmt::format("{} holds {} {}, not {}", name_of(front), name, is, standing);
    }
  }
  if (!alone) {
    return "";
  }
  for (const auto& [name, is] : held) {
    if (!named.contains(name) && (is == "there" || is == "suspected")) {
      return fmt::format("{} holds {} {}, who is not there", name_of(front), name, is);
    }
  }
  return "";
}

// Whether a front says of itself what the step waits for.
std::string FaultTest::consistency(int front, const Step& step) const {
  const Json status = process(front).status();
  const Json& says = status["accord"];
  if (says.is_null()) {
    return fmt::format("{} says nothing of its accord", name_of(front));
  }
  if (step.until == "cut-off") {
    return says["cut_off"].get<bool>() ? "" : fmt::format("{} is not cut off", name_of(front));
  }
  if (step.until == "differs") {
    return says[step.in]["differ"].get<int>() > 0
               ? ""
               : fmt::format("{} differs from nobody in its {}", name_of(front), step.in);
  }
  for (const char* matter : {"list", "primaries", "view"}) {
    const int differ = says[matter]["differ"];
    const int compared = says[matter]["compared"];
    if (differ > 0) {
      return fmt::format("{} differs from {} of {} in its {}", name_of(front), differ, compared, matter);
    }
    if (compared == 0) {
      return fmt::format("{} has compared its {} with nobody", name_of(front), matter);
    }
  }
  return says["cut_off"].get<bool>() ? fmt::format("{} is cut off", name_of(front)) : "";
}

// An op that reached a store which the step spares.
std::string FaultTest::not_spared(const Step& step) const {
  if (step.spared.empty()) {
    return "";
  }
  const TestEnvironment::Asked now = surroundings_->asked();
  for (const int store : step.spared) {
    const auto at = static_cast<std::size_t>(store);
    if (now.sends_to[at] > counted_first_.sends_to[at]) {
      return fmt::format("{} ops reached store s{}", now.sends_to[at] - counted_first_.sends_to[at], store);
    }
  }
  return "";
}

// What came to stores and discovery in a second of the step, where it was more than it may be.
std::string FaultTest::too_often(const Step& step) {
  if (!surroundings_ || clock_.now() < counted_at_ + 1000) {
    return "";
  }
  const double seconds = (clock_.now() - counted_at_) / 1000;
  const TestEnvironment::Asked now = surroundings_->asked();
  const double probes = static_cast<double>(now.probes - counted_.probes) / seconds / plan_.stores;
  const double calls = static_cast<double>(now.calls - counted_.calls) / seconds;
  counted_ = now, counted_at_ = clock_.now();
  most_probes_ = std::max(most_probes_, probes), most_calls_ = std::max(most_calls_, calls);
  if (step.probes > 0 && probes > step.probes) {
    return fmt::format("{:.1f} probes a second and store, {:.1f} are allowed", probes, step.probes);
  }
  if (step.calls > 0 && calls > step.calls) {
    return fmt::format("{:.1f} calls to discovery a second, {:.1f} are allowed", calls, step.calls);
  }
  return "";
}

// Whom somebody has come to hold failed in this step who must not be.
std::string FaultTest::mistaken(const Step& step) {
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
        return fmt::format("{} came to hold {} failed", name_of(front), line["peer"].get<std::string>());
      }
    }
  }
  return "";
}

std::vector<std::string> FaultTest::views() const {
  std::vector<std::string> lines;
  for (int front = 0; front < plan_.fronts; ++front) {
    const char* is = !process(front).running() ? "down" : process(front).stopped() ? "stopped" : "up";
    lines.push_back(fmt::format("{} {:8}{}", name_of(front), is, view_in(process(front).status())));
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
                                            status["place"].dump(), status["at"].dump(), view_in(status));
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
    const SentTraffic then = before_.at(static_cast<std::size_t>(front));
    datagrams += static_cast<double>(now.datagrams - then.datagrams);
    bytes += static_cast<double>(now.bytes - then.bytes);
  }
  const double seconds = std::max(1.0, spent_) / 1000 * plan_.fronts;
  std::string text = fmt::format("{:.1f} datagrams/s {:.0f} B/s", datagrams / seconds, bytes / seconds);
  if (surroundings_ && surroundings_->asking()) {
    const Millis now = clock_.now();
    const Tally tally = surroundings_->between(now - spent_, now);
    text += fmt::format(", {} ops", tally.ops());
    text += fmt::format(", most connections {}, at most {:.1f} probes/s of a store, {:.1f} calls/s, {} sends",
                        most_, most_probes_, most_calls_,
                        surroundings_->asked().sends() - counted_first_.sends());
    for (const auto& [outcome, count] : tally.outcomes) {
      text += fmt::format(" {} {}", outcome_name(outcome), count);
    }
  }
  return text;
}

}  // namespace reedspindle::faulttest
