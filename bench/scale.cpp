// What one front costs among ever more servers, with the same traffic: a row a size, each beside the usual
// size of the same run and held against the limits of the standing page. Exit code 1: a rule broken or a
// limit passed.
#include "faulttest/scale.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using reedspindle::faulttest::ScaleCost;
using reedspindle::faulttest::ScaleDay;

namespace {

using Json = nlohmann::json;

struct Limit {
  const char* name;
  double used, allowed;
  bool timed;  // depends on the machine's speed: not held in the short form
  [[nodiscard]] bool kept() const { return used <= allowed; }
};

// The six limits of the standing page, the fleet bench's "More than these days".
std::vector<Limit> limits_of(const ScaleCost& cost, const ScaleCost& usual) {
  const double thousands = cost.servers / 1000.0;
  return {
      {"processor s", cost.processor_seconds, 1.4 * usual.processor_seconds + 0.02 + 0.03 * thousands, true},
      {"memory MB", cost.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8 + 4 * thousands, true},
      {"descriptors", static_cast<double>(cost.descriptors),
       2.0 * static_cast<double>(usual.descriptors) + 40, false},
      {"connections", static_cast<double>(cost.connections),
       2.5 * static_cast<double>(usual.connections) + 40, false},
      {"list bytes", static_cast<double>(cost.list_bytes),
       2.0 * static_cast<double>(usual.list_bytes) + 64e3 + 500e3 * thousands, false},
      {"not served", 1 - cost.served_share(), 1 - 0.85 * usual.served_share(), false}};
}

void print(const ScaleCost& cost) {
  std::cout << fmt::format(
      "{:>8} {:>9.2f} {:>8.1f} {:>6} {:>7} {:>7} {:>10} {:>8.1f} {:>7.2f} {:>7.2f} {:>8.1f} {:>7} {:>7.3f} "
      "{:>5} "
      "{:>5} {:>6}\n",
      cost.servers, cost.processor_seconds, cost.peak_memory_mb, cost.descriptors, cost.connections,
      cost.probes, cost.list_bytes, cost.longest_turn_ms, cost.ping_median_ms, cost.ping_p99_ms,
      cost.ping_worst_ms, cost.asked, cost.served_share(), cost.lost, cost.late_attempts,
      cost.drained_attempts);
}

Json json_of(const ScaleCost& cost) {
  return {{"servers", cost.servers},
          {"processor_seconds", cost.processor_seconds},
          {"peak_memory_mb", cost.peak_memory_mb},
          {"descriptors", cost.descriptors},
          {"connections", cost.connections},
          {"probes", cost.probes},
          {"list_bytes", cost.list_bytes},
          {"longest_turn_ms", cost.longest_turn_ms},
          {"ping_ms",
           {{"median", cost.ping_median_ms}, {"p99", cost.ping_p99_ms}, {"worst", cost.ping_worst_ms}}},
          {"asked", cost.asked},
          {"served_share", cost.served_share()},
          {"refused", cost.refused},
          {"lost", cost.lost},
          {"late_attempts", cost.late_attempts},
          {"drained_attempts", cost.drained_attempts},
          {"crashed", cost.crashed}};
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("One front among ever more servers");
  ScaleDay day;
  std::vector<int> sizes = {200, 800, 3200};
  std::string json_path;
  bool short_form = false;
  bool keep = false;
  app.add_option("--program", day.program, "the front's program")->required()->check(CLI::ExistingFile);
  app.add_option("--servers", sizes, "sizes; the first is the usual one")->delimiter(',');
  app.add_option("--fronts", day.fronts, "of the fleet");
  app.add_option("--cores", day.cores, "share of a core that the front gets")->check(CLI::Range(0.05, 1.0));
  app.add_flag("--indented", day.indented, "discovery indents its lists");
  app.add_option("--json", json_path, "where the figures go as JSON");
  app.add_flag("--short", short_form, "a shorter day; counts and rules are held, times are not");
  app.add_flag("--keep", keep, "keep the front's files and its log with every request, and say where");
  CLI11_PARSE(app, count, words);
  day.log_level = keep ? "debug" : "info";
  if (short_form) {
    day.rest = std::chrono::milliseconds(800);
    day.step = std::chrono::milliseconds(250);
  }

  std::string folder = (std::filesystem::temp_directory_path() / "scale-XXXXXX").string();
  if (!mkdtemp(folder.data())) {
    return 2;
  }
  std::cout << fmt::format(
      "{:>8} {:>9} {:>8} {:>6} {:>7} {:>7} {:>10} {:>8} {:>7} {:>7} {:>8} {:>7} {:>7} {:>5} {:>5} {:>6}\n",
      "servers", "cpu s", "mem MB", "fds", "conns", "probes", "list B", "turn ms", "ping50", "ping99",
      "worst", "asked", "served", "lost", "late", "drain");
  bool kept = true;
  std::vector<ScaleCost> costs;
  for (const int servers : sizes) {
    day.servers = servers;
    costs.push_back(reedspindle::faulttest::play_scale_day(day, folder));
    print(costs.back());
    for (const std::string& line : costs.back().breaks) {
      std::cout << "  " << line << '\n';
    }
    kept = kept && costs.back().rules_kept();
    for (const Limit& limit : limits_of(costs.back(), costs.front())) {
      if (limit.kept()) {
        continue;
      }
      std::cout << fmt::format("  limit passed: {} {:.2f} over {:.2f}{}\n", limit.name, limit.used,
                               limit.allowed,
                               short_form && limit.timed ? " (not held in the short form)" : "");
      kept = kept && short_form && limit.timed;
    }
  }
  if (!json_path.empty()) {
    Json rows = Json::array();
    for (const ScaleCost& cost : costs) {
      rows.push_back(json_of(cost));
    }
    std::ofstream(json_path) << rows.dump(1) << '\n';
  }
  if (keep) {
    std::cout << "kept in " << folder << '\n';
  } else {
    std::filesystem::remove_all(folder);
  }
  std::cout << (kept ? "kept\n" : "NOT KEPT\n");
  return kept ? 0 : 1;
}
