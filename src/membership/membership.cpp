#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

std::vector<Decision> MembershipImpl::process(Millis now) {
  decisions_.clear();
  if (started_at_ == 0) {
    start(now);
  }
  detect_pause(now);
  now_ = std::max(now_, now);
  if (now_ >= next_rate_window_) {
    std::ranges::fill(datagrams_from_, 0);
    anti_entropy_budget_ = kAntiEntropyBudget, next_rate_window_ = now_ + options_.protocol_period;
    for (const GossipUpdate& update : peers_.forget(now_ - options_.forget_after)) {
      report_change(update, PeerEvent::forgotten);
    }
  }
  for (Event& event : std::exchange(events_, {})) {
    std::visit([this](const auto& received) { on(received); }, event);
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

View MembershipImpl::view() const {
  View view{version_, incarnation_, health_, yielded_, {}, dropped_};
  for (const auto& [name, peer] : peers_.all()) {
    view.peers.push_back({name, peer.update.slot, peer.update.state, peer.update.incarnation, peer.since});
  }
  return view;
}

void MembershipImpl::start(Millis now) {
  // The incarnation begins at the Unix time of the start, so that it rises across restarts without storage.
  // If the clock was set back, updates from peers about the previous process raise it.
  started_at_ = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(now));
  incarnation_ = {started_at_};
  now_ = wakeup_ = next_empty_slot_ping_ = now;
  next_probe_ = now + options_.protocol_period * random_fraction();
  next_anti_entropy_ = now + options_.protocol_period * kAntiEntropyPeriods * random_fraction();
  disseminate(self());
}

void MembershipImpl::on(const SlotCountChanged& changed) {
  options_.slots = changed.slots;
  datagrams_from_.resize(static_cast<std::size_t>(changed.slots));
}

void MembershipImpl::on(const Leaving& /*unused*/) {
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

void MembershipImpl::on(const DatagramReceived& datagram) {
  const auto from = static_cast<std::size_t>(datagram.from.number);
  if (from >= datagrams_from_.size()) {
    return void(++dropped_.unexpected_sender);
  }
  // Guards against a flood of datagrams from one slot: those beyond the limit are not decoded.
  if (++datagrams_from_[from] > kMaxDatagramsPerPeriod) {
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

bool MembershipImpl::is_plausible(Incarnation incarnation) const {
  return static_cast<double>(incarnation.number) < now_ + kMaxClockAhead;
}

std::optional<GossipUpdate> MembershipImpl::observe_sender(const Message& message) {
  // Only one process can run at a slot: another member recorded there has failed.
  if (const Peer* other = peers_.at(message.slot); other && other->update.name != message.name) {
    GossipUpdate failed = other->update;
    failed.state = PeerState::failed, failed.suspected_by = slot_;
    apply_update(failed);
  }
  const GossipUpdate update{message.name,
                            message.slot,
                            message.leaving ? PeerState::left : PeerState::alive,
                            message.incarnation,
                            {}};
  const Peer* stored = peers_.find(message.name);
  const bool newly_met = !stored || !is_member(stored->update.state);
  if (peers_.precedence_of(update) == PeerTable::Precedence::newer) {
    apply_update(update);
    // The sender is new or has returned: the two instances synchronize their peer tables.
    if (newly_met && !message.leaving) {
      sync_with_ = message.slot;
    }
    return std::nullopt;
  }
  if (message.leaving || !stored || stored->update == update) {
    return std::nullopt;
  }
  return stored->update;
}

void MembershipImpl::handle(const Message& message, const std::optional<GossipUpdate>& outdated) {
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
      probe_.reset();  // the peer is alive but did not answer the direct ping: no health credit
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
  // Repairs wrong failures after a partition in which each side considered the other failed: the sender
  // learns that it is recorded as failed and refutes it.
  if (outdated && (!is_member(outdated->state) || outdated->incarnation > message.incarnation)) {
    send(message.slot, Kind::updates, 0, [&](Message& updates) {
      updates.is_reply = true;
      updates.updates.push_back(*outdated);
    });
  }
}

void MembershipImpl::receive_update(const GossipUpdate& update) {
  // Updates about slots outside the list of peers are rejected.
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

void MembershipImpl::apply_update(GossipUpdate update) {
  const Peer* stored = peers_.find(update.name);
  if (!stored && !is_member(update.state)) {
    return peers_.add_tombstone(update.name, update.incarnation);
  }
  const std::optional<GossipUpdate> before = stored ? std::optional(stored->update) : std::nullopt;
  // A failure reported for a member that is alive here only starts a suspicion, so that the member has time
  // to refute it: after a partition each side would otherwise adopt the other's failures at once. If the
  // member has been suspected for a while, the failure is adopted directly, so that all instances report a
  // failure soon after the first one does.
  if (before && update.state == PeerState::failed && update.suspected_by != slot_) {
    if (before->state == PeerState::alive) {
      update.state = PeerState::suspected;
    }
    if (before->state == PeerState::suspected && now_ - stored->suspected_at < min_suspicion() / 2) {
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

GossipUpdate MembershipImpl::self() const {
  return {options_.name, slot_, PeerState::alive, incarnation_, {}};
}

void MembershipImpl::report_change(const GossipUpdate& update, PeerEvent event) {
  ++version_;
  decisions_.emplace_back(std::in_place_type<PeerChanged>,
                          PeerChanged{update.name, update.slot, event, update.incarnation});
}

void MembershipImpl::report(SelfEvent event, SlotId slot, Millis duration) {
  decisions_.emplace_back(std::in_place_type<SelfReport>, SelfReport{event, slot, duration});
}

void MembershipImpl::schedule_wakeup() {
  Millis next = kNever;
  const auto at = [&next](Millis when) { next = std::min(next, when); };
  if (!leaving_) {
    if (name_conflict_) {
      at(name_conflict_->next);
    }
    if (!yielded_) {
      at(next_probe_), at(next_empty_slot_ping_), at(next_anti_entropy_);
      if (probe_ && !probe_->indirect_sent) {
        at(probe_->sent + scaled_by_health(options_.ack_timeout));
      }
      for (const IndirectProbe& indirect : indirect_probes_) {
        at(indirect.until);
      }
    }
  }
  for (const std::string& name : peers_.suspects()) {
    at(suspicion_deadline(*peers_.find(name)));
  }
  // Wakes up at least once per protocol period even without other deadlines, so that detect_pause() can
  // distinguish a paused process from an idle one.
  wakeup_ = std::max(now_, std::min(next, now_ + options_.protocol_period));
  decisions_.emplace_back(std::in_place_type<RequestWakeup>, RequestWakeup{wakeup_});
}

const char* to_string(PeerState state) {
  constexpr const char* kTexts[] = {"there", "suspected", "failed", "left"};
  return kTexts[static_cast<int>(state)];
}

const char* to_string(PeerEvent event) {
  constexpr const char* kTexts[] = {"peer joined", "peer suspected", "peer suspicion cleared",
                                    "peer failed", "peer left",      "peer rejoined",
                                    "peer moved",  "peer forgotten"};
  return kTexts[static_cast<int>(event)];
}

std::set<SlotId> alive_peers(const View& view) {
  std::set<SlotId> alive;
  for (const PeerView& peer : view.peers) {
    if (peer.state == PeerState::alive) {
      alive.insert(peer.slot);
    }
  }
  return alive;
}

std::unique_ptr<Membership> make_membership(const Options& options, std::uint64_t seed) {
  return std::make_unique<MembershipImpl>(options, seed);
}

}  // namespace reedspindle::membership
