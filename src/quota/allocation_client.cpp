// The client side of allocations: what this instance may use, requests to the lease holder, and its grants.
#include "quota/quota_manager_impl.hpp"

namespace reedspindle::quota {

Allocation QuotaManagerImpl::allocation(Millis now) const {
  if (left_) {
    return {};
  }
  const bool counts = options_.slot.number < options_.slot_count;
  Allocation allocation;
  allocation.sharing_instances = options_.slot_count - (holds_lease()               ? vacant_slots()
                                                        : now < vacant_slots_until_ ? vacant_slots_
                                                                                    : 0);
  const auto add = [&](int amount, Millis until) {
    if (now < until) {
      allocation.hold += amount;
    }
    if (now < until - options_.end_notice) {
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

void QuotaManagerImpl::take_grant(const Message& allocate) {
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
    decisions_.emplace_back(std::in_place_type<LeaseReport>,
                            LeaseReport{LeaseEvent::slot_restored, options_.slot});
  }
  if (allocate.restores_slot) {
    slot_restored_until_ = until;
  }
}

void QuotaManagerImpl::request_allocation() {
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
  decisions_.emplace_back(std::in_place_type<SendDatagram>, SendDatagram{holder_, encode(message)});
}

}  // namespace reedspindle::quota
