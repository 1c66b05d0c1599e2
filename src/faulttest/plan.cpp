#include "faulttest/plan.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iterator>
#include <map>
#include <random>
#include <sstream>

#include "core/random.hpp"
#include "faulttest/outages.hpp"

namespace reedspindle::faulttest {

extern const char* const kSchema;  // plan.json
const operators::Form kPlanForm{"rig", kSchema};

namespace {

// Parses a list of indices such as "1,5-7"; the schema has validated the format.
std::set<int> parse_indices(const std::string& text) {
  std::set<int> fronts;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t dash = part.find('-');
    const int from = std::stoi(part);
    const int to = dash == std::string::npos ? from : std::stoi(part.substr(dash + 1));
    for (int front = from; front <= to && front < 1000; ++front) {
      fronts.insert(front);
    }
  }
  return fronts;
}

bool is_store_fault(const std::string& fault) {
  static const std::set<std::string> faults{"fall",  "rise",    "hang",  "recover", "errors", "lag",
                                            "stall", "promote", "drain", "unlist",  "enlist"};
  return faults.contains(fault);
}

bool is_outage_fault(const std::string& fault) {
  return fault == "discovery-fails" || fault == "discovery-moves" || fault == "pause";
}

// Reads the parts of the plan other than fronts and steps: stores, clients and the parameters of the
// invariants.
void parse_environment(const nlohmann::json& values, Plan& plan) {
  const nlohmann::json& stores = values["stores"];
  const nlohmann::json& clients = values["clients"];
  const nlohmann::json& terms = values["rules"];
  plan.stores = stores["count"], plan.groups = stores["groups"], plan.lag = stores["lag"];
  plan.work.work = stores["work"], plan.work.workers = stores["workers"], plan.work.queue = stores["queue"];
  plan.work.cold_from = terms["cold-from"], plan.work.warm_within = terms["warm-within"];
  plan.clients.rate = clients["rate"], plan.clients.sessions = clients["sessions"];
  plan.clients.request_timeout = clients["op-timeout"],
  plan.clients.latency_target = clients["latency-target"];
  plan.agent_notifies = terms["told"] == "agent";
  plan.terms.slack = terms["slack"];
  plan.terms.drain_slack = terms.value("drain-slack", plan.terms.slack);
  plan.terms.drain_grace = terms["drain-grace"];
  plan.terms.slow_start_multiple = terms["fall-multiple"], plan.terms.overload_window = terms["fall"];
  plan.terms.slow_start_minimum = terms["cold-from"], plan.terms.slow_start_window = terms["warm-within"];
  plan.terms.capacity = plan.work.workers * 1000 / plan.work.work;
  using invariants::Effect, invariants::Needs;
  for (const nlohmann::json& entry : values.value("op-type", nlohmann::json::array())) {
    ClientOp op;
    op.name = entry["name"], op.weight = entry["weight"], op.bound = entry["bound"];
    const std::string needs = entry["needs"];
    const std::string effect = entry["effect"];
    op.needs = needs == "write"     ? Needs::write
               : needs == "session" ? Needs::session
               : needs == "bounded" ? Needs::bounded
                                    : Needs::any;
    op.effect = effect == "tokened"         ? Effect::tokened
                : effect == "non-retryable" ? Effect::non_retryable
                                            : Effect::retryable;
    plan.clients.mix.push_back(op);
  }
  if (plan.clients.mix.empty()) {
    plan.clients.mix = {{"look", 5, Needs::bounded, Effect::retryable, 1500},
                        {"own", 3, Needs::session, Effect::retryable, 0},
                        {"browse", 1, Needs::any, Effect::retryable, 0},
                        {"save", 2, Needs::write, Effect::tokened, 0},
                        {"book", 0.5, Needs::write, Effect::non_retryable, 0}};
  }
  double all = 0;
  for (const ClientOp& op : plan.clients.mix) {
    all += op.weight;
  }
  for (ClientOp& op : plan.clients.mix) {
    op.weight /= all;
  }
}

}  // namespace

bool is_consistency_condition(const std::string& until) {
  return until == "accord" || until == "differs" || until == "cut-off";
}

Plan parse_plan(const operators::File& file, const std::string& path) {
  Plan plan;
  plan.fronts = file.values["fronts"], plan.seed = file.values["seed"], plan.longest = file.values["longest"];
  const nlohmann::json& fleet = file.values["fleet"];
  plan.fleet.protocol_period = fleet["pace"], plan.fleet.ack_timeout = fleet["time-out"];
  plan.fleet.suspicion_multiplier = fleet["patience"], plan.fleet.forget_after = fleet["forget"];
  if (fleet.contains("shares")) {
    const nlohmann::json& entry = fleet["shares"];
    plan.quota = {entry["connections"], entry["lease"], entry["evidence"], entry["notice"], entry["kept"]};
  }
  if (fleet.contains("accord")) {
    const nlohmann::json& entry = fleet["accord"];
    plan.consistency =
        fmt::format(" (accord (pace {}ms) (grace {}ms) (silence {}ms) (writes-for {}ms) (reads-for {}ms))",
                    entry["pace"].get<double>(), entry["grace"].get<double>(), entry["silence"].get<double>(),
                    entry["writes-for"].get<double>(), entry["reads-for"].get<double>());
  }
  if (fleet.contains("resends")) {
    plan.resends = fmt::format(" (resends (share {}) (burst {}))", fleet["resends"]["share"].get<double>(),
                               fleet["resends"]["burst"].get<double>());
  }
  parse_environment(file.values, plan);
  std::vector<std::string> faults;
  int step_index = 0;
  for (const nlohmann::json& entry : file.values.value("step", nlohmann::json::array())) {
    const std::string key = fmt::format("step[{}]", step_index++);
    Step step;
    step.line = file.lines.at(key);
    step.fault = entry["fault"], step.name = entry.value("name", ""), step.until = entry["until"];
    step.in = entry["in"], step.how = entry["how"], step.sends = entry["sends-at-most"],
    step.probes = entry["probes-at-most"], step.calls = entry["calls-at-most"];
    step.fronts = entry.contains("fronts") ? parse_indices(entry["fronts"]) : all_fronts(plan.fronts);
    step.to = parse_indices(entry.value("to", "")), step.of = parse_indices(entry.value("of", ""));
    step.none_failed = parse_indices(entry.value("none-failed", ""));
    step.stores = parse_indices(entry.value("stores", ""));
    step.spared = parse_indices(entry.value("spared", ""));
    for (const char* with : {"discovery", "clients"}) {
      if (entry.value("with", "").find(with) != std::string::npos) {
        step.with.insert(with);
      }
    }
    step.rate = entry["rate"], step.acked = entry["acked"], step.part = entry["part-at-least"];
    step.clock = entry["clock"], step.by = entry["by"], step.jitter = entry["jitter"],
    step.share = entry["share"];
    step.count = entry["count"], step.lasts = entry["lasts"], step.within = entry["within"];
    const auto fault = [&](const std::string& text) {
      faults.push_back(fmt::format("{}:{}: {}: {}", path, step.line, key, text));
    };
    for (const std::set<int>* indices : {&step.fronts, &step.to, &step.of, &step.none_failed}) {
      if (!indices->empty() && *indices->rbegin() >= plan.fronts) {
        fault("names a front that does not exist");
      }
    }
    for (const std::set<int>* indices : {&step.stores, &step.spared}) {
      if (!indices->empty() && *indices->rbegin() >= plan.stores) {
        fault("names a store that does not exist");
      }
    }
    if (plan.stores == 0 && !step.with.empty()) {
      fault("'with' requires stores in the plan");
    }
    const bool sends = step.fault == "garbage" || step.fault == "replay";
    const bool streams = step.fault == "reset" || step.fault == "limit";
    const bool links = step.fault.starts_with("cut") || streams || step.fault == "slow";
    if (step.to.empty() ? sends : !sends && !step.fault.starts_with("cut")) {
      fault("'to' is allowed with cut, garbage and replay only, and required with the last two");
    }
    if (links && step.fault != "slow" && step.to.empty() && step.stores.empty() && step.with.empty()) {
      fault("the far side of the links is missing: 'to', 'stores' or 'with'");
    }
    if (!step.with.empty() && !links) {
      fault("'with' is allowed with cut, slow, limit and reset only");
    }
    if (step.stores.empty() ? is_store_fault(step.fault) : !is_store_fault(step.fault) && !links) {
      fault("'stores' is required by store faults and allowed with cut, slow, limit and reset only");
    }
    if (step.of.empty() != (step.until == "now" || step.until == "agreed" || step.until == "accord")) {
      fault("'of' is required by until there, failed, left, yielded, differs and cut-off only");
    }
    if (plan.consistency.empty() && is_consistency_condition(step.until)) {
      fault("until accord, differs or cut-off requires (fleet (accord ...))");
    }
    if (!step.name.empty() && (step.fault != "start" || step.fronts.size() != 1)) {
      fault("'name' is allowed with the start of a single front only");
    }
    if (plan.stores == 0 && (is_outage_fault(step.fault) || step.fault == "drawn-outages")) {
      fault("requires stores in the plan");
    }
    if (step.fault == "drawn" || step.fault == "drawn-outages") {
      const auto draw = step.fault == "drawn" ? random_faults : random_outages;
      const std::vector<Step> more =
          draw(plan, step.count, step, plan.seed + static_cast<std::uint64_t>(step.line));
      plan.steps.insert(plan.steps.end(), more.begin(), more.end());
    } else {
      plan.steps.push_back(std::move(step));
    }
  }
  if (!faults.empty()) {
    throw operators::InvalidFile(std::move(faults));
  }
  return plan;
}

std::set<int> all_fronts(int fronts) {
  std::set<int> all;
  for (int front = 0; front < fronts; ++front) {
    all.insert(front);
  }
  return all;
}

std::vector<Step> random_faults(const Plan& plan, int count, const Step& like, std::uint64_t seed) {
  std::minstd_rand random = make_random(seed);
  const auto random_below = [&random](int most) {
    return static_cast<int>(random() % static_cast<unsigned>(most));
  };
  const int fronts = plan.fronts;
  Step base;
  base.fault = "none", base.until = "now", base.line = like.line, base.within = like.within;
  std::vector<const char*> kinds{"kill",        "start", "stop", "wake", "cut",
                                 "cut-one-way", "heal",  "slow", "loss"};
  if (plan.stores > 0) {
    kinds.insert(kinds.end(),
                 {"cut-back", "reset", "end", "fall", "rise", "hang", "recover", "errors", "lag", "stall",
                  "promote", "drain", "enlist", "discovery-silent", "discovery-speaks"});
  }
  std::vector<Step> steps;
  for (int index = 0; index < count; ++index) {
    Step step = base;
    step.fault = kinds[static_cast<std::size_t>(random_below(static_cast<int>(kinds.size())))];
    step.fronts = {random_below(fronts)};
    // The far side of a cut is one or several fronts; a front on both sides loses no link to itself.
    const bool links = step.fault.starts_with("cut") || step.fault == "reset";
    if (step.fault.starts_with("cut")) {
      for (int remaining = 1 + random_below(fronts); remaining > 0; --remaining) {
        step.to.insert(random_below(fronts));
      }
    }
    if (is_store_fault(step.fault) || (links && plan.stores > 0)) {
      for (int remaining = 1 + random_below(2); remaining > 0; --remaining) {
        step.stores.insert(random_below(plan.stores));
      }
    }
    if (links && plan.stores > 0 && random_below(3) == 0) {
      step.with.insert(random_below(2) == 0 ? "discovery" : "clients");
    }
    if (step.fault == "slow") {
      step.by = random_below(300), step.jitter = random_below(100);
    }
    if (step.fault == "lag") {
      step.by = random_below(5000);
    }
    if (step.fault == "loss" || step.fault == "errors") {
      step.share = random_below(40) / 100.0;
    }
    step.lasts = 50 + random_below(1500);
    steps.push_back(std::move(step));
  }
  std::vector<const char*> repairs{"heal", "wake", "start"};
  if (plan.stores > 0) {
    repairs = {"heal", "rise", "recover", "enlist", "discovery-speaks", "wake", "start"};
  }
  for (const char* repair : repairs) {
    steps.push_back(base);
    steps.back().fault = repair, steps.back().fronts = all_fronts(fronts);
    if (is_store_fault(repair)) {
      steps.back().stores = all_fronts(plan.stores);
    }
  }
  steps.back().until = "agreed";
  return steps;
}

DiscoveryFailure discovery_failure_of(const Step& step) {
  static const std::map<std::string, DiscoveryFailure> failures{
      {"hangs", DiscoveryFailure::hangs},   {"holds", DiscoveryFailure::holds},
      {"half", DiscoveryFailure::half},     {"trickles", DiscoveryFailure::trickles},
      {"resets", DiscoveryFailure::resets}, {"refuses", DiscoveryFailure::refuses},
      {"status", DiscoveryFailure::status}, {"late", DiscoveryFailure::late}};
  if (step.fault == "discovery-fails") {
    return failures.at(step.how);
  }
  return step.fault == "discovery-silent" ? DiscoveryFailure::silent : DiscoveryFailure::none;
}

std::string describe(const Step& step) {
  std::string text = step.fault == "none" ? "nothing" : step.fault;
  if (step.fault == "discovery-fails") {
    text += fmt::format(" {} of {}", step.how, fmt::join(step.fronts, ","));
  }
  if (step.fault != "heal" && step.fault != "none" && !is_store_fault(step.fault) &&
      !step.fault.starts_with("discovery")) {
    text += fmt::format(" {}", fmt::join(step.fronts, ","));
  }
  if (!step.to.empty()) {
    text += fmt::format(" and {}", fmt::join(step.to, ","));
  }
  if (!step.stores.empty()) {
    text += fmt::format(" stores {}", fmt::join(step.stores, ","));
  }
  if (!step.with.empty()) {
    text += fmt::format(" with {}", fmt::join(step.with, ","));
  }
  if (!step.name.empty()) {
    text += fmt::format(" as {}", step.name);
  }
  if (step.clock != 0) {
    text += fmt::format(", clock {:+}ms", step.clock);
  }
  if (step.by > 0 || step.jitter > 0) {
    text += fmt::format(" by {}ms, jitter {}ms", step.by, step.jitter);
  }
  if (step.share > 0) {
    text += fmt::format(" {:.0f}%", step.share * 100);
  }
  return text;
}

}  // namespace reedspindle::faulttest
