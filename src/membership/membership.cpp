#include "membership/membership.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <random>
#include <utility>

#include "membership/peer_table.hpp"

namespace reedspindle::membership {
namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
// Figures of the literature (SWIM: Das, Gupta, Motivala 2002; Lifeguard: Dadgar, Phillips, Currey 2018), kept
// as they are.
constexpr int kIndirectProbers = 3;        // peers asked to probe as well
constexpr int kMaxSuspecters = 3;          // others' doubts after which a suspicion lasts its shortest time
constexpr double kMaxSuspicionFactor = 6;  // the longest time of a suspicion in shortest ones
constexpr int kMaxHealthScore =
    3;  // how much an instance doubts itself at most; Lifeguard has 8, with which two
        // survivors of eight took 25 s instead of 18 to see six deaths (virtual, one run)
constexpr double kRetransmitFactor =
    4;  // times that an update is sent on, times the log10 of how many are here
constexpr double kNackTimeoutShare =
    0.8;  // of the time-out, until a helper says that it has no answer either
// Figures of our own.
constexpr int kLeaveRecipients = 8;  // peers told at once of a leaving; any one that lives passes it on
constexpr int kMaxUpdatesOfRange =
    8;  // updates on a range that go into one datagram, names being some 8 letters
constexpr double kEmptySlotPingPaces = 2;  // so that a slot that comes to life is met within slots times that
constexpr double kAntiEntropyPaces = 10;   // costs half a datagram a pace; gossip has missed little by then
constexpr int kAntiEntropyBudget = 16;     // datagrams a pace, at most, that tell where two instances differ
constexpr int kMaxIndirectProbes = 64;     // that are run for others at a time, at most
constexpr int kMaxDatagramsPerPace = 64;   // datagrams a pace that one slot may send; SWIM's sum is under ten
constexpr int kNameConflictTries = 3;  // questions to another that has this instance's name, until it is gone
constexpr Millis kMaxClockAhead =
    86400000;  // of our clock: a day, more than any clock that somebody looks after is wrong
constexpr double kNameConflictRetryPaces = 20;  // after which it is asked again

class MembershipImpl final : public Membership {
 public:
  MembershipImpl(const Options& options, std::uint64_t seed)
      : options_(options),
        random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
        peers_(options.most),
        datagrams_from_(static_cast<std::size_t>(options.slots)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (started_at_ == 0) {
      start(now);
    }
    detect_pause(now);
    now_ = std::max(now_, now);
    if (now_ >= next_rate_window_) {
      std::ranges::fill(datagrams_from_, 0);
      anti_entropy_budget_ = kAntiEntropyBudget, next_rate_window_ = now_ + options_.pace;
      for (const GossipUpdate& update : peers_.forget(now_ - options_.forget)) {
        report_change(update, PeerEvent::forgotten);
      }
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& happened) { on(happened); }, event);
    }
    if (!leaving_) {
      probe_name_conflict();
      if (!yielded_) {
        expire_indirect_probes(), probe(), ping_empty_slots(), start_anti_entropy();
      }
    }
    expire_suspicions();
    schedule_wakeup();
    return std::move(decisions_);
  }

  [[nodiscard]] View view() const override {
    View view{version_, incarnation_, health_, yielded_, {}, dropped_};
    for (const auto& [name, peer] : peers_.all()) {
      view.peers.push_back({name, peer.update.slot, peer.update.state, peer.update.incarnation, peer.since});
    }
    return view;
  }

 private:
  struct Probe {
    std::string name;
    SlotId slot;
    std::uint32_t number = 0;
    Millis sent = 0;
    bool indirect_sent = false;
    int helpers = 0, nacks = 0;
  };
  // A probe for another instance.
  struct IndirectProbe {
    SlotId requester, slot;
    std::uint32_t requester_sequence = 0, number = 0;
    Millis until = 0;
  };
  struct QueuedUpdate {
    GossipUpdate update;
    int sent = 0;
  };
  struct NameConflict {
    SlotId slot;
    Incarnation incarnation;
    int tries = 0;
    Millis next = 0;
  };

  void start(Millis now) {
    // The Unix time of the start, so that it rises over restarts without a disk; where the clock went back,
    // peers' updates of the former life raise it.
    started_at_ = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(now));
    incarnation_ = {started_at_};
    now_ = wakeup_ = next_empty_slot_ping_ = now;
    next_probe_ = now + options_.pace * random_fraction();
    next_anti_entropy_ = now + options_.pace * kAntiEntropyPaces * random_fraction();
    disseminate(self());
  }

  // Guards against a process that was stopped or starved: what it has not heard meanwhile says nothing of the
  // others. It doubts itself as much as it can, and suspicions get the time that they have missed.
  void detect_pause(Millis now) {
    const Millis gap = now - wakeup_;
    if (gap <= options_.pace) {
      return;
    }
    report(SelfEvent::paused, {}, gap);
    health_ = kMaxHealthScore;
    probe_.reset();
    indirect_probes_.clear();
    next_probe_ = now;
    for (const std::string& name : peers_.suspects()) {
      peers_.find(name)->suspected_at += gap;
    }
  }

  // What was heard.

  void on(const SlotCountChanged& listed) {
    options_.slots = listed.slots;
    datagrams_from_.resize(static_cast<std::size_t>(listed.slots));
  }

  void on(const Leaving& /*unused*/) {
    if (std::exchange(leaving_, true) || yielded_) {
      return;
    }
    GossipUpdate update = self();
    update.state = PeerState::left;
    disseminate(update);
    for (const SlotId slot : random_members(kLeaveRecipients, slot_)) {
      send(slot, Kind::updates, 0, [](Message& message) { message.is_reply = true; });
    }
  }

  void on(const DatagramReceived& datagram) {
    const auto from = static_cast<std::size_t>(datagram.from.number);
    if (from >= datagrams_from_.size()) {
      return void(++dropped_.unexpected_sender);
    }
    // Guards against a flood from one address: beyond this its datagrams are not even read.
    if (++datagrams_from_[from] > kMaxDatagramsPerPace) {
      return void(++dropped_.rate_limited);
    }
    const auto message = decode(datagram.bytes);
    if (!message) {
      return void(++dropped_.malformed);
    }
    if (message->slot != datagram.from || message->slot == slot_ || !is_plausible(message->incarnation)) {
      return void(++dropped_.unexpected_sender);
    }
    if (message->name == options_.name) {
      return resolve_name_conflict(*message);
    }
    if (yielded_) {
      return;
    }
    const std::optional<GossipUpdate> outdated = observe_sender(*message);
    for (const GossipUpdate& update : message->updates) {
      receive_update(update);
    }
    handle(*message, outdated);
  }

  // Guards against an incarnation from which nobody could rise any more, and against one that outlives its
  // instance.
  [[nodiscard]] bool is_plausible(Incarnation incarnation) const {
    return static_cast<double>(incarnation.number) < now_ + kMaxClockAhead;
  }

  // The sender itself is there. What it should hear of itself, if anything.
  std::optional<GossipUpdate> observe_sender(const Message& message) {
    // Who answers at a slot is the only one there.
    if (const Peer* other = peers_.at(message.slot); other && other->update.name != message.name) {
      GossipUpdate gone = other->update;
      gone.state = PeerState::failed, gone.suspected_by = slot_;
      apply_update(gone);
    }
    const GossipUpdate update{message.name,
                              message.slot,
                              message.leaving ? PeerState::left : PeerState::alive,
                              message.incarnation,
                              {}};
    const Peer* held = peers_.find(message.name);
    const bool newly_met = !held || !is_member(held->update.state);
    if (peers_.precedence_of(update) == PeerTable::Precedence::newer) {
      apply_update(update);
      // Met for the first time, or again: both find out what the other knows.
      if (newly_met && !message.leaving) {
        sync_with_ = message.slot;
      }
      return std::nullopt;
    }
    if (message.leaving || !held || held->update == update) {
      return std::nullopt;
    }
    return held->update;
  }

  void handle(const Message& message, const std::optional<GossipUpdate>& outdated) {
    switch (message.kind) {
      case Kind::ping:
        return send(message.slot, Kind::ack, message.sequence, [&](Message& ack) {
          if (outdated) {
            ack.updates.push_back(*outdated);
          }
        });
      case Kind::ack:
        handle_ack(message);
        break;
      case Kind::ping_req:
        start_indirect_probe(message);
        break;
      case Kind::indirect_ack:
        if (!probe_ || message.sequence != probe_->number || message.updates.empty() ||
            message.updates.front().name != probe_->name) {
          return void(++dropped_.stale_reply);
        }
        probe_.reset();  // it lives; the way there does not, which says nothing good of ourselves
        break;
      case Kind::nack:
        if (probe_ && message.sequence == probe_->number) {
          ++probe_->nacks;
        }
        break;
      case Kind::digest:
        return handle_digest(message);
      case Kind::updates:
        if (!message.is_reply) {
          handle_updates(message);
        }
        break;
    }
    // Guards against two halves that were cut off from one another and each hold the other failed: who is
    // mistaken for gone hears so and refutes it.
    if (outdated && (!is_member(outdated->state) || outdated->incarnation > message.incarnation)) {
      send(message.slot, Kind::updates, 0, [&](Message& updates) {
        updates.is_reply = true;
        updates.updates.push_back(*outdated);
      });
    }
  }

  void handle_ack(const Message& message) {
    if (probe_ && message.sequence == probe_->number) {
      probe_.reset();
      health_ = std::max(0, health_ - 1);
      return;
    }
    const auto indirect = std::ranges::find(indirect_probes_, message.sequence, &IndirectProbe::number);
    if (indirect == indirect_probes_.end()) {
      if (!std::ranges::count(recent_pings_, std::pair(message.sequence, message.slot))) {
        ++dropped_.stale_reply;
      }
      return;
    }
    if (const Peer* there = peers_.find(message.name)) {
      send(indirect->requester, Kind::indirect_ack, indirect->requester_sequence,
           [&](Message& vouch) { vouch.updates.push_back(there->update); });
    }
    indirect_probes_.erase(indirect);
  }

  // Updates.

  void receive_update(const GossipUpdate& update) {
    // Only slots of the list are believed.
    if (update.slot.number >= options_.slots || !is_plausible(update.incarnation)) {
      return void(++dropped_.unexpected_sender);
    }
    if (update.name == options_.name) {
      return receive_update_of_self(update);
    }
    switch (peers_.precedence_of(update)) {
      case PeerTable::Precedence::newer:
        return apply_update(update);
      case PeerTable::Precedence::confirmation:
        return confirm_suspicion(*peers_.find(update.name), update.suspected_by);
      default:
        return;
    }
  }

  // One more that suspects it, as far as that still counts; told on, for it shortens the others' patience
  // too.
  void confirm_suspicion(Peer& peer, SlotId suspected_by) {
    if (suspected_by.number < 0 || peer.suspecters.size() > kMaxSuspecters ||
        std::ranges::count(peer.suspecters, suspected_by)) {
      return;
    }
    peer.suspecters.push_back(suspected_by);
    GossipUpdate update = peer.update;
    update.suspected_by = suspected_by;
    disseminate(update);
  }

  // A update that outweighs what is held.
  void apply_update(GossipUpdate update) {
    const Peer* held = peers_.find(update.name);
    if (!held && !is_member(update.state)) {
      return peers_.add_tombstone(update.name, update.incarnation);
    }
    const std::optional<GossipUpdate> before = held ? std::optional(held->update) : std::nullopt;
    // Who is there in our eyes gets the time to refute it: guards against one half's belief about the other
    // coming in at once when they meet again. Where it has been suspected for a while, a failure is taken as
    // told, so that all hear of a death soon after the first.
    if (before && update.state == PeerState::failed && update.suspected_by != slot_) {
      if (before->state == PeerState::alive) {
        update.state = PeerState::suspected;
      }
      if (before->state == PeerState::suspected && now_ - held->suspected_at < min_suspicion() / 2) {
        return confirm_suspicion(*peers_.find(update.name), update.suspected_by);
      }
    }
    Peer& peer = peers_.store(update, now_);
    if (update.state == PeerState::suspected && update.suspected_by.number >= 0) {
      peer.suspecters.push_back(update.suspected_by);
    }
    disseminate(update);
    const bool was_member = before && is_member(before->state);
    const bool now_member = is_member(update.state);
    if (!was_member && now_member) {
      ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(random_() % (ring_.size() + 1)), update.name);
      report_change(update, before ? PeerEvent::rejoined : PeerEvent::joined);
    }
    if (was_member && now_member && before->slot != update.slot) {
      report_change(update, PeerEvent::moved);
    }
    if (update.state == PeerState::suspected && (!before || before->state != PeerState::suspected)) {
      report_change(update, PeerEvent::suspected);
    }
    if (update.state == PeerState::alive && before && before->state == PeerState::suspected) {
      report_change(update, PeerEvent::cleared);
    }
    if (was_member && !now_member) {
      report_change(update, update.state == PeerState::left ? PeerEvent::left : PeerEvent::failed);
    }
  }

  void receive_update_of_self(const GossipUpdate& update) {
    if (leaving_ || update.incarnation < incarnation_) {
      return;
    }
    if (update.slot != slot_) {
      if (is_member(update.state)) {
        return note_name_conflict(update.slot, update.incarnation);
      }
      return raise_incarnation(update.incarnation);
    }
    if (update.state == PeerState::alive) {
      // Of a former life, whose clock was ahead of ours.
      if (update.incarnation > incarnation_) {
        raise_incarnation(update.incarnation);
      }
      return;
    }
    raise_incarnation(update.incarnation);
    if (update.state == PeerState::left) {
      return;  // the former life's farewell
    }
    health_ = std::min(kMaxHealthScore, health_ + 1);
    report(SelfEvent::refuted, update.suspected_by);
  }

  void raise_incarnation(Incarnation above) {
    incarnation_.number = std::max(incarnation_.number, above.number) + 1;
    disseminate(self());
  }

  // Another process with this instance's name.

  void note_name_conflict(SlotId slot, Incarnation incarnation) {
    if (name_conflict_ && name_conflict_->slot == slot) {
      name_conflict_->incarnation = std::max(name_conflict_->incarnation, incarnation);
      return;
    }
    name_conflict_ = NameConflict{slot, incarnation, 0, now_};
    report(SelfEvent::name_contested, slot);
  }

  // Of two live processes with one name the one that was started later yields; with the same start, the one
  // that stands further back in the list. Both go by what the other says of itself, so one yields, not both.
  void resolve_name_conflict(const Message& message) {
    if (leaving_) {
      return;
    }
    if (std::pair(message.started_at, message.slot) < std::pair(started_at_, slot_)) {
      if (!std::exchange(yielded_, true)) {
        report(SelfEvent::name_yielded, message.slot);
      }
      name_conflict_ =
          NameConflict{message.slot, message.incarnation, 0, now_ + kNameConflictRetryPaces * options_.pace};
      return;
    }
    name_conflict_.reset();
    if (message.incarnation >= incarnation_) {
      raise_incarnation(message.incarnation);
    }
    if (message.kind == Kind::ping) {
      send(message.slot, Kind::ack, message.sequence);
    }
  }

  void probe_name_conflict() {
    if (!name_conflict_ || now_ < name_conflict_->next) {
      return;
    }
    if (name_conflict_->tries++ < kNameConflictTries) {
      name_conflict_->next = now_ + options_.pace;
      return send(name_conflict_->slot, Kind::ping, ++sequence_);
    }
    // Nobody is there any more under this name: it has moved here.
    const NameConflict gone = *std::exchange(name_conflict_, std::nullopt);
    yielded_ = false;
    raise_incarnation(gone.incarnation);
    report(SelfEvent::name_claimed, gone.slot);
  }

  // Probes.

  [[nodiscard]] Millis scaled_by_health(Millis duration) const { return duration * (1 + health_); }

  void probe() {
    if (probe_ && !probe_->indirect_sent && now_ >= probe_->sent + scaled_by_health(options_.timeout)) {
      probe_->indirect_sent = true;
      for (const SlotId helper : random_members(kIndirectProbers, probe_->slot)) {
        ++probe_->helpers;
        send(helper, Kind::ping_req, probe_->number,
             [this](Message& ping_req) { ping_req.target = probe_->slot; });
      }
    }
    if (now_ < next_probe_) {
      return;
    }
    if (probe_) {
      handle_probe_timeout(*std::exchange(probe_, std::nullopt));
    }
    next_probe_ = now_ + scaled_by_health(options_.pace);
    const Peer* next = next_probe_target();
    if (!next) {
      return;
    }
    const GossipUpdate update = next->update;
    ping(update.slot, update.state == PeerState::suspected ? &update : nullptr);
    probe_ = Probe{update.name, update.slot, sequence_, now_};
  }

  // A question whether somebody is there; who is suspected is told so with it.
  void ping(SlotId slot, const GossipUpdate* update = nullptr) {
    recent_pings_[++last_ping_ % recent_pings_.size()] = {++sequence_, slot};
    send(slot, Kind::ping, sequence_, [&](Message& ping) {
      if (update) {
        ping.updates.push_back(*update);
      }
    });
  }

  void handle_probe_timeout(const Probe& probe) {
    // Helpers that said nothing either speak against ourselves.
    const int silent = probe.helpers > 0 ? probe.helpers - probe.nacks : 1;
    health_ = std::clamp(health_ + silent, 0, kMaxHealthScore);
    const Peer* peer = peers_.find(probe.name);
    if (!peer || !is_member(peer->update.state)) {
      return;
    }
    GossipUpdate update = peer->update;
    update.state = PeerState::suspected, update.suspected_by = slot_;
    receive_update(update);
  }

  // All in turn, in an order of chance that is drawn anew each round (SWIM's bounded time to a first probe).
  const Peer* next_probe_target() {
    for (std::size_t tries = 0; tries <= ring_.size(); ++tries) {
      if (ring_position_ >= ring_.size()) {
        ring_position_ = 0;
        ring_.clear();
        for (const auto& [name, peer] : peers_.all()) {
          if (is_member(peer.update.state)) {
            ring_.push_back(name);
          }
        }
        for (std::size_t left = ring_.size(); left > 1; --left) {
          std::swap(ring_[left - 1], ring_[random_() % left]);
        }
      }
      if (ring_.empty()) {
        return nullptr;
      }
      const Peer* next = peers_.find(ring_[ring_position_++]);
      if (next && is_member(next->update.state)) {
        return next;
      }
    }
    return nullptr;
  }

  // Places of peers that are here, drawn by chance, without one.
  std::vector<SlotId> random_members(int count, SlotId without) {
    std::vector<SlotId> slots;
    for (int tries = 0; tries < 4 * count && !ring_.empty() && std::ssize(slots) < count; ++tries) {
      const Peer* drawn = peers_.find(ring_[random_() % ring_.size()]);
      if (drawn && is_member(drawn->update.state) && drawn->update.slot != without &&
          !std::ranges::count(slots, drawn->update.slot)) {
        slots.push_back(drawn->update.slot);
      }
    }
    return slots;
  }

  void start_indirect_probe(const Message& message) {
    if (message.target.number >= options_.slots || message.target == slot_ ||
        indirect_probes_.size() >= kMaxIndirectProbes) {
      return;
    }
    indirect_probes_.push_back({message.slot, message.target, message.sequence, ++sequence_,
                                now_ + options_.timeout * kNackTimeoutShare});
    send(message.target, Kind::ping, sequence_);
  }

  void expire_indirect_probes() {
    std::erase_if(indirect_probes_, [this](const IndirectProbe& indirect) {
      if (now_ < indirect.until) {
        return false;
      }
      send(indirect.requester, Kind::nack, indirect.requester_sequence);
      return true;
    });
  }

  // Ends suspicions. The fewer others share one, the longer it lasts: then it may be ourselves.
  void expire_suspicions() {
    std::vector<GossipUpdate> failed;
    for (const std::string& name : peers_.suspects()) {
      if (const Peer& peer = *peers_.find(name); now_ >= suspicion_deadline(peer)) {
        failed.push_back(peer.update);
      }
    }
    for (GossipUpdate& update : failed) {
      update.state = PeerState::failed, update.suspected_by = slot_;
      apply_update(update);
    }
  }

  [[nodiscard]] Millis min_suspicion() const {
    return options_.suspicion_multiplier * std::max(1.0, std::log10(peers_.member_count() + 1)) *
           options_.pace;
  }

  [[nodiscard]] Millis suspicion_deadline(const Peer& peer) const {
    const double here = peers_.member_count() + 1;
    const Millis min_suspicion = this->min_suspicion();
    const double others = std::min<double>(kMaxSuspecters, here - 3);
    if (others < 1) {
      return peer.suspected_at + min_suspicion;
    }
    const double shared =
        std::log(std::max<double>(1, static_cast<double>(peer.suspecters.size()))) / std::log(others + 1);
    return peer.suspected_at +
           std::max(min_suspicion,
                    kMaxSuspicionFactor * min_suspicion - (kMaxSuspicionFactor - 1) * min_suspicion * shared);
  }

  // Asks at slots where nobody is held to be: at the start, and so that those who were cut off, or have come
  // to the list anew, are found.
  void ping_empty_slots() {
    if (now_ < next_empty_slot_ping_) {
      return;
    }
    const bool alone = peers_.member_count() == 0;
    next_empty_slot_ping_ = now_ + options_.pace * (alone ? 1 : kEmptySlotPingPaces);
    int asks = alone ? kIndirectProbers : 1;
    const int first = static_cast<int>(random_() % static_cast<unsigned>(std::max(1, options_.slots)));
    for (int step = 0; step < options_.slots && asks > 0; ++step) {
      const SlotId slot{(first + step) % options_.slots};
      if (slot == slot_ || peers_.at(slot)) {
        continue;
      }
      --asks;
      ping(slot);
    }
  }

  // Where two instances differ: sums of all they hold, then of the parts whose sums are not the same, down to
  // updates (the hash tree of Dynamo, DeCandia et al. 2007).

  void start_anti_entropy() {
    if (now_ >= next_anti_entropy_) {
      next_anti_entropy_ = now_ + options_.pace * kAntiEntropyPaces;
      if (const auto with = random_members(1, slot_); !with.empty()) {
        send_digest(with.front(), {});
      }
    }
    if (const auto with = std::exchange(sync_with_, std::nullopt)) {
      send_digest(*with, {});
    }
  }

  void send_digest(SlotId to, Range range) {
    send(to, Kind::digest, 0, [&](Message& digest) {
      digest.range = range;
      digest.digests = peers_.digests(range, self());
    });
  }

  void handle_digest(const Message& message) {
    const std::vector<std::uint32_t> digests = peers_.digests(message.range, self());
    const unsigned first = random_() % kDigestFanOut;
    for (unsigned step = 0; step < kDigestFanOut && anti_entropy_budget_ > 0; ++step) {
      const unsigned part = (first + step) % kDigestFanOut;
      if (digests[part] == message.digests[part]) {
        continue;
      }
      --anti_entropy_budget_;
      send_range(message.slot, {message.range.depth + 1, message.range.prefix << 4 | part}, false);
    }
  }

  void handle_updates(const Message& message) {
    if (anti_entropy_budget_ <= 0) {
      return;
    }
    --anti_entropy_budget_;
    send_range(message.slot, message.range, true, &message.updates);
  }

  // Updates on all in the range but those that the other has told the same; sums where they are too many.
  void send_range(SlotId to, Range range, bool is_reply, const std::vector<GossipUpdate>* sent = nullptr) {
    auto updates = peers_.updates(range, self(), kMaxUpdatesOfRange);
    if (!updates && range.depth < kMaxDigestDepth) {
      return send_digest(to, range);
    }
    if (!updates) {
      return;
    }
    if (sent) {
      std::erase_if(*updates, [&](const GossipUpdate& update) {
        return std::ranges::any_of(*sent, [&](const GossipUpdate& other) {
          return other.name == update.name && other.incarnation == update.incarnation &&
                 other.state == update.state;
        });
      });
    }
    if (is_reply && updates->empty()) {
      return;
    }
    send(to, Kind::updates, 0, [&](Message& message) {
      message.range = range, message.is_reply = is_reply;
      message.updates = std::move(*updates);
    });
  }

  // What goes out.

  [[nodiscard]] GossipUpdate self() const {
    return {options_.name, slot_, PeerState::alive, incarnation_, {}};
  }

  void disseminate(const GossipUpdate& update) { queue_[update.name] = {update, 0}; }

  // The news sent least often go along, behind what the message itself has to say.
  template <typename Fill>
  void send(SlotId to, Kind kind, std::uint32_t number, Fill fill) {
    Message message;
    message.kind = kind, message.sequence = number, message.name = options_.name, message.slot = slot_;
    message.incarnation = incarnation_, message.started_at = started_at_, message.leaving = leaving_;
    fill(message);
    const std::size_t own = message.updates.size();
    std::vector<QueuedUpdate*> queued;
    for (auto& [name, one] : queue_) {
      queued.push_back(&one);
    }
    std::ranges::stable_sort(queued, {}, &QueuedUpdate::sent);
    if (queued.size() > kMaxUpdates) {
      queued.resize(kMaxUpdates);
    }
    for (const QueuedUpdate* one : queued) {
      message.updates.push_back(one->update);
    }
    std::size_t sent = 0;
    decisions_.push_back(SendDatagram{to, encode(message, sent)});
    const int most = static_cast<int>(std::ceil(kRetransmitFactor * std::log10(peers_.member_count() + 2)));
    for (std::size_t at = own; at < sent; ++at) {
      if (QueuedUpdate* one = queued[at - own]; ++one->sent >= most) {
        queue_.erase(std::string(one->update.name));
      }
    }
  }
  void send(SlotId to, Kind kind, std::uint32_t number) {
    send(to, kind, number, [](Message&) {});
  }

  void report_change(const GossipUpdate& update, PeerEvent event) {
    ++version_;
    decisions_.push_back(PeerChanged{update.name, update.slot, event, update.incarnation});
  }
  void report(SelfEvent event, SlotId slot, Millis duration = 0) {
    decisions_.push_back(SelfReport{event, slot, duration});
  }

  void schedule_wakeup() {
    Millis next = kNever;
    const auto at = [&next](Millis when) { next = std::min(next, when); };
    if (!leaving_) {
      if (name_conflict_) {
        at(name_conflict_->next);
      }
      if (!yielded_) {
        at(next_probe_), at(next_empty_slot_ping_), at(next_anti_entropy_);
        if (probe_ && !probe_->indirect_sent) {
          at(probe_->sent + scaled_by_health(options_.timeout));
        }
        for (const IndirectProbe& indirect : indirect_probes_) {
          at(indirect.until);
        }
      }
    }
    for (const std::string& name : peers_.suspects()) {
      at(suspicion_deadline(*peers_.find(name)));
    }
    // Alone with its farewell it still minds its clock, so that a gap can be told from quiet.
    wakeup_ = std::max(now_, std::min(next, now_ + options_.pace));
    decisions_.push_back(RequestWakeup{wakeup_});
  }

  double random_fraction() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  Options options_;
  const SlotId slot_ = options_.slot;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  PeerTable peers_;
  std::vector<std::string> ring_;  // who is probed in turn
  std::size_t ring_position_ = 0;
  std::map<std::string, QueuedUpdate> queue_;
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  std::optional<NameConflict> name_conflict_;
  std::optional<SlotId> sync_with_;
  std::array<std::pair<std::uint32_t, SlotId>, 16> recent_pings_{};  // this instance's last questions
  std::size_t last_ping_ = 0;
  std::vector<int> datagrams_from_;  // datagrams of each slot in this pace
  Dropped dropped_;
  Incarnation incarnation_;
  std::uint64_t started_at_ = 0, version_ = 0;
  std::uint32_t sequence_ = 0;
  int health_ = 0, anti_entropy_budget_ = kAntiEntropyBudget;
  bool leaving_ = false, yielded_ = false;
  Millis now_ = 0, wakeup_ = 0;
  Millis next_probe_ = 0, next_empty_slot_ping_ = 0, next_anti_entropy_ = 0, next_rate_window_ = 0;
};

}  // namespace

const char* word_of(PeerState state) {
  constexpr const char* updates[] = {"there", "suspected", "failed", "left"};
  return updates[static_cast<int>(state)];
}

const char* word_of(PeerEvent event) {
  constexpr const char* updates[] = {"joined", "suspected", "cleared", "failed",
                                     "left",   "back",      "moved",   "forgotten"};
  return updates[static_cast<int>(event)];
}

std::set<SlotId> alive_peers(const View& view) {
  std::set<SlotId> there;
  for (const PeerView& peer : view.peers) {
    if (peer.state == PeerState::alive) {
      there.insert(peer.slot);
    }
  }
  return there;
}

std::unique_ptr<Membership> make_membership(const Options& options, std::uint64_t seed) {
  return std::make_unique<MembershipImpl>(options, seed);
}

}  // namespace reedspindle::membership
