// What discovery says of the servers, as values.
#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace reedspindle::net {

struct ListedEndpoint {
  ServerEntry entry;
  std::string zone;  // as discovery names it
  asio::ip::tcp::endpoint endpoint;
  bool operator==(const ListedEndpoint&) const = default;
};

// A list as it is handed on. A long one comes as several of the kind changes, of which only the last counts
// as the whole of its revision.
struct EndpointList {
  EndpointListKind kind = EndpointListKind::complete;
  long long revision = 0;
  std::vector<ListedEndpoint> servers;
  bool last = true;
};

}  // namespace reedspindle::net
