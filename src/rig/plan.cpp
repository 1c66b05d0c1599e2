#include "rig/plan.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

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
  for (const nlohmann::json& told : file.values.value("step", nlohmann::json::array())) {
    const std::string key = fmt::format("step[{}]", plan.steps.size());
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
    plan.steps.push_back(std::move(step));
  }
  if (!faults.empty()) throw operators::Faulty(std::move(faults));
  return plan;
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
