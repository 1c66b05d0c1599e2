// The implementation of QuotaManager: its state and the declarations of its parts. Each part is defined in a
// file of its own; all of them run on the thread that calls process().
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

#include "quota/quota_manager.hpp"

namespace reedspindle::quota {

inline constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
inline constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
inline constexpr double kRenewalsPerLease = 3;      // of the holder: two may be lost
inline constexpr double kRequestsPerLease = 6;      // of an instance that wants, lends or warms up
inline constexpr double kIdleLeases = 2;            // between two requests of an instance that needs nothing
inline constexpr double kQueriesPerEvidence = 3;    // to each empty slot
inline constexpr std::size_t kMaxSendTimes = 4096;  // stored send times: some leases of 300 instances
inline constexpr int kMaxDatagramsPerWindow =
    64;  // accepted from one slot in a sixth of a lease; under ten needed

// The times at which the last kMaxSendTimes messages were sent, by number.
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
      : options_(options), random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override;

  [[nodiscard]] Allocation allocation(Millis now) const override;

  [[nodiscard]] View view() const override;

 private:
  struct Grant {
    int amount = 0;
    Millis until = 0;
  };
  // An instance that requests allocations from this one as the holder.
  struct Client {
    Incarnation incarnation;
    Millis asked = kNever;
    int wanted = 0;
    std::vector<Grant> out;  // what it may still be using, by this clock
    int lent = 0;
    Millis lent_until = kNever;  // up to when something may be given on the strength of it
  };

  void start(Millis now);

  // The time on this clock after which every clock has gone on by the duration at least, or at most.
  [[nodiscard]] Millis at_least(Millis duration) const { return duration * (1 + 3 * options_.max_drift); }
  [[nodiscard]] Millis at_most(Millis duration) const { return duration / (1 + 3 * options_.max_drift); }

  bool is_accepted(const Message& message, SlotId from);

  void on(const DatagramReceived& datagram);

  // Guards against a message that took long: it is dated by when the question was asked, not by when it came
  // back, for somebody may have started meanwhile.
  void on(const DatagramReturned& returned);

  void on(const PeersChanged& peers) { alive_ = peers.alive; }
  void on(const Demand& demand);
  void on(const Leaving& /*unused*/);

  bool vote_for(SlotId candidate, Incarnation incarnation);

  void count_vote(std::uint32_t request, SlotId voter);

  [[nodiscard]] bool holds_lease() const { return now_ < lease_until_; }

  void campaign();

  // Who holds the lease asks at slots where nobody seems to be. That the question comes back is the word of
  // the machine there, the only sign by which one who is dead can be told from one who is cut off.
  void query_empty_slots();

  [[nodiscard]] bool is_vacant(SlotId slot) const;

  [[nodiscard]] int vacant_slots() const;

  // What is known not to be used by whom it belongs to.
  [[nodiscard]] int pool(SlotId before = {kMaxSlots}) const;

  // What may be in use of what was handed out, but by one: of several grants the largest, for the last may
  // have been lost.
  [[nodiscard]] int allocated(SlotId without) const;
  [[nodiscard]] int largest_grant(const Client& client) const;

  // An equal part of the pool for each who wants one, none more than it wants; what some leave the others
  // get.
  [[nodiscard]] int fair_share(SlotId of) const;

  // For how long something may be handed out now: nothing outlasts the lease.
  [[nodiscard]] Millis grant_duration() const;

  void allocate(const Message& asks);

  void take_grant(const Message& allocate);

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
  // What this instance may use.
  Millis warm_at_ = 0, slot_restored_until_ = kNever, granted_until_ = kNever;
  int granted_ = 0;
  std::vector<std::pair<Millis, int>> lent_;  // until when, how much
  Demand demand_;
  Allocation reported_{-1, -1};
  // As one who asks.
  SendTimes requests_sent_;
  Millis next_request_ = 0, answered_request_at_ = kNever;
  std::uint32_t last_grant_ = 0;  // of the lease's, its number
  bool shortage_ = false;
  SlotId holder_;
  Millis holder_seen_at_ = 0;
  int vacant_slots_ = 0;  // instances, by the lease's word
  Millis vacant_slots_until_ = kNever;
  // As one who votes.
  Millis may_vote_at_ = 0, voted_until_ = kNever;
  SlotId voted_for_;
  Incarnation voted_incarnation_;
  // As one who stands for the lease, or holds it.
  std::map<std::uint32_t, std::pair<Millis, std::set<SlotId>>> lease_requests_;
  Millis next_lease_request_ = 0, lease_request_at_ = 0, next_query_ = 0, lease_until_ = kNever;
  bool was_holder_ = false, first_campaign_ = true;
  SendTimes grants_sent_;
  SendTimes queries_sent_;
  std::map<SlotId, Millis> vacant_at_, seen_at_;
  std::map<SlotId, Client> clients_;
};

}  // namespace reedspindle::quota
