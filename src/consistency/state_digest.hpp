// Digests of the state by which an instance routes: 32 bits of XXH3. Equal digests are taken for equal
// content. Endpoints are left out, for each instance may reach a server by another address.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "consistency/message.hpp"
#include "routing/router.hpp"

namespace reedspindle::consistency {

// The endpoint list as discovery has announced it so far.
class EndpointListState {
 public:
  void apply(EndpointListKind kind, std::uint64_t revision, const std::vector<ServerEntry>& members);
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint32_t digest() const { return digest_; }
  // The servers in state ready, by their marks.
  [[nodiscard]] std::map<std::uint32_t, ServerEntry> ready() const;

 private:
  std::map<ServerId, ServerEntry> servers_;  // those that are not gone
  std::uint64_t revision_ = 0;
  std::uint32_t digest_ = 0;
};

std::uint32_t digest_of_primaries(const std::vector<ServerView>& members);
// Of the membership's view, this instance included.
std::uint32_t digest_of_view(const std::set<SlotId>& alive, SlotId self);

}  // namespace reedspindle::consistency
