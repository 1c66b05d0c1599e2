#include "faulttest/environment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

#include "config/instance_config.hpp"

namespace reedspindle::faulttest {
namespace {

using Json = nlohmann::json;

// Roles of local addresses.
constexpr int kRelayRole = 96, kServerRole = 128;
// After a reload that moves discovery, its lists count as told only after this time.
constexpr Millis kMoveGrace = 4000;
constexpr std::size_t kMaxTrackedConnections = 1000;  // connections to discovery with responses in transit

std::vector<Endpoint> server_addresses(int count, const TestEnvironment::AddressAllocator& allocate_address) {
  std::vector<Endpoint> addresses;
  for (int server = 0; server < count; ++server) {
    addresses.push_back(allocate_address(kServerRole, server));
  }
  return addresses;
}

double to_nanoseconds(Millis duration) { return duration * 1e6; }

// The settings of an instance in the platform's format.
Json instance_settings(const Plan& plan, int instance) {
  Json types = Json::array();
  Json needs = Json::array();
  Json bounds = Json::array();
  for (const ClientOp& op : plan.clients.mix) {
    using invariants::Effect, invariants::Needs;
    types.push_back({{"name", op.name},
                     {"effect", op.effect == Effect::tokened     ? "by_key"
                                : op.effect == Effect::retryable ? "repeatable"
                                                                 : "once"},
                     {"goalTime", to_nanoseconds(plan.clients.latency_target)},
                     {"deadline", to_nanoseconds(plan.clients.request_timeout)},
                     {"keyScope", "cell"},
                     {"dedupWindow", to_nanoseconds(plan.work.token_memory)},
                     {"importance", 1}});
    needs.push_back(op.needs == Needs::write     ? "update"
                    : op.needs == Needs::session ? "own_writes"
                    : op.needs == Needs::bounded ? "recent"
                                                 : "loose");
    bounds.push_back(to_nanoseconds(op.bound));
  }
  return {{"nInstances", plan.fronts},
          {"rank", instance},
          {"quantum", to_nanoseconds(5)},
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
            {"connIdle", to_nanoseconds(30000)},
            {"connectTimeout", to_nanoseconds(250)},
            {"maxAttempts", 6},
            {"maxOpen", 20000},
            {"maxRetryAfter", to_nanoseconds(1000)},
            {"mayTell", plan.fronts > 1},
            {"probes", true},
            {"retryAfter", true}}},
          {"rules",
           {{"stopSendingWithin", to_nanoseconds(plan.terms.drain_grace)},
            {"graceToAnswer", to_nanoseconds(20)},
            {"coldFrom", plan.terms.slow_start_minimum},
            {"warmWithin", to_nanoseconds(plan.terms.slow_start_window)},
            {"fallMultiple", plan.terms.slow_start_multiple},
            {"fall", to_nanoseconds(plan.terms.overload_window)}}}};
}

}  // namespace

TestEnvironment::TestEnvironment(asio::io_context& io, net::Timers& timers, const net::Clock& clock,
                                 const Plan& plan, const std::vector<Endpoint>& listen_addresses,
                                 const AddressAllocator& allocate_address)
    : plan_(plan),
      clock_(clock),
      checker_(plan.terms),
      streams_(io, timers, clock, plan.seed),
      stores_(io, timers, clock, server_addresses(plan.stores, allocate_address), plan.work, plan.seed),
      client_addresses_([&] {
        std::vector<Endpoint> addresses;
        for (int instance = 0; instance < plan.fronts; ++instance) {
          addresses.push_back(
              allocate_address(kRelayRole, instance * relays_per_instance() + plan.stores + 1));
        }
        return addresses;
      }()),
      clients_(io, timers, clock, streams_, checker_, client_addresses_, plan.groups, plan.clients,
               plan.seed),
      agents_(static_cast<std::size_t>(plan.fronts)),
      timers_(timers),
      sends_by_server_(static_cast<std::size_t>(plan.stores)) {
  for (int server = 0; server < plan.stores; ++server) {
    StoreState& state = stores_.state(server);
    state.group = server % plan.groups, state.primary = server < plan.groups, state.lag = plan.lag;
  }
  for (int instance = 0; instance < plan.fronts; ++instance) {
    discoveries_.push_back(std::make_unique<TestDiscovery>(
        io, timers, clock, allocate_address(kServerRole, plan.stores + instance),
        [this, instance](long long) { return discovery_list(instance); },
        [this, instance](const Endpoint& to, std::size_t bytes, long long revision) {
          // Responses that never arrive because their connection broke are evicted here.
          if (responses_in_transit_.size() > kMaxTrackedConnections) {
            responses_in_transit_.erase(responses_in_transit_.begin());
          }
          const ConnectionAddress address{to, discoveries_[static_cast<std::size_t>(instance)]->at()};
          responses_in_transit_[address].push_back({bytes, instance, listings_.at(revision)});
        }));
    std::vector<Endpoint>& addresses = upstream_addresses_.emplace_back();
    for (int server = 0; server < plan.stores; ++server) {
      addresses.push_back(allocate_address(kRelayRole, instance * relays_per_instance() + server));
      streams_.open(addresses.back(), stores_.at(server));
    }
    addresses.push_back(allocate_address(kRelayRole, instance * relays_per_instance() + plan.stores));
    streams_.open(addresses.back(), discoveries_.back()->at());
    streams_.open(client_addresses_[static_cast<std::size_t>(instance)],
                  listen_addresses[static_cast<std::size_t>(instance)]);
  }
  for (int instance = 0; instance < plan.fronts; ++instance) {
    second_discovery_addresses_.push_back(
        allocate_address(kRelayRole, plan.fronts * relays_per_instance() + instance));
    streams_.open(second_discovery_addresses_.back(), discoveries_[static_cast<std::size_t>(instance)]->at());
  }
  stores_.set_callbacks(
      [this](const RequestExecuted& execution) { record_execution(execution); },
      [this](int server, const std::string& op, const Endpoint& from) {
        ++sends_by_server_[static_cast<std::size_t>(server)];
        if (const auto crossing = streams_.record({from, stores_.at(server)})) {
          checker_.record(invariants::RequestSent{
              op, {crossing->forwarder / relays_per_instance()}, {server}, crossing->forward.read});
        }
      });
  streams_.set_callback([this](const StreamRelay::Delivery& passed) {
    clients_.on_delivery(passed);
    const auto responses =
        passed.backward ? responses_in_transit_.find(passed.target) : responses_in_transit_.end();
    if (responses == responses_in_transit_.end()) {
      return;
    }
    while (!responses->second.empty() && responses->second.front().bytes <= passed.bytes_written) {
      record_listing(responses->second.front().instance, responses->second.front().listings, passed.at);
      responses->second.pop_front();
    }
    if (responses->second.empty()) {
      responses_in_transit_.erase(responses);
    }
  });
  begin_revision();
  initial_lists_ = Json::array();
  for (int instance = 0; instance < plan.fronts; ++instance) {
    initial_lists_.push_back(Json::parse(discovery_list(instance).list));
  }
}

nlohmann::json TestEnvironment::placement_of(int instance) const {
  const auto at = static_cast<std::size_t>(instance);
  const Endpoint& discovery =
      agents_[at].moved ? second_discovery_addresses_[at] : upstream_addresses_[at].back();
  return {{"discovery", config::format_endpoint(discovery)},
          {"known", initial_lists_[at]},
          {"settings", instance_settings(plan_, instance)}};
}

std::vector<TestEnvironment::ServerListing> TestEnvironment::list_servers() const {
  std::vector<ServerListing> all;
  for (int server = 0; server < plan_.stores; ++server) {
    const StoreState& state = stores_.state(server);
    all.push_back({server, state.listed && !state.draining, state.booted});
  }
  return all;
}

void TestEnvironment::begin_revision() { listings_[++revision_] = list_servers(); }

void TestEnvironment::record_listing(int instance, const std::vector<ServerListing>& listings, Millis at) {
  for (const ServerListing& entry : listings) {
    checker_.record(invariants::ListingDelivered{
        {instance}, {entry.server}, entry.accepts_requests, entry.started_at, at});
  }
}

// Where the plan says so, what discovery's agent has counts as told from the moment it has it.
void TestEnvironment::record_agent_listing(int instance) {
  const auto at = static_cast<std::size_t>(instance);
  if (plan_.agent_notifies && !discoveries_[at]->failing() && clock_.now() >= agents_[at].notifies_from) {
    record_listing(instance, list_servers(), clock_.now());
  }
}

void TestEnvironment::instance_started(int instance) {
  agents_[static_cast<std::size_t>(instance)].notifies_from = 0;
  record_agent_listing(instance);
}

// Gives discovery another address. The caller reloads the process.
void TestEnvironment::move_discovery(int instance) {
  Agent& agent = agents_[static_cast<std::size_t>(instance)];
  agent.moved = !agent.moved;
  agent.notifies_from = clock_.now() + kMoveGrace;
  timers_.set(agent.notifies_from, [this, instance] { record_agent_listing(instance); });
}

TestDiscovery::ListUpdate TestEnvironment::discovery_list(int instance) const {
  Json targets = Json::array();
  for (int server = 0; server < plan_.stores; ++server) {
    const StoreState& state = stores_.state(server);
    if (!state.listed) {
      continue;
    }
    targets.push_back(
        {{"uid", fmt::format("s{}", server)},
         {"endpoint",
          config::format_endpoint(
              upstream_addresses_[static_cast<std::size_t>(instance)][static_cast<std::size_t>(server)])},
         {"pod_group", state.group},
         {"state", state.draining ? "leaving" : "active"},
         {"boot_ms", state.booted}});
  }
  return {revision_, Json{{"rev", revision_}, {"all", true}, {"targets", targets}}.dump()};
}

void TestEnvironment::record_execution(const RequestExecuted& execution) {
  const bool effect = execution.writes && execution.outcome == ExecutionOutcome::ran;
  if (effect) {
    clients_.committed(execution.request, execution.position);
  }
  if (execution.outcome != ExecutionOutcome::ran) {
    return;
  }
  const auto crossing = streams_.record({execution.from, stores_.at(execution.store)});
  checker_.record(invariants::RequestProcessed{execution.request,
                                               {execution.store},
                                               execution.token,
                                               effect,
                                               crossing ? crossing->forward.read : execution.received_at,
                                               execution.position});
}

std::vector<int> TestEnvironment::selected_relays(const Step& step) const {
  std::vector<int> all;
  for (const int instance : step.fronts) {
    for (const int server : step.stores) {
      all.push_back(relay_index(instance, server));
    }
    if (step.with.contains("discovery")) {
      all.push_back(relay_index(instance, plan_.stores));
    }
    if (step.with.contains("clients")) {
      all.push_back(relay_index(instance, plan_.stores + 1));
    }
  }
  return all;
}

// Calls the function for each selected link with the direction from the instance first and the direction to
// it second. Clients open their connections themselves, so on their links the directions of the relay are
// swapped.
template <typename Function>
void TestEnvironment::for_each_link(const Step& step, Function apply) {
  for (const int relay_index : selected_relays(step)) {
    const bool towards_instance = relay_index % relays_per_instance() == plan_.stores + 1;
    apply(towards_instance ? streams_.backward(relay_index) : streams_.forward(relay_index),
          towards_instance ? streams_.forward(relay_index) : streams_.backward(relay_index));
  }
}

void TestEnvironment::apply_fault(const Step& step) {
  if (step.fault.starts_with("cut")) {
    for_each_link(step, [&](Direction& from_instance, Direction& to_instance) {
      if (step.fault != "cut-back") {
        from_instance.cut = true;
      }
      if (step.fault != "cut-one-way") {
        to_instance.cut = true;
      }
    });
  }
  if (step.fault == "slow") {
    for_each_link(step, [&](Direction& from_instance, Direction& to_instance) {
      from_instance.delay = to_instance.delay = step.by,
      from_instance.jitter = to_instance.jitter = step.jitter;
    });
  }
  if (step.fault == "limit") {
    for_each_link(step, [&](Direction& from_instance, Direction& to_instance) {
      from_instance.rate = to_instance.rate = step.rate;
    });
  }
  if (step.fault == "reset") {
    for (const int relay_index : selected_relays(step)) {
      streams_.reset(relay_index);
    }
  }
  if (step.fault == "discovery-moves") {
    for (const int instance : step.fronts) {
      move_discovery(instance);
    }
  } else if (step.fault.starts_with("discovery-")) {
    for (const int instance : step.fronts) {
      TestDiscovery& discovery = *discoveries_[static_cast<std::size_t>(instance)];
      discovery.set_failure(discovery_failure_of(step), step.by);
      record_agent_listing(instance);
      if (step.fault == "discovery-speaks") {
        discovery.notify_watchers();
      }
    }
  }
  if (step.fault.starts_with("cut") || step.fault == "slow" || step.fault == "limit" ||
      step.fault == "reset") {
    return;
  }

  bool list_changed = false;
  for (const int server : step.stores) {
    StoreState& state = stores_.state(server);
    state.min_position = stores_.position(server);
    if (step.fault == "fall") {
      stores_.fall(server);
    }
    if (step.fault == "rise") {
      stores_.rise(server);
      checker_.record(invariants::ServerStarted{{server}, state.booted});
      list_changed = true;
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
      state.stalled_at = stores_.position(server);
    }
    if (step.fault == "promote") {
      for (int peer = 0; peer < plan_.stores; ++peer) {
        if (stores_.state(peer).group != state.group) {
          continue;
        }
        stores_.state(peer).min_position = stores_.position(peer);
        stores_.state(peer).primary = peer == server;
      }
    }
    if (step.fault == "drain") {
      state.draining = list_changed = true;
    }
    if (step.fault == "unlist") {
      state.listed = false, list_changed = true;
    }
    if (step.fault == "enlist") {
      state.listed = list_changed = true, state.draining = false;
    }
  }
  if (!list_changed) {
    return;
  }
  begin_revision();
  for (const auto& discovery : discoveries_) {
    discovery->notify_watchers();
  }
  for (int instance = 0; instance < plan_.fronts; ++instance) {
    record_agent_listing(instance);
  }
}

void TestEnvironment::heal() { streams_.heal(); }

void TestEnvironment::start_clients() {
  if (plan_.clients.rate <= 0 || std::exchange(clients_started_, true)) {
    return;
  }
  clients_.start();
}

std::vector<invariants::Violation> TestEnvironment::check_invariants() {
  return checker_.check(clock_.now());
}

std::uint64_t TestEnvironment::Counters::total_sends() const {
  return std::accumulate(sends_by_server.begin(), sends_by_server.end(), std::uint64_t{0});
}

TestEnvironment::Counters TestEnvironment::counters() const {
  Counters result{stores_.probes(), 0, sends_by_server_};
  for (const auto& discovery : discoveries_) {
    result.discovery_requests += discovery->calls();
  }
  return result;
}

int TestEnvironment::connections(int server, const std::set<int>& paused_instances) const {
  int sum = 0;
  for (int instance = 0; instance < plan_.fronts; ++instance) {
    if (!paused_instances.contains(instance)) {
      sum += streams_.open_connections(relay_index(instance, server));
    }
  }
  return sum;
}

Tally TestEnvironment::tally_between(Millis from, Millis to) const {
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
