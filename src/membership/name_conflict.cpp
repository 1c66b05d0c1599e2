// Handles conflicts with another process that uses the name of this instance.
#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

void MembershipImpl::record_name_conflict(SlotId slot, Incarnation incarnation) {
  if (name_conflict_ && name_conflict_->slot == slot) {
    name_conflict_->incarnation = std::max(name_conflict_->incarnation, incarnation);
    return;
  }
  name_conflict_ = NameConflict{slot, incarnation, 0, now_};
  report(SelfEvent::name_contested, slot);
}

void MembershipImpl::resolve_name_conflict(const Message& message) {
  if (leaving_) {
    return;
  }
  if (std::pair(message.started_at, message.slot) < std::pair(started_at_, slot_)) {
    if (!std::exchange(yielded_, true)) {
      report(SelfEvent::name_yielded, message.slot);
    }
    name_conflict_ = NameConflict{message.slot, message.incarnation, 0,
                                  now_ + kNameConflictRetryPeriods * options_.protocol_period};
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

void MembershipImpl::probe_name_conflict() {
  if (!name_conflict_ || now_ < name_conflict_->next) {
    return;
  }
  if (name_conflict_->tries++ < kNameConflictTries) {
    name_conflict_->next = now_ + options_.protocol_period;
    return send(name_conflict_->slot, Kind::ping, ++sequence_);
  }
  // The other process no longer answers: this instance takes over the name.
  const NameConflict ended = *std::exchange(name_conflict_, std::nullopt);
  yielded_ = false;
  raise_incarnation(ended.incarnation);
  report(SelfEvent::name_claimed, ended.slot);
}

}  // namespace reedspindle::membership
