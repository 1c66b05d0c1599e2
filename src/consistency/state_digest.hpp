// What an instance acts on, as sums that compare: equal sums are taken for equal content (32 bits of XXH3:
// two different contents have one sum once in four billion). Endpoints are left out, for each instance may
// reach a member by an address of its own.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "consistency/message.hpp"
#include "routing/router.hpp"

namespace reedspindle::consistency {

// The list as it stands after all that discovery has said.
class EndpointListState {
 public:
  void apply(EndpointListKind kind, std::uint64_t revision, const std::vector<ServerEntry>& members);
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint32_t digest() const { return digest_; }
  // Those that it holds ready, by their marks.
  [[nodiscard]] std::map<std::uint32_t, ServerEntry> ready() const;

 private:
  std::map<ServerId, ServerEntry> servers_;  // who is on it and not gone
  std::uint64_t revision_ = 0;
  std::uint32_t digest_ = 0;
};

std::uint32_t digest_of_primaries(const std::vector<ServerView>& members);
// Who is there, this instance included.
std::uint32_t digest_of_view(const std::set<SlotId>& alive, SlotId self);

}  // namespace reedspindle::consistency
