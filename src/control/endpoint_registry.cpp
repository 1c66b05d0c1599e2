#include "control/endpoint_registry.hpp"

#include <algorithm>

namespace reedspindle::control {
namespace {

// Of two words on a member the one that takes more away.
ServerState worse(ServerState one, ServerState other) { return std::max(one, other); }
static_assert(ServerState::ready < ServerState::draining && ServerState::draining < ServerState::gone);

}  // namespace

void EndpointRegistry::restore(const RegistryState& kept) {
  revision_ = kept.revision;
  for (const RegistryEntry& entry : kept.members) {
    members_[entry.listed.id] = entry;
  }
}

RegistryState EndpointRegistry::kept() const {
  RegistryState kept{revision_, {}};
  for (const auto& [id, entry] : members_) {
    kept.members.push_back(entry);
  }
  return kept;
}

std::vector<ServerId> EndpointRegistry::take(const RegistryUpdate& list, Millis now) {
  if (list.kind == EndpointListKind::failed) {
    return {};
  }
  const std::map<ServerId, RegistryEntry> before = members_;
  const UpdateDoubt doubt = judge(list, now);
  if (doubt == UpdateDoubt::none) {
    adopt(list);
  } else {
    // A doubtful list takes members' standing away one by one, as far as it names them, and nothing else.
    merge(list, doubt == UpdateDoubt::older);
    ask_at_ = now + bounds_.confirm;
  }
  if (doubt != doubt_) {
    doubted_since_ = now;
  }
  doubt_ = doubt;
  if (doubt_ == UpdateDoubt::none) {
    ask_at_.reset();
  }

  std::vector<ServerId> out;
  for (const auto& [id, entry] : before) {
    const auto found = members_.find(id);
    const ServerState state = found == members_.end() ? ServerState::gone : found->second.listed.state;
    if (entry.listed.state == ServerState::ready && state != ServerState::ready) {
      out.push_back(id);
    }
  }
  return out;
}

// Guards against a list that is wrong as a whole: discovery restarted empty or from an old copy, an agent
// that has lost its peers. A wrong list says the same to everybody at once, while a true one changes by
// steps. An empty list never counts; one that has lost much counts when it is told again after a while; one
// of an older revision counts when nothing newer has come for long. Harm: members that truly left at once,
// unstated, stay handed out until the list is told again (a stated "leaving" or "left" counts at once in
// every case).
UpdateDoubt EndpointRegistry::judge(const RegistryUpdate& list, Millis now) {
  const auto stood = [&](UpdateDoubt doubt, Millis for_ms) {
    return doubt_ == doubt && now - doubted_since_ >= for_ms;
  };
  if (list.revision < revision_) {
    return stood(UpdateDoubt::older, bounds_.older_list) && !list.members.empty() ? UpdateDoubt::none
                                                                                  : UpdateDoubt::older;
  }
  // Changes on top of lists that were not believed: only a whole list tells the rest.
  if (list.kind == EndpointListKind::changes) {
    return doubt_;
  }
  if (list.members.empty()) {
    return known() ? UpdateDoubt::empty : UpdateDoubt::none;
  }
  const auto listed = [&list](const ServerId& id) {
    return std::ranges::any_of(list.members, [&id](const RegistryEntry& e) { return e.listed.id == id; });
  };
  double ready = 0;
  double lost = 0;
  for (const auto& [id, entry] : members_) {
    if (entry.listed.state == ServerState::ready) {
      ++ready, lost += !listed(id);
    }
  }
  if (lost > bounds_.largest_loss * ready && !stood(UpdateDoubt::loss, bounds_.confirm)) {
    return UpdateDoubt::loss;
  }
  return UpdateDoubt::none;
}

void EndpointRegistry::adopt(const RegistryUpdate& list) {
  if (list.kind != EndpointListKind::changes) {
    members_.clear();
  }
  for (const RegistryEntry& entry : list.members) {
    if (entry.listed.state == ServerState::gone) {
      members_.erase(entry.listed.id);
    } else {
      members_[entry.listed.id] = entry;
    }
  }
  revision_ = list.revision;
}

void EndpointRegistry::merge(const RegistryUpdate& list, bool only_worse) {
  for (const RegistryEntry& entry : list.members) {
    const auto known = members_.find(entry.listed.id);
    if (known == members_.end()) {
      if (!only_worse && entry.listed.state != ServerState::gone) {
        members_[entry.listed.id] = entry;
      }
      continue;
    }
    const ServerState state =
        only_worse ? worse(known->second.listed.state, entry.listed.state) : entry.listed.state;
    if (!only_worse) {
      known->second = entry;
    }
    known->second.listed.state = state;
    if (state == ServerState::gone) {
      members_.erase(known);
    }
  }
  if (!only_worse) {
    revision_ = std::max(revision_, list.revision);
  }
}

EndpointListReceived EndpointRegistry::read() const {
  EndpointListReceived read{EndpointListKind::complete, {}};
  for (const auto& [id, entry] : members_) {
    read.servers.push_back(entry.listed);
  }
  return read;
}

void EndpointRegistry::asked(Millis now) {
  if (ask_at_) {
    ask_at_ = now + std::max(bounds_.confirm, 100.0);
  }
}

}  // namespace reedspindle::control
