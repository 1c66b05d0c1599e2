// The instance that leads a group probes its servers once per period and gossips the results. Other instances
// probe only if no gossip arrives. A server is probed sooner if a request waits for a sample, a request
// failed there, or an answer is overdue.
#include "routing/probing.hpp"

#include <algorithm>

#include "routing/eligibility.hpp"
#include "routing/group_usage.hpp"

namespace reedspindle::routing {
namespace {

// A server is known to answer other instances if their gossip about it is at most this old, in milliseconds.
constexpr Millis kGossipAge = 1.5 * kProbePeriod;
// As kOverdueFactor, for a server that other instances have recently reported on: only the path to it can be
// at fault.
constexpr double kOverdueFactorIfGossiped = 12;
// The minimum interval between probes of a server by one instance, in milliseconds.
constexpr Millis kMinInterval = kProbePeriod * 0.75;
// The leader probes together all servers of a group that are due within this many milliseconds.
constexpr Millis kLeaderAhead = kProbePeriod / 2;
// The leader sends gossip about a server again after this fraction of a period.
constexpr double kLeaderGossipPeriods = 0.5;
// After a failed probe the instances together probe as often as one would, up to this many instances. Probes
// are less frequent where the others learn of the failure by gossip.
constexpr double kMaxSharing = 16;
constexpr double kMaxSharingWithGossip = 64;
// The wait after a failed probe varies at random by a tenth in either direction.
constexpr double kMinVariation = 0.9;
constexpr double kVariation = 0.2;

}  // namespace

void Probing::handle_probe_completed(const ProbeCompleted& event) {
  Server& server = registry_.servers().at(event.server);
  server.probe_sent_at = kNever;
  Group& group = registry_.mark_changed(server);
  if (!leadership_.hears_peers()) {
    group.probe_delay_draw = context_.draw();
  }
  const Millis now = context_.now;
  if (!event.answered) {
    const double most = context_.options.may_gossip ? kMaxSharingWithGossip : kMaxSharing;
    const double sharing = std::min(context_.instances, most);
    server.next_probe_at = now + kProbePeriod * sharing * (kMinVariation + kVariation * context_.draw());
  }
  server.probe_failed_at = event.answered ? kNever : now;
  slow_start_.update_capacity(server);
  --in_flight_;
  queue_gossip(server, group, event);
  if (!event.answered) {
    return;
  }
  server.connection_answered_at = now;
  health_.record_answer(server);
  slow_start_.update_capacity(server);
  const ReplicaSample newest = newest_sample(event.sample, event.report);
  record_sample(server, newest, role_claim_date(event.sample, event.report, now), now);
  slow_start_.record_utilization(server, newest);
}

// Results of probes that were sent for another reason than the period are of no use to the other instances. A
// leader goes by what it has gossiped, not by its own samples, because the others would take its silence for
// a failure.
void Probing::queue_gossip(Server& server, Group& group, const ProbeCompleted& event) {
  const Millis last = group.leads_probing ? server.gossiped_at : server.sample_seen_at;
  const bool due = context_.now - last > kProbePeriod * (group.leads_probing ? kLeaderGossipPeriods : 1);
  const bool first_failure = !std::exchange(server.probe_unanswered, !event.answered);
  const bool news = event.answered ? newest_sample(event.sample, event.report).position >= 0 : first_failure;
  if (!context_.options.may_gossip || !due || !news) {
    return;
  }
  exchange_.queue(server);
  group.leads_probing = leadership_.hears_peers() && (group.leads_probing || event.answered);
}

void Probing::decide() {
  const std::pair common(leadership_.hears_peers(), health_.probes_trusted());
  if (std::exchange(decided_with_, common) != common) {
    registry_.mark_all_changed();
  }
  for (const GroupId id : due_groups_.take_due(context_.now)) {
    registry_.mark_changed(id);
  }
  for (Group* const group : registry_.take_changed()) {
    decide(*group);
  }
}

void Probing::decide(Group& group) {
  if (group.probe_delay_draw == 0) {
    group.probe_delay_draw = context_.draw();
  }
  leadership_.update(group);
  const Millis now = context_.now;
  bool due = false;
  Millis next = kForever;
  for (const Server* const server : group.servers) {
    const Millis at = due_at(group, *server);
    if (at <= now) {
      due = true;
    } else {
      next = std::min({next, at, gossip_missing_at(*server)});
    }
  }
  next = std::min(next, leadership_.rank_due_at(group));
  due_groups_.set(group.id, next < kForever ? std::optional(next) : std::nullopt);
  // Puts all samples that the leader gossips about a group into one message.
  const Millis ahead = group.leads_probing ? kLeaderAhead : 0;
  for (Server* const server : group.servers) {
    if (due && due_at(group, *server) - ahead <= now) {
      due_.push_back(server);
    }
  }
  group.changed = false;
  group.sample_wanted = false;
}

void Probing::start_due(std::vector<Decision>& decisions) {
  for (Server* const server : std::exchange(due_, {})) {
    decisions.emplace_back(StartProbe{server->entry.id, context_.options.probe_timeout});
    server->probe_sent_at = context_.now;
    server->last_probe_at = context_.now;
    server->next_probe_at = context_.now + kMinInterval;
    ++in_flight_;
  }
}

// A single slow request or ended connection is no reason to probe a server that other instances report on: it
// is given more time, and is probed only after a second failed request. If its requests show it to be down,
// it is probed once other instances report on it.
Millis Probing::due_at(const Group& group, const Server& server) const {
  if (!context_.options.may_probe || server.probe_sent_at != kNever || !health_.is_in_service(server) ||
      !is_in_use(group, context_)) {
    return kForever;
  }
  const bool gossiped = leadership_.hears_peers() && context_.now - server.gossiped_at < kGossipAge;
  const double factor = gossiped ? kOverdueFactorIfGossiped : kOverdueFactor;
  if (health_.is_overdue(server, factor) && server.probe_failed_at < server.oldest_attempt_sent_at) {
    return std::max(context_.now, server.next_probe_at);
  }
  const bool check_errors = health_.is_down(server) ? server.gossiped_at > server.last_error_at : !gossiped;
  if (check_errors && server.last_error_at > std::max(server.last_answer_at, server.probe_failed_at)) {
    return server.next_probe_at;
  }
  return regular_due_at(group, server);
}

// The period starts anew for a newly listed server and for an instance that hears its peers again; otherwise
// all instances would probe at once.
Millis Probing::regular_due_at(const Group& group, const Server& server) const {
  const Millis earliest = std::max(server.listed_at, leadership_.heard_again_at()) - kProbePeriod;
  const Millis last = group.leads_probing ? server.gossiped_at : server.sample_seen_at;
  Millis at = std::max(last, earliest) + kProbePeriod;
  if (!group.leads_probing) {
    at += leadership_.probe_delay(group, server);
  }
  if (group.sample_wanted) {
    at = std::min(at, server.sample_seen_at + kMaxSampleAge / 2);
  }
  return std::max(at, server.next_probe_at);
}

// Returns when gossip about a server that had an error here is too old to rely on, so that this instance has
// to judge the server by itself.
Millis Probing::gossip_missing_at(const Server& server) const {
  const Millis at = server.gossiped_at + kGossipAge;
  const bool error = server.last_error_at > std::max(server.last_answer_at, server.probe_failed_at);
  return error && at > context_.now ? at : kForever;
}

}  // namespace reedspindle::routing
