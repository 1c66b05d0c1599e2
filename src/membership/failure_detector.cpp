// Failure detection: SWIM probes, indirect probes through other members, and pings of slots without a member.
#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

void MembershipImpl::detect_pause(Millis now) {
  const Millis gap = now - wakeup_;
  if (gap <= options_.protocol_period) {
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

void MembershipImpl::handle_ack(const Message& message) {
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
  if (const Peer* peer = peers_.find(message.name)) {
    send(indirect->requester, Kind::indirect_ack, indirect->requester_sequence,
         [&](Message& indirect_ack) { indirect_ack.updates.push_back(peer->update); });
  }
  indirect_probes_.erase(indirect);
}

void MembershipImpl::probe() {
  if (probe_ && !probe_->indirect_sent && now_ >= probe_->sent + scaled_by_health(options_.ack_timeout)) {
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
  next_probe_ = now_ + scaled_by_health(options_.protocol_period);
  const Peer* next = next_probe_target();
  if (!next) {
    return;
  }
  const GossipUpdate update = next->update;
  ping(update.slot, update.state == PeerState::suspected ? &update : nullptr);
  probe_ = Probe{update.name, update.slot, sequence_, now_};
}

void MembershipImpl::ping(SlotId slot, const GossipUpdate* update) {
  recent_pings_[++last_ping_ % recent_pings_.size()] = {++sequence_, slot};
  send(slot, Kind::ping, sequence_, [&](Message& ping) {
    if (update) {
      ping.updates.push_back(*update);
    }
  });
}

void MembershipImpl::handle_probe_timeout(const Probe& probe) {
  // Helpers that sent no nack suggest that this instance is the unhealthy one (Lifeguard).
  const int missing_nacks = probe.helpers > 0 ? probe.helpers - probe.nacks : 1;
  health_ = std::clamp(health_ + missing_nacks, 0, kMaxHealthScore);
  const Peer* peer = peers_.find(probe.name);
  if (!peer || !is_member(peer->update.state)) {
    return;
  }
  GossipUpdate update = peer->update;
  update.state = PeerState::suspected, update.suspected_by = slot_;
  receive_update(update);
}

const Peer* MembershipImpl::next_probe_target() {
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

std::vector<SlotId> MembershipImpl::random_members(int count, SlotId without) {
  std::vector<SlotId> slots;
  for (int tries = 0; tries < 4 * count && !ring_.empty() && std::ssize(slots) < count; ++tries) {
    const Peer* candidate = peers_.find(ring_[random_() % ring_.size()]);
    if (candidate && is_member(candidate->update.state) && candidate->update.slot != without &&
        !std::ranges::count(slots, candidate->update.slot)) {
      slots.push_back(candidate->update.slot);
    }
  }
  return slots;
}

void MembershipImpl::start_indirect_probe(const Message& message) {
  if (message.target.number >= options_.slots || message.target == slot_ ||
      indirect_probes_.size() >= kMaxIndirectProbes) {
    return;
  }
  indirect_probes_.push_back({message.slot, message.target, message.sequence, ++sequence_,
                              now_ + options_.ack_timeout * kNackTimeoutShare});
  send(message.target, Kind::ping, sequence_);
}

void MembershipImpl::expire_indirect_probes() {
  std::erase_if(indirect_probes_, [this](const IndirectProbe& indirect) {
    if (now_ < indirect.until) {
      return false;
    }
    send(indirect.requester, Kind::nack, indirect.requester_sequence);
    return true;
  });
}

void MembershipImpl::ping_empty_slots() {
  if (now_ < next_empty_slot_ping_) {
    return;
  }
  const bool has_no_members = peers_.member_count() == 0;
  next_empty_slot_ping_ = now_ + options_.protocol_period * (has_no_members ? 1 : kEmptySlotPingPeriods);
  int remaining = has_no_members ? kIndirectProbers : 1;
  const int first = static_cast<int>(random_() % static_cast<unsigned>(std::max(1, options_.slots)));
  for (int step = 0; step < options_.slots && remaining > 0; ++step) {
    const SlotId slot{(first + step) % options_.slots};
    if (slot == slot_ || peers_.at(slot)) {
      continue;
    }
    --remaining;
    ping(slot);
  }
}

}  // namespace reedspindle::membership
