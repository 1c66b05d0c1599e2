#include "proxy/pending_replies.hpp"

#include <utility>

#include "postgres/codec.hpp"

namespace reedspindle::proxy {

void PendingReplies::add(std::optional<RequestId> request, bool complete, std::string bytes) {
  net::MemoryCharge record(records_);
  // Without memory only the first command of a connection is added, which has_memory() allows for.
  static_cast<void>(record.take(kRecordBytes));
  replies_.push_back({request, complete, {net::ChargedText(std::move(bytes)), std::move(record)}});
}

void PendingReplies::add_complete(std::string bytes) { add({}, true, std::move(bytes)); }

void PendingReplies::add_request(RequestId request) { add(request, false, {}); }

void PendingReplies::add_readiness() { add({}, false, {}); }

void PendingReplies::complete(RequestId request, net::ChargedText bytes, const std::string& substitute) {
  for (Reply& reply : replies_) {
    if (reply.request != request) {
      continue;
    }
    reply.request.reset();
    reply.complete = true;
    const bool waits = &reply != &replies_.front();
    // A new text: to assign to the old one would keep its storage.
    reply.outgoing.bytes =
        waits && !bytes.move_to(waiting_) ? net::ChargedText(substitute) : std::move(bytes);
    return;
  }
}

void PendingReplies::complete_readiness(const std::string& bytes) {
  for (Reply& reply : replies_) {
    if (reply.complete || reply.request) {
      continue;
    }
    reply.complete = true;
    reply.outgoing.bytes = net::ChargedText(bytes);
  }
}

std::vector<PendingReplies::Outgoing> PendingReplies::take_complete() {
  std::vector<Outgoing> taken;
  // The limit on the bytes keeps the memory small that is held for a client that does not read.
  std::size_t bytes = 0;
  while (!replies_.empty() && replies_.front().complete && bytes < postgres::kMaxValueBytes) {
    taken.push_back(std::move(replies_.front().outgoing));
    bytes += taken.back().bytes.text().size();
    replies_.pop_front();
  }
  return taken;
}

std::vector<RequestId> PendingReplies::open_requests() const {
  std::vector<RequestId> open;
  for (const Reply& reply : replies_) {
    if (reply.request) {
      open.push_back(*reply.request);
    }
  }
  return open;
}

}  // namespace reedspindle::proxy
