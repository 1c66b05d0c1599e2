#include "config/instance_config.hpp"

#include <fmt/format.h>

#include <fstream>

#include "settings/settings.hpp"

namespace reedspindle::config {
namespace {

using Json = nlohmann::json;

[[noreturn]] void wrong(const std::string& key, const std::string& expected) {
  throw InvalidInput(fmt::format("{}: {} was expected", key, expected));
}

// A value of the configuration, with the key as messages name it.
struct Key {
  const Json* value = nullptr;  // null: missing
  std::string name;

  [[nodiscard]] Key in(const std::string& inner) const {
    const std::string full = name.empty() ? inner : name + "." + inner;
    if (!value) {
      return {nullptr, full};
    }
    if (!value->is_object()) {
      wrong(name, "an object");
    }
    const auto found = value->find(inner);
    return {found == value->end() || found->is_null() ? nullptr : &*found, full};
  }
  std::vector<Key> rows(const char* expected) const {
    if (!value || !value->is_array()) {
      wrong(name, expected);
    }
    std::vector<Key> rows;
    for (const Json& row : *value) {
      rows.push_back({&row, fmt::format("{}[{}]", name, rows.size())});
    }
    return rows;
  }
  std::string text(const char* expected) const {
    if (!value || !value->is_string() || value->get<std::string>().empty()) {
      wrong(name, expected);
    }
    return value->get<std::string>();
  }
  [[nodiscard]] double number(double other, double least) const {
    if (!value) {
      return other;
    }
    const std::string expected = fmt::format("a number of at least {}", least);
    if (!value->is_number() || value->get<double>() < least) {
      wrong(name, expected);
    }
    return value->get<double>();
  }
};

template <typename Endpoint>
Endpoint endpoint_of(const std::string& text, const std::string& key) {
  const auto endpoint = parse_endpoint(text);
  if (!endpoint) {
    wrong(key, "an address and a port such as 10.0.0.4:6432");
  }
  return {endpoint->address(), endpoint->port()};
}

// The environment's word comes first; the file holds the same and more.
std::string told(const Environment& environment, const char* variable, const Key& key, const char* expected) {
  const char* text = environment(variable);
  if (text && *text) {
    return text;
  }
  if (!key.value) {
    throw InvalidInput(fmt::format("{} and {}: {} was expected in one", variable, key.name, expected));
  }
  return key.text(expected);
}

template <typename T>
std::map<std::string, T, std::less<>> names_of(const Key& list, const char* inner) {
  std::map<std::string, T, std::less<>> names;
  if (!list.value) {
    return names;
  }
  int number = 0;
  for (const Key& row : list.rows("an array")) {
    names[(inner ? row.in(inner) : row).text("a name")] = T{number++};
  }
  return names;
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  asio::error_code fault;
  const bool bracketed = colon > 1 && text.front() == '[' && text[colon - 1] == ']';
  const auto address =
      asio::ip::make_address(bracketed ? text.substr(1, colon - 2) : text.substr(0, colon), fault);
  const std::string port = text.substr(colon + 1);
  if (fault || port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos) {
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
    wrong("ROUTER_CONFIG", "the path of the configuration file");
  }
  std::ifstream file(path);
  if (!file) {
    wrong("ROUTER_CONFIG", fmt::format("a file that can be read, not {},", path));
  }
  // The saved list counts at the start alone, and may be most of the file.
  const Json::parser_callback_t without_list = [](int depth, Json::parse_event_t event, Json& key) {
    return depth != 1 || event != Json::parse_event_t::key || key != "known";
  };
  const Json json = Json::parse(file, mode == ReadMode::reload ? without_list : nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    wrong("ROUTER_CONFIG", "a file that holds a JSON object");
  }
  const Key top{&json, ""};

  InstanceConfig config;
  const char* address = "an address and a port";
  config.name = told(environment, "ROUTER_NAME", top.in("name"), "a name");
  config.listen = endpoint_of<asio::ip::tcp::endpoint>(
      told(environment, "ROUTER_LISTEN", top.in("listen"), address), "listen");
  const Key discovery_at = top.in("discovery");
  config.discovery =
      endpoint_of<asio::ip::tcp::endpoint>(mode == ReadMode::reload && discovery_at.value
                                               ? discovery_at.text(address)
                                               : told(environment, "ROUTER_DISCOVERY", discovery_at, address),
                                           "discovery");

  const Key seed = top.in("seed");
  if (seed.value) {
    const std::string text = seed.text("up to 16 hexadecimal digits");
    if (text.size() > 16 || text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
      wrong(seed.name, "up to 16 hexadecimal digits");
    }
    config.seed = std::stoull(text, nullptr, 16);
  }
  config.max_descriptors = static_cast<std::size_t>(top.in("limits").in("sockets").number(1024, 64));
  config.memory_bytes = static_cast<std::size_t>(top.in("limits").in("memory_mb").number(64, 16)) << 20;
  if (top.in("peer_listen").value) {
    using Endpoint = asio::ip::udp::endpoint;
    config.peers_enabled = true;
    config.peer_listen = endpoint_of<Endpoint>(top.in("peer_listen").text(address), "peer_listen");
    config.peers_all = endpoint_of<Endpoint>(top.in("peers_all").text(address), "peers_all");
    for (const Key& peer : top.in("peers").rows("an array of addresses")) {
      config.peers.push_back(endpoint_of<Endpoint>(peer.text(address), peer.name));
    }
  }
  if (const Key known = top.in("known"); known.value) {
    config.saved_list = known.value->dump();
  }

  const Key settings = top.in("settings");
  if (!settings.value || !settings.value->is_object()) {
    wrong("settings", "an object");
  }
  try {
    config.router_settings = parse_router_settings(*settings.value);
  } catch (const std::exception& fault) {
    throw InvalidInput(fmt::format("settings: {}", fault.what()));
  }
  const Key types = settings.in("requestClasses");
  const auto is = [&](RequestClassId type, const char* key, const char* word) {
    const auto found = config.router_settings.find(fmt::format("op_type.{}.{}", type.number, key));
    return found != config.router_settings.end() && found->second == decltype(found->second)(word);
  };
  for (const auto& [name, type] : names_of<RequestClassId>(types, "name")) {
    config.names.request_classes[name] = {type, is(type, "needs", "write"), is(type, "effect", "tokened")};
  }
  if (config.names.request_classes.empty()) {
    wrong(types.name, "at least one op type");
  }
  for (const Key& type : types.rows("an array")) {
    for (const char* of : {"goalTime", "deadline", "dedupWindow", "importance", "lateValue"}) {
      static_cast<void>(type.in(of).number(0, 0));
    }
  }
  config.names.zones = names_of<ZoneId>(settings.in("zones"), nullptr);
  config.names.kinds = names_of<int>(settings.in("shapes"), nullptr);
  const Key discovery = settings.in("discovery");
  config.polls_endpoints = discovery.value && discovery.text("push or ask") == "ask";

  const Key allowed = settings.in("ceilings");
  config.max_open_requests = static_cast<std::size_t>(allowed.in("maxOpen").number(20000, 1));
  config.connect_timeout = allowed.in("connectTimeout").number(250 * kNsPerMs, 1) / kNsPerMs;
  config.connection_idle = allowed.in("connIdle").number(15000 * kNsPerMs, 1) / kNsPerMs;
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
