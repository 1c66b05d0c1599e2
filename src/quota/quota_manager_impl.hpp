// The implementation of QuotaManager: its state and member functions. They are defined in several files by
// subject; all of them run on the thread that calls process().
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "core/random.hpp"
#include "quota/quota_manager.hpp"

namespace reedspindle::quota {

inline constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
inline constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
inline constexpr double kRenewalsPerLease = 3;      // lease requests by the holder; two in a row may be lost
inline constexpr double kRequestsPerLease = 6;      // by an instance that wants or lends capacity or warms up
inline constexpr double kIdleLeases = 2;            // between two requests of an instance without demand
inline constexpr double kQueriesPerEvidence = 3;    // liveness queries to each slot without an alive peer
inline constexpr std::size_t kMaxSendTimes = 4096;  // stored send times: several leases of a fleet of 300
// Datagrams accepted from one slot within a sixth of a lease. The protocol needs fewer than ten.
inline constexpr int kMaxDatagramsPerWindow = 64;

// Stores the send times of the last kMaxSendTimes messages by message number.
class SendTimes {
 public:
  void put(std::uint32_t number, SlotId to, Millis at) {
    by_number_[number] = {to, at};
    order_.push_back(number);
    if (order_.size() <= kMaxSendTimes) {
      return;
    }
    by_number_.erase(order_.front());
    order_.pop_front();
  }
  // Returns when the message was sent to the slot; kNever if that is not stored.
  [[nodiscard]] Millis at(std::uint32_t number, SlotId to) const {
    const auto found = by_number_.find(number);
    return found == by_number_.end() || found->second.first != to ? kNever : found->second.second;
  }

 private:
  std::map<std::uint32_t, std::pair<SlotId, Millis>> by_number_;
  std::deque<std::uint32_t> order_;
};

class QuotaManagerImpl final : public QuotaManager {
 public:
  QuotaManagerImpl(const Options& options, std::uint64_t seed)
      : options_(options), random_(make_random(seed)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override;

  [[nodiscard]] Allocation allocation(Millis now) const override;

  [[nodiscard]] View view() const override;

 private:
  struct Grant {
    int amount = 0;
    Millis until = 0;
  };
  // An instance that requests allocations from this one while it holds the lease.
  struct Client {
    Incarnation incarnation;
    Millis requested_at = kNever;  // when its last request arrived
    int wanted = 0;
    std::vector<Grant> outstanding;  // grants that it may still be using, by the clock of this instance
    int lent = 0;
    Millis lent_until = kNever;  // until when grants may rely on what it lends
  };

  void start(Millis now);

  // Returns the time on this clock after which every clock of the fleet has advanced by at least, or at most,
  // the duration.
  [[nodiscard]] Millis at_least(Millis duration) const { return duration * (1 + 3 * options_.max_drift); }
  [[nodiscard]] Millis at_most(Millis duration) const { return duration / (1 + 3 * options_.max_drift); }

  // Returns whether a message passes the checks of sender, rate and options.
  bool is_accepted(const Message& message, SlotId from);

  void on(const DatagramReceived& datagram);

  // Dates the vacancy of a slot by the time at which the returned query was sent, not by the time of its
  // return: a process may have started at the slot in between.
  void on(const DatagramReturned& returned);

  void on(const PeersChanged& peers) { alive_ = peers.alive; }
  void on(const Demand& demand);
  void on(const Leaving& /*unused*/);

  // Votes for a candidate if this instance is free to. Returns whether it voted.
  bool vote_for(SlotId candidate, Incarnation incarnation);

  // Counts a vote for this instance and acquires or extends the lease when a majority has voted.
  void count_vote(std::uint32_t request, SlotId voter);

  [[nodiscard]] bool holds_lease() const { return now_ < lease_until_; }

  // Requests the lease, or its renewal, when that is due.
  void campaign();

  // As the lease holder, queries the slots without an alive peer. A query that is returned as undeliverable
  // comes from the operating system of that machine. It is the only evidence that distinguishes a process
  // that has ended from one that is unreachable.
  void query_empty_slots();

  [[nodiscard]] bool is_vacant(SlotId slot) const;

  [[nodiscard]] int vacant_slots() const;

  // Returns the capacity that its owners do not use: of vacant slots, and lent by clients. With an
  // argument, only what clients in lower slots lend counts.
  [[nodiscard]] int pool(SlotId before = {kMaxSlots}) const;

  // Returns the granted capacity that may be in use by clients other than the given one. Of several grants to
  // a client the largest counts, because the last one may have been lost.
  [[nodiscard]] int allocated(SlotId without) const;
  [[nodiscard]] int largest_grant(const Client& client) const;

  // Returns the max-min fair share of a client in the pool: equal parts, at most what each client wants, and
  // the rest divided among the others.
  [[nodiscard]] int fair_share(SlotId of) const;

  // Returns the duration of a grant that is made now. No grant outlasts the lease.
  [[nodiscard]] Millis grant_duration() const;

  // As the lease holder, answers an allocation request.
  void allocate(const Message& request);

  void handle_grant(const Message& grant);

  void request_allocation();

  [[nodiscard]] Message new_message(Kind kind) const;
  void send(SlotId to, Kind kind, const std::function<void(Message&)>& fill);

  void report_and_schedule();

  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  static constexpr int kMaxSlots = 1 << 16;
  const Options options_;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  Incarnation incarnation_;
  std::uint32_t options_hash_ = 0, number_ = 0;
  Millis now_ = 0, started_ = 0;
  std::set<SlotId> alive_, mismatched_peers_;
  std::map<SlotId, int> datagrams_from_;
  Millis next_rate_window_ = 0;
  std::uint64_t dropped_ = 0;
  bool left_ = false;
  // Allocation of this instance.
  Millis warm_at_ = 0, slot_restored_until_ = kNever, granted_until_ = kNever;
  int granted_ = 0;
  std::vector<std::pair<Millis, int>> lent_;  // until when, amount
  Demand demand_;
  Allocation reported_{-1, -1};
  // Client of the lease holder.
  SendTimes requests_sent_;
  Millis next_request_ = 0, answered_request_at_ = kNever;
  std::uint32_t last_grant_ = 0;  // number of the last grant received
  bool shortage_ = false;
  SlotId holder_;
  Millis holder_seen_at_ = 0;
  int vacant_slots_ = 0;  // number of vacant slots, as announced by the holder
  Millis vacant_slots_until_ = kNever;
  // Voter.
  Millis may_vote_at_ = 0, voted_until_ = kNever;
  SlotId voted_for_;
  Incarnation voted_incarnation_;
  // Candidate or lease holder.
  std::map<std::uint32_t, std::pair<Millis, std::set<SlotId>>> lease_requests_;
  Millis next_lease_request_ = 0, lease_request_at_ = 0, next_query_ = 0, lease_until_ = kNever;
  bool was_holder_ = false, first_campaign_ = true;
  SendTimes grants_sent_;
  SendTimes queries_sent_;
  std::map<SlotId, Millis> vacant_at_, seen_at_;
  std::map<SlotId, Client> clients_;
};

}  // namespace reedspindle::quota
