// Only idempotent requests are cancelled when their server is unresponsive; they are then retried at another
// server.
#include "routing/attempts.hpp"

namespace reedspindle::routing {

// Limits the time to connect, so that a repeat does not start after servers have ceased to recognise it.
void Attempts::start(RequestId id, Request& request, std::vector<Decision>& decisions) {
  const RequestClass& request_class = context_.class_of(request.request_class);
  std::optional<Millis> start_within;
  if (request.possibly_executed_at != kNever && request_class.retry_safety == RetrySafety::deduplicated) {
    start_within = remaining_idempotency_window(request, request_class, context_.now);
  }
  decisions.emplace_back(
      StartAttempt{id, request.target->entry.id, request.deadline - context_.now, start_within});
  attempts_[{id, {request.attempts}}] = {.server = request.target,
                                         .request_class = request.request_class,
                                         .session = request.session,
                                         .session_token = request.session_token,
                                         .sent_at = context_.now};
  ++request.attempts;
  ++request.in_flight;
}

const Attempt* Attempts::find(RequestId id, AttemptNumber number) const {
  const auto found = attempts_.find({id, number});
  return found == attempts_.end() ? nullptr : &found->second;
}

std::optional<Attempt> Attempts::take(RequestId id, AttemptNumber number) {
  const auto found = attempts_.find({id, number});
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  return std::move(attempts_.extract(found).mapped());
}

void Attempts::check_servers() {
  update_oldest();
  for (auto& [key, attempt] : attempts_) {
    const RequestClass& request_class = context_.class_of(attempt.request_class);
    attempt.cancel_due = !attempt.cancelled && context_.options.may_cancel &&
                         request_class.retry_safety == RetrySafety::idempotent &&
                         health_.is_unresponsive(*attempt.server);
  }
}

void Attempts::update_oldest() {
  for (const auto& [key, attempt] : attempts_) {
    attempt.server->oldest_attempt_sent_at = kNever;
  }
  for (const auto& [key, attempt] : attempts_) {
    Server& server = *attempt.server;
    registry_.mark_changed(server);
    if (attempt.cancelled || context_.class_of(attempt.request_class).long_running) {
      continue;
    }
    if (server.oldest_attempt_sent_at == kNever || attempt.sent_at < server.oldest_attempt_sent_at) {
      server.oldest_attempt_sent_at = attempt.sent_at;
    }
  }
}

void Attempts::cancel_due(std::vector<Decision>& decisions) {
  for (auto& [key, attempt] : attempts_) {
    if (!attempt.cancel_due || attempt.cancelled) {
      continue;
    }
    decisions.emplace_back(CancelAttempt{key.first, key.second});
    attempt.cancelled = true;
    attempt.server->request_failed_at = context_.now;
    attempt.server->last_error_at = context_.now;
    slow_start_.update_capacity(*attempt.server);
  }
}

}  // namespace reedspindle::routing
