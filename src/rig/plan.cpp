#include "rig/plan.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iterator>
#include <random>
#include <sstream>

namespace reedspindle::rig {

extern const char* const kSchema;  // plan.json
const operators::Form kPlan{"rig", kSchema};

namespace {

// "1,5-7"; the schema has checked the form.
std::set<int> fronts_in(const std::string& text) {
  std::set<int> fronts;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t dash = part.find('-');
    const int from = std::stoi(part),
              to = dash == std::string::npos ? from : std::stoi(part.substr(dash + 1));
    for (int front = from; front <= to && front < 1000; ++front) fronts.insert(front);
  }
  return fronts;
}

std::set<int> all_of(int fronts) {
  std::set<int> all;
  for (int front = 0; front < fronts; ++front) all.insert(front);
  return all;
}

}  // namespace

Plan plan_in(const operators::File& file, const std::string& path) {
  Plan plan;
  plan.fronts = file.values["fronts"], plan.seed = file.values["seed"], plan.longest = file.values["longest"];
  const nlohmann::json& fleet = file.values["fleet"];
  plan.fleet.pace = fleet["pace"], plan.fleet.time_out = fleet["time-out"];
  plan.fleet.patience = fleet["patience"], plan.fleet.forget = fleet["forget"];
  std::vector<std::string> faults;
  int told_so_far = 0;
  for (const nlohmann::json& told : file.values.value("step", nlohmann::json::array())) {
    const std::string key = fmt::format("step[{}]", told_so_far++);
    Step step;
    step.line = file.lines.at(key);
    step.fault = told["fault"], step.name = told.value("name", ""), step.until = told["until"];
    step.fronts = told.contains("fronts") ? fronts_in(told["fronts"]) : all_of(plan.fronts);
    step.to = fronts_in(told.value("to", "")), step.of = fronts_in(told.value("of", ""));
    step.none_failed = fronts_in(told.value("none-failed", ""));
    step.clock = told["clock"], step.by = told["by"], step.jitter = told["jitter"],
    step.share = told["share"];
    step.count = told["count"], step.lasts = told["lasts"], step.within = told["within"];
    const auto fault = [&](const std::string& text) {
      faults.push_back(fmt::format("{}:{}: {}: {}", path, step.line, key, text));
    };
    for (const std::set<int>* named : {&step.fronts, &step.to, &step.of, &step.none_failed})
      if (!named->empty() && *named->rbegin() >= plan.fronts) fault("names a front that is not there");
    const bool cuts = step.fault.starts_with("cut"),
               sends = step.fault == "garbage" || step.fault == "replay";
    if (step.to.empty() == (cuts || sends)) fault("'to' goes with cut, garbage and replay, and they need it");
    if (step.of.empty() != (step.until == "now" || step.until == "agreed"))
      fault("'of' goes with until there, failed, left or yielded, and they need it");
    if (!step.name.empty() && (step.fault != "start" || step.fronts.size() != 1))
      fault("'name' goes with the start of one front");
    if (step.fault == "drawn") {
      const std::vector<Step> more =
          drawn(plan.fronts, step.count, step, plan.seed + static_cast<std::uint64_t>(step.line));
      plan.steps.insert(plan.steps.end(), more.begin(), more.end());
    } else {
      plan.steps.push_back(std::move(step));
    }
  }
  if (!faults.empty()) throw operators::Faulty(std::move(faults));
  return plan;
}

std::vector<Step> drawn(int fronts, int count, const Step& like, std::uint64_t seed) {
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1));
  const auto below = [&random](int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); };
  Step plain;
  plain.fault = "none", plain.until = "now", plain.line = like.line, plain.within = like.within;
  std::vector<Step> steps;
  for (int turn = 0; turn < count; ++turn) {
    constexpr const char* kinds[] = {"kill",        "start", "stop", "wake", "cut",
                                     "cut-one-way", "heal",  "slow", "loss"};
    Step step = plain;
    step.fault = kinds[below(std::size(kinds))];
    step.fronts = {below(fronts)};
    // A side of a cut is one front or a few; who is on both sides loses nothing by it.
    if (step.fault.starts_with("cut"))
      for (int sides = 1 + below(fronts); sides > 0; --sides) step.to.insert(below(fronts));
    if (step.fault == "slow") step.by = below(300), step.jitter = below(100);
    if (step.fault == "loss") step.share = below(40) / 100.0;
    step.lasts = 50 + below(1500);
    steps.push_back(std::move(step));
  }
  for (const char* mended : {"heal", "wake", "start"}) {
    steps.push_back(plain);
    steps.back().fault = mended, steps.back().fronts = all_of(fronts);
  }
  steps.back().until = "agreed";
  return steps;
}

std::string text_of(const Step& step) {
  std::string text = step.fault == "none" ? "nothing" : step.fault;
  if (step.fault != "heal" && step.fault != "none") text += fmt::format(" {}", fmt::join(step.fronts, ","));
  if (!step.to.empty()) text += fmt::format(" and {}", fmt::join(step.to, ","));
  if (!step.name.empty()) text += fmt::format(" as {}", step.name);
  if (step.clock != 0) text += fmt::format(", clock {:+}ms", step.clock);
  if (step.by > 0 || step.jitter > 0) text += fmt::format(" by {}ms, jitter {}ms", step.by, step.jitter);
  if (step.share > 0) text += fmt::format(" {:.0f}%", step.share * 100);
  return text;
}

}  // namespace reedspindle::rig
