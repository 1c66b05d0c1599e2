#include "settings/settings.hpp"

#include <map>
#include <vector>

namespace reedspindle {
namespace {

using Json = nlohmann::json;

// Returns the router's term for a value of the settings object; values without one keep their text.
std::string router_term_of(const std::string& value) {
  static const std::map<std::string, std::string> terms = {
      {"repeatable", "retryable"}, {"by_key", "tokened"},     {"once", "non-retryable"}, {"update", "write"},
      {"latest", "current"},       {"own_writes", "session"}, {"recent", "bounded"},     {"loose", "any"},
      {"cell", "group"},           {"reject", "turns_away"},  {"hold", "waits"},         {"silent", "none"},
      {"client", "carried"},       {"router", "remembered"},  {"initial", "start"},      {"delayed", "late"},
      {"pull", "probes"},          {"piggyback", "answers"}};
  const auto found = terms.find(value);
  return found == terms.end() ? value : found->second;
}

// Sets a setting from a string, number or boolean; ignores other values.
void set_value(Settings& values, const std::string& name, const Json& value, double per_unit) {
  if (value.is_string()) {
    values[name] = router_term_of(value.get<std::string>());
  } else if (value.is_number() || value.is_boolean()) {
    values[name] = number_or_default(value, 0) / per_unit;
  }
}

// A key of the settings object with dots between levels, the router's name for it, and what its value is
// divided by.
struct Setting {
  const char* key;
  const char* name;
  double per_unit;
};

}  // namespace

const Json& element_or_null(const Json& list, std::size_t index) {
  static const Json null;
  return index < list.size() ? list[index] : null;
}

double number_or_default(const Json& value, double default_value) {
  if (value.is_null()) {
    return default_value;
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? 1 : 0;
  }
  if (!value.is_number()) {
    throw InvalidInput("expected a number, got " + value.dump());
  }
  return value.get<double>();
}

std::string string_or_default(const Json& value, const std::string& default_value) {
  if (value.is_null()) {
    return default_value;
  }
  if (!value.is_string()) {
    throw InvalidInput("expected a string, got " + value.dump());
  }
  return value.get<std::string>();
}

Settings parse_router_settings(const Json& settings) {
  static const std::vector<Setting> general = {
      {"az", "zone", 1},
      {"nInstances", "instances", 1},
      {"rank", "rank", 1},
      {"quantum", "tick", kNsPerMs},
      {"discovery", "list", 1},
      {"weights", "sizes", 1},
      {"ceilings.cancel", "allow.call_off", 1},
      {"ceilings.connIdle", "allow.connection_idle", kNsPerMs},
      {"ceilings.connectTimeout", "allow.connect_time_out", kNsPerMs},
      {"ceilings.maxAttempts", "allow.sends_per_op", 1},
      {"ceilings.maxOpen", "allow.open_ops", 1},
      {"ceilings.maxRetryAfter", "allow.longest_come_back", kNsPerMs},
      {"ceilings.mayTell", "allow.peers", 1},
      {"ceilings.probes", "allow.probes", 1},
      {"ceilings.retryAfter", "allow.come_back", 1},
      {"ceilings.secondCopies", "allow.second_copies", 1},
      {"ceilings.streamsPerConn", "allow.sends_per_connection", 1},
      {"costs.crossZone", "price.cross_zone", 1},
      {"costs.waste", "price.waste", 1},
      {"costs.probe", "price.probe", 1},
      {"costs.peer", "price.peer", 1},
      {"costs.lateFail", "price.late_fail", 1},
      {"familyInfo.behind", "checks", 1},
      {"familyInfo.commitWaits", "commit_waits", 1},
      {"familyInfo.positions", "answers_carry_positions", 1},
      {"familyInfo.roleListed", "list_role", 1},
      {"familyInfo.tokens", "tokens", 1},
      {"familyInfo.wait", "check_wait", kNsPerMs},
      {"report.how", "report", 1},
      {"rules.graceToAnswer", "rule.answer_slack", kNsPerMs},
      {"rules.askWithin", "rule.ask_within", kNsPerMs},
      {"rules.coldFrom", "rule.cold_from", 1},
      {"rules.warmWithin", "rule.warm_within", kNsPerMs},
      {"rules.stopSendingWithin", "rule.drain_grace", kNsPerMs},
      {"rules.fallMultiple", "rule.fall_multiple", 1},
      {"rules.fall", "rule.fall", kNsPerMs},
      {"rules.droppedStayOpen", "rule.only_draining_binds", 1}};
  static const std::vector<Setting> per_class = {{"aimStretch", "target_stretch", 1},
                                                 {"goalTime", "latency_target", kNsPerMs},
                                                 {"deadline", "op_timeout", kNsPerMs},
                                                 {"effect", "effect", 1},
                                                 {"keyScope", "token_scope", 1},
                                                 {"lateValue", "late_value", 1},
                                                 {"dedupWindow", "token_memory", kNsPerMs},
                                                 {"importance", "value", 1}};

  Settings values;
  if (!settings.is_object()) {
    throw InvalidInput("settings: expected an object");
  }
  for (const Setting& setting : general) {
    const Json* at = &settings;
    std::string path = setting.key;
    for (std::size_t dot; at && (dot = path.find('.')) != std::string::npos; path = path.substr(dot + 1)) {
      const auto inner = at->find(path.substr(0, dot));
      at = inner != at->end() && inner->is_object() ? &*inner : nullptr;
    }
    if (at && at->contains(path)) {
      set_value(values, setting.name, (*at)[path], setting.per_unit);
    }
  }
  const Json classes = settings.value("requestClasses", Json::array());
  const Json family = settings.contains("familyInfo") && settings["familyInfo"].is_object()
                          ? settings["familyInfo"]
                          : Json::object();
  const Json needs = family.value("needsByClass", Json::array());
  const Json bounds = family.value("oldestData", Json::array());
  values["op_types"] = static_cast<double>(classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string prefix = "op_type." + std::to_string(i) + ".";
    for (const Setting& setting : per_class) {
      if (classes[i].contains(setting.key)) {
        set_value(values, prefix + setting.name, classes[i][setting.key], setting.per_unit);
      }
    }
    set_value(values, prefix + "needs", element_or_null(needs, i), 1);
    set_value(values, prefix + "bound", element_or_null(bounds, i), kNsPerMs);
  }
  return values;
}

}  // namespace reedspindle
