// Anti-entropy: two instances compare digests of their whole peer tables, then of the ranges whose digests
// differ, down to the updates themselves (the hash tree of Dynamo, DeCandia et al. 2007).
#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

void MembershipImpl::start_anti_entropy() {
  if (now_ >= next_anti_entropy_) {
    next_anti_entropy_ = now_ + options_.protocol_period * kAntiEntropyPeriods;
    if (const auto targets = random_members(1, slot_); !targets.empty()) {
      send_digest(targets.front(), {});
    }
  }
  if (const auto target = std::exchange(sync_with_, std::nullopt)) {
    send_digest(*target, {});
  }
}

void MembershipImpl::send_digest(SlotId to, Range range) {
  send(to, Kind::digest, 0, [&](Message& digest) {
    digest.range = range;
    digest.digests = peers_.digests(range, self());
  });
}

void MembershipImpl::handle_digest(const Message& message) {
  const std::vector<std::uint32_t> digests = peers_.digests(message.range, self());
  const unsigned offset = random_() % kDigestFanOut;
  for (unsigned step = 0; step < kDigestFanOut && anti_entropy_budget_ > 0; ++step) {
    const unsigned child = (offset + step) % kDigestFanOut;
    if (digests[child] == message.digests[child]) {
      continue;
    }
    --anti_entropy_budget_;
    send_range(message.slot, {message.range.depth + 1, message.range.prefix << 4 | child}, false);
  }
}

void MembershipImpl::handle_updates(const Message& message) {
  if (anti_entropy_budget_ <= 0) {
    return;
  }
  --anti_entropy_budget_;
  send_range(message.slot, message.range, true, &message.updates);
}

void MembershipImpl::send_range(SlotId to, Range range, bool is_reply,
                                const std::vector<GossipUpdate>* sent) {
  auto updates = peers_.updates(range, self(), kMaxUpdatesOfRange);
  if (!updates && range.depth < kMaxDigestDepth) {
    return send_digest(to, range);
  }
  if (!updates) {
    return;
  }
  if (sent) {
    std::erase_if(*updates, [&](const GossipUpdate& update) {
      return std::ranges::any_of(*sent, [&](const GossipUpdate& other) {
        return other.name == update.name && other.incarnation == update.incarnation &&
               other.state == update.state;
      });
    });
  }
  if (is_reply && updates->empty()) {
    return;
  }
  send(to, Kind::updates, 0, [&](Message& message) {
    message.range = range, message.is_reply = is_reply;
    message.updates = std::move(*updates);
  });
}

}  // namespace reedspindle::membership
