// Records samples and determines the primary, from the state of the servers alone.
#include "routing/replica_state.hpp"

#include <algorithm>
#include <tuple>

#include "routing/recent_values.hpp"

namespace reedspindle::routing {
namespace {

constexpr std::size_t kSamplesKept = 3;
constexpr Millis kCommitRounding = 1;

}  // namespace

ReplicaSample newest_sample(const ReplicaSample& stated, const ReplicaSample& report) {
  return {.role = stated.role != Role::unknown ? stated.role : report.role,
          .position = std::max(stated.position, report.position),
          .utilization = stated.utilization >= 0 ? stated.utilization : report.utilization};
}

Millis role_claim_date(const ReplicaSample& stated, const ReplicaSample& report, Millis now) {
  if (stated.role == Role::replica) {
    return now;
  }
  const Millis position =
      stated.role == Role::primary ? std::max(stated.position, report.position) : report.position;
  return position >= 0 ? position : now;
}

void record_sample(Server& server, const ReplicaSample& sample, Millis claimed_at, Millis seen_at,
                   bool after_commit) {
  server.sample_seen_at = seen_at;
  server.probe_unanswered = false;
  if (sample.role == Role::primary) {
    server.primary_claimed_at = std::max(server.primary_claimed_at, claimed_at);
  }
  if (sample.role == Role::replica) {
    server.replica_claimed_at = std::max(server.replica_claimed_at, claimed_at);
  }
  if (sample.utilization >= 0) {
    server.utilization = sample.utilization;
    server.utilization_seen_at = seen_at;
  }
  if (sample.position < 0) {
    return;
  }
  const Millis shown = sample.position - (after_commit ? kCommitRounding : 0);
  server.applied_position = std::max(server.applied_position, shown);
  keep_last(server.samples, {server.applied_position, seen_at}, kSamplesKept);
}

Server* primary_of(const Group& group) {
  Server* claimant = nullptr;
  Server* listed = nullptr;
  for (Server* const server : group.servers) {
    const bool claims =
        server->primary_claimed_at != kNever && server->primary_claimed_at > server->replica_claimed_at;
    if (claims && (!claimant || server->primary_claimed_at > claimant->primary_claimed_at)) {
      claimant = server;
    }
    if (server->entry.state != ServerState::gone && server->entry.primary &&
        server->replica_claimed_at == kNever) {
      listed = server;
    }
  }
  return claimant ? claimant : listed;
}

void insert_into_group(Server& server) {
  const auto before = [](const Server* one, const Server* other) {
    return std::tie(one->address_hash, one->entry.id) < std::tie(other->address_hash, other->entry.id);
  };
  std::vector<Server*>& servers = server.group->servers;
  servers.insert(std::ranges::upper_bound(servers, &server, before), &server);
}

}  // namespace reedspindle::routing
