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

#include "logic.hpp"

namespace reedspindle::links {

// An op type as statements name it, and what its statements look like.
struct NamedType {
  OpTypeId id;
  bool writes = false, tokened = false;
  bool operator==(const NamedType&) const = default;
};

// Names that the settings give to what the module knows by number.
struct Catalogue {
  std::map<std::string, NamedType, std::less<>> op_types;
  std::map<std::string, ZoneId, std::less<>> zones;
  std::map<std::string, int, std::less<>> kinds;
  bool operator==(const Catalogue&) const = default;
};

struct Placement {
  std::string name;
  asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;  // descriptors that the process may hold
  std::size_t memory = 0;   // bytes that the process may hold
  bool hears_peers = false;
  asio::ip::udp::endpoint peer_listen, peers_all;
  std::vector<asio::ip::udp::endpoint> peers;  // by their numbers
  std::string known;                           // the list as it was had last, as JSON; empty: none
  Values values;
  Catalogue catalogue;
  bool list_is_asked = false;  // the module says when to ask for the list
  // Limits stated by the settings.
  std::size_t open_ops = 0;
  Millis connect_time_out = 0, connection_idle = 0;

  // Each peer's share of the descriptors. Clients hold at most a third for ops; what is over is for those
  // that ask once and stay. Held besides connections: standard streams, the event queue, its timer and
  // wake-up, signals, the listening socket, discovery, the peers' socket, and a few in passing.
  std::size_t client_connections() const { return sockets * 9 / 16; }
  std::size_t leaving_connections() const { return sockets / 16; }  // of clients, that are being ended
  std::size_t store_connections() const {
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

// Throws Malformed; its message names the faulty key and what was expected.
Placement read_placement(const Environment& environment, Reading reading = Reading::at_start);
// The keys in which the second differs and which take effect at the next start only.
std::vector<std::string> kept_until_restart(const Placement& running, const Placement& read);

}  // namespace reedspindle::links
