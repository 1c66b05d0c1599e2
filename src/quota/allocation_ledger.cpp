// The ledger of the lease holder: tracks vacant slots, what clients lend and what is granted to each client.
#include "quota/quota_manager_impl.hpp"

namespace reedspindle::quota {

void QuotaManagerImpl::query_empty_slots() {
  if (!holds_lease() || now_ < next_query_) {
    return;
  }
  next_query_ = now_ + options_.evidence_lifetime / kQueriesPerEvidence;
  for (int slot = 0; slot < options_.slot_count; ++slot) {
    if (slot == options_.slot.number || alive_.contains({slot})) {
      continue;
    }
    send({slot}, Kind::liveness_query, [&](Message& query) {
      query.number = ++number_;
      queries_sent_.put(query.number, {slot}, now_);
    });
  }
}

bool QuotaManagerImpl::is_vacant(SlotId slot) const {
  const auto empty = vacant_at_.find(slot);
  if (empty == vacant_at_.end() || now_ >= empty->second + options_.evidence_lifetime) {
    return false;
  }
  // Guards against a device on the path that returns queries: a slot that has been heard from after the query
  // was sent is not vacant.
  const auto seen = seen_at_.find(slot);
  return seen == seen_at_.end() || seen->second < empty->second;
}

int QuotaManagerImpl::vacant_slots() const {
  return static_cast<int>(std::ranges::count_if(vacant_at_, [this](const auto& item) {
    return item.first.number < options_.slot_count && is_vacant(item.first);
  }));
}

int QuotaManagerImpl::pool(SlotId before) const {
  int pool = 0;
  for (const auto& [slot, at] : vacant_at_) {
    if (slot.number < options_.slot_count && is_vacant(slot)) {
      pool += kSlot - options_.reserved;
    }
  }
  for (const auto& [slot, client] : clients_) {
    if (slot < before && now_ < client.lent_until && !is_vacant(slot)) {
      pool += client.lent;
    }
  }
  return pool;
}

int QuotaManagerImpl::allocated(SlotId without) const {
  int allocated = 0;
  for (const auto& [slot, client] : clients_) {
    if (slot != without) {
      allocated += largest_grant(client);
    }
  }
  return allocated;
}

int QuotaManagerImpl::largest_grant(const Client& client) const {
  int most = 0;
  for (const Grant& grant : client.outstanding) {
    if (now_ < grant.until) {
      most = std::max(most, grant.amount);
    }
  }
  return most;
}

int QuotaManagerImpl::fair_share(SlotId of) const {
  std::vector<std::pair<int, SlotId>> demands;
  for (const auto& [slot, client] : clients_) {
    if (client.wanted > 0 && now_ - client.requested_at < options_.lease) {
      demands.emplace_back(client.wanted, slot);
    }
  }
  std::ranges::sort(demands);
  int left = pool();
  for (std::size_t at = 0; at < demands.size(); ++at) {
    const int allocation = std::min(demands[at].first, left / static_cast<int>(demands.size() - at));
    if (demands[at].second == of) {
      return allocation;
    }
    left -= allocation;
  }
  return 0;
}

Millis QuotaManagerImpl::grant_duration() const {
  return at_most(std::min(options_.lease, lease_until_ - now_));
}

void QuotaManagerImpl::allocate(const Message& request) {
  if (!holds_lease()) {
    return;
  }
  Client& client = clients_[request.slot];
  if (client.incarnation != request.incarnation) {
    client = {request.incarnation, kNever, 0, client.outstanding, 0, kNever};
  }
  client.requested_at = now_, client.wanted = request.wanted;
  // The client has not used what it lends since it received the grant to which it refers, and will not use it
  // for two leases.
  if (const Millis known = grants_sent_.at(request.in_reply_to, request.slot);
      request.lent > 0 && known != kNever) {
    client.lent = request.lent, client.lent_until = known + options_.lease;
  } else if (now_ >= client.lent_until) {
    client.lent = 0;
  }
  std::erase_if(client.outstanding, [this](const Grant& grant) { return now_ >= grant.until; });
  const int available = pool() - allocated(request.slot);
  // The client gets its own slot back when no outstanding grant depends on it.
  const bool restores_slot = request.warming_up && available >= largest_grant(client);
  const int amount = std::max(0, std::min(fair_share(request.slot), available));
  int wanted = 0;
  for (const auto& [slot, other] : clients_) {
    if (now_ - other.requested_at < options_.lease) {
      wanted += other.wanted;
    }
  }
  const Millis left = grant_duration();
  if (amount > 0) {
    client.outstanding.push_back({amount, now_ + at_least(left)});
  }
  if (request.slot == options_.slot) {
    granted_ = amount, granted_until_ = now_ + left;
    if (restores_slot) {
      slot_restored_until_ = now_ + left;
    }
    return;
  }
  send(request.slot, Kind::grant, [&](Message& message) {
    message.number = ++number_, message.in_reply_to = request.number;
    message.amount = amount, message.valid_for = left, message.restores_slot = restores_slot;
    // Only clients in lower slots count, so that a client goes on lending until those before it lend enough.
    // Otherwise all lenders would stop and start at the same time.
    message.shortage = wanted > pool(request.slot);
    grants_sent_.put(message.number, request.slot, now_);
  });
}

}  // namespace reedspindle::quota
