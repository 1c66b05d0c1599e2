#include "faulttest/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "faulttest/test_clients.hpp"

namespace reedspindle::faulttest {

namespace {

constexpr int kBar = 50;  // letters for the most ops of any second

// Of one second: how many ops came to what, and the slowest tenths' 99th percentile.
struct Second {
  std::map<Came, int> came;
  double p99 = 0;
  std::vector<std::string> events;
};

}  // namespace

std::vector<std::string> report(const nlohmann::json& record) {
  std::map<int, Second> seconds;
  const auto second = [&](const nlohmann::json& one) -> Second& {
    return seconds[static_cast<int>(std::floor(one["at"].get<double>() / 1000))];
  };
  for (const nlohmann::json& step : record["steps"]) {
    second(step).events.push_back(
        fmt::format("{:.2f} s  {}", step["at"].get<double>() / 1000, step["text"].get<std::string>()));
  }
  for (const nlohmann::json& broken : record["broken"]) {
    second(broken).events.push_back(
        fmt::format("{:.2f} s  BROKEN {}: {}, op {}, front {}, store {}", broken["at"].get<double>() / 1000,
                    broken["rule"].get<std::string>(), broken["why"].get<std::string>(),
                    broken["op"].get<std::string>(), broken["front"].dump(), broken["store"].dump()));
  }
  int most = 1;
  for (const nlohmann::json& span : record["spans"]) {
    Second& of = second(span);
    int all = 0;
    for (int came = 0; came < kCames; ++came) {
      const int ops = span.value(word_of(static_cast<Came>(came)), 0);
      of.came[static_cast<Came>(came)] += ops;
    }
    for (const auto& [came, ops] : of.came) {
      all += ops;
    }
    of.p99 = std::max(of.p99, span.value("p99", 0.0));
    most = std::max(most, all);
  }
  std::vector<std::string> lines{
      fmt::format("{} fronts, {} stores, seed {}, {:.1f} s; a second a line: '#' acked in time, "
                  "'l' late, 'b' busy replied, 'e' errored, '-' neither answered nor sent",
                  record["fronts"].dump(), record["stores"].dump(), record["seed"].dump(),
                  record["ms"].get<double>() / 1000)};
  for (const auto& [at, of] : seconds) {
    for (const std::string& event : of.events) {
      lines.push_back("  " + event);
    }
    if (of.came.empty()) {
      continue;
    }
    std::string bar;
    std::string counts;
    for (const auto& [came, ops] : of.came) {
      constexpr char letters[kCames] = {'#', 'l', 'b', 'e', '-', '-'};
      // Whatever happened at all is seen.
      bar += std::string(static_cast<std::size_t>(std::ceil(static_cast<double>(ops) * kBar / most)),
                         letters[static_cast<int>(came)]);
      if (ops > 0) {
        counts += fmt::format(" {} {}", ops, word_of(came));
      }
    }
    lines.push_back(fmt::format("{:4d} s {:{}} p99 {:6.1f} ms {}", at, bar, kBar + kCames, of.p99, counts));
  }
  return lines;
}

}  // namespace reedspindle::faulttest
