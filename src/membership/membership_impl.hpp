// The implementation of Membership: its state and member functions. They are defined in several files by
// subject; all of them run on the thread that calls process().
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/random.hpp"
#include "membership/peer_table.hpp"

namespace reedspindle::membership {

inline constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

// Values from the literature. SWIM: Das, Gupta, Motivala 2002. Lifeguard: Dadgar, Phillips, Currey 2018.
inline constexpr int kIndirectProbers = 3;  // members asked for an indirect probe
inline constexpr int kMaxSuspecters = 3;    // independent suspicions that shorten the timeout to its minimum
inline constexpr double kMaxSuspicionFactor = 6;  // maximum suspicion timeout divided by the minimum
// Upper bound of the local health score. With Lifeguard's value of 8, two survivors of a fleet of eight took
// 25 s instead of 18 s to detect six failures (virtual time, one run).
inline constexpr int kMaxHealthScore = 3;
inline constexpr double kRetransmitFactor = 4;    // transmissions of an update per log10 of the fleet size
inline constexpr double kNackTimeoutShare = 0.8;  // share of the ack timeout after which a nack is sent

// Values of this implementation. A period is Options::protocol_period.
inline constexpr int kLeaveRecipients = 8;    // members that are notified directly of a graceful shutdown
inline constexpr int kMaxUpdatesOfRange = 8;  // updates in one anti-entropy datagram, at 8-byte names
inline constexpr double kEmptySlotPingPeriods = 2;  // periods between two pings of empty slots
inline constexpr double kAntiEntropyPeriods = 10;   // periods between two anti-entropy exchanges
inline constexpr int kAntiEntropyBudget = 16;      // maximum number of anti-entropy datagrams sent per period
inline constexpr int kMaxIndirectProbes = 64;      // maximum number run for other members at a time
inline constexpr int kMaxDatagramsPerPeriod = 64;  // accepted from one slot; fewer than ten are needed
inline constexpr int kNameConflictTries = 3;       // unanswered pings until the other process counts as gone
inline constexpr Millis kMaxClockAhead = 86400000;  // one day: incarnations further ahead are rejected
// Periods after yielding until the other process is pinged again.
inline constexpr double kNameConflictRetryPeriods = 20;

class MembershipImpl final : public Membership {
 public:
  MembershipImpl(const Options& options, std::uint64_t seed)
      : options_(options),
        random_(make_random(seed)),
        peers_(options.max_peers),
        datagrams_from_(static_cast<std::size_t>(options.slots)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override;

  [[nodiscard]] View view() const override;

 private:
  // The probe that this instance runs in the current protocol period.
  struct Probe {
    std::string name;
    SlotId slot;
    std::uint32_t number = 0;
    Millis sent = 0;
    bool indirect_sent = false;
    int helpers = 0, nacks = 0;
  };
  // A probe on behalf of another member.
  struct IndirectProbe {
    SlotId requester, slot;
    std::uint32_t requester_sequence = 0, number = 0;
    Millis until = 0;
  };
  // An update that is being disseminated.
  struct QueuedUpdate {
    GossipUpdate update;
    int sent = 0;
  };
  // Another process that uses the name of this instance.
  struct NameConflict {
    SlotId slot;
    Incarnation incarnation;
    int tries = 0;
    Millis next = 0;
  };

  void start(Millis now);

  // Detects that this process was paused. Acks that were missed during a pause say nothing about the peers,
  // so the health score is set to its maximum and suspicions are extended by the length of the pause.
  void detect_pause(Millis now);

  void on(const SlotCountChanged& changed);

  void on(const Leaving& /*unused*/);

  void on(const DatagramReceived& datagram);

  // Returns whether an incarnation is not too far ahead of this clock. An incarnation near the maximum could
  // never be overridden.
  [[nodiscard]] bool is_plausible(Incarnation incarnation) const;

  // Applies what a message says about its sender. Returns the stored update if it overrides the message, so
  // that the sender can refute it.
  std::optional<GossipUpdate> observe_sender(const Message& message);

  void handle(const Message& message, const std::optional<GossipUpdate>& outdated);

  void handle_ack(const Message& message);

  void receive_update(const GossipUpdate& update);

  // Counts an independent suspicion, which shortens the suspicion timeout, and disseminates it.
  void confirm_suspicion(Peer& peer, SlotId suspected_by);

  // Applies an update that overrides the stored one.
  void apply_update(GossipUpdate update);

  void receive_update_of_self(const GossipUpdate& update);

  void raise_incarnation(Incarnation above);

  void record_name_conflict(SlotId slot, Incarnation incarnation);

  // Handles a message from another live process with the same name. The process that started later yields;
  // with equal start times, the one in the higher slot. Both decide by the same values, so exactly one
  // yields.
  void resolve_name_conflict(const Message& message);

  // Pings the other process; claims the name when it no longer answers.
  void probe_name_conflict();

  [[nodiscard]] Millis scaled_by_health(Millis duration) const { return duration * (1 + health_); }

  // Advances the current probe: requests indirect probes, handles the timeout, starts the next probe.
  void probe();

  // Sends a ping, with the given update about its receiver if any.
  void ping(SlotId slot, const GossipUpdate* update = nullptr);

  void handle_probe_timeout(const Probe& probe);

  // Returns the next member in round-robin order over a permutation that is shuffled each round, which bounds
  // the detection time as in SWIM.
  const Peer* next_probe_target();

  // Returns the slots of up to count random members, excluding the given slot.
  std::vector<SlotId> random_members(int count, SlotId without);

  void start_indirect_probe(const Message& message);

  void expire_indirect_probes();

  // Turns suspicions past their deadline into failures.
  void expire_suspicions();

  [[nodiscard]] Millis min_suspicion() const;

  // Returns when a suspicion becomes a failure. The deadline is later if fewer members share the suspicion.
  [[nodiscard]] Millis suspicion_deadline(const Peer& peer) const;

  // Pings slots without a known member: at the start, after a partition, and after the list has grown.
  void ping_empty_slots();

  void start_anti_entropy();

  void send_digest(SlotId to, Range range);

  void handle_digest(const Message& message);

  void handle_updates(const Message& message);

  // Sends the updates of a range, except those that the peer has sent. If there are too many for one
  // datagram, sends the digests of the range's children instead.
  void send_range(SlotId to, Range range, bool is_reply, const std::vector<GossipUpdate>* sent = nullptr);

  [[nodiscard]] GossipUpdate self() const;

  void disseminate(const GossipUpdate& update) { queue_[update.name] = {update, 0}; }

  // Sends a message and fills the datagram with queued updates, those sent least often first.
  void send(SlotId to, Kind kind, std::uint32_t number, const std::function<void(Message&)>& fill);
  void send(SlotId to, Kind kind, std::uint32_t number);

  void report_change(const GossipUpdate& update, PeerEvent event);
  void report(SelfEvent event, SlotId slot, Millis duration = 0);

  void schedule_wakeup();

  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  Options options_;
  const SlotId slot_ = options_.slot;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  PeerTable peers_;
  std::vector<std::string> ring_;  // names of members in probe order
  std::size_t ring_position_ = 0;
  std::map<std::string, QueuedUpdate> queue_;
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  std::optional<NameConflict> name_conflict_;
  std::optional<SlotId> sync_with_;
  std::array<std::pair<std::uint32_t, SlotId>, 16> recent_pings_{};  // sequence number and slot
  std::size_t last_ping_ = 0;
  std::vector<int> datagrams_from_;  // by slot, in the current period
  Dropped dropped_;
  Incarnation incarnation_;
  std::uint64_t started_at_ = 0, version_ = 0;
  std::uint32_t sequence_ = 0;
  int health_ = 0, anti_entropy_budget_ = kAntiEntropyBudget;
  bool leaving_ = false, yielded_ = false;
  Millis now_ = 0, wakeup_ = 0;
  Millis next_probe_ = 0, next_empty_slot_ping_ = 0, next_anti_entropy_ = 0, next_rate_window_ = 0;
};

}  // namespace reedspindle::membership
