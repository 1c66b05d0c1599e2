#include "faulttest/environment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

#include "config/instance_config.hpp"

namespace reedspindle::faulttest {
namespace {

using Json = nlohmann::json;

// Roles in the rig's own addresses.
constexpr int kGates = 96, kStandIns = 128;
constexpr std::size_t kUnderway = 1000;  // connections of discovery's whose answers are waited for

std::vector<Endpoint> places_of(int count, const TestEnvironment::Own& own) {
  std::vector<Endpoint> places;
  for (int store = 0; store < count; ++store) {
    places.push_back(own(kStandIns, store));
  }
  return places;
}

double ns(Millis span) { return span * 1e6; }

// The settings object, in the words of the platform.
Json settings_of(const Plan& plan, int front) {
  Json types = Json::array();
  Json needs = Json::array();
  Json bounds = Json::array();
  for (const ClientOp& op : plan.clients.mix) {
    using invariants::Effect, invariants::Needs;
    types.push_back({{"name", op.name},
                     {"effect", op.effect == Effect::tokened     ? "by_key"
                                : op.effect == Effect::retryable ? "repeatable"
                                                                 : "once"},
                     {"goalTime", ns(plan.clients.latency_target)},
                     {"deadline", ns(plan.clients.request_timeout)},
                     {"keyScope", "cell"},
                     {"dedupWindow", ns(plan.work.token_memory)},
                     {"importance", 1}});
    needs.push_back(op.needs == Needs::write     ? "update"
                    : op.needs == Needs::session ? "own_writes"
                    : op.needs == Needs::bounded ? "recent"
                                                 : "loose");
    bounds.push_back(ns(op.bound));
  }
  return {{"nInstances", plan.fronts},
          {"rank", front},
          {"quantum", ns(5)},
          {"discovery", "push"},
          {"requestClasses", types},
          {"familyInfo",
           {{"needsByClass", needs},
            {"oldestData", bounds},
            {"behind", "silent"},
            {"positions", true},
            {"roleListed", "silent"},
            {"tokens", "client"}}},
          {"report", {{"how", "pull"}}},
          {"ceilings",
           {{"cancel", true},
            {"connIdle", ns(30000)},
            {"connectTimeout", ns(250)},
            {"maxAttempts", 6},
            {"maxOpen", 20000},
            {"maxRetryAfter", ns(1000)},
            {"mayTell", plan.fronts > 1},
            {"probes", true},
            {"retryAfter", true}}},
          {"rules",
           {{"stopSendingWithin", ns(plan.terms.drain_grace)},
            {"graceToAnswer", ns(20)},
            {"coldFrom", plan.terms.cold_from},
            {"warmWithin", ns(plan.terms.warm_within)},
            {"fallMultiple", plan.terms.fall_multiple},
            {"fall", ns(plan.terms.fall)}}}};
}

}  // namespace

TestEnvironment::TestEnvironment(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                                 const Plan& plan, const std::vector<Endpoint>& fronts, const Own& own)
    : plan_(plan),
      clock_(clock),
      rules_(plan.terms),
      streams_(io, timers, clock, plan.seed),
      stores_(io, timers, clock, places_of(plan.stores, own), plan.work, plan.seed),
      met_at_([&] {
        std::vector<Endpoint> met;
        for (int front = 0; front < plan.fronts; ++front) {
          met.push_back(own(kGates, front * each() + plan.stores + 1));
        }
        return met;
      }()),
      clients_(io, timers, clock, streams_, rules_, met_at_, plan.groups, plan.clients, plan.seed),
      sends_to_(static_cast<std::size_t>(plan.stores)) {
  for (int store = 0; store < plan.stores; ++store) {
    StoreState& state = stores_.state(store);
    state.group = store % plan.groups, state.primary = store < plan.groups, state.lag = plan.lag;
  }
  for (int front = 0; front < plan.fronts; ++front) {
    agents_.push_back(std::make_unique<TestDiscovery>(
        io, timers, clock, own(kStandIns, plan.stores + front),
        [this, front](long long) { return list_of(front); },
        [this, front](const Endpoint& to, std::size_t bytes, long long) {
          // What never arrived, for its connection broke, is forgotten with the oldest.
          if (underway_.size() > kUnderway) {
            underway_.erase(underway_.begin());
          }
          underway_[to].push_back({bytes, front, listed()});
        }));
    std::vector<Endpoint>& seen = seen_at_.emplace_back();
    for (int store = 0; store < plan.stores; ++store) {
      seen.push_back(own(kGates, front * each() + store));
      streams_.open(seen.back(), stores_.at(store));
    }
    seen.push_back(own(kGates, front * each() + plan.stores));
    streams_.open(seen.back(), agents_.back()->at());
    streams_.open(met_at_[static_cast<std::size_t>(front)], fronts[static_cast<std::size_t>(front)]);
  }
  stores_.set_callbacks(
      [this](const RequestExecuted& done) { carried_out(done); },
      [this](int store, const std::string& op, const Endpoint& from) {
        ++sends_to_[static_cast<std::size_t>(store)];
        if (const auto crossing = streams_.record(from)) {
          rules_.note(invariants::Sent{op, {crossing->forwarder / each()}, {store}, crossing->forward.read});
        }
      });
  streams_.set_callback([this](const StreamRelay::Delivery& passed) {
    clients_.on_delivery(passed);
    const auto answers = passed.backward ? underway_.find(passed.target) : underway_.end();
    if (answers == underway_.end()) {
      return;
    }
    while (!answers->second.empty() && answers->second.front().bytes <= passed.bytes_written) {
      told(answers->second.front().front, answers->second.front().listed, passed.at);
      answers->second.pop_front();
    }
    if (answers->second.empty()) {
      underway_.erase(answers);
    }
  });
  first_ = Json::array();
  for (int front = 0; front < plan.fronts; ++front) {
    first_.push_back(Json::parse(list_of(front).list));
  }
}

nlohmann::json TestEnvironment::placement_of(int front) const {
  const auto at = static_cast<std::size_t>(front);
  return {{"discovery", config::format_endpoint(seen_at_[at].back())},
          {"known", first_[at]},
          {"settings", settings_of(plan_, front)}};
}

std::vector<TestEnvironment::Listed> TestEnvironment::listed() const {
  std::vector<Listed> all;
  for (int store = 0; store < plan_.stores; ++store) {
    const StoreState& state = stores_.state(store);
    all.push_back({store, state.listed && !state.draining, state.booted});
  }
  return all;
}

void TestEnvironment::told(int front, const std::vector<Listed>& listed, Millis at) {
  for (const Listed& one : listed) {
    rules_.note(invariants::Told{{front}, {one.store}, one.wanted, one.booted, at});
  }
}

TestDiscovery::ListUpdate TestEnvironment::list_of(int front) const {
  Json targets = Json::array();
  for (int store = 0; store < plan_.stores; ++store) {
    const StoreState& state = stores_.state(store);
    if (!state.listed) {
      continue;
    }
    targets.push_back(
        {{"uid", fmt::format("s{}", store)},
         {"endpoint", config::format_endpoint(
                          seen_at_[static_cast<std::size_t>(front)][static_cast<std::size_t>(store)])},
         {"pod_group", state.group},
         {"state", state.draining ? "leaving" : "active"},
         {"boot_ms", state.booted}});
  }
  return {revision_, Json{{"rev", revision_}, {"all", true}, {"targets", targets}}.dump()};
}

void TestEnvironment::carried_out(const RequestExecuted& done) {
  const bool effect = done.writes && done.outcome == ExecutionOutcome::ran;
  if (effect) {
    clients_.committed(done.request, done.position);
  }
  if (done.outcome != ExecutionOutcome::ran) {
    return;
  }
  const auto crossing = streams_.record(done.from);
  rules_.note(invariants::Ran{done.request,
                              {done.store},
                              done.token,
                              effect,
                              crossing ? crossing->forward.read : done.received_at,
                              done.position});
}

std::vector<int> TestEnvironment::gates(const Step& step) const {
  std::vector<int> all;
  for (const int front : step.fronts) {
    for (const int store : step.stores) {
      all.push_back(gate(front, store));
    }
    if (step.with.contains("discovery")) {
      all.push_back(gate(front, plan_.stores));
    }
    if (step.with.contains("clients")) {
      all.push_back(gate(front, plan_.stores + 1));
    }
  }
  return all;
}

// Of each link between the fronts and the others: first what the fronts say, then what they hear. Clients
// open their links themselves, so there it is the other way round.
template <typename Change>
void TestEnvironment::ways(const Step& step, Change change) {
  for (const int gate : gates(step)) {
    const bool of_clients = gate % each() == plan_.stores + 1;
    change(of_clients ? streams_.backward(gate) : streams_.forward(gate),
           of_clients ? streams_.forward(gate) : streams_.backward(gate));
  }
}

void TestEnvironment::strike(const Step& step) {
  if (step.fault.starts_with("cut")) {
    ways(step, [&](Direction& out, Direction& in) {
      if (step.fault != "cut-back") {
        out.cut = true;
      }
      if (step.fault != "cut-one-way") {
        in.cut = true;
      }
    });
  }
  if (step.fault == "slow") {
    ways(step, [&](Direction& out, Direction& in) {
      out.delay = in.delay = step.by, out.jitter = in.jitter = step.jitter;
    });
  }
  if (step.fault == "limit") {
    ways(step, [&](Direction& out, Direction& in) { out.rate = in.rate = step.rate; });
  }
  if (step.fault == "reset") {
    for (const int gate : gates(step)) {
      streams_.reset(gate);
    }
  }
  if (step.fault.starts_with("discovery-")) {
    for (const int front : step.fronts) {
      agents_[static_cast<std::size_t>(front)]->set_silent(step.fault == "discovery-silent");
      if (step.fault == "discovery-speaks") {
        agents_[static_cast<std::size_t>(front)]->notify_watchers();
      }
    }
  }
  if (step.fault.starts_with("cut") || step.fault == "slow" || step.fault == "limit" ||
      step.fault == "reset") {
    return;
  }

  bool listed = false;
  for (const int store : step.stores) {
    StoreState& state = stores_.state(store);
    state.min_position = stores_.position(store);
    if (step.fault == "fall") {
      stores_.fall(store);
    }
    if (step.fault == "rise") {
      stores_.rise(store);
      rules_.note(invariants::Started{{store}, state.booted});
      listed = true;
    }
    if (step.fault == "hang") {
      state.responsive = false;
    }
    if (step.fault == "recover") {
      state.responsive = true, state.errors = 0, state.lag = plan_.lag, state.stalled_at = -1;
    }
    if (step.fault == "errors") {
      state.errors = step.share;
    }
    if (step.fault == "lag") {
      state.lag = step.by;
    }
    if (step.fault == "stall") {
      state.stalled_at = stores_.position(store);
    }
    if (step.fault == "promote") {
      for (int other = 0; other < plan_.stores; ++other) {
        if (stores_.state(other).group != state.group) {
          continue;
        }
        stores_.state(other).min_position = stores_.position(other);
        stores_.state(other).primary = other == store;
      }
    }
    if (step.fault == "drain") {
      state.draining = listed = true;
    }
    if (step.fault == "unlist") {
      state.listed = false, listed = true;
    }
    if (step.fault == "enlist") {
      state.listed = listed = true, state.draining = false;
    }
  }
  if (!listed) {
    return;
  }
  ++revision_;
  for (const auto& agent : agents_) {
    agent->notify_watchers();
  }
}

void TestEnvironment::heal() { streams_.heal(); }

void TestEnvironment::begin() {
  if (plan_.clients.rate <= 0 || std::exchange(begun_, true)) {
    return;
  }
  clients_.start();
}

std::vector<invariants::Broken> TestEnvironment::settle() { return rules_.settle(clock_.now()); }

std::uint64_t TestEnvironment::Asked::sends() const {
  return std::accumulate(sends_to.begin(), sends_to.end(), std::uint64_t{0});
}

TestEnvironment::Asked TestEnvironment::asked() const {
  Asked asked{stores_.probes(), 0, sends_to_};
  for (const auto& agent : agents_) {
    asked.calls += agent->calls();
  }
  return asked;
}

int TestEnvironment::connections(int store, const std::set<int>& without) const {
  int sum = 0;
  for (int front = 0; front < plan_.fronts; ++front) {
    if (!without.contains(front)) {
      sum += streams_.open_connections(gate(front, store));
    }
  }
  return sum;
}

Tally TestEnvironment::between(Millis from, Millis to) const {
  Tally sum;
  sum.at = from;
  for (const Tally& tally : clients_.tallies()) {
    if (tally.at < from || tally.at + kTallySpan > to) {
      continue;
    }
    for (const auto& [outcome, count] : tally.outcomes) {
      sum.outcomes[outcome] += count;
    }
    sum.latencies.insert(sum.latencies.end(), tally.latencies.begin(), tally.latencies.end());
  }
  return sum;
}

}  // namespace reedspindle::faulttest
