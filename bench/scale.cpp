// Measures the resources that one proxy instance uses as the number of servers grows, with the same traffic.
// Prints one row per size and compares it with the first size of the same run, by limits on growth. Exits
// with 1 if a rule was violated or a limit exceeded.
#include "faulttest/scale.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using reedspindle::faulttest::ScaleReport;
using reedspindle::faulttest::ScaleScenario;

namespace {

using Json = nlohmann::json;

struct Limit {
  const char* name;
  double used, allowed;
  bool depends_on_speed;  // not enforced in the short run, since it depends on the machine's speed
  [[nodiscard]] bool passed() const { return used <= allowed; }
};

// The six limits on the growth of resource use, relative to the baseline size.
std::vector<Limit> limits_of(const ScaleReport& report, const ScaleReport& baseline) {
  const double thousands = report.servers / 1000.0;
  return {{"processor s", report.processor_seconds,
           1.4 * baseline.processor_seconds + 0.02 + 0.03 * thousands, true},
          {"memory MB", report.peak_memory_mb, 1.5 * baseline.peak_memory_mb + 8 + 4 * thousands, true},
          {"descriptors", static_cast<double>(report.descriptors),
           2.0 * static_cast<double>(baseline.descriptors) + 40, false},
          {"connections", static_cast<double>(report.connections),
           2.5 * static_cast<double>(baseline.connections) + 40, false},
          {"list bytes", static_cast<double>(report.list_bytes),
           2.0 * static_cast<double>(baseline.list_bytes) + 64e3 + 500e3 * thousands, false},
          {"not served", 1 - report.served_fraction(), 1 - 0.85 * baseline.served_fraction(), false}};
}

void print(const ScaleReport& report) {
  std::cout << fmt::format(
      "{:>8} {:>9.2f} {:>8.1f} {:>6} {:>7} {:>7} {:>10} {:>8.1f} {:>7.2f} {:>7.2f} {:>8.1f} {:>7} {:>7.3f} "
      "{:>5} "
      "{:>5} {:>6}\n",
      report.servers, report.processor_seconds, report.peak_memory_mb, report.descriptors, report.connections,
      report.probes, report.list_bytes, report.longest_loop_turn_ms, report.ping_median_ms,
      report.ping_p99_ms, report.ping_worst_ms, report.requests, report.served_fraction(), report.lost,
      report.late_attempts, report.drained_attempts);
}

Json json_of(const ScaleReport& report) {
  return {{"servers", report.servers},
          {"processor_seconds", report.processor_seconds},
          {"peak_memory_mb", report.peak_memory_mb},
          {"descriptors", report.descriptors},
          {"connections", report.connections},
          {"probes", report.probes},
          {"list_bytes", report.list_bytes},
          {"longest_turn_ms", report.longest_loop_turn_ms},
          {"ping_ms",
           {{"median", report.ping_median_ms}, {"p99", report.ping_p99_ms}, {"worst", report.ping_worst_ms}}},
          {"asked", report.requests},
          {"served_share", report.served_fraction()},
          {"refused", report.refused},
          {"lost", report.lost},
          {"late_attempts", report.late_attempts},
          {"drained_attempts", report.drained_attempts},
          {"crashed", report.crashed}};
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Measures one proxy instance with a growing number of servers");
  ScaleScenario scenario;
  std::vector<int> sizes = {200, 800, 3200};
  std::string json_path;
  bool short_run = false;
  bool keep_files = false;
  app.add_option("--program", scenario.program, "path of the proxy program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--servers", sizes, "numbers of servers; the first is the baseline")->delimiter(',');
  app.add_option("--fronts", scenario.instances, "number of instances in the fleet");
  app.add_option("--cores", scenario.cores, "fraction of a core that the instance may use")
      ->check(CLI::Range(0.05, 1.0));
  app.add_flag("--indented", scenario.indented_lists, "discovery indents its lists");
  app.add_option("--json", json_path, "file for the results as JSON");
  app.add_flag("--short", short_run, "shorter run; enforces counts and rules, but not times");
  app.add_flag("--keep", keep_files,
               "keep the files of the instance and a log of every request, and print their folder");
  CLI11_PARSE(app, count, arguments);
  scenario.log_level = keep_files ? "debug" : "info";
  if (short_run) {
    scenario.idle_time = std::chrono::milliseconds(800);
    scenario.step_time = std::chrono::milliseconds(250);
  }

  std::string folder = (std::filesystem::temp_directory_path() / "scale-XXXXXX").string();
  if (!mkdtemp(folder.data())) {
    return 2;
  }
  std::cout << fmt::format(
      "{:>8} {:>9} {:>8} {:>6} {:>7} {:>7} {:>10} {:>8} {:>7} {:>7} {:>8} {:>7} {:>7} {:>5} {:>5} {:>6}\n",
      "servers", "cpu s", "mem MB", "fds", "conns", "probes", "list B", "turn ms", "ping50", "ping99",
      "worst", "reqs", "served", "lost", "late", "drain");
  bool passed = true;
  std::vector<ScaleReport> reports;
  for (const int servers : sizes) {
    scenario.servers = servers;
    reports.push_back(reedspindle::faulttest::run_scale_scenario(scenario, folder));
    print(reports.back());
    for (const std::string& violation : reports.back().violations) {
      std::cout << "  " << violation << '\n';
    }
    passed = passed && reports.back().rules_hold();
    for (const Limit& limit : limits_of(reports.back(), reports.front())) {
      if (limit.passed()) {
        continue;
      }
      std::cout << fmt::format("  limit exceeded: {} {:.2f}, allowed: {:.2f}{}\n", limit.name, limit.used,
                               limit.allowed,
                               short_run && limit.depends_on_speed ? " (not enforced in the short run)" : "");
      passed = passed && short_run && limit.depends_on_speed;
    }
  }
  if (!json_path.empty()) {
    Json rows = Json::array();
    for (const ScaleReport& report : reports) {
      rows.push_back(json_of(report));
    }
    std::ofstream(json_path) << rows.dump(1) << '\n';
  }
  if (keep_files) {
    std::cout << "files kept in " << folder << '\n';
  } else {
    std::filesystem::remove_all(folder);
  }
  std::cout << (passed ? "PASSED\n" : "FAILED\n");
  return passed ? 0 : 1;
}
