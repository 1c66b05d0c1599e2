// The endpoint lists that discovery delivers, as plain values.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace reedspindle::net {

// One server of an endpoint list.
struct ListedEndpoint {
  ServerEntry entry;
  std::string zone;  // the name that discovery uses
  asio::ip::tcp::endpoint endpoint;
  bool operator==(const ListedEndpoint&) const = default;
};

// An endpoint list, or one part of it. A long list is delivered in several parts of the kind `changes`; its
// revision is complete with the last of them.
struct EndpointList {
  EndpointListKind kind = EndpointListKind::complete;
  long long revision = 0;  // from discovery
  std::vector<ListedEndpoint> servers;
  bool last = true;  // no more parts of this list follow
  // The revision of the list that names these servers, if it is not complete yet.
  std::optional<long long> partial_revision = std::nullopt;
};

}  // namespace reedspindle::net
