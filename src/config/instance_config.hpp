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
  std::size_t sockets = 0;  // descriptors that the process may hold
  std::size_t memory = 0;   // bytes that the process may hold
  bool hears_peers = false;
  asio::ip::udp::endpoint peer_listen, peers_all;
  std::vector<asio::ip::udp::endpoint> peers;  // by their numbers
  std::string known;                           // the list as it was had last, as JSON; empty: none
  Settings values;
  NameTable names;
  bool polls_endpoints = false;  // the module says when to ask for the list
  // Limits stated by the settings.
  std::size_t open_requests = 0;
  Millis connect_timeout = 0, connection_idle = 0;

  // Each peer's share of the descriptors. Clients hold at most a third for ops; what is over is for those
  // that ask once and stay. Held besides connections: standard streams, the event queue, its timer and
  // wake-up, signals, the listening socket, discovery, the peers' socket, and a few in passing.
  [[nodiscard]] std::size_t client_connections() const { return sockets * 9 / 16; }
  [[nodiscard]] std::size_t leaving_connections() const {
    return sockets / 16;
  }  // of clients, that are being ended
  [[nodiscard]] std::size_t store_connections() const {
    return sockets - client_connections() - leaving_connections() - 20;
  }
};

// Looks a name up in the environment; null when it is not set.
using Environment = std::function<const char*(const char*)>;

// An address and a port such as 10.0.0.4:6432, or nothing.
std::optional<asio::ip::tcp::endpoint> endpoint_in(const std::string& text);
std::string text_of(const asio::ip::tcp::endpoint& endpoint);

// Read again while running, the file's word on discovery comes before the environment's, which is as old as
// the process.
enum class Reading { at_start, again };

// Throws InvalidInput; its message names the faulty key and what was expected.
InstanceConfig read_instance_config(const Environment& environment, Reading reading = Reading::at_start);
// The keys in which the second differs and which take effect at the next start only.
std::vector<std::string> keys_that_need_restart(const InstanceConfig& running, const InstanceConfig& read);

}  // namespace reedspindle::config
