// All servers and groups that this instance knows, and which groups have changed in the batch.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "routing/address_hash_index.hpp"
#include "routing/replica_state.hpp"

namespace reedspindle::routing {

// Owns the servers and groups: a server stays where it is in memory until remove(), a group for good.
class ServerRegistry {
 public:
  [[nodiscard]] std::map<ServerId, Server>& servers() { return servers_; }
  [[nodiscard]] const std::map<ServerId, Server>& servers() const { return servers_; }
  [[nodiscard]] std::map<GroupId, Group>& groups() { return groups_; }
  [[nodiscard]] const std::map<GroupId, Group>& groups() const { return groups_; }

  // Null where no server, or more than one, has the address hash.
  [[nodiscard]] Server* find_by_address_hash(long address_hash) {
    return servers_by_address_hash_.find(address_hash);
  }

  // Of a newly listed server, once its address hash is set.
  void index_address_hash(Server& server) { servers_by_address_hash_.add(server.address_hash, server); }

  // The server is destroyed; nothing may refer to it any more.
  void remove(Server& server);

  // The probes of the group are to be decided anew in this batch; it is created where it is not known.
  Group& mark_changed(GroupId id);
  Group& mark_changed(const Server& server);
  void mark_all_changed();

  // The groups marked since the last call, in the order of marking.
  [[nodiscard]] std::vector<Group*> take_changed() { return std::exchange(changed_, {}); }

  // Numbers the selections of servers for attempts.
  [[nodiscard]] long last_selection() const { return selections_; }
  long count_selection() { return ++selections_; }

 private:
  std::map<ServerId, Server> servers_;
  std::map<GroupId, Group> groups_;
  AddressHashIndex<Server> servers_by_address_hash_;
  std::vector<Group*> changed_;
  long selections_ = 0;
};

}  // namespace reedspindle::routing
