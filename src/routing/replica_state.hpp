// The state that this instance keeps of each server and each replica group, and the functions that depend on
// nothing else.
#pragma once

#include <deque>
#include <vector>

#include "core/types.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle::routing {

// Time points before and after all others: an event that has not happened, or that is not due.
constexpr Millis kNever = -1e18;
constexpr Millis kForever = 1e18;

// A replica had applied all commits up to `position` when the sample was taken at `seen_at`.
struct PositionSample {
  Millis position = kNever;
  Millis seen_at = kNever;
};

struct Group;

// The state of one server. Time points are in milliseconds, kNever until the event has happened.
struct Server {
  // Discovery.
  ServerEntry entry;       // as in the latest list
  Group* group = nullptr;  // owned by the registry; the group that `entry` names

  // Windows and sums. They come before the remaining fields, which a request reads in one pass.
  WarmCapacity::Slot capacity_slot;    // its part of the capacity of the warm replicas
  std::deque<PositionSample> samples;  // the latest three
  // Latency divided by objective, of the answers since the limit was last adjusted.
  std::deque<double> latency_ratios;
  std::deque<Millis> recent_latencies;  // of the latest answers to requests that are not long-running

  // Listing.
  long address_hash = 0;      // short number by which instances name it to one another
  Millis listed_at = kNever;  // when it was first listed
  // When a list first omitted it; set only if such servers are deleted.
  Millis gone_since = kNever;
  bool draining = false;  // remains set until it is listed as ready again
  bool was_gone = false;  // before the list that is being applied

  // Samples.
  Millis applied_position = kNever;    // highest position reported; never decreases
  Millis primary_claimed_at = kNever;  // date of its latest claim to be the primary
  Millis replica_claimed_at = kNever;  // date of its latest claim to be a replica
  Millis sample_seen_at = kNever;      // of the latest sample, whichever instance took it
  Millis gossiped_at = kNever;         // when an instance last sent gossip about it
  Millis utilization_seen_at = kNever;
  double utilization = 0;  // fraction of its processors in use

  // Health.
  Millis last_answer_at = kNever;     // to a request or a probe of this instance
  Millis last_error_at = kNever;      // of a connection, or of an attempt cancelled for lack of an answer
  Millis request_failed_at = kNever;  // when requests last showed it to be down
  Millis probe_failed_at = kNever;    // reset by any answered probe
  Millis connection_answered_at = kNever;  // on a connection that has not been seen to break since
  bool probe_unanswered = false;           // the latest report on it, by any instance, was a failed probe

  // Probes.
  Millis probe_sent_at = kNever;  // of the probe in flight
  Millis last_probe_at = kNever;
  Millis next_probe_at = kNever;  // it is not probed before this time

  // Attempts.
  int in_flight = 0;
  Millis oldest_attempt_sent_at = kNever;  // of those in flight that are not long-running
  bool last_answer_late = false;           // after its latency objective
  // Counter value of the latest selection; the least recently selected server is preferred.
  long last_selected = 0;

  // Concurrency limit. A value below 1 is the probability that a request may be sent to the server.
  double concurrency_limit = 0;
  Millis backed_off_at = kNever;
  Millis back_off_until = kNever;  // no attempts until then

  // Slow start.
  Millis cold_since = kNever;    // when it last started
  double slow_start_credit = 0;  // attempts that it may be sent while it warms up, at most 1
  Millis credit_updated_at = kNever;
  double credit_multiplier = 1;  // above 1 while it reports free processors
};

// The state of one replica group.
struct Group {
  GroupId id;
  std::vector<Server*> servers;  // ascending by address hash, then id: the same order at every instance
  bool changed = false;          // its probes are to be decided anew in this batch
  bool sample_wanted = false;    // a request waits for a sample
  bool leads_probing = false;    // this instance probes it on behalf of all
  // Number of live instances that precede this one as its leader; negative: not known.
  int leader_rank = -1;
  double probe_delay_draw = 0;  // random, 0 to 1: how long this instance waits for others to probe
  double recent_requests = 0;   // decays with the time that a connection may be idle
  Millis requests_counted_at = kNever;
};

// Returns what an answer shows, with the load report that it carries: its own statement of the role, which is
// newer than the report's, and the higher position, since positions never decrease.
[[nodiscard]] ReplicaSample newest_sample(const ReplicaSample& stated, const ReplicaSample& report);

// Returns the date of the role in newest_sample(). A primary's position is the present time, so the position
// with which it claims to be the primary dates the claim. A report's claim is as old as the report.
[[nodiscard]] Millis role_claim_date(const ReplicaSample& stated, const ReplicaSample& report, Millis now);

// Records a sample taken from an answer, from a probe or from gossip. A claim to be the primary or a replica
// is dated `claimed_at`. Set `after_commit` if the position is that of a commit, which the server rounds up.
void record_sample(Server& server, const ReplicaSample& sample, Millis claimed_at, Millis seen_at,
                   bool after_commit = false);

// Returns the primary: the server with the latest claim that it has not withdrawn since, or the listed
// primary if none has claimed. Null if not known.
[[nodiscard]] Server* primary_of(const Group& group);

// Adds a server to its group's list, at its place in the order.
void insert_into_group(Server& server);

}  // namespace reedspindle::routing
