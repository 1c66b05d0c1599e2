#include "control/options.hpp"

#include <fmt/format.h>

#include <set>

namespace reedspindle::control {
namespace {
using Json = nlohmann::json;
}

Options options_in(const operators::File& file, const std::string& name) {
  std::vector<std::string> errors;
  const auto add_error = [&](const std::string& key, const std::string& text) {
    const auto line = file.lines.find(key);
    errors.push_back(
        fmt::format("{}:{}: {}: {}", name, line == file.lines.end() ? 1 : line->second, key, text));
  };
  if (!file.values.contains("control")) {
    add_error("control", "is missing");
    throw operators::InvalidFile(std::move(errors));
  }
  const Json& control = file.values["control"];
  Options options;
  options.name = control["name"];
  options.listen = control["listen"];
  options.keep = control["keep"];
  options.config.name = options.name;
  const auto discovery = config::parse_endpoint(control["discovery"]);
  if (discovery) {
    options.config.discovery = *discovery;
  } else {
    add_error("control.discovery", "expected a numeric address and a port");
  }
  if (!config::parse_endpoint(options.listen)) {
    add_error("control.listen", "expected a numeric address and a port");
  }
  const Json& stores = file.values["stores"];
  options.config.max_descriptors = control["sockets"];
  options.config.memory_bytes = control["memory"];
  options.config.seed = control["seed"];
  options.config.polls_endpoints = control["discovery-mode"] == "ask";
  options.config.connect_timeout = stores["connect-time-out"];
  options.config.connection_idle = stores["connection-idle"];

  Settings& values = options.config.router_settings;
  values = {{"instances", control["instances"].get<double>()},
            {"tick", 5.0},
            {"list", control["discovery-mode"].get<std::string>()},
            {"allow.probes", 1.0},
            {"allow.connect_time_out", stores["connect-time-out"].get<double>()},
            {"rule.cold_from", stores["cold-from"].get<double>()},
            {"rule.warm_within", stores["warm-within"].get<double>()},
            {"rule.only_draining_binds", stores["only-draining-binds"].get<bool>() ? 1.0 : 0.0}};
  const Json types = file.values.value("op-type", Json::array());
  values["op_types"] = static_cast<double>(types.size());
  std::set<std::string> names;
  for (std::size_t i = 0; i < types.size(); ++i) {
    const Json& type = types[i];
    const std::string prefix = fmt::format("op_type.{}.", i);
    const std::string key = fmt::format("op-type[{}]", i);
    const std::string needs = type["needs"];
    if (!names.insert(type["name"]).second) {
      add_error(key + ".name", "is used by another op-type");
    }
    if ((needs == "bounded") != type.contains("bound")) {
      add_error(key, needs == "bounded" ? "bound is missing" : "bound is allowed only with needs bounded");
    }
    values[prefix + "needs"] = needs;
    values[prefix + "effect"] = type["effect"].get<std::string>();
    values[prefix + "latency_target"] = type["latency-target"].get<double>();
    values[prefix + "op_timeout"] = type["op-timeout"].get<double>();
    values[prefix + "bound"] = type.value("bound", 0.0);
    using Needs = RoutedRequestClass::Needs;
    options.request_classes.push_back({type["name"],
                                       needs == "any"       ? Needs::any
                                       : needs == "bounded" ? Needs::bounded
                                       : needs == "session" ? Needs::session
                                                            : Needs::primary,
                                       type.value("bound", 0.0)});
  }
  const Json& registry = control["roster"];
  options.registry = {registry["confirm"], registry["largest-loss"], registry["older-list"]};
  options.startup_timeout = registry["first-answer"];
  const Json& leases = control["leases"];
  options.leases = {leases["transit"], leases["clocks"], leases["least"]};
  const Json& proxies = control["proxies"];
  options.streams.streams = proxies["most"];
  options.streams.names = proxies["names"];
  options.streams.name_length = proxies["name-length"];
  options.streams.unread = proxies["unread"];
  options.streams.behind = proxies["behind"];
  options.streams.transit = leases["transit"];
  options.keepalive = proxies["keepalive"];
  if (control.contains("tls")) {
    options.tls =
        Tls{control["tls"]["certificate"], control["tls"]["key"], control["tls"].value("proxies", "")};
  }
  options.log = logging::parse_log_options(file.values["log"]);
  if (!errors.empty()) {
    throw operators::InvalidFile(std::move(errors));
  }
  return options;
}

}  // namespace reedspindle::control
