#include "faulttest/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "faulttest/test_clients.hpp"

namespace reedspindle::faulttest {

namespace {

constexpr int kBarWidth = 50;  // characters for the busiest second

// The ops of one second by outcome, and the highest 99th percentile of latency of its tenths.
struct Second {
  std::map<OpOutcome, int> outcomes;
  double p99 = 0;
  std::vector<std::string> events;
};

}  // namespace

std::vector<std::string> report(const nlohmann::json& record) {
  std::map<int, Second> seconds;
  const auto second = [&](const nlohmann::json& entry) -> Second& {
    return seconds[static_cast<int>(std::floor(entry["at"].get<double>() / 1000))];
  };
  for (const nlohmann::json& step : record["steps"]) {
    second(step).events.push_back(
        fmt::format("{:.2f} s  {}", step["at"].get<double>() / 1000, step["text"].get<std::string>()));
  }
  for (const nlohmann::json& violation : record["broken"]) {
    second(violation).events.push_back(fmt::format(
        "{:.2f} s  BROKEN {}: {}, op {}, front {}, store {}", violation["at"].get<double>() / 1000,
        violation["rule"].get<std::string>(), violation["why"].get<std::string>(),
        violation["op"].get<std::string>(), violation["front"].dump(), violation["store"].dump()));
  }
  int busiest = 1;
  for (const nlohmann::json& span : record["spans"]) {
    Second& of = second(span);
    int all = 0;
    for (int outcome = 0; outcome < kOpOutcomes; ++outcome) {
      const int ops = span.value(outcome_name(static_cast<OpOutcome>(outcome)), 0);
      of.outcomes[static_cast<OpOutcome>(outcome)] += ops;
    }
    for (const auto& [outcome, ops] : of.outcomes) {
      all += ops;
    }
    of.p99 = std::max(of.p99, span.value("p99", 0.0));
    busiest = std::max(busiest, all);
  }
  std::vector<std::string> lines{
      fmt::format("{} fronts, {} stores, seed {}, {:.1f} s; one line per second: '#' acked in time, "
                  "'l' late, 'b' busy replied, 'e' errored, '-' unanswered or unsent",
                  record["fronts"].dump(), record["stores"].dump(), record["seed"].dump(),
                  record["ms"].get<double>() / 1000)};
  for (const auto& [at, of] : seconds) {
    for (const std::string& event : of.events) {
      lines.push_back("  " + event);
    }
    if (of.outcomes.empty()) {
      continue;
    }
    std::string bar;
    std::string counts;
    for (const auto& [outcome, ops] : of.outcomes) {
      constexpr char letters[kOpOutcomes] = {'#', 'l', 'b', 'e', '-', '-'};
      // Rounded up so that an outcome with a single op is visible.
      bar += std::string(static_cast<std::size_t>(std::ceil(static_cast<double>(ops) * kBarWidth / busiest)),
                         letters[static_cast<int>(outcome)]);
      if (ops > 0) {
        counts += fmt::format(" {} {}", ops, outcome_name(outcome));
      }
    }
    lines.push_back(
        fmt::format("{:4d} s {:{}} p99 {:6.1f} ms {}", at, bar, kBarWidth + kOpOutcomes, of.p99, counts));
  }
  return lines;
}

}  // namespace reedspindle::faulttest
