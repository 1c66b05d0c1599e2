#include "quota/quota_manager_impl.hpp"

namespace reedspindle::quota {

std::vector<Decision> QuotaManagerImpl::process(Millis now) {
  decisions_.clear();
  if (incarnation_.number == 0) {
    start(now);
  }
  now_ = std::max(now_, now);
  if (now_ >= next_rate_window_) {
    datagrams_from_.clear(), next_rate_window_ = now_ + options_.lease / kRequestsPerLease;
  }
  for (Event& event : std::exchange(events_, {})) {
    std::visit([this](const auto& happened) { on(happened); }, event);
  }
  if (!left_) {
    campaign();
    query_empty_slots();
    request_allocation();
  }
  report_and_schedule();
  return std::move(decisions_);
}

View QuotaManagerImpl::view() const {
  View view{allocation(now_), holds_lease(), holder_, 0, 0, dropped_};
  if (view.holds_lease) {
    view.pool = pool(), view.allocated = allocated({});
  }
  return view;
}

void QuotaManagerImpl::start(Millis now) {
  incarnation_ = {static_cast<std::uint64_t>(std::max(1.0, now * 1000))};
  started_ = now_ = now;
  // Whatever was given of this slot to others has ended by then: on the strength of evidence from before
  // the start, or of what a former life lent; then one lease, by clocks that may be slower than ours.
  warm_at_ = now + at_least(std::max(options_.evidence_lifetime, options_.lease) + options_.lease);
  // A vote of a former life has come to its end by then.
  may_vote_at_ = now + at_least(options_.lease);
  holder_seen_at_ = now;
  next_lease_request_ = may_vote_at_;
  const auto mix = [this](double value) {
    options_hash_ = (options_hash_ ^ static_cast<std::uint32_t>(std::llround(value * 1000))) * 16777619U;
  };
  options_hash_ = 2166136261U;
  for (const double value :
       {static_cast<double>(options_.slot_count), options_.lease, options_.evidence_lifetime,
        options_.max_drift, static_cast<double>(options_.reserved)}) {
    mix(value);
  }
}

bool QuotaManagerImpl::is_accepted(const Message& message, SlotId from) {
  if (message.slot != from || from == options_.slot || from.number >= kMaxSlots) {
    return false;
  }
  if (++datagrams_from_[from] > kMaxDatagramsPerWindow) {
    return false;
  }
  if (message.options_hash == options_hash_) {
    return true;
  }
  if (mismatched_peers_.insert(from).second) {
    decisions_.emplace_back(std::in_place_type<LeaseReport>, LeaseReport{LeaseEvent::options_mismatch, from});
  }
  return false;
}

void QuotaManagerImpl::on(const DatagramReceived& datagram) {
  const auto message = decode(datagram.bytes);
  if (!message || !is_accepted(*message, datagram.from)) {
    return void(++dropped_);
  }
  mismatched_peers_.erase(datagram.from);
  // A farewell is no sign of life.
  if (message->kind != Kind::released) {
    seen_at_[datagram.from] = now_;
  }
  switch (message->kind) {
    case Kind::lease_request:
      if (message->is_holder) {
        holder_seen_at_ = now_, holder_ = datagram.from;
        vacant_slots_ = std::min(message->amount, options_.slot_count / 2),
        vacant_slots_until_ = now_ + at_most(options_.lease);
      }
      return send(datagram.from, Kind::vote, [&](Message& vote) {
        vote.in_reply_to = message->number, vote.granted = vote_for(datagram.from, message->incarnation);
      });
    case Kind::vote:
      if (message->granted) {
        count_vote(message->in_reply_to, datagram.from);
      }
      return;
    case Kind::allocation_request:
      return allocate(*message);
    case Kind::grant:
      return take_grant(*message);
    case Kind::liveness_query:
      return send(datagram.from, Kind::liveness_reply,
                  [&](Message& here) { here.in_reply_to = message->number; });
    case Kind::liveness_reply:
      return;
    case Kind::released:
      // It says so of the time after the last answer it had; that one was sent when it was there.
      if (const Millis at = grants_sent_.at(message->in_reply_to, datagram.from); at != kNever) {
        vacant_at_[datagram.from] = std::max(vacant_at_[datagram.from], at), seen_at_[datagram.from] = kNever;
      }
      clients_.erase(datagram.from);
      return;
  }
}

void QuotaManagerImpl::on(const DatagramReturned& returned) {
  const auto number = decode_liveness_query(returned.bytes);
  const Millis at = number ? queries_sent_.at(*number, returned.at) : kNever;
  if (at == kNever) {
    return;
  }
  const auto known = vacant_at_.try_emplace(returned.at, kNever).first;
  known->second = std::max(known->second, at);
}

void QuotaManagerImpl::on(const Demand& demand) {
  const bool more = demand.wanted > demand_.wanted;
  demand_ = demand;
  if (more) {
    next_request_ = std::min(next_request_, now_);
  }
}

void QuotaManagerImpl::on(const Leaving& /*unused*/) {
  if (std::exchange(left_, true)) {
    return;
  }
  if (holder_.number >= 0 && holder_ != options_.slot && last_grant_ > 0) {
    send(holder_, Kind::released, [this](Message& gone) { gone.in_reply_to = last_grant_; });
  }
}

Message QuotaManagerImpl::new_message(Kind kind) const {
  Message message;
  message.kind = kind, message.slot = options_.slot, message.incarnation = incarnation_,
  message.options_hash = options_hash_;
  return message;
}

void QuotaManagerImpl::send(SlotId to, Kind kind, const std::function<void(Message&)>& fill) {
  Message message = new_message(kind);
  fill(message);
  decisions_.emplace_back(std::in_place_type<SendDatagram>, SendDatagram{to, encode(message)});
}

void QuotaManagerImpl::report_and_schedule() {
  if (const Allocation allocation = this->allocation(now_); allocation != reported_) {
    decisions_.emplace_back(std::in_place_type<AllocationChanged>, AllocationChanged{reported_ = allocation});
  }
  Millis next = now_ + options_.lease;
  const auto at = [&](Millis when) {
    if (when > now_) {
      next = std::min(next, when);
    }
  };
  for (const Millis until : {granted_until_, slot_restored_until_}) {
    at(until), at(until - options_.end_notice);
  }
  at(vacant_slots_until_);
  for (const auto& [until, amount] : lent_) {
    at(until);
  }
  at(warm_at_), at(warm_at_ + options_.end_notice);
  if (!left_) {
    at(lease_request_at_), at(next_request_);
    if (holds_lease()) {
      at(next_query_), at(lease_until_);
    }
  }
  decisions_.emplace_back(std::in_place_type<RequestWakeup>, RequestWakeup{next});
}

const char* to_string(LeaseEvent event) {
  constexpr const char* words[] = {"holds the office of shares", "lost the office of shares",
                                   "its slot is whole again", "another front has other terms"};
  return words[static_cast<int>(event)];
}

std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed) {
  return std::make_unique<QuotaManagerImpl>(options, seed);
}

}  // namespace reedspindle::quota
