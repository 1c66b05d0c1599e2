// What a front is told, by its environment and its configuration file, at start and at each SIGHUP: read,
// checked and given defaults here and nowhere else.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::config {

// An op type as statements name it, and what its statements look like.
struct NamedRequestClass {
  RequestClassId id;
  bool writes = false, tokened = false;
  bool operator==(const NamedRequestClass&) const = default;
};

// Names that the settings give to what the module knows by number.
struct NameTable {
  std::map<std::string, NamedRequestClass, std::less<>> request_classes;
  std::map<std::string, ZoneId, std::less<>> zones;
  std::map<std::string, int, std::less<>> kinds;
  bool operator==(const NameTable&) const = default;
};

struct InstanceConfig {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 0;  // descriptors that the process may hold
  std::size_t memory_bytes = 0;     // bytes that the process may hold
  bool peers_enabled = false;
  asio::ip::udp::endpoint peer_listen, peers_all;
  std::vector<asio::ip::udp::endpoint> peers;  // by their numbers
  std::string saved_list;                      // the list as it was had last, as JSON; empty: none
  Settings router_settings;
  NameTable names;
  bool polls_endpoints = false;  // the module says when to ask for the list
  // Limits stated by the settings.
  std::size_t max_open_requests = 0;
  Millis connect_timeout = 0, connection_idle = 0;

  // Each peer's share of the descriptors. Clients hold at most a third for ops; what is over is for those
  // that ask once and stay. Held besides connections: standard streams, the event queue, its timer and
  // wake-up, signals, the listening socket, discovery, the peers' socket, and a few in passing.
  [[nodiscard]] std::size_t client_connections() const { return max_descriptors * 9 / 16; }
  [[nodiscard]] std::size_t closing_client_connections() const {
    return max_descriptors / 16;
  }  // of clients, that are being ended
  [[nodiscard]] std::size_t server_connections() const {
    return max_descriptors - client_connections() - closing_client_connections() - 20;
  }
};

// Looks a name up in the environment; null when it is not set.
using Environment = std::function<const char*(const char*)>;

// An address and a port such as 10.0.0.4:6432, or nothing.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);
std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint);

// Read again while running, the file's word on discovery comes before the environment's, which is as old as
// the process.
enum class ReadMode { at_start, reload };

// Throws InvalidInput; its message names the faulty key and what was expected.
InstanceConfig read_instance_config(const Environment& environment, ReadMode mode = ReadMode::at_start);
// The keys in which the second differs and which take effect at the next start only.
std::vector<std::string> keys_requiring_restart(const InstanceConfig& running, const InstanceConfig& read);

}  // namespace reedspindle::config
