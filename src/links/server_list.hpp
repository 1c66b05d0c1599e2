// What discovery says of the servers, as values.
#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "logic.hpp"

namespace reedspindle::links {

struct ListedServer {
  ListedMember entry;
  std::string zone;  // as discovery names it
  asio::ip::tcp::endpoint endpoint;
  bool operator==(const ListedServer&) const = default;
};

// A list as it is handed on. A long one comes as several of the kind changes, of which only the last counts
// as the whole of its revision.
struct ServerList {
  ListKind kind = ListKind::complete;
  long long revision = 0;
  std::vector<ListedServer> servers;
  bool last = true;
};

}  // namespace reedspindle::links
