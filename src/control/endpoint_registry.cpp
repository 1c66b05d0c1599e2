#include "control/endpoint_registry.hpp"

#include <algorithm>

namespace reedspindle::control {
namespace {

// Returns the state that is nearer to removal: gone before draining, draining before ready.
ServerState worse(ServerState one, ServerState other) { return std::max(one, other); }
static_assert(ServerState::ready < ServerState::draining && ServerState::draining < ServerState::gone);

}  // namespace

void EndpointRegistry::restore(const RegistryState& state) {
  revision_ = state.revision;
  for (const RegistryEntry& entry : state.members) {
    members_[entry.listed.id] = entry;
  }
}

RegistryState EndpointRegistry::persisted_state() const {
  RegistryState state{revision_, {}};
  for (const auto& [id, entry] : members_) {
    state.members.push_back(entry);
  }
  return state;
}

std::vector<ServerId> EndpointRegistry::apply_update(const RegistryUpdate& list, Millis now) {
  if (list.kind == EndpointListKind::failed) {
    return {};
  }
  const std::map<ServerId, RegistryEntry> before = members_;
  const UpdateVerdict verdict = check_update(list, now);
  if (verdict == UpdateVerdict::accepted) {
    apply_accepted(list);
  } else {
    // A suspect list changes only the members that it names. One of an older revision may only mark them as
    // draining or gone.
    apply_suspect(list, verdict == UpdateVerdict::stale_revision);
    poll_at_ = now + bounds_.confirm_after;
  }
  if (verdict != verdict_) {
    verdict_since_ = now;
  }
  verdict_ = verdict;
  if (verdict_ == UpdateVerdict::accepted) {
    poll_at_.reset();
  }

  std::vector<ServerId> removed;
  for (const auto& [id, entry] : before) {
    const auto found = members_.find(id);
    const ServerState state = found == members_.end() ? ServerState::gone : found->second.listed.state;
    if (entry.listed.state == ServerState::ready && state != ServerState::ready) {
      removed.push_back(id);
    }
  }
  return removed;
}

// Detects lists that are wrong as a whole, as when discovery has restarted empty or from an old copy, or when
// a discovery agent has lost its peers. An empty list is not accepted while servers are known. A list that
// removes many members is accepted only if it is repeated after confirm_after, and a list of an older
// revision only if no newer one has arrived for stale_revision_grace. The cost is that many members that were
// really removed at once, and are absent from the list without a stated state, are kept until the list is
// repeated. A stated "leaving" or "left" always takes effect at once.
UpdateVerdict EndpointRegistry::check_update(const RegistryUpdate& list, Millis now) {
  const auto has_lasted = [&](UpdateVerdict verdict, Millis duration) {
    return verdict_ == verdict && now - verdict_since_ >= duration;
  };
  if (list.revision < revision_) {
    return has_lasted(UpdateVerdict::stale_revision, bounds_.stale_revision_grace) && !list.members.empty()
               ? UpdateVerdict::accepted
               : UpdateVerdict::stale_revision;
  }
  // Incremental changes keep the verdict on the list that they build on: only a complete list can replace it.
  if (list.kind == EndpointListKind::changes) {
    return verdict_;
  }
  if (list.members.empty()) {
    return known() ? UpdateVerdict::empty : UpdateVerdict::accepted;
  }
  const auto listed = [&list](const ServerId& id) {
    return std::ranges::any_of(list.members, [&id](const RegistryEntry& e) { return e.listed.id == id; });
  };
  double ready = 0;
  double lost = 0;
  for (const auto& [id, entry] : members_) {
    if (entry.listed.state == ServerState::ready) {
      ++ready;
      lost += listed(id) ? 0 : 1;
    }
  }
  if (lost > bounds_.max_removed_fraction * ready &&
      !has_lasted(UpdateVerdict::too_many_removed, bounds_.confirm_after)) {
    return UpdateVerdict::too_many_removed;
  }
  return UpdateVerdict::accepted;
}

void EndpointRegistry::apply_accepted(const RegistryUpdate& list) {
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

void EndpointRegistry::apply_suspect(const RegistryUpdate& list, bool only_worse) {
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

EndpointListReceived EndpointRegistry::endpoint_list() const {
  EndpointListReceived list{EndpointListKind::complete, {}};
  for (const auto& [id, entry] : members_) {
    list.servers.push_back(entry.listed);
  }
  return list;
}

void EndpointRegistry::on_poll_sent(Millis now) {
  if (poll_at_) {
    poll_at_ = now + std::max(bounds_.confirm_after, 100.0);
  }
}

}  // namespace reedspindle::control
