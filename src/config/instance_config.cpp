#include "config/instance_config.hpp"

#include <fmt/format.h>

#include <fstream>

#include "settings/settings.hpp"

namespace reedspindle::config {
namespace {

using Json = nlohmann::json;

[[noreturn]] void throw_invalid(const std::string& key, const std::string& expected) {
  throw InvalidInput(fmt::format("{}: expected {}", key, expected));
}

// A value of the configuration and the full key under which error messages name it.
struct Key {
  const Json* value = nullptr;  // null if the key is missing
  std::string name;

  // Returns the value of a key in this object; it is missing if this object is.
  [[nodiscard]] Key child(const std::string& inner) const {
    const std::string full = name.empty() ? inner : name + "." + inner;
    if (!value) {
      return {nullptr, full};
    }
    if (!value->is_object()) {
      throw_invalid(name, "an object");
    }
    const auto found = value->find(inner);
    return {found == value->end() || found->is_null() ? nullptr : &*found, full};
  }
  // Returns the elements of an array.
  std::vector<Key> elements(const char* expected) const {
    if (!value || !value->is_array()) {
      throw_invalid(name, expected);
    }
    std::vector<Key> elements;
    for (const Json& element : *value) {
      elements.push_back({&element, fmt::format("{}[{}]", name, elements.size())});
    }
    return elements;
  }
  // Returns a non-empty string; throws InvalidInput with what was expected otherwise.
  std::string text(const char* expected) const {
    if (!value || !value->is_string() || value->get<std::string>().empty()) {
      throw_invalid(name, expected);
    }
    return value->get<std::string>();
  }
  // Returns a number of at least the minimum, or the default if the key is missing.
  [[nodiscard]] double number(double default_value, double minimum) const {
    if (!value) {
      return default_value;
    }
    const std::string expected = fmt::format("a number of at least {}", minimum);
    if (!value->is_number() || value->get<double>() < minimum) {
      throw_invalid(name, expected);
    }
    return value->get<double>();
  }
};

// Parses an endpoint; throws InvalidInput for the key if the text is none.
template <typename Endpoint>
Endpoint endpoint_from(const std::string& text, const std::string& key) {
  const auto endpoint = parse_endpoint(text);
  if (!endpoint) {
    throw_invalid(key, "an address and a port such as 10.0.0.4:6432");
  }
  return {endpoint->address(), endpoint->port()};
}

// Returns a value that both the environment and the file can set; the environment takes precedence.
std::string environment_or_file(const Environment& environment, const char* variable, const Key& key,
                                const char* expected) {
  const char* text = environment(variable);
  if (text && *text) {
    return text;
  }
  if (!key.value) {
    throw InvalidInput(fmt::format("{} or {}: expected {}", variable, key.name, expected));
  }
  return key.text(expected);
}

// Returns the names in a list, numbered by their positions. The elements are objects that have the name under
// name_key, or, if that is null, the names themselves.
template <typename T>
std::map<std::string, T, std::less<>> parse_names(const Key& list, const char* name_key) {
  std::map<std::string, T, std::less<>> names;
  if (!list.value) {
    return names;
  }
  int number = 0;
  for (const Key& element : list.elements("an array")) {
    names[(name_key ? element.child(name_key) : element).text("a name")] = T{number++};
  }
  return names;
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  asio::error_code error;
  const bool bracketed = colon > 1 && text.front() == '[' && text[colon - 1] == ']';
  const auto address =
      asio::ip::make_address(bracketed ? text.substr(1, colon - 2) : text.substr(0, colon), error);
  const std::string port = text.substr(colon + 1);
  if (error || port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const unsigned long number = std::stoul(port);
  if (number > 65535) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(number));
}

std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint) {
  const std::string address = endpoint.address().to_string();
  return endpoint.address().is_v6() ? fmt::format("[{}]:{}", address, endpoint.port())
                                    : fmt::format("{}:{}", address, endpoint.port());
}

InstanceConfig read_instance_config(const Environment& environment, ReadMode mode) {
  const char* path = environment("ROUTER_CONFIG");
  if (!path || !*path) {
    throw_invalid("ROUTER_CONFIG", "the path of the configuration file");
  }
  std::ifstream file(path);
  if (!file) {
    throw_invalid("ROUTER_CONFIG", fmt::format("a readable file, got {}", path));
  }
  // The saved list is used only at the start and may be most of the file.
  const Json::parser_callback_t without_list = [](int depth, Json::parse_event_t event, Json& key) {
    return depth != 1 || event != Json::parse_event_t::key || key != "known";
  };
  const Json json = Json::parse(file, mode == ReadMode::reload ? without_list : nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    throw_invalid("ROUTER_CONFIG", "the path of a file with a JSON object");
  }
  const Key top{&json, ""};

  InstanceConfig config;
  const char* endpoint_form = "an address and a port";
  config.name = environment_or_file(environment, "ROUTER_NAME", top.child("name"), "a name");
  config.listen = endpoint_from<asio::ip::tcp::endpoint>(
      environment_or_file(environment, "ROUTER_LISTEN", top.child("listen"), endpoint_form), "listen");
  const Key discovery_key = top.child("discovery");
  config.discovery = endpoint_from<asio::ip::tcp::endpoint>(
      mode == ReadMode::reload && discovery_key.value
          ? discovery_key.text(endpoint_form)
          : environment_or_file(environment, "ROUTER_DISCOVERY", discovery_key, endpoint_form),
      "discovery");

  const Key seed = top.child("seed");
  if (seed.value) {
    const std::string text = seed.text("up to 16 hexadecimal digits");
    if (text.size() > 16 || text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
      throw_invalid(seed.name, "up to 16 hexadecimal digits");
    }
    config.seed = std::stoull(text, nullptr, 16);
  }
  config.max_descriptors = static_cast<std::size_t>(top.child("limits").child("sockets").number(1024, 64));
  config.memory_bytes = static_cast<std::size_t>(top.child("limits").child("memory_mb").number(64, 16)) << 20;
  if (top.child("peer_listen").value) {
    using Endpoint = asio::ip::udp::endpoint;
    config.peers_enabled = true;
    config.peer_listen = endpoint_from<Endpoint>(top.child("peer_listen").text(endpoint_form), "peer_listen");
    config.peers_all = endpoint_from<Endpoint>(top.child("peers_all").text(endpoint_form), "peers_all");
    for (const Key& peer : top.child("peers").elements("an array of addresses")) {
      config.peers.push_back(endpoint_from<Endpoint>(peer.text(endpoint_form), peer.name));
    }
  }
  if (const Key known = top.child("known"); known.value) {
    config.saved_list = known.value->dump();
  }

  const Key settings = top.child("settings");
  if (!settings.value || !settings.value->is_object()) {
    throw_invalid("settings", "an object");
  }
  try {
    config.router_settings = parse_router_settings(*settings.value);
  } catch (const std::exception& error) {
    throw InvalidInput(fmt::format("settings: {}", error.what()));
  }
  const Key classes = settings.child("requestClasses");
  const auto setting_is = [&](RequestClassId id, const char* key, const char* expected) {
    const auto found = config.router_settings.find(fmt::format("op_type.{}.{}", id.number, key));
    return found != config.router_settings.end() && found->second == decltype(found->second)(expected);
  };
  for (const auto& [name, id] : parse_names<RequestClassId>(classes, "name")) {
    config.names.request_classes[name] = {id, setting_is(id, "needs", "write"),
                                          setting_is(id, "effect", "tokened"),
                                          setting_is(id, "effect", "retryable")};
  }
  if (config.names.request_classes.empty()) {
    throw_invalid(classes.name, "at least one request class");
  }
  // parse_router_settings does not check that these numbers are not negative.
  for (const Key& request_class : classes.elements("an array")) {
    for (const char* field : {"goalTime", "deadline", "dedupWindow", "importance", "lateValue"}) {
      static_cast<void>(request_class.child(field).number(0, 0));
    }
  }
  config.names.zones = parse_names<ZoneId>(settings.child("zones"), nullptr);
  config.names.kinds = parse_names<int>(settings.child("shapes"), nullptr);
  const Key discovery = settings.child("discovery");
  config.polls_endpoints = discovery.value && discovery.text("push or ask") == "ask";

  const Key limits = settings.child("ceilings");
  config.max_open_requests = static_cast<std::size_t>(limits.child("maxOpen").number(20000, 1));
  config.connect_timeout = limits.child("connectTimeout").number(250 * kNsPerMs, 1) / kNsPerMs;
  config.connection_idle = limits.child("connIdle").number(15000 * kNsPerMs, 1) / kNsPerMs;
  return config;
}

std::vector<std::string> keys_requiring_restart(const InstanceConfig& running, const InstanceConfig& read) {
  std::vector<std::string> keys;
  if (running.name != read.name) {
    keys.push_back("name");
  }
  if (running.listen != read.listen) {
    keys.push_back("listen");
  }
  if (running.max_descriptors != read.max_descriptors || running.memory_bytes != read.memory_bytes) {
    keys.push_back("limits");
  }
  if (running.peers_enabled != read.peers_enabled || running.peer_listen != read.peer_listen ||
      running.peers_all != read.peers_all || running.peers != read.peers) {
    keys.push_back("peers");
  }
  if (running.router_settings != read.router_settings || running.names != read.names) {
    keys.push_back("settings");
  }
  return keys;
}

}  // namespace reedspindle::config
