// Only the groups in which something has happened are processed, so that the cost of a batch does not depend
// on the number of groups.
#include "routing/server_registry.hpp"

namespace reedspindle::routing {

void ServerRegistry::remove(Server& server) {
  std::erase(server.group->servers, &server);
  servers_by_address_hash_.remove(server.address_hash, server);
  const ServerId id = server.entry.id;
  servers_.erase(id);
}

Group& ServerRegistry::mark_changed(GroupId id) {
  Group& group = groups_[id];
  group.id = id;
  if (!std::exchange(group.changed, true)) {
    changed_.push_back(&group);
  }
  return group;
}

Group& ServerRegistry::mark_changed(const Server& server) {
  Group& group = *server.group;
  if (!std::exchange(group.changed, true)) {
    changed_.push_back(&group);
  }
  return group;
}

void ServerRegistry::mark_all_changed() {
  for (const auto& [id, group] : groups_) {
    mark_changed(id);
  }
}

}  // namespace reedspindle::routing
