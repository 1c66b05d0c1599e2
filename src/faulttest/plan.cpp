#include "faulttest/plan.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iterator>
#include <random>
#include <sstream>

namespace reedspindle::faulttest {

extern const char* const kSchema;  // plan.json
const operators::Form kPlan{"rig", kSchema};

namespace {

// "1,5-7"; the schema has checked the form.
std::set<int> fronts_in(const std::string& text) {
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

std::set<int> all_of(int fronts) {
  std::set<int> all;
  for (int front = 0; front < fronts; ++front) {
    all.insert(front);
  }
  return all;
}

bool of_stores(const std::string& fault) {
  static const std::set<std::string> faults{"fall",  "rise",    "hang",  "recover", "errors", "lag",
                                            "stall", "promote", "drain", "unlist",  "enlist"};
  return faults.contains(fault);
}

// What stands beside the fronts: stores, discovery, clients, and the terms of the rules.
void stores_in(const nlohmann::json& values, Plan& plan) {
  const nlohmann::json& stores = values["stores"];
  const nlohmann::json& clients = values["clients"];
  const nlohmann::json& terms = values["rules"];
  plan.stores = stores["count"], plan.groups = stores["groups"], plan.lag = stores["lag"];
  plan.work.work = stores["work"], plan.work.workers = stores["workers"], plan.work.queue = stores["queue"];
  plan.work.cold_from = terms["cold-from"], plan.work.warm_within = terms["warm-within"];
  plan.clients.rate = clients["rate"], plan.clients.sessions = clients["sessions"];
  plan.clients.request_timeout = clients["op-timeout"],
  plan.clients.latency_target = clients["latency-target"];
  plan.terms.slack = terms["slack"], plan.terms.drain_grace = terms["drain-grace"];
  plan.terms.slow_start_multiple = terms["fall-multiple"], plan.terms.overload_window = terms["fall"];
  plan.terms.slow_start_minimum = terms["cold-from"], plan.terms.slow_start_window = terms["warm-within"];
  plan.terms.capacity = plan.work.workers * 1000 / plan.work.work;
  using invariants::Effect, invariants::Needs;
  for (const nlohmann::json& told : values.value("op-type", nlohmann::json::array())) {
    ClientOp op;
    op.name = told["name"], op.weight = told["weight"], op.bound = told["bound"];
    const std::string needs = told["needs"];
    const std::string effect = told["effect"];
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

bool of_accord(const std::string& until) {
  return until == "accord" || until == "differs" || until == "cut-off";
}

Plan plan_in(const operators::File& file, const std::string& path) {
  Plan plan;
  plan.fronts = file.values["fronts"], plan.seed = file.values["seed"], plan.longest = file.values["longest"];
  const nlohmann::json& fleet = file.values["fleet"];
  plan.fleet.protocol_period = fleet["pace"], plan.fleet.ack_timeout = fleet["time-out"];
  plan.fleet.suspicion_multiplier = fleet["patience"], plan.fleet.forget_after = fleet["forget"];
  if (fleet.contains("shares")) {
    const nlohmann::json& told = fleet["shares"];
    plan.quota = {told["connections"], told["lease"], told["evidence"], told["notice"], told["kept"]};
  }
  if (fleet.contains("accord")) {
    const nlohmann::json& told = fleet["accord"];
    plan.consistency =
        fmt::format(" (accord (pace {}ms) (grace {}ms) (silence {}ms) (writes-for {}ms) (reads-for {}ms))",
                    told["pace"].get<double>(), told["grace"].get<double>(), told["silence"].get<double>(),
                    told["writes-for"].get<double>(), told["reads-for"].get<double>());
  }
  if (fleet.contains("resends")) {
    plan.resends = fmt::format(" (resends (share {}) (burst {}))", fleet["resends"]["share"].get<double>(),
                               fleet["resends"]["burst"].get<double>());
  }
  stores_in(file.values, plan);
  std::vector<std::string> faults;
  int told_so_far = 0;
  for (const nlohmann::json& told : file.values.value("step", nlohmann::json::array())) {
    const std::string key = fmt::format("step[{}]", told_so_far++);
    Step step;
    step.line = file.lines.at(key);
    step.fault = told["fault"], step.name = told.value("name", ""), step.until = told["until"];
    step.in = told["in"], step.sends = told["sends-at-most"], step.probes = told["probes-at-most"],
    step.calls = told["calls-at-most"];
    step.fronts = told.contains("fronts") ? fronts_in(told["fronts"]) : all_of(plan.fronts);
    step.to = fronts_in(told.value("to", "")), step.of = fronts_in(told.value("of", ""));
    step.none_failed = fronts_in(told.value("none-failed", ""));
    step.stores = fronts_in(told.value("stores", ""));
    step.spared = fronts_in(told.value("spared", ""));
    for (const char* with : {"discovery", "clients"}) {
      if (told.value("with", "").find(with) != std::string::npos) {
        step.with.insert(with);
      }
    }
    step.rate = told["rate"], step.acked = told["acked"], step.part = told["part-at-least"];
    step.clock = told["clock"], step.by = told["by"], step.jitter = told["jitter"],
    step.share = told["share"];
    step.count = told["count"], step.lasts = told["lasts"], step.within = told["within"];
    const auto fault = [&](const std::string& text) {
      faults.push_back(fmt::format("{}:{}: {}: {}", path, step.line, key, text));
    };
    for (const std::set<int>* named : {&step.fronts, &step.to, &step.of, &step.none_failed}) {
      if (!named->empty() && *named->rbegin() >= plan.fronts) {
        fault("names a front that is not there");
      }
    }
    for (const std::set<int>* named : {&step.stores, &step.spared}) {
      if (!named->empty() && *named->rbegin() >= plan.stores) {
        fault("names a store that is not there");
      }
    }
    if (plan.stores == 0 && !step.with.empty()) {
      fault("'with' needs stores in the plan");
    }
    const bool sends = step.fault == "garbage" || step.fault == "replay";
    const bool streams = step.fault == "reset" || step.fault == "limit";
    const bool links = step.fault.starts_with("cut") || streams || step.fault == "slow";
    if (step.to.empty() ? sends : !sends && !step.fault.starts_with("cut")) {
      fault("'to' goes with cut, garbage and replay; the last two need it");
    }
    if (links && step.fault != "slow" && step.to.empty() && step.stores.empty() && step.with.empty()) {
      fault("the other side is missing: 'to', 'stores' or 'with'");
    }
    if (!step.with.empty() && !links) {
      fault("'with' goes with cut, slow, limit and reset");
    }
    if (step.stores.empty() ? of_stores(step.fault) : !of_stores(step.fault) && !links) {
      fault("'stores' goes with what strikes stores, who need it, and with cut, slow, limit and reset");
    }
    if (step.of.empty() != (step.until == "now" || step.until == "agreed" || step.until == "accord")) {
      fault("'of' goes with until there, failed, left, yielded, differs or cut-off, and they need it");
    }
    if (plan.consistency.empty() && of_accord(step.until)) {
      fault("until accord, differs or cut-off needs (fleet (accord ...))");
    }
    if (!step.name.empty() && (step.fault != "start" || step.fronts.size() != 1)) {
      fault("'name' goes with the start of one front");
    }
    if (step.fault == "drawn") {
      const std::vector<Step> more =
          drawn(plan, step.count, step, plan.seed + static_cast<std::uint64_t>(step.line));
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

std::vector<Step> drawn(const Plan& plan, int count, const Step& like, std::uint64_t seed) {
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1));
  const auto below = [&random](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
  const int fronts = plan.fronts;
  Step plain;
  plain.fault = "none", plain.until = "now", plain.line = like.line, plain.within = like.within;
  std::vector<const char*> kinds{"kill",        "start", "stop", "wake", "cut",
                                 "cut-one-way", "heal",  "slow", "loss"};
  if (plan.stores > 0) {
    kinds.insert(kinds.end(),
                 {"cut-back", "reset", "end", "fall", "rise", "hang", "recover", "errors", "lag", "stall",
                  "promote", "drain", "enlist", "discovery-silent", "discovery-speaks"});
  }
  std::vector<Step> steps;
  for (int turn = 0; turn < count; ++turn) {
    Step step = plain;
    step.fault = kinds[static_cast<std::size_t>(below(static_cast<int>(kinds.size())))];
    step.fronts = {below(fronts)};
    // A side of a cut is one front or a few; who is on both sides loses nothing by it.
    const bool links = step.fault.starts_with("cut") || step.fault == "reset";
    if (step.fault.starts_with("cut")) {
      for (int sides = 1 + below(fronts); sides > 0; --sides) {
        step.to.insert(below(fronts));
      }
    }
    if (of_stores(step.fault) || (links && plan.stores > 0)) {
      for (int sides = 1 + below(2); sides > 0; --sides) {
        step.stores.insert(below(plan.stores));
      }
    }
    if (links && plan.stores > 0 && below(3) == 0) {
      step.with.insert(below(2) == 0 ? "discovery" : "clients");
    }
    if (step.fault == "slow") {
      step.by = below(300), step.jitter = below(100);
    }
    if (step.fault == "lag") {
      step.by = below(5000);
    }
    if (step.fault == "loss" || step.fault == "errors") {
      step.share = below(40) / 100.0;
    }
    step.lasts = 50 + below(1500);
    steps.push_back(std::move(step));
  }
  std::vector<const char*> mends{"heal", "wake", "start"};
  if (plan.stores > 0) {
    mends = {"heal", "rise", "recover", "enlist", "discovery-speaks", "wake", "start"};
  }
  for (const char* mended : mends) {
    steps.push_back(plain);
    steps.back().fault = mended, steps.back().fronts = all_of(fronts);
    if (of_stores(mended)) {
      steps.back().stores = all_of(plan.stores);
    }
  }
  steps.back().until = "agreed";
  return steps;
}

std::string text_of(const Step& step) {
  std::string text = step.fault == "none" ? "nothing" : step.fault;
  if (step.fault != "heal" && step.fault != "none" && !of_stores(step.fault) &&
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
