// Reads an instance's configuration from its environment and its configuration file, at start and at each
// SIGHUP. All values are checked and all defaults are applied here.
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

// A request class under its name in statements, and the form that its statements have.
struct NamedRequestClass {
  RequestClassId id;
  // Whether its statements are writes, and whether they carry an idempotency key.
  bool writes = false, tokened = false;
  bool retryable = false;  // they may run several times
  bool operator==(const NamedRequestClass&) const = default;
};

// The names in the settings of what the router knows by number.
struct NameTable {
  std::map<std::string, NamedRequestClass, std::less<>> request_classes;
  std::map<std::string, ZoneId, std::less<>> zones;
  std::map<std::string, int, std::less<>> kinds;  // of servers
  bool operator==(const NameTable&) const = default;
};

struct InstanceConfig {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;           // of all random draws
  std::size_t max_descriptors = 0;  // of the process
  std::size_t memory_bytes = 0;     // memory limit of the process
  bool peers_enabled = false;       // messages are exchanged with peers; the next three are set then
  asio::ip::udp::endpoint peer_listen, peers_all;
  std::vector<asio::ip::udp::endpoint> peers;  // by their numbers
  std::string saved_list;                      // the last known endpoint list as JSON; empty if none
  Settings router_settings;
  NameTable names;
  bool polls_endpoints = false;  // the router decides when the endpoint list is polled
  // Limits from the settings.
  std::size_t max_open_requests = 0;
  Millis connect_timeout = 0, connection_idle = 0;

  // Division of the descriptors. Requests of clients use at most a third of them; the rest of the clients'
  // part is for clients that send one request and then keep their connection. The 20 descriptors that are
  // subtracted are for standard streams, the event queue, its timer and wakeup, signals, the listening
  // socket, discovery, the peers' socket and a few that are open for a short time.
  [[nodiscard]] std::size_t client_connections() const { return max_descriptors * 9 / 16; }
  // Connections to clients that are being closed.
  [[nodiscard]] std::size_t closing_client_connections() const { return max_descriptors / 16; }
  [[nodiscard]] std::size_t server_connections() const {
    return max_descriptors - client_connections() - closing_client_connections() - 20;
  }
};

// Looks up a variable of the environment; null if it is not set.
using Environment = std::function<const char*(const char*)>;

// Parses an address and a port such as 10.0.0.4:6432 or [::1]:6432; nullopt for any other text.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);
std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint);

// At a reload the file's address of discovery takes precedence over the environment's, since the environment
// cannot change after the start of the process. At the start it is the other way round.
enum class ReadMode { at_start, reload };

// Reads and checks the configuration. Throws InvalidInput, whose message names the faulty key and what was
// expected.
InstanceConfig read_instance_config(const Environment& environment, ReadMode mode = ReadMode::at_start);
// Returns the keys that differ in the second configuration and take effect only at the next start.
std::vector<std::string> keys_requiring_restart(const InstanceConfig& running, const InstanceConfig& read);

}  // namespace reedspindle::config
