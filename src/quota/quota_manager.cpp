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
    std::visit([this](const auto& received) { on(received); }, event);
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
  // Until then parts of this slot may still be granted to others, based on evidence from before the start or
  // on what the previous process at this slot lent. Such grants last up to one lease more, by clocks that may
  // be slower than this one.
  warm_at_ = now + at_least(std::max(options_.evidence_lifetime, options_.lease) + options_.lease);
  // A vote by the previous process at this slot has expired by then.
  may_vote_at_ = now + at_least(options_.lease);
  holder_seen_at_ = now;
  next_lease_request_ = may_vote_at_;
  const auto add_to_hash = [this](double value) {
    options_hash_ = (options_hash_ ^ static_cast<std::uint32_t>(std::llround(value * 1000))) * 16777619U;
  };
  options_hash_ = 2166136261U;
  for (const double value :
       {static_cast<double>(options_.slot_count), options_.lease, options_.evidence_lifetime,
        options_.max_drift, static_cast<double>(options_.reserved)}) {
    add_to_hash(value);
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
  // A released message announces a shutdown and is not evidence that the sender is alive.
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
      return handle_grant(*message);
    case Kind::liveness_query:
      return send(datagram.from, Kind::liveness_reply,
                  [&](Message& reply) { reply.in_reply_to = message->number; });
    case Kind::liveness_reply:
      return;
    case Kind::released:
      // The vacancy is dated by when the grant to which the message refers was sent. The sender was alive
      // then, while the message itself may have been delayed beyond the start of a new process at the slot.
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
  const auto vacant = vacant_at_.try_emplace(returned.at, kNever).first;
  vacant->second = std::max(vacant->second, at);
}

void QuotaManagerImpl::on(const Demand& demand) {
  const bool increased = demand.wanted > demand_.wanted;
  demand_ = demand;
  if (increased) {
    next_request_ = std::min(next_request_, now_);
  }
}

void QuotaManagerImpl::on(const Leaving& /*unused*/) {
  if (std::exchange(left_, true)) {
    return;
  }
  if (holder_.number >= 0 && holder_ != options_.slot && last_grant_ > 0) {
    send(holder_, Kind::released, [this](Message& released) { released.in_reply_to = last_grant_; });
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
  constexpr const char* texts[] = {"quota lease acquired", "quota lease lost", "own quota slot restored",
                                   "peer has different quota options"};
  return texts[static_cast<int>(event)];
}

std::unique_ptr<QuotaManager> make_quota_manager(const Options& options, std::uint64_t seed) {
  return std::make_unique<QuotaManagerImpl>(options, seed);
}

}  // namespace reedspindle::quota
