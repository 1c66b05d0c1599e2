// Digests of the state by which an instance routes: the low 32 bits of an XXH3 hash. Equal digests are
// treated as equal content. Network endpoints are not part of a digest, because instances may reach the same
// server through different addresses.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "consistency/message.hpp"
#include "routing/router.hpp"

namespace reedspindle::consistency {

// Accumulates the endpoint list from the updates of discovery.
class EndpointListState {
 public:
  // Applies one update, incremental or complete. A failed request to discovery changes nothing.
  void apply(EndpointListKind kind, std::uint64_t revision, const std::vector<ServerEntry>& members);
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint32_t digest() const { return digest_; }
  // Returns the servers in state ready, keyed by mark.
  [[nodiscard]] std::map<std::uint32_t, ServerEntry> ready() const;

 private:
  std::map<ServerId, ServerEntry> servers_;  // without those in state gone
  std::uint64_t revision_ = 0;
  std::uint32_t digest_ = 0;
};

// Returns the digest of the addresses and groups of all primaries.
std::uint32_t digest_of_primaries(const std::vector<ServerView>& members);
// Returns the digest of the set of alive peers, with this instance added to it.
std::uint32_t digest_of_view(const std::set<SlotId>& alive, SlotId self);

}  // namespace reedspindle::consistency
