#include "quota/quota_manager.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace reedspindle::quota {
namespace {

constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
constexpr double kRenewalsPerLease = 3;    // of a holder in one lease: two may be lost
constexpr double kRequestsPerLease = 6;    // of an instance that wants, lends or is young, in one lease
constexpr double kIdleLeases = 2;          // leases between two asks of an instance that has nothing to ask
constexpr double kQueriesPerEvidence = 3;  // to an empty slot while evidence holds
constexpr std::size_t kMaxSendTimes =
    4096;  // answers and questions whose times are kept: some leases of 300 instances
constexpr int kMaxDatagramsPerWindow =
    64;  // datagrams of one slot in a sixth of a lease; a slot sends under ten

// When something was sent, by its number, the last few.
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

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (incarnation_.number == 0) {
      start(now);
    }
    now_ = std::max(now_, now);
    if (now_ >= next_rate_window_) {
      datagrams_from_.clear(), next_rate_window_ = now_ + options_.lease / kRequestsPerLease;
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& happened) { on(happened); }, event);
    }
    if (!left_) {
      campaign();
      query_empty_slots();
      request_allocation();
    }
    report_and_schedule();
    return std::move(decisions_);
  }

  [[nodiscard]] Allocation allocation(Millis now) const override {
    if (left_) {
      return {};
    }
    const bool counts = options_.slot.number < options_.fleet;
    Allocation allocation;
    allocation.sharing_instances = options_.fleet - (holds_lease()               ? vacant_slots()
                                                     : now < vacant_slots_until_ ? vacant_slots_
                                                                                 : 0);
    const auto add = [&](int amount, Millis until) {
      if (now < until) {
        allocation.hold += amount;
      }
      if (now < until - options_.notice) {
        allocation.open += amount;
      }
    };
    if (counts) {
      add(options_.reserved, kForever);
    }
    if (counts) {
      add(kSlot - options_.reserved, now >= warm_at_ ? kForever : slot_restored_until_);
    }
    add(granted_, granted_until_);
    int lent = 0;
    for (const auto& [until, amount] : lent_) {
      if (now < until) {
        lent = std::max(lent, amount);
      }
    }
    allocation.open = std::max(0, allocation.open - lent),
    allocation.hold = std::max(0, allocation.hold - lent);
    return allocation;
  }

  [[nodiscard]] View view() const override {
    View view{allocation(now_), holds_lease(), holder_, 0, 0, dropped_};
    if (view.holds_lease) {
      view.pool = pool(), view.allocated = allocated({});
    }
    return view;
  }

 private:
  struct Grant {
    int amount = 0;
    Millis until = 0;
  };
  // Somebody who asks the lease.
  struct Client {
    Incarnation incarnation;
    Millis asked = kNever;
    int wanted = 0;
    std::vector<Grant> out;  // what it may still be using, by this clock
    int lent = 0;
    Millis lent_until = kNever;  // up to when something may be given on the strength of it
  };

  void start(Millis now) {
    incarnation_ = {static_cast<std::uint64_t>(std::max(1.0, now * 1000))};
    started_ = now_ = now;
    // Whatever was given of this slot to others has ended by then: on the strength of evidence from before
    // the start, or of what a former life lent; then one lease, by clocks that may be slower than ours.
    warm_at_ = now + at_least(std::max(options_.evidence, options_.lease) + options_.lease);
    // A vote of a former life has come to its end by then.
    may_vote_at_ = now + at_least(options_.lease);
    holder_seen_at_ = now;
    next_lease_request_ = may_vote_at_;
    const auto mix = [this](double value) {
      options_hash_ = (options_hash_ ^ static_cast<std::uint32_t>(std::llround(value * 1000))) * 16777619U;
    };
    options_hash_ = 2166136261U;
    for (const double value : {static_cast<double>(options_.fleet), options_.lease, options_.evidence,
                               options_.drift, static_cast<double>(options_.reserved)}) {
      mix(value);
    }
  }

  // So long by our clock that any other's has gone on by the span; and the other way round.
  [[nodiscard]] Millis at_least(Millis duration) const { return duration * (1 + 3 * options_.drift); }
  [[nodiscard]] Millis at_most(Millis duration) const { return duration / (1 + 3 * options_.drift); }

  bool is_accepted(const Message& message, SlotId from) {
    if (message.slot != from || from == options_.slot || from.number >= kMaxSlots) {
      return false;
    }
    if (++datagrams_from_[from] > kMaxDatagramsPerWindow) {
      return false;
    }
    if (message.options_hash == options_hash_) {
      return true;
    }
    if (mismatched_peers_.insert(from).second) {
      decisions_.push_back(LeaseReport{LeaseEvent::options_mismatch, from});
    }
    return false;
  }

  void on(const DatagramReceived& datagram) {
    const auto message = decode(datagram.bytes);
    if (!message || !is_accepted(*message, datagram.from)) {
      return void(++dropped_);
    }
    mismatched_peers_.erase(datagram.from);
    // A farewell is no sign of life.
    if (message->kind != Kind::released) {
      seen_at_[datagram.from] = now_;
    }
    switch (message->kind) {
      case Kind::lease_request:
        if (message->is_holder) {
          holder_seen_at_ = now_, holder_ = datagram.from;
          vacant_slots_ = std::min(message->amount, options_.fleet / 2),
          vacant_slots_until_ = now_ + at_most(options_.lease);
        }
        return send(datagram.from, Kind::vote, [&](Message& vote) {
          vote.in_reply_to = message->number, vote.granted = vote_for(datagram.from, message->incarnation);
        });
      case Kind::vote:
        if (message->granted) {
          count_vote(message->in_reply_to, datagram.from);
        }
        return;
      case Kind::allocation_request:
        return allocate(*message);
      case Kind::grant:
        return take_grant(*message);
      case Kind::liveness_query:
        return send(datagram.from, Kind::liveness_reply,
                    [&](Message& here) { here.in_reply_to = message->number; });
      case Kind::liveness_reply:
        return;
      case Kind::released:
        // It says so of the time after the last answer it had; that one was sent when it was there.
        if (const Millis at = grants_sent_.at(message->in_reply_to, datagram.from); at != kNever) {
          vacant_at_[datagram.from] = std::max(vacant_at_[datagram.from], at),
          seen_at_[datagram.from] = kNever;
        }
        clients_.erase(datagram.from);
        return;
    }
  }

  // Guards against a message that took long: it is dated by when the question was asked, not by when it came
  // back, for somebody may have started meanwhile.
  void on(const DatagramReturned& returned) {
    const auto number = decode_liveness_query(returned.bytes);
    const Millis at = number ? queries_sent_.at(*number, returned.at) : kNever;
    if (at == kNever) {
      return;
    }
    const auto known = vacant_at_.try_emplace(returned.at, kNever).first;
    known->second = std::max(known->second, at);
  }

  void on(const PeersChanged& peers) { alive_ = peers.alive; }
  void on(const Demand& demand) {
    const bool more = demand.wanted > demand_.wanted;
    demand_ = demand;
    if (more) {
      next_request_ = std::min(next_request_, now_);
    }
  }
  void on(const Leaving& /*unused*/) {
    if (std::exchange(left_, true)) {
      return;
    }
    if (holder_.number >= 0 && holder_ != options_.slot && last_grant_ > 0) {
      send(holder_, Kind::released, [this](Message& gone) { gone.in_reply_to = last_grant_; });
    }
  }

  // The lease: who holds it has, for a lease, the vote of a majority of the fleet, each of whom votes for
  // one at a time. So there is one at most.

  bool vote_for(SlotId candidate, Incarnation incarnation) {
    if (now_ < may_vote_at_) {
      return false;
    }
    // Two who stand at once would bind each other's voters for a lease: the one further back gives up, for
    // what it has asked for so far, and is free.
    if (voted_for_ == options_.slot && !holds_lease() && candidate < options_.slot) {
      lease_requests_.clear();
      voted_until_ = kNever;
    }
    const bool bound = now_ < voted_until_ && (voted_for_ != candidate || voted_incarnation_ != incarnation);
    if (bound || candidate.number >= options_.fleet || options_.slot.number >= options_.fleet) {
      return false;
    }
    voted_for_ = candidate, voted_incarnation_ = incarnation, voted_until_ = now_ + at_least(options_.lease);
    if (candidate != options_.slot) {
      next_lease_request_ = std::max(next_lease_request_, voted_until_);
    }
    return true;
  }

  void count_vote(std::uint32_t request, SlotId voter) {
    const auto found = lease_requests_.find(request);
    if (found == lease_requests_.end() || voter.number >= options_.fleet) {
      return;
    }
    found->second.second.insert(voter);
    if (std::ssize(found->second.second) <= options_.fleet / 2) {
      return;
    }
    // It counts from when it was asked for, by our clock; the voters count from later, and longer.
    const Millis until = found->second.first + options_.lease;
    lease_requests_.erase(found);
    if (until <= now_) {
      return;
    }
    if (!holds_lease()) {
      decisions_.push_back(LeaseReport{LeaseEvent::acquired, options_.slot});
      next_lease_request_ = now_;  // by which all hear of it
    }
    lease_until_ = std::max(lease_until_, until), holder_ = options_.slot, holder_seen_at_ = now_;
    was_holder_ = true;
  }

  [[nodiscard]] bool holds_lease() const { return now_ < lease_until_; }

  void campaign() {
    if (was_holder_ && !holds_lease()) {
      was_holder_ = false;
      holder_ = {};
      decisions_.push_back(LeaseReport{LeaseEvent::lost, options_.slot});
    }
    if (!holds_lease() && holder_.number >= 0 && now_ > holder_seen_at_ + at_least(options_.lease)) {
      holder_ = {};
    }
    if (options_.slot.number >= options_.fleet) {
      return;
    }
    // Who stands first in the list of those that are there tries first, the others each a little later.
    Millis at = next_lease_request_;
    if (!holds_lease()) {
      const auto before = std::distance(alive_.begin(), alive_.lower_bound(options_.slot));
      at = std::max(at, holder_seen_at_ + at_least(options_.lease) +
                            std::min<double>(static_cast<double>(before), 8) * options_.lease / 4);
      if (first_campaign_) {
        at = std::max(may_vote_at_,
                      started_ + std::min<double>(static_cast<double>(before), 8) * options_.lease / 4);
      }
    }
    lease_request_at_ = at;
    if (now_ < at) {
      return;
    }
    first_campaign_ = false;
    // A vote that is bound to another, or lost, is tried again after a time of chance, so that two don't go
    // on taking each other's.
    next_lease_request_ = lease_request_at_ =
        now_ +
        (holds_lease() ? options_.lease / kRenewalsPerLease : options_.lease * (0.5 + random_fraction()));
    while (lease_requests_.size() > 2 * kRenewalsPerLease) {
      lease_requests_.erase(lease_requests_.begin());
    }
    const bool held = holds_lease();
    const std::uint32_t request = ++number_;
    lease_requests_[request] = {now_, {}};
    for (int slot = 0; slot < options_.fleet; ++slot) {
      if (slot != options_.slot.number) {
        send({slot}, Kind::lease_request, [&](Message& message) {
          message.number = request, message.is_holder = held, message.amount = held ? vacant_slots() : 0;
        });
      }
    }
    if (vote_for(options_.slot, incarnation_)) {
      count_vote(request, options_.slot);
    }
  }

  // Who holds the lease asks at slots where nobody seems to be. That the question comes back is the word of
  // the machine there, the only sign by which one who is dead can be told from one who is cut off.
  void query_empty_slots() {
    if (!holds_lease() || now_ < next_query_) {
      return;
    }
    next_query_ = now_ + options_.evidence / kQueriesPerEvidence;
    for (int slot = 0; slot < options_.fleet; ++slot) {
      if (slot == options_.slot.number || alive_.contains({slot})) {
        continue;
      }
      send({slot}, Kind::liveness_query, [&](Message& query) {
        query.number = ++number_;
        queries_sent_.put(query.number, {slot}, now_);
      });
    }
  }

  [[nodiscard]] bool is_vacant(SlotId slot) const {
    const auto empty = vacant_at_.find(slot);
    if (empty == vacant_at_.end() || now_ >= empty->second + options_.evidence) {
      return false;
    }
    // Guards against something between that sends questions back: who is heard since is there.
    const auto datagram = seen_at_.find(slot);
    return datagram == seen_at_.end() || datagram->second < empty->second;
  }

  [[nodiscard]] int vacant_slots() const {
    return static_cast<int>(std::ranges::count_if(vacant_at_, [this](const auto& item) {
      return item.first.number < options_.fleet && is_vacant(item.first);
    }));
  }

  // What is known not to be used by whom it belongs to.
  [[nodiscard]] int pool(SlotId before = {kMaxSlots}) const {
    int pool = 0;
    for (const auto& [slot, at] : vacant_at_) {
      if (slot.number < options_.fleet && is_vacant(slot)) {
        pool += kSlot - options_.reserved;
      }
    }
    for (const auto& [slot, client] : clients_) {
      if (slot < before && now_ < client.lent_until && !is_vacant(slot)) {
        pool += client.lent;
      }
    }
    return pool;
  }

  // What may be in use of what was handed out, but by one: of several grants the largest, for the last may
  // have been lost.
  [[nodiscard]] int allocated(SlotId without) const {
    int allocated = 0;
    for (const auto& [slot, client] : clients_) {
      if (slot != without) {
        allocated += largest_grant(client);
      }
    }
    return allocated;
  }
  [[nodiscard]] int largest_grant(const Client& client) const {
    int most = 0;
    for (const Grant& grant : client.out) {
      if (now_ < grant.until) {
        most = std::max(most, grant.amount);
      }
    }
    return most;
  }

  // An equal part of the pool for each who wants one, none more than it wants; what some leave the others
  // get.
  [[nodiscard]] int fair_share(SlotId of) const {
    std::vector<std::pair<int, SlotId>> wants;
    for (const auto& [slot, client] : clients_) {
      if (client.wanted > 0 && now_ - client.asked < options_.lease) {
        wants.emplace_back(client.wanted, slot);
      }
    }
    std::ranges::sort(wants);
    int left = pool();
    for (std::size_t at = 0; at < wants.size(); ++at) {
      const int allocation = std::min(wants[at].first, left / static_cast<int>(wants.size() - at));
      if (wants[at].second == of) {
        return allocation;
      }
      left -= allocation;
    }
    return 0;
  }

  // For how long something may be handed out now: nothing outlasts the lease.
  [[nodiscard]] Millis grant_duration() const {
    return at_most(std::min(options_.lease, lease_until_ - now_));
  }

  void allocate(const Message& asks) {
    if (!holds_lease()) {
      return;
    }
    Client& client = clients_[asks.slot];
    if (client.incarnation != asks.incarnation) {
      client = {asks.incarnation, kNever, 0, client.out, 0, kNever};
    }
    client.asked = now_, client.wanted = asks.wanted;
    // What it lends it has not used since it had the answer that it names, and will not for two leases.
    if (const Millis known = grants_sent_.at(asks.in_reply_to, asks.slot); asks.lent > 0 && known != kNever) {
      client.lent = asks.lent, client.lent_until = known + options_.lease;
    } else if (now_ >= client.lent_until) {
      client.lent = 0;
    }
    std::erase_if(client.out, [this](const Grant& grant) { return now_ >= grant.until; });
    const int available = pool() - allocated(asks.slot);
    // Its own slot is its own again when nothing that was handed out needs it any more.
    const bool restores_slot = asks.warming_up && available >= largest_grant(client);
    const int amount = std::max(0, std::min(fair_share(asks.slot), available));
    int wanted = 0;
    for (const auto& [slot, one] : clients_) {
      if (now_ - one.asked < options_.lease) {
        wanted += one.wanted;
      }
    }
    const Millis left = grant_duration();
    if (amount > 0) {
      client.out.push_back({amount, now_ + at_least(left)});
    }
    if (asks.slot == options_.slot) {
      granted_ = amount, granted_until_ = now_ + left;
      if (restores_slot) {
        slot_restored_until_ = now_ + left;
      }
      return;
    }
    send(asks.slot, Kind::grant, [&](Message& message) {
      message.number = ++number_, message.in_reply_to = asks.number;
      message.amount = amount, message.valid_for = left, message.restores_slot = restores_slot;
      // Who lends goes on as long as those before it don't lend enough; else all would stop, and start, at
      // once.
      message.shortage = wanted > pool(asks.slot);
      grants_sent_.put(message.number, asks.slot, now_);
    });
  }

  void take_grant(const Message& allocate) {
    const Millis asked = requests_sent_.at(allocate.in_reply_to, allocate.slot);
    // Only to the last asks, and never to an earlier one than the last that was answered.
    if (asked == kNever || asked <= answered_request_at_) {
      return;
    }
    answered_request_at_ = asked, last_grant_ = allocate.number;
    holder_seen_at_ = now_, holder_ = allocate.slot;
    shortage_ = allocate.shortage;
    if (shortage_ && demand_.lent > 0) {
      next_request_ = std::min(next_request_, now_ + options_.lease / kRequestsPerLease);
    }
    const Millis until = asked + std::min(allocate.valid_for, options_.lease);
    granted_ = allocate.amount, granted_until_ = until;
    if (allocate.restores_slot && slot_restored_until_ == kNever) {
      decisions_.push_back(LeaseReport{LeaseEvent::slot_restored, options_.slot});
    }
    if (allocate.restores_slot) {
      slot_restored_until_ = until;
    }
  }

  void request_allocation() {
    if (now_ < next_request_) {
      return;
    }
    const bool warming_up = now_ < warm_at_;
    // Lent is what nobody has to ask for again at once: of a settled slot, and while others are short of it.
    const int lent = !warming_up && shortage_ ? std::clamp(demand_.lent, 0, kSlot - options_.reserved) : 0;
    const bool active = warming_up || demand_.wanted > 0 || lent > 0;
    next_request_ = now_ + options_.lease * (active ? 1 / kRequestsPerLease : kIdleLeases) *
                               (0.9 + 0.2 * random_fraction());
    Message message = new_message(Kind::allocation_request);
    message.number = ++number_, message.in_reply_to = last_grant_, message.warming_up = warming_up,
    message.wanted = demand_.wanted;
    if (holds_lease()) {
      message.slot = options_.slot;
      return allocate(message);
    }
    if (holder_.number < 0) {
      return;
    }
    std::erase_if(lent_, [this](const auto& one) { return now_ >= one.first; });
    if (lent > 0 && last_grant_ > 0) {
      message.lent = lent;
      lent_.emplace_back(now_ + 2 * at_least(options_.lease), lent);
    }
    requests_sent_.put(message.number, holder_, now_);
    decisions_.push_back(SendDatagram{holder_, encode(message)});
  }

  [[nodiscard]] Message new_message(Kind kind) const {
    Message message;
    message.kind = kind, message.slot = options_.slot, message.incarnation = incarnation_,
    message.options_hash = options_hash_;
    return message;
  }
  template <typename Fill>
  void send(SlotId to, Kind kind, Fill fill) {
    Message message = new_message(kind);
    fill(message);
    decisions_.push_back(SendDatagram{to, encode(message)});
  }

  void report_and_schedule() {
    if (const Allocation allocation = this->allocation(now_); allocation != reported_) {
      decisions_.push_back(AllocationChanged{reported_ = allocation});
    }
    Millis next = now_ + options_.lease;
    const auto at = [&](Millis when) {
      if (when > now_) {
        next = std::min(next, when);
      }
    };
    for (const Millis until : {granted_until_, slot_restored_until_}) {
      at(until), at(until - options_.notice);
    }
    at(vacant_slots_until_);
    for (const auto& [until, amount] : lent_) {
      at(until);
    }
    at(warm_at_), at(warm_at_ + options_.notice);
    if (!left_) {
      at(lease_request_at_), at(next_request_);
      if (holds_lease()) {
        at(next_query_), at(lease_until_);
      }
    }
    decisions_.push_back(RequestWakeup{next});
  }

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

}  // namespace

const char* word_of(LeaseEvent event) {
  constexpr const char* words[] = {"holds the office of shares", "lost the office of shares",
                                   "its slot is whole again", "another front has other terms"};
  return words[static_cast<int>(event)];
}

std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed) {
  return std::make_unique<QuotaManagerImpl>(options, seed);
}

}  // namespace reedspindle::quota
