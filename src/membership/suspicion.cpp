// Suspicions of peers with Lifeguard's timeouts, and refutation of suspicions about this instance.
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
      return record_name_conflict(update.slot, update.incarnation);
    }
    return raise_incarnation(update.incarnation);
  }
  if (update.state == PeerState::alive) {
    // From a previous process at this slot, whose clock was ahead of this one.
    if (update.incarnation > incarnation_) {
      raise_incarnation(update.incarnation);
    }
    return;
  }
  raise_incarnation(update.incarnation);
  if (update.state == PeerState::left) {
    return;  // the graceful shutdown of the previous process
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
  const double fleet_size = peers_.member_count() + 1;
  const Millis min_suspicion = this->min_suspicion();
  const double max_confirmations = std::min<double>(kMaxSuspecters, fleet_size - 3);
  if (max_confirmations < 1) {
    return peer.suspected_at + min_suspicion;
  }
  const double confirmed_share = std::log(std::max<double>(1, static_cast<double>(peer.suspecters.size()))) /
                                 std::log(max_confirmations + 1);
  return peer.suspected_at +
         std::max(min_suspicion, kMaxSuspicionFactor * min_suspicion -
                                     (kMaxSuspicionFactor - 1) * min_suspicion * confirmed_share);
}

}  // namespace reedspindle::membership
