// All servers and groups that this instance knows, and the groups that have changed in the batch.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "routing/address_hash_index.hpp"
#include "routing/replica_state.hpp"

namespace reedspindle::routing {

// Owns the servers and groups. A server keeps its address in memory until remove(), a group forever.
class ServerRegistry {
 public:
  [[nodiscard]] std::map<ServerId, Server>& servers() { return servers_; }
  [[nodiscard]] const std::map<ServerId, Server>& servers() const { return servers_; }
  [[nodiscard]] std::map<GroupId, Group>& groups() { return groups_; }
  [[nodiscard]] const std::map<GroupId, Group>& groups() const { return groups_; }

  // Returns the server with an address hash, or null if no server or more than one has it.
  [[nodiscard]] Server* find_by_address_hash(long address_hash) {
    return servers_by_address_hash_.find(address_hash);
  }

  // Adds a newly listed server to the index, once its address hash is set.
  void index_address_hash(Server& server) { servers_by_address_hash_.add(server.address_hash, server); }

  // Destroys the server. Nothing may refer to it any more.
  void remove(Server& server);

  // Marks a group whose probes are to be decided anew in this batch. The group is created if it is not known.
  Group& mark_changed(GroupId id);
  Group& mark_changed(const Server& server);
  void mark_all_changed();

  // Returns the groups marked since the last call, in the order of marking.
  [[nodiscard]] std::vector<Group*> take_changed() { return std::exchange(changed_, {}); }

  // Selections of servers for attempts are numbered consecutively.
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
