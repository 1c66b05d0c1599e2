// Suspicions of peers with Lifeguard's timeouts, and refutation of suspicions of this instance.
#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

void MembershipImpl::confirm_suspicion(Peer& peer, SlotId suspected_by) {
  if (suspected_by.number < 0 || peer.suspecters.size() > kMaxSuspecters ||
      std::ranges::count(peer.suspecters, suspected_by)) {
    return;
  }
  peer.suspecters.push_back(suspected_by);
  GossipUpdate update = peer.update;
  update.suspected_by = suspected_by;
  disseminate(update);
}

void MembershipImpl::receive_update_of_self(const GossipUpdate& update) {
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

void MembershipImpl::raise_incarnation(Incarnation above) {
  incarnation_.number = std::max(incarnation_.number, above.number) + 1;
  disseminate(self());
}

void MembershipImpl::expire_suspicions() {
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

Millis MembershipImpl::min_suspicion() const {
  return options_.suspicion_multiplier * std::max(1.0, std::log10(peers_.member_count() + 1)) *
         options_.protocol_period;
}

Millis MembershipImpl::suspicion_deadline(const Peer& peer) const {
  const double here = peers_.member_count() + 1;
  const Millis min_suspicion = this->min_suspicion();
  const double others = std::min<double>(kMaxSuspecters, here - 3);
  if (others < 1) {
    return peer.suspected_at + min_suspicion;
  }
  const double shared =
      std::log(std::max<double>(1, static_cast<double>(peer.suspecters.size()))) / std::log(others + 1);
  return peer.suspected_at + std::max(min_suspicion, kMaxSuspicionFactor * min_suspicion -
                                                         (kMaxSuspicionFactor - 1) * min_suspicion * shared);
}

}  // namespace reedspindle::membership
