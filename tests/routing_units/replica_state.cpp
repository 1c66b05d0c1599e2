// Recording samples, and finding the primary from what servers say of themselves.
#include "routing/replica_state.hpp"

#include <vector>

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

void samples() {
  Server server;
  server.probe_unanswered = true;
  record_sample(server, {Role::replica, kNow - 50, 0.4}, kNow, kNow);
  expect("a sample shows the applied position", server.applied_position, kNow - 50);
  expect("a sample ends the silence after a failed probe", server.probe_unanswered, false);
  record_sample(server, {Role::replica, kNow - 80, -1}, kNow, kNow + 10);
  expect("a position once shown holds", server.applied_position, kNow - 50);
  expect("a sample that states no utilization leaves the last one", server.utilization_seen_at, kNow);
  record_sample(server, {Role::replica, -1, -1}, kNow, kNow + 20);
  expect("a sample that states no position is not kept", server.samples.size(), 2);
  for (int count = 0; count < 3; ++count) {
    record_sample(server, {Role::replica, kNow + count, -1}, kNow, kNow + 30 + count);
  }
  expect("the last three positions are kept", server.samples.size(), 3);
  record_sample(server, {Role::primary, kNow + 200, -1}, kNow, kNow, true);
  expect("a commit's position proves a millisecond less", server.applied_position, kNow + 199);
}

void primary() {
  Server one;
  Server other;
  const Group group = group_of({&one, &other});
  other.entry.primary = true;
  expect("the listed primary counts where no server has spoken", primary_of(group), &other);
  record_sample(one, {Role::primary}, kNow, kNow);
  expect("a claim outweighs the list", primary_of(group), &one);
  record_sample(other, {Role::primary}, kNow + 1, kNow + 1);
  expect("the last claim wins", primary_of(group), &other);
  record_sample(one, {Role::primary}, kNow - 5, kNow + 2);
  expect("a claim of an earlier date, heard later, wins nothing", primary_of(group), &other);
  record_sample(other, {Role::replica}, kNow + 3, kNow + 3);
  expect("who has taken a claim back loses to an older claim", primary_of(group), &one);
  record_sample(one, {Role::replica}, kNow + 4, kNow + 4);
  expect("a listed primary that calls itself a replica is none", primary_of(group), nullptr);
}

void order() {
  Group group;
  Server low;
  Server high;
  Server same;
  low.address_hash = 1;
  high.address_hash = 2;
  same.address_hash = 2;
  high.entry.id = {"a"};
  same.entry.id = {"b"};
  for (Server* const server : {&same, &high, &low}) {
    server->group = &group;
    insert_into_group(*server);
  }
  expect("the servers of a group are in the order of marks, then of ids", group.servers,
         std::vector<Server*>{&low, &high, &same});
}

}  // namespace

void replica_state() {
  samples();
  primary();
  order();
}

}  // namespace reedspindle::routing::tests
