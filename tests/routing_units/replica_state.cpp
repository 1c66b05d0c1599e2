// Tests how samples are recorded, and how the primary is determined from the roles that servers report.
#include "routing/replica_state.hpp"

#include <vector>

#include "routing_units/builders.hpp"

namespace reedspindle::routing::tests {
namespace {

void samples() {
  Server server;
  server.probe_unanswered = true;
  record_sample(server, {Role::replica, kNow - 50, 0.4}, kNow, kNow);
  expect("a sample sets the applied position", server.applied_position, kNow - 50);
  expect("a sample clears the flag of an unanswered probe", server.probe_unanswered, false);
  record_sample(server, {Role::replica, kNow - 80, -1}, kNow, kNow + 10);
  expect("an earlier position does not replace a later one", server.applied_position, kNow - 50);
  expect("a sample without a utilization leaves the last one in place", server.utilization_seen_at, kNow);
  record_sample(server, {Role::replica, -1, -1}, kNow, kNow + 20);
  expect("a sample without a position is not kept", server.samples.size(), 2);
  for (int count = 0; count < 3; ++count) {
    record_sample(server, {Role::replica, kNow + count, -1}, kNow, kNow + 30 + count);
  }
  expect("the last three samples are kept", server.samples.size(), 3);
  record_sample(server, {Role::primary, kNow + 200, -1}, kNow, kNow, true);
  expect("the position of a commit proves one that is 1 ms earlier", server.applied_position, kNow + 199);
}

void stated_and_reported() {
  const ReplicaSample report{Role::primary, kNow - 200, 0.4};
  const ReplicaSample newest = newest_sample({Role::replica, kNow - 20, -1}, report);
  expect("the role that an answer states outweighs its load report's", newest.role, Role::replica);
  expect("the later of both positions is known to be applied", newest.position, kNow - 20);
  expect("the utilization is the report's", newest.utilization, 0.4);
  expect("without a statement the report counts", newest_sample({}, report).role, Role::primary);
  expect("an answer that states to be a replica is dated now", role_claim_date({Role::replica}, report, kNow),
         kNow);
  expect("a stated claim to be the primary is dated by the latest position",
         role_claim_date({Role::primary, kNow - 20, -1}, report, kNow), kNow - 20);
  expect("a report's claim is as old as the report", role_claim_date({}, report, kNow), kNow - 200);
}

void primary() {
  Server first;
  Server second;
  const Group group = group_of({&first, &second});
  second.entry.primary = true;
  expect("the listed primary counts while no server has reported a role", primary_of(group), &second);
  record_sample(first, {Role::primary}, kNow, kNow);
  expect("a server that reports to be the primary outweighs the list", primary_of(group), &first);
  record_sample(second, {Role::primary}, kNow + 1, kNow + 1);
  expect("the latest claim to be the primary counts", primary_of(group), &second);
  record_sample(first, {Role::primary}, kNow - 5, kNow + 2);
  expect("a claim of an earlier date that arrives later does not count", primary_of(group), &second);
  record_sample(second, {Role::replica}, kNow + 3, kNow + 3);
  expect("a claim that was withdrawn loses to an older one", primary_of(group), &first);
  record_sample(first, {Role::replica}, kNow + 4, kNow + 4);
  expect("a listed primary that reports to be a replica is not the primary", primary_of(group), nullptr);
}

void order() {
  Group group;
  Server low_hash;
  Server high_hash;
  Server same_hash;
  low_hash.address_hash = 1;
  high_hash.address_hash = 2;
  same_hash.address_hash = 2;
  high_hash.entry.id = {"a"};
  same_hash.entry.id = {"b"};
  for (Server* const server : {&same_hash, &high_hash, &low_hash}) {
    server->group = &group;
    insert_into_group(*server);
  }
  expect("the servers of a group are ordered by address hash, then by id", group.servers,
         std::vector<Server*>{&low_hash, &high_hash, &same_hash});
}

}  // namespace

void replica_state() {
  samples();
  stated_and_reported();
  primary();
  order();
}

}  // namespace reedspindle::routing::tests
