#include "consistency/state_digest.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <string>

#include "routing/replica_samples.hpp"

namespace reedspindle::consistency {
namespace {

std::uint32_t hash_of(const std::string& text) {
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

void EndpointListState::apply(EndpointListKind kind, std::uint64_t revision,
                              const std::vector<ServerEntry>& members) {
  if (kind == EndpointListKind::failed) {
    return;
  }
  if (kind != EndpointListKind::changes) {
    servers_.clear();
  }
  for (const ServerEntry& entry : members) {
    if (entry.state == ServerState::gone) {
      servers_.erase(entry.id);
    } else {
      servers_[entry.id] = entry;
    }
  }
  revision_ = revision;
  std::string text;
  for (const auto& [member, entry] : servers_) {
    text += fmt::format("{} {} {} {}\n", member.address, entry.group.number,
                        entry.state == ServerState::draining, entry.started_at);
  }
  digest_ = hash_of(text);
}

std::map<std::uint32_t, ServerEntry> EndpointListState::ready() const {
  std::map<std::uint32_t, ServerEntry> ready;
  for (const auto& [member, entry] : servers_) {
    if (entry.state == ServerState::ready) {
      ready[static_cast<std::uint32_t>(hash_address(member))] = entry;
    }
  }
  return ready;
}

std::uint32_t digest_of_primaries(const std::vector<ServerView>& members) {
  std::string text;
  for (const ServerView& member : members) {
    if (member.primary) {
      text += fmt::format("{} {}\n", member.entry.id.address, member.entry.group.number);
    }
  }
  return hash_of(text);
}

std::uint32_t digest_of_view(const std::set<SlotId>& alive, SlotId self) {
  std::set<SlotId> all = alive;
  all.insert(self);
  std::string text;
  for (const SlotId slot : all) {
    text += fmt::format("{}\n", slot.number);
  }
  return hash_of(text);
}

}  // namespace reedspindle::consistency
