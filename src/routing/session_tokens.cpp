// Tokens are kept up to a maximum number of sessions; beyond it they are replaced by one token for all
// sessions, which replicas soon reach.
#include "routing/session_tokens.hpp"

#include <algorithm>
#include <cstddef>

namespace reedspindle::routing {
namespace {

constexpr std::size_t kMaxSessions = 10000;
// By how much the server's clock may be ahead of this one's, in milliseconds.
constexpr Millis kClockDifference = 10;

}  // namespace

void SessionTokens::record_acknowledged(const std::string& session, const RequestClass& request_class,
                                        Millis position) {
  if (request_class.consistency != Consistency::write || !context_.options.remember_tokens) {
    return;
  }
  // A write was committed before it was acknowledged.
  const Millis commit = position >= 0 ? position : context_.now + kClockDifference;
  Millis& token = tokens_.try_emplace(session, kNever).first->second;
  token = std::max(token, commit);
  if (tokens_.size() > kMaxSessions) {
    token_of_all_ = context_.now;
    tokens_.clear();
  }
}

Millis SessionTokens::token_of(const std::string& session) const {
  const auto found = tokens_.find(session);
  return found == tokens_.end() ? token_of_all_ : std::max(token_of_all_, found->second);
}

}  // namespace reedspindle::routing
