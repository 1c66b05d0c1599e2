#include "proxy/pending_replies.hpp"

#include <utility>

#include "postgres/codec.hpp"

namespace reedspindle::proxy {

PendingReplies::~PendingReplies() {
  for (const Reply& reply : replies_) {
    budget_.release(reply.charged);
  }
}

void PendingReplies::add_complete(std::string bytes) {
  replies_.push_back({.complete = true, .bytes = std::move(bytes)});
}

void PendingReplies::add_request(RequestId request) { replies_.push_back({.request = request}); }

void PendingReplies::add_readiness() { replies_.push_back({}); }

void PendingReplies::complete(RequestId request, std::string bytes, const std::string& substitute) {
  for (Reply& reply : replies_) {
    if (reply.request != request) {
      continue;
    }
    reply.request.reset();
    reply.complete = true;
    reply.bytes = std::move(bytes);
    if (&reply != &replies_.front()) {
      charge(reply, substitute);
    }
    return;
  }
}

void PendingReplies::complete_readiness(const std::string& bytes) {
  for (Reply& reply : replies_) {
    if (reply.complete || reply.request) {
      continue;
    }
    reply.complete = true;
    reply.bytes = bytes;
  }
}

void PendingReplies::charge(Reply& reply, const std::string& substitute) {
  if (budget_.take(reply.bytes.size())) {
    reply.charged = reply.bytes.size();
  } else {
    reply.bytes = substitute;
  }
}

std::string PendingReplies::take_complete() {
  std::string bytes;
  // Replies that were taken no longer count against the budget. The limit on their bytes keeps the memory
  // small that is held for a client that does not read.
  while (!replies_.empty() && replies_.front().complete && bytes.size() < postgres::kMaxValueBytes) {
    bytes += replies_.front().bytes;
    budget_.release(replies_.front().charged);
    replies_.pop_front();
  }
  return bytes;
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
