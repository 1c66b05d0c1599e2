#include "consistency/consistency_monitor.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::consistency {
namespace {

constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
// Outstanding requests whose replies are accepted. Requests are one poll interval apart, so a reply may take
// several intervals.
constexpr std::size_t kMaxPending = 8;
// Datagrams accepted from one slot per poll interval. A peer usually sends one poll and one reply; a peer
// that differs is polled more often.
constexpr int kMaxDatagramsPerInterval = 8;
// Minimum age, in poll intervals, at which the digest of a peer expires. The maximum is kMaxPeerDigests
// intervals.
constexpr double kMinDigestAgeIntervals = 4;
// How long, in poll intervals, a peer's report that a server was removed stays valid. Several rounds over 120
// servers fit into it, at 40 servers checked per interval.
constexpr double kSuspectIntervals = 10;

class ConsistencyMonitorImpl final : public ConsistencyMonitor {
 public:
  ConsistencyMonitorImpl(const Options& options, std::uint64_t seed)
      : options_(options), random_(make_random(seed)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (started_ == kNever) {
      started_ = next_poll_ = now, now_ = now;
    }
    now_ = std::max(now_, now);
    if (now_ >= next_rate_window_) {
      datagrams_from_.clear(), next_rate_window_ = now_ + options_.poll_interval;
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& received) { on(received); }, event);
    }
    if (2 * (alive_.size() + 1) > static_cast<std::size_t>(std::max(1, fleet_size_))) {
      majority_at_ = now_;
    }
    expire_digests();
    for (int kind = 0; kind < kDigestKinds; ++kind) {
      update_divergence(static_cast<DigestKind>(kind));
    }
    poll_next_peer();
    check_removed_servers();
    update_admission();
    schedule_wakeup();
    return std::move(decisions_);
  }

  [[nodiscard]] View view() const override {
    View view{{}, last_contact(), isolated_, admission_, reported_suspects_, dropped_};
    for (std::size_t kind = 0; kind < kDigestKinds; ++kind) {
      view.differences[kind] = divergences_[kind].difference;
    }
    return view;
  }

 private:
  struct PeerDigest {
    StateDigest digest;
    Millis at = 0;  // the peer had this digest at this time or later
  };
  // A period during which at least one peer differed, for one kind of digest.
  struct Divergence {
    Difference difference;
    StateDigest local;
    StateDigest remote;
    bool reported = false;
  };

  void on(const DatagramReceived& datagram) {
    const auto message = decode(datagram.bytes);
    if (!message || message->slot != datagram.from || datagram.from == options_.slot ||
        ++datagrams_from_[datagram.from] > kMaxDatagramsPerInterval) {
      return void(++dropped_);
    }
    if (message->kind == Kind::poll) {
      store_digest(datagram.from, message->digest, now_);
      return send(datagram.from, Kind::poll_reply, message->number);
    }
    if (message->kind == Kind::check) {
      // Only a later list than the sender's can show which servers were removed.
      if (message->digest.revision >= digest_.revision) {
        return;
      }
      std::vector<std::uint32_t> removed;
      std::ranges::copy_if(message->marks, std::back_inserter(removed),
                           [this](std::uint32_t mark) { return !ready_.contains(mark); });
      return send(datagram.from, Kind::removed, message->number, std::move(removed));
    }
    // A reply is dated by the time of its request, not of its arrival, so that a delayed reply does not pass
    // for recent state.
    const auto request = std::ranges::find(
        pending_, std::tuple(message->number, datagram.from, message->kind), &PendingRequest::id);
    if (request == pending_.end()) {
      return void(++dropped_);
    }
    store_digest(datagram.from, message->digest, request->at);
    if (message->discovery_age >= 0) {
      fleet_discovery_at_ = std::max(fleet_discovery_at_, request->at - message->discovery_age);
    }
    pending_.erase(request);
    if (message->kind != Kind::removed || !is_discovery_silent()) {
      return;
    }
    for (const std::uint32_t mark : message->marks) {
      if (ready_.contains(mark)) {
        suspect_servers_[mark] = now_ + options_.poll_interval * kSuspectIntervals;
      }
    }
  }

  // Polls newly alive peers next. Otherwise, after a network partition heals, each half would first finish
  // its polling round among its own members.
  void on(const PeersChanged& peers) {
    std::vector<SlotId> joined;
    std::ranges::set_difference(peers.alive, alive_, std::back_inserter(joined));
    std::erase_if(poll_order_, [&joined](SlotId slot) { return std::ranges::binary_search(joined, slot); });
    std::shuffle(joined.begin(), joined.end(), random_);
    poll_order_.insert(poll_order_.end(), joined.begin(), joined.end());
    alive_ = peers.alive, fleet_size_ = peers.fleet_size;
  }

  void on(const AppliedState& applied) {
    for (int kind = 0; kind < kDigestKinds; ++kind) {
      if (applied.digest.of(static_cast<DigestKind>(kind)) != digest_.of(static_cast<DigestKind>(kind))) {
        changed_at_[static_cast<std::size_t>(kind)] = now_;
      }
    }
    digest_ = applied.digest, ready_ = applied.ready;
  }

  void on(const DiscoveryAnswered& /*unused*/) {
    fleet_discovery_at_ = own_discovery_at_ = now_;
    suspect_servers_.clear();
  }

  // Returns whether discovery has not answered this instance for longer than an update takes to spread.
  [[nodiscard]] bool is_discovery_silent() const {
    return now_ - std::max(own_discovery_at_, started_) > options_.grace_period;
  }

  // While discovery does not answer this instance, asks peers with a later endpoint list which of the servers
  // that are ready here are not ready there, up to kMaxMarks servers per poll interval. Removals are accepted
  // from peers at once because they can only make this instance more cautious; additions wait for discovery.
  void check_removed_servers() {
    std::erase_if(suspect_servers_, [this](const auto& item) { return now_ >= item.second; });
    if (now_ >= next_check_) {
      next_check_ = now_ + options_.poll_interval;
      std::vector<SlotId> ahead;
      for (const auto& [slot, peer] : peer_digests_) {
        if (peer.digest.revision > digest_.revision) {
          ahead.push_back(slot);
        }
      }
      if (is_discovery_silent() && !ahead.empty() && !ready_.empty()) {
        std::vector<std::uint32_t> marks;
        auto next = ready_.upper_bound(last_checked_mark_);
        for (std::size_t count = 0; count < std::min(kMaxMarks, ready_.size()); ++count, ++next) {
          if (next == ready_.end()) {
            next = ready_.begin();
          }
          marks.push_back(last_checked_mark_ = *next);
        }
        const SlotId target = ahead[random_() % ahead.size()];
        add_pending(target, Kind::removed);
        send(target, Kind::check, sequence_, std::move(marks));
      }
    }
    std::set<std::uint32_t> marks;
    for (const auto& [mark, until] : suspect_servers_) {
      marks.insert(mark);
    }
    if (marks != reported_suspects_) {
      decisions_.push_back(SuspectServers{reported_suspects_ = std::move(marks)});
    }
  }

  void store_digest(SlotId of, const StateDigest& digest, Millis at) {
    PeerDigest& peer = peer_digests_[of];
    if (at >= peer.at) {
      peer = {digest, at};
    }
  }

  void expire_digests() {
    const double intervals = std::clamp(2.0 * static_cast<double>(alive_.size()), kMinDigestAgeIntervals,
                                        static_cast<double>(kMaxPeerDigests));
    std::erase_if(peer_digests_, [&](const auto& item) {
      return !alive_.contains(item.first) || now_ - item.second.at > options_.poll_interval * intervals;
    });
    while (peer_digests_.size() > kMaxPeerDigests) {
      peer_digests_.erase(
          std::ranges::min_element(peer_digests_, {}, [](const auto& item) { return item.second.at; }));
    }
  }

  // A digest from before the last change of this instance's own state is not comparable: both sides may have
  // changed since.
  [[nodiscard]] bool is_comparable(const PeerDigest& peer, DigestKind kind) const {
    return peer.at > changed_at_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] bool differs(const PeerDigest& peer, DigestKind kind) const {
    return is_comparable(peer, kind) && peer.digest.of(kind) != digest_.of(kind);
  }

  void update_divergence(DigestKind kind) {
    Divergence& divergence = divergences_[static_cast<std::size_t>(kind)];
    Difference& difference = divergence.difference;
    difference.differ = difference.compared = 0, difference.behind = false;
    std::optional<SlotId> one;
    for (const auto& [slot, peer] : peer_digests_) {
      difference.compared += is_comparable(peer, kind);
      if (!differs(peer, kind)) {
        continue;
      }
      if (++difference.differ == 1) {
        one = slot;
      }
      difference.behind =
          difference.behind || (kind == DigestKind::list && peer.digest.revision > digest_.revision);
    }
    if (one && difference.since == 0) {
      difference.since = now_, difference.first = *one;
      divergence.local = digest_, divergence.remote = peer_digests_.at(*one).digest;
    }
    if (difference.since > 0 && !divergence.reported && now_ - difference.since >= options_.grace_period) {
      divergence.reported = true;
      report({ConsistencyEvent::diverged, kind, difference.first, divergence.local, divergence.remote,
              now_ - difference.since});
    }
    // Without any comparable digest nothing shows that the difference has ended.
    if (one || difference.since == 0 || difference.compared == 0) {
      return;
    }
    if (divergence.reported) {
      report({ConsistencyEvent::converged, kind, difference.first, {}, {}, now_ - difference.since});
    }
    divergence = {Difference{0, difference.compared, 0, {}, false}, {}, {}, false};
  }

  // Sends every other poll to a peer that differs, if any, so that the end of a difference is detected soon.
  // All other polls go to the peers in turn, in an order that is shuffled each round.
  void poll_next_peer() {
    if (now_ < next_poll_) {
      return;
    }
    next_poll_ = now_ + options_.poll_interval * (0.9 + 0.2 * random_fraction());
    std::vector<SlotId> differing;
    for (const auto& [slot, peer] : peer_digests_) {
      for (int kind = 0; kind < kDigestKinds; ++kind) {
        if (differs(peer, static_cast<DigestKind>(kind)) && (differing.empty() || differing.back() != slot)) {
          differing.push_back(slot);
        }
      }
    }
    std::optional<SlotId> target;
    if (!differing.empty() && std::exchange(poll_differing_next_, !poll_differing_next_)) {
      target = differing[random_() % differing.size()];
    } else {
      while (!poll_order_.empty() && !alive_.contains(poll_order_.back())) {
        poll_order_.pop_back();
      }
      if (poll_order_.empty()) {
        poll_order_.assign(alive_.begin(), alive_.end());
        std::shuffle(poll_order_.begin(), poll_order_.end(), random_);
      }
      if (!poll_order_.empty()) {
        target = poll_order_.back(), poll_order_.pop_back();
      }
    }
    if (!target) {
      return;
    }
    add_pending(*target, Kind::poll_reply);
    send(*target, Kind::poll, sequence_);
  }

  void add_pending(SlotId target, Kind answer) {
    pending_.push_back({{++sequence_, target, answer}, now_});
    if (pending_.size() > kMaxPending) {
      pending_.pop_front();
    }
  }

  // Returns when this instance last had contact with a source that could correct its state: discovery,
  // directly or through a peer that it answers, or a majority of the fleet. A fleet in which every instance
  // has lost discovery keeps working; an instance that has lost both may be on the minority side of a
  // partition.
  [[nodiscard]] Millis last_contact() const {
    return std::max({started_, fleet_discovery_at_, majority_at_});
  }

  void update_admission() {
    const Millis elapsed = now_ - last_contact();
    if (const bool isolated = elapsed > options_.isolation_timeout; isolated != isolated_) {
      isolated_ = isolated;
      report({isolated ? ConsistencyEvent::isolated : ConsistencyEvent::reconnected,
              {},
              {},
              {},
              {},
              now_ - contact_lost_at_});
    }
    if (!isolated_) {
      contact_lost_at_ = last_contact();
    }
    const Admission admission{elapsed <= options_.admit_writes_for, elapsed <= options_.admit_reads_for};
    if (admission == admission_) {
      return;
    }
    if (admission_.writes && !admission.writes) {
      report({ConsistencyEvent::rejecting_writes, {}, {}, {}, {}, elapsed});
    }
    if (admission_.reads && !admission.reads) {
      report({ConsistencyEvent::rejecting_reads, {}, {}, {}, {}, elapsed});
    }
    decisions_.push_back(admission_ = admission);
  }

  void report(ConsistencyReport event) { decisions_.push_back(std::move(event)); }

  void send(SlotId to, Kind kind, std::uint32_t number, std::vector<std::uint32_t> marks = {}) {
    const Millis age = fleet_discovery_at_ == kNever ? -1 : now_ - fleet_discovery_at_;
    decisions_.push_back(
        SendDatagram{to, encode({kind, number, options_.slot, digest_, age, std::move(marks)})});
  }

  void schedule_wakeup() {
    Millis next = std::min(next_poll_, next_check_);
    for (const Millis at :
         {options_.isolation_timeout, options_.admit_writes_for, options_.admit_reads_for}) {
      if (at != kForever && last_contact() + at + 1 > now_) {
        next = std::min(next, last_contact() + at + 1);
      }
    }
    for (const Divergence& divergence : divergences_) {
      if (divergence.difference.since > 0 && !divergence.reported) {
        next = std::min(next, divergence.difference.since + options_.grace_period);
      }
    }
    decisions_.push_back(RequestWakeup{std::max(next, now_ + 1)});
  }

  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  struct PendingRequest {
    std::tuple<std::uint32_t, SlotId, Kind> id;  // number, receiver, and kind of the reply
    Millis at = 0;
  };
  const Options options_;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  Millis now_ = 0, started_ = kNever, next_poll_ = 0, next_rate_window_ = 0;
  std::set<SlotId> alive_;
  int fleet_size_ = 1;
  StateDigest digest_;
  std::array<Millis, kDigestKinds> changed_at_{kNever, kNever, kNever};
  std::map<SlotId, PeerDigest> peer_digests_;
  std::map<SlotId, int> datagrams_from_;
  std::array<Divergence, kDigestKinds> divergences_;
  std::deque<PendingRequest> pending_;
  std::vector<SlotId> poll_order_;
  std::uint32_t sequence_ = 0;
  bool poll_differing_next_ = false;
  Millis fleet_discovery_at_ = kNever, majority_at_ = kNever, contact_lost_at_ = kNever;
  bool isolated_ = false;
  Admission admission_;
  // For check_removed_servers().
  std::set<std::uint32_t> ready_, reported_suspects_;
  std::map<std::uint32_t, Millis> suspect_servers_;  // until when each is suspect
  std::uint32_t last_checked_mark_ = 0;              // where the next check continues
  Millis next_check_ = 0, own_discovery_at_ = kNever;
  std::uint64_t dropped_ = 0;
};

}  // namespace

const char* to_string(ConsistencyEvent event) {
  constexpr const char* texts[] = {"state differs from peers", "state agrees with peers again",
                                   "isolated from fleet",      "contact with fleet restored",
                                   "rejecting writes",         "rejecting reads"};
  return texts[static_cast<int>(event)];
}

std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& options, std::uint64_t seed) {
  return std::make_unique<ConsistencyMonitorImpl>(options, seed);
}

}  // namespace reedspindle::consistency
