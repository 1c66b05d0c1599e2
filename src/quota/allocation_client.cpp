// The client side of allocations: computes what this instance may use, requests allocations from the lease
// holder and applies its grants.
#include "quota/quota_manager_impl.hpp"

namespace reedspindle::quota {

Allocation QuotaManagerImpl::allocation(Millis now) const {
  if (left_) {
    return {};
  }
  const bool has_slot = options_.slot.number < options_.slot_count;
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
  if (has_slot) {
    add(options_.reserved, kForever);
  }
  if (has_slot) {
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

void QuotaManagerImpl::handle_grant(const Message& grant) {
  const Millis requested_at = requests_sent_.at(grant.in_reply_to, grant.slot);
  // Accepts only replies to recent requests that are newer than the last request that was answered.
  if (requested_at == kNever || requested_at <= answered_request_at_) {
    return;
  }
  answered_request_at_ = requested_at, last_grant_ = grant.number;
  holder_seen_at_ = now_, holder_ = grant.slot;
  shortage_ = grant.shortage;
  if (shortage_ && demand_.lent > 0) {
    next_request_ = std::min(next_request_, now_ + options_.lease / kRequestsPerLease);
  }
  const Millis until = requested_at + std::min(grant.valid_for, options_.lease);
  granted_ = grant.amount, granted_until_ = until;
  if (grant.restores_slot && slot_restored_until_ == kNever) {
    decisions_.emplace_back(std::in_place_type<LeaseReport>,
                            LeaseReport{LeaseEvent::slot_restored, options_.slot});
  }
  if (grant.restores_slot) {
    slot_restored_until_ = until;
  }
}

void QuotaManagerImpl::request_allocation() {
  if (now_ < next_request_) {
    return;
  }
  const bool warming_up = now_ < warm_at_;
  // Lends only when this instance has finished warming up and the holder reports a shortage. What is lent
  // cannot be taken back at once.
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
  std::erase_if(lent_, [this](const auto& entry) { return now_ >= entry.first; });
  if (lent > 0 && last_grant_ > 0) {
    message.lent = lent;
    lent_.emplace_back(now_ + 2 * at_least(options_.lease), lent);
  }
  requests_sent_.put(message.number, holder_, now_);
  decisions_.emplace_back(std::in_place_type<SendDatagram>, SendDatagram{holder_, encode(message)});
}

}  // namespace reedspindle::quota
