// The ledger of the lease holder: which slots are vacant, what is lent, and what is granted to whom.
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
  // Guards against something between that sends questions back: who is heard since is there.
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
  for (const Grant& grant : client.out) {
    if (now_ < grant.until) {
      most = std::max(most, grant.amount);
    }
  }
  return most;
}

int QuotaManagerImpl::fair_share(SlotId of) const {
  std::vector<std::pair<int, SlotId>> wants;
  for (const auto& [slot, client] : clients_) {
    if (client.wanted > 0 && now_ - client.asked < options_.lease) {
      wants.emplace_back(client.wanted, slot);
    }
  }
  std::ranges::sort(wants);
  int left = pool();
  for (std::size_t at = 0; at < wants.size(); ++at) {
    const int allocation = std::min(wants[at].first, left / static_cast<int>(wants.size() - at));
    if (wants[at].second == of) {
      return allocation;
    }
    left -= allocation;
  }
  return 0;
}

Millis QuotaManagerImpl::grant_duration() const {
  return at_most(std::min(options_.lease, lease_until_ - now_));
}

void QuotaManagerImpl::allocate(const Message& asks) {
  if (!holds_lease()) {
    return;
  }
  Client& client = clients_[asks.slot];
  if (client.incarnation != asks.incarnation) {
    client = {asks.incarnation, kNever, 0, client.out, 0, kNever};
  }
  client.asked = now_, client.wanted = asks.wanted;
  // What it lends it has not used since it had the answer that it names, and will not for two leases.
  if (const Millis known = grants_sent_.at(asks.in_reply_to, asks.slot); asks.lent > 0 && known != kNever) {
    client.lent = asks.lent, client.lent_until = known + options_.lease;
  } else if (now_ >= client.lent_until) {
    client.lent = 0;
  }
  std::erase_if(client.out, [this](const Grant& grant) { return now_ >= grant.until; });
  const int available = pool() - allocated(asks.slot);
  // Its own slot is its own again when nothing that was handed out needs it any more.
  const bool restores_slot = asks.warming_up && available >= largest_grant(client);
  const int amount = std::max(0, std::min(fair_share(asks.slot), available));
  int wanted = 0;
  for (const auto& [slot, one] : clients_) {
    if (now_ - one.asked < options_.lease) {
      wanted += one.wanted;
    }
  }
  const Millis left = grant_duration();
  if (amount > 0) {
    client.out.push_back({amount, now_ + at_least(left)});
  }
  if (asks.slot == options_.slot) {
    granted_ = amount, granted_until_ = now_ + left;
    if (restores_slot) {
      slot_restored_until_ = now_ + left;
    }
    return;
  }
  send(asks.slot, Kind::grant, [&](Message& message) {
    message.number = ++number_, message.in_reply_to = asks.number;
    message.amount = amount, message.valid_for = left, message.restores_slot = restores_slot;
    // Who lends goes on as long as those before it don't lend enough; else all would stop, and start, at
    // once.
    message.shortage = wanted > pool(asks.slot);
    grants_sent_.put(message.number, asks.slot, now_);
  });
}

}  // namespace reedspindle::quota
