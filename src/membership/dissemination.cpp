// Sends messages and piggybacks queued gossip updates on them.
#include "membership/membership_impl.hpp"

namespace reedspindle::membership {

void MembershipImpl::send(SlotId to, Kind kind, std::uint32_t number,
                          const std::function<void(Message&)>& fill) {
  Message message;
  message.kind = kind, message.sequence = number, message.name = options_.name, message.slot = slot_;
  message.incarnation = incarnation_, message.started_at = started_at_, message.leaving = leaving_;
  fill(message);
  const std::size_t own_updates = message.updates.size();
  std::vector<QueuedUpdate*> queued;
  for (auto& [name, queued_update] : queue_) {
    queued.push_back(&queued_update);
  }
  std::ranges::stable_sort(queued, {}, &QueuedUpdate::sent);
  if (queued.size() > kMaxUpdates) {
    queued.resize(kMaxUpdates);
  }
  for (const QueuedUpdate* queued_update : queued) {
    message.updates.push_back(queued_update->update);
  }
  std::size_t sent = 0;
  decisions_.emplace_back(std::in_place_type<SendDatagram>, SendDatagram{to, encode(message, sent)});
  const int max_transmissions =
      static_cast<int>(std::ceil(kRetransmitFactor * std::log10(peers_.member_count() + 2)));
  for (std::size_t at = own_updates; at < sent; ++at) {
    if (QueuedUpdate* queued_update = queued[at - own_updates]; ++queued_update->sent >= max_transmissions) {
      queue_.erase(std::string(queued_update->update.name));
    }
  }
}

void MembershipImpl::send(SlotId to, Kind kind, std::uint32_t number) {
  send(to, kind, number, [](Message&) {});
}

}  // namespace reedspindle::membership
