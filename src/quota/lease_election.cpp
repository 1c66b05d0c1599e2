// The election of the lease holder. The holder has the votes of a majority of the fleet for the duration of
// one lease, and each instance votes for one candidate at a time, so there is at most one holder.
#include "quota/quota_manager_impl.hpp"

namespace reedspindle::quota {

bool QuotaManagerImpl::vote_for(SlotId candidate, Incarnation incarnation) {
  if (now_ < may_vote_at_) {
    return false;
  }
  // Two simultaneous candidates would block each other's voters for one lease. The one in the higher slot
  // abandons its candidacy, so that its own vote is free again.
  if (voted_for_ == options_.slot && !holds_lease() && candidate < options_.slot) {
    lease_requests_.clear();
    voted_until_ = kNever;
  }
  const bool bound = now_ < voted_until_ && (voted_for_ != candidate || voted_incarnation_ != incarnation);
  if (bound || candidate.number >= options_.slot_count || options_.slot.number >= options_.slot_count) {
    return false;
  }
  voted_for_ = candidate, voted_incarnation_ = incarnation, voted_until_ = now_ + at_least(options_.lease);
  if (candidate != options_.slot) {
    next_lease_request_ = std::max(next_lease_request_, voted_until_);
  }
  return true;
}

void QuotaManagerImpl::count_vote(std::uint32_t request, SlotId voter) {
  const auto found = lease_requests_.find(request);
  if (found == lease_requests_.end() || voter.number >= options_.slot_count) {
    return;
  }
  found->second.second.insert(voter);
  if (std::ssize(found->second.second) <= options_.slot_count / 2) {
    return;
  }
  // The lease runs from when this instance sent the request, by its own clock. Voters count from a later time
  // and for longer.
  const Millis until = found->second.first + options_.lease;
  lease_requests_.erase(found);
  if (until <= now_) {
    return;
  }
  if (!holds_lease()) {
    decisions_.emplace_back(std::in_place_type<LeaseReport>,
                            LeaseReport{LeaseEvent::acquired, options_.slot});
    next_lease_request_ = now_;  // announces the new holder
  }
  lease_until_ = std::max(lease_until_, until), holder_ = options_.slot, holder_seen_at_ = now_;
  was_holder_ = true;
}

void QuotaManagerImpl::campaign() {
  if (was_holder_ && !holds_lease()) {
    was_holder_ = false;
    holder_ = {};
    decisions_.emplace_back(std::in_place_type<LeaseReport>, LeaseReport{LeaseEvent::lost, options_.slot});
  }
  if (!holds_lease() && holder_.number >= 0 && now_ > holder_seen_at_ + at_least(options_.lease)) {
    holder_ = {};
  }
  if (options_.slot.number >= options_.slot_count) {
    return;
  }
  // The alive instance with the lowest slot tries first, each following one a quarter of a lease later, by at
  // most two leases.
  Millis at = next_lease_request_;
  if (!holds_lease()) {
    const auto preceding = std::distance(alive_.begin(), alive_.lower_bound(options_.slot));
    at = std::max(at, holder_seen_at_ + at_least(options_.lease) +
                          std::min<double>(static_cast<double>(preceding), 8) * options_.lease / 4);
    if (first_campaign_) {
      at = std::max(may_vote_at_,
                    started_ + std::min<double>(static_cast<double>(preceding), 8) * options_.lease / 4);
    }
  }
  lease_request_at_ = at;
  if (now_ < at) {
    return;
  }
  first_campaign_ = false;
  // After a failed attempt (votes bound to another candidate, or lost datagrams) the next one follows after a
  // random delay, so that two candidates do not keep taking each other's votes.
  next_lease_request_ = lease_request_at_ =
      now_ +
      (holds_lease() ? options_.lease / kRenewalsPerLease : options_.lease * (0.5 + random_fraction()));
  while (lease_requests_.size() > 2 * kRenewalsPerLease) {
    lease_requests_.erase(lease_requests_.begin());
  }
  const bool held = holds_lease();
  const std::uint32_t request = ++number_;
  lease_requests_[request] = {now_, {}};
  for (int slot = 0; slot < options_.slot_count; ++slot) {
    if (slot != options_.slot.number) {
      send({slot}, Kind::lease_request, [&](Message& message) {
        message.number = request, message.is_holder = held, message.amount = held ? vacant_slots() : 0;
      });
    }
  }
  if (vote_for(options_.slot, incarnation_)) {
    count_vote(request, options_.slot);
  }
}

}  // namespace reedspindle::quota
