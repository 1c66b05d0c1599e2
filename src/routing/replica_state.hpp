// What this instance knows of each server and each replica group, and the functions that need nothing else.
#pragma once

#include <deque>
#include <vector>

#include "core/types.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle::routing {

// Time points before and after all others: something has not happened, or is not due.
constexpr Millis kNever = -1e18;
constexpr Millis kForever = 1e18;

// A replica had applied all commits up to `position` when it was seen.
struct PositionSample {
  Millis position = kNever;
  Millis seen_at = kNever;
};

struct Group;

// The state of one server. Time points are in milliseconds, kNever until the event has happened.
struct Server {
  // Discovery.
  ServerEntry entry;       // as listed last
  Group* group = nullptr;  // owned by the router; the group that `entry` names

  // Windows and sums; ahead of the rest, which a request reads in one pass.
  WarmCapacity::Slot capacity_slot;     // its part in the capacity of the warm replicas
  std::deque<PositionSample> samples;   // the last three
  std::deque<double> latency_ratios;    // latency over objective of the answers since the limit last moved
  std::deque<Millis> recent_latencies;  // of the last answers that were not long-running

  // Listing.
  long address_hash = 0;       // the short number by which instances name it to one another
  Millis listed_at = kNever;   // when it was listed first
  Millis gone_since = kNever;  // when a list left it out; set only where such servers are forgotten
  bool draining = false;       // stands until it is listed as ready again
  bool was_gone = false;       // before the list that is being read

  // Samples.
  Millis applied_position = kNever;    // the highest position shown; it never goes back
  Millis primary_claimed_at = kNever;  // the date of its last claim to be the primary
  Millis replica_claimed_at = kNever;  // the date of its last claim to be a replica
  Millis sample_seen_at = kNever;      // of the last sample, whichever instance took it
  Millis gossiped_at = kNever;         // when an instance last told all others of it
  Millis utilization_seen_at = kNever;
  double utilization = 0;  // the share of its processors in use

  // Health.
  Millis last_answer_at = kNever;          // to a request or a probe of this instance
  Millis last_error_at = kNever;           // of a connection, or of an attempt cancelled for no answer
  Millis request_failed_at = kNever;       // when requests last showed it to be down
  Millis probe_failed_at = kNever;         // reset by any answered probe
  Millis connection_answered_at = kNever;  // on a connection that has not been seen to break since
  bool probe_unanswered = false;           // the last report on it, by any instance, was a failed probe

  // Probes.
  Millis probe_sent_at = kNever;  // of the probe in flight
  Millis last_probe_at = kNever;
  Millis next_probe_at = kNever;  // not to be probed earlier

  // Attempts.
  int in_flight = 0;
  Millis oldest_attempt_sent_at = kNever;  // of those in flight that are not long-running
  bool last_answer_late = false;           // after its latency objective
  long last_selected = 0;                  // by a counter of selections; the least recent is preferred

  // Concurrency limit: under 1 it is the chance that a request may go there.
  double concurrency_limit = 0;
  Millis backed_off_at = kNever;
  Millis back_off_until = kNever;  // no attempts until then

  // Slow start.
  Millis cold_since = kNever;    // its last start
  double slow_start_credit = 0;  // attempts that it may be sent while it warms up, at most 1
  Millis credit_updated_at = kNever;
  double credit_multiplier = 1;  // above 1 while it reports processors free
};

// The state of one replica group.
struct Group {
  GroupId id;
  std::vector<Server*> servers;  // ascending by address hash, then id: the same order at every instance
  bool changed = false;          // its probes are to be decided anew in this batch
  bool sample_wanted = false;    // a request waits for a sample
  bool leads_probing = false;    // this instance probes it for all others
  int leader_rank = -1;          // live instances before this one as its leader; below 0: not known
  double probe_delay_draw = 0;  // drawn, 0 to 1: how long this instance waits for others to probe
  double recent_requests = 0;    // older ones count less, by the time a connection may stand idle
  Millis requests_counted_at = kNever;
};

// Takes in what an answer, a probe or another instance says of a server. A claim to be the primary or a
// replica counts from `claimed_at`. `after_commit`: the position is that of a commit, which is rounded up.
void record_sample(Server& server, const ReplicaSample& sample, Millis claimed_at, Millis seen_at,
                   bool after_commit = false);

// The primary is the server with the latest claim that it has not taken back since; where none has claimed,
// the listed one. Null: not known.
[[nodiscard]] Server* primary_of(const Group& group);

// Adds a server to the list of its group, in order.
void insert_into_group(Server& server);

}  // namespace reedspindle::routing
