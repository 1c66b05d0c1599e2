// Reads the settings of the routing decision module.
#include "routing/router_options.hpp"

#include <algorithm>
#include <initializer_list>
#include <string>

#include "routing/settings_reader.hpp"

namespace reedspindle::routing {
namespace {

// A class is long-running if its objective exceeds the median of all classes by this factor, which separates
// reports from look-ups.
constexpr double kLongRunningFactor = 5;

// Returns the index of a word in a list, or the length of the list if it is not found.
long index_of(const std::string& word, std::initializer_list<const char*> words) {
  return std::ranges::find(words, word) - words.begin();
}

RequestClass read_request_class(const SettingsReader& reader, int index) {
  const std::string prefix = "op_type." + std::to_string(index) + ".";
  RequestClass result;
  result.retry_safety =
      static_cast<RetrySafety>(index_of(reader.word(prefix + "effect", ""), {"retryable", "tokened"}));
  result.consistency = static_cast<Consistency>(
      index_of(reader.word(prefix + "needs", ""), {"any", "bounded", "session", "current"}));
  result.token_valid_in_group_only = reader.word(prefix + "token_scope", "group") != "all";
  result.latency_objective = reader.number(prefix + "latency_target", 1000);
  result.request_timeout = reader.number(prefix + "op_timeout");
  result.idempotency_window = reader.number(prefix + "token_memory");
  result.staleness_bound = reader.number(prefix + "bound");
  result.late_value = reader.number(prefix + "late_value");
  result.value = reader.number(prefix + "value", 1);
  return result;
}

std::vector<RequestClass> read_request_classes(const SettingsReader& reader) {
  std::vector<RequestClass> classes;
  std::vector<Millis> objectives;
  const int count = static_cast<int>(reader.number("op_types"));
  for (int index = 0; index < count; ++index) {
    classes.push_back(read_request_class(reader, index));
    objectives.push_back(classes.back().latency_objective);
  }
  std::ranges::sort(objectives);
  for (RequestClass& request_class : classes) {
    const Millis median = objectives[objectives.size() / 2];
    request_class.long_running = request_class.latency_objective > kLongRunningFactor * median;
  }
  return classes;
}

void read_permissions(const SettingsReader& reader, RouterOptions& options) {
  options.may_probe = reader.flag("allow.probes");
  options.may_gossip = options.instances > 1 && reader.flag("allow.peers");
  options.may_cancel = reader.flag("allow.call_off");
  options.remember_tokens = reader.word("tokens", "") == "remembered";
  options.servers_check_staleness = reader.word("checks", "none") != "none";
  options.gone_is_excluded = reader.number("rule.only_draining_binds") <= 0;
  options.poll_endpoints = reader.word("list", "push") == "ask";
}

}  // namespace

bool RequestClass::primary_only() const {
  return consistency == Consistency::write || consistency == Consistency::current;
}

double RequestClass::value_density() const { return value / std::max(1.0, latency_objective); }

RouterOptions parse_router_options(const Settings& settings) {
  const SettingsReader reader(settings);
  RouterOptions options;
  options.request_classes = read_request_classes(reader);
  for (const RequestClass& request_class : options.request_classes) {
    if (request_class.primary_only()) {
      options.highest_primary_density =
          std::max(options.highest_primary_density, request_class.value_density());
    }
  }
  options.instances = std::max(1.0, reader.number("instances", 1));
  options.rank = static_cast<int>(reader.number("rank"));
  options.zone_number = reader.number("zone");
  options.cross_zone_price = reader.number("price.cross_zone");
  read_permissions(reader, options);
  options.poll_within = reader.number("rule.ask_within", 10000);
  options.connection_idle = reader.number("allow.connection_idle");
  options.probe_timeout = reader.number("allow.connect_time_out", 250);
  options.tick = reader.number("tick", 5);
  options.retry_after =
      reader.number("allow.longest_come_back") * (reader.flag("allow.come_back") ? 1.0 : 0.0);
  options.slow_start_window = reader.number("rule.warm_within");
  options.slow_start_minimum = reader.number("rule.cold_from");
  options.slow_start_multiple = reader.number("rule.fall_multiple", 2);
  options.max_attempts = reader.number("allow.sends_per_op", 1);
  options.retry_budget_ratio = reader.number("resends.share");
  options.retry_budget_burst = std::max(1.0, reader.number("resends.burst", 100) / options.instances);
  return options;
}

}  // namespace reedspindle::routing
