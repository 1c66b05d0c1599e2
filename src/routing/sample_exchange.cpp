// A position remains valid for every instance that learns of it, so samples are shared. Health is not shared:
// it concerns the path from this instance to the server.
#include "routing/sample_exchange.hpp"

#include <algorithm>
#include <utility>

#include "routing/eligibility.hpp"
#include "routing/group_usage.hpp"

namespace reedspindle::routing {
namespace {

// The time that a message waits for the answers to probes in flight, in milliseconds.
constexpr Millis kGatherTime = 25;
// A server that is down for this instance but answers others is probed again after at most this many probe
// periods.
constexpr double kMaxPeriodsBeforeProbe = 5;

}  // namespace

// Drops messages that are more than kMaxSampleAge old or are dated in the future, and samples of servers that
// are unknown here or share their address hash with another server.
void SampleExchange::handle_peer_message(const PeerMessageReceived& message) {
  const auto gossip = decode_samples(message.text, context_.now);
  if (!gossip || context_.now - gossip->sent_at > kMaxSampleAge) {
    return;
  }
  leadership_.record_peer_message();
  for (const GossipedSample& gossiped : gossip->samples) {
    handle_sample(gossiped, gossip->sent_at, message.peer);
  }
}

void SampleExchange::handle_sample(const GossipedSample& gossiped, Millis sent_at, int peer) {
  Server* const found = registry_.find_by_address_hash(gossiped.address_hash);
  if (!found) {
    return;
  }
  Server& server = *found;
  Group& group = *server.group;
  if (is_in_use(group, context_)) {
    registry_.mark_changed(server);
  }
  const bool answered = gossiped.sample.role != Role::unknown;
  group.leads_probing = group.leads_probing && (!answered || leadership_.precedes(group, peer));
  if (answered) {
    server.gossiped_at = std::max(server.gossiped_at, sent_at);
  }
  if (sent_at <= server.sample_seen_at) {
    return;
  }
  server.probe_unanswered = !answered;
  if (!answered) {
    return;
  }
  // A sample seen by another instance overrides a failed probe of this one, but not failed requests: after
  // those this instance probes the server itself.
  server.probe_failed_at = kNever;
  slow_start_.update_capacity(server);
  if (health_.is_down(server)) {
    const Millis wait = kProbePeriod * std::min(kMaxPeriodsBeforeProbe, context_.instances);
    server.next_probe_at = std::max(context_.now, server.last_probe_at + wait);
  }
  group.probe_delay_draw = context_.draw();
  record_sample(server, gossiped.sample, gossiped.sample.position, sent_at);
  slow_start_.record_utilization(server, gossiped.sample);
}

void SampleExchange::queue(Server& server) {
  if (queued_.empty()) {
    queued_since_ = context_.now;
  }
  queued_.push_back(&server);
}

void SampleExchange::remove(Server& server) { std::erase(queued_, &server); }

std::optional<BroadcastToPeers> SampleExchange::take_message(bool probes_in_flight) {
  const Millis now = context_.now;
  if (probes_in_flight && now < queued_since_ + kGatherTime) {
    return std::nullopt;
  }
  // While no peer is heard, an occasional message suffices for peers that can hear again to learn of this
  // instance.
  if (!leadership_.hears_peers() && now < last_sent_at_ + kMaxSampleAge) {
    queued_.clear();
    return std::nullopt;
  }
  std::vector<GossipedSample> samples;
  for (Server* const server : std::exchange(queued_, {})) {
    if (!server->probe_unanswered) {
      server->gossiped_at = now;
    }
    samples.push_back(describe(*server));
    if (samples.size() == kMaxSamplesPerMessage) {
      break;  // the others follow with their next probe
    }
  }
  if (samples.empty()) {
    return std::nullopt;
  }
  last_sent_at_ = now;
  return BroadcastToPeers{encode_samples(now, samples)};
}

GossipedSample SampleExchange::describe(const Server& server) const {
  Role role = server.primary_claimed_at > server.replica_claimed_at ? Role::primary : Role::replica;
  if (server.probe_unanswered) {
    role = Role::unknown;
  }
  const bool utilization_recent = context_.now - server.utilization_seen_at < kMaxSampleAge;
  return {server.address_hash, {role, server.applied_position, utilization_recent ? server.utilization : -1}};
}

Millis SampleExchange::next_at() const { return queued_.empty() ? kForever : queued_since_ + kGatherTime; }

}  // namespace reedspindle::routing
