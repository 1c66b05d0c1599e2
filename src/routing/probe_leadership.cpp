// Leadership follows the rank that rendezvous hashing gives among the live instances (probe_leader.hpp).
// Without a fleet view, the instance whose gossip arrives first leads.
#include "routing/probe_leadership.hpp"

#include <algorithm>

#include "routing/eligibility.hpp"
#include "routing/probe_leader.hpp"

namespace reedspindle::routing {
namespace {

// The leader and its successor: that both fail within one period is rare.
constexpr int kRankedInstances = 2;
// The maximum delivery time of a message, in milliseconds.
constexpr Millis kMessageDelay = 50;
// Randomly drawn delays set two instances this far apart on average, in milliseconds.
constexpr Millis kDelayPerInstance = 10;
// Peers count as unheard if no message has arrived for this long, in milliseconds.
constexpr Millis kPeerSilence = 2 * kProbePeriod + kMessageDelay;
// A fleet view to which an instance has been added counts as settled after this time, in milliseconds.
constexpr Millis kViewSettles = kMaxSampleAge;

}  // namespace

// Instances that start or reconnect together know few of the others at first, and each would consider itself
// the leader. Ranks are therefore determined only once the view has settled.
void ProbeLeadership::handle_fleet_view(const FleetViewChanged& view) {
  const auto& known = context_.fleet_view;
  if (!known || !std::ranges::includes(known->alive_peers, view.alive_peers)) {
    fleet_grown_at_ = context_.now;
  }
  registry_.mark_all_changed();
  for (auto& [id, group] : registry_.groups()) {
    group.leader_rank = -1;
  }
  groups_led_ = 0;
}

void ProbeLeadership::record_peer_message() {
  if (!hears_peers()) {
    heard_again_at_ = context_.now;
  }
  peer_heard_at_ = context_.now;
}

// Instances that do not hear each other would each lead all groups and send gossip to all others. An instance
// that leads every group does not need to hear others.
bool ProbeLeadership::hears_peers() const {
  if (!context_.options.may_gossip) {
    return false;
  }
  if (context_.now - std::max(peer_heard_at_, context_.started_at) < kPeerSilence) {
    return true;
  }
  return context_.fleet_view && !context_.fleet_view->alive_peers.empty() &&
         groups_led_ == registry_.groups().size();
}

void ProbeLeadership::update(Group& group) {
  const bool settled = context_.now - fleet_grown_at_ > kViewSettles;
  if (context_.fleet_view && group.leader_rank < 0 && settled) {
    group.leader_rank = consistency::leadership_rank(group.id, context_.options.rank,
                                                     context_.fleet_view->alive_peers, kRankedInstances);
    if (group.leader_rank == 0) {
      ++groups_led_;
    }
  }
  group.leads_probing = group.leads_probing && hears_peers();
}

Millis ProbeLeadership::rank_due_at(const Group& group) const {
  if (!context_.fleet_view || group.leader_rank >= 0) {
    return kForever;
  }
  return fleet_grown_at_ + kViewSettles + context_.options.tick;
}

bool ProbeLeadership::precedes(const Group& group, int peer) const {
  const int rank = context_.options.rank;
  return context_.fleet_view ? consistency::precedes(group.id, rank, peer) : rank < peer;
}

// The delay follows the rank if that is known. Otherwise, and for instances of lower rank, it is drawn at
// random, so that few instances send gossip at the same time. If no gossip can arrive, and for a server that
// did not answer the instance that probed it first, all instances together keep the probe period.
Millis ProbeLeadership::probe_delay(const Group& group, const Server& server) const {
  if (!hears_peers() || server.probe_unanswered) {
    return 2 * kProbePeriod * (context_.instances - 1) * group.probe_delay_draw;
  }
  const Millis drawn = kMessageDelay + kDelayPerInstance * context_.instances * group.probe_delay_draw;
  if (group.leader_rank < 0) {
    return drawn;
  }
  if (group.leader_rank < kRankedInstances) {
    return kMessageDelay * group.leader_rank;
  }
  return kMessageDelay * (kRankedInstances - 1) + drawn;
}

}  // namespace reedspindle::routing
