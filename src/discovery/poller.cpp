#include "discovery/poller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedspindle::discovery {
namespace {

// Time after the first byte of a response during which the minimum rate is not checked.
constexpr Millis kRateGracePeriod = 1000;

std::minstd_rand::result_type minstd_seed(std::uint64_t seed) {
  return static_cast<std::minstd_rand::result_type>(seed % (std::minstd_rand::modulus - 1) + 1);
}

}  // namespace

Poller::Poller(std::uint64_t seed) : random_(minstd_seed(seed)) {}

std::vector<PollDecision> Poller::process(Millis now) {
  now_ = now;
  for (const PollEvent& event : std::exchange(events_, {})) {
    std::visit([this](const auto& each) { handle(each); }, event);
  }
  if (state_ == State::polling && now_ >= poll_deadline()) {
    fail(bytes_ > 0 && now_ < *last_byte_at_ + kSilenceTimeout ? "response below the minimum rate"
                                                               : "response timed out");
  }
  if (state_ == State::waiting && now_ >= next_poll_at_) {
    start_poll();
  }
  if (state_ == State::waiting) {
    decisions_.push_back(RequestWakeup{next_poll_at_});
  }
  if (state_ == State::polling) {
    decisions_.push_back(RequestWakeup{poll_deadline()});
  }
  return std::exchange(decisions_, {});
}

void Poller::handle(const StartPolling& /*unused*/) {
  if (state_ == State::stopped) {
    schedule_poll(now_);
  }
}

void Poller::handle(const AddressChanged& /*unused*/) {
  consecutive_failures_ = 0;
  poll_full_list_now();
}

void Poller::handle(const FullListRequested& /*unused*/) {
  if (state_ != State::stopped) {
    poll_full_list_now();
  }
  need_full_list_ = true;
}

// A list that is being delivered has already been validated: its delivery completes before the next poll is
// sent.
void Poller::poll_full_list_now() {
  need_full_list_ = true;
  decisions_.push_back(AbortPoll{});
  if (state_ == State::delivering) {
    full_list_requested_meanwhile_ = true;
    return;
  }
  schedule_poll(now_);
}

void Poller::handle(const StopPolling& /*unused*/) {
  state_ = State::stopped;
  decisions_.push_back(AbortPoll{});
}

void Poller::handle(const BytesReceived& received) {
  if (state_ != State::polling) {
    return;
  }
  if (!first_byte_at_) {
    first_byte_at_ = now_;
  }
  last_byte_at_ = now_;
  bytes_ += received.bytes;
}

void Poller::handle(const ResponseCompleted& /*unused*/) {
  if (state_ == State::polling) {
    state_ = State::delivering;
  }
}

void Poller::handle(const ListApplied& list) {
  if (state_ != State::polling && state_ != State::delivering) {
    return;
  }
  const bool has_news = requested_full_list_ || list.complete || list.revision != revision_;
  if (!list.complete && list.revision < revision_) {
    need_full_list_ = true;  // the changes are relative to another list than the known one
    return fail("list of changes is older than the known revision");
  }
  revision_ = list.revision;
  need_full_list_ = std::exchange(full_list_requested_meanwhile_, false);
  consecutive_failures_ = 0;
  const bool answered_at_once = now_ - sent_at_ < kEmptyPollDelay;
  schedule_poll(answered_at_once && !has_news ? now_ + kEmptyPollDelay : now_);
}

void Poller::handle(const PollFailed& failure) {
  if (state_ != State::polling) {
    return;
  }
  need_full_list_ = need_full_list_ || failure.invalid_list;
  fail(failure.error);
}

void Poller::schedule_poll(Millis at) {
  state_ = State::waiting;
  next_poll_at_ = at;
}

void Poller::start_poll() {
  state_ = State::polling;
  sent_at_ = now_;
  // After a failure the poll has no wait: otherwise its own loss would be noticed later by that wait.
  wait_ = need_full_list_ || consecutive_failures_ > 0 ? 0 : kLongPollWait;
  requested_full_list_ = need_full_list_;
  first_byte_at_.reset();
  last_byte_at_.reset();
  bytes_ = 0;
  decisions_.push_back(SendPoll{need_full_list_ ? std::nullopt : std::optional(revision_), wait_});
}

void Poller::fail(const std::string& error) {
  ++consecutive_failures_;
  const Millis backoff = next_backoff();
  decisions_.push_back(AbortPoll{});
  decisions_.push_back(ReportFailure{error, consecutive_failures_, backoff});
  schedule_poll(now_ + backoff);
}

// A poll ends when no byte arrives within the silence timeout, or when the response falls below the minimum
// rate.
Millis Poller::poll_deadline() const {
  if (!first_byte_at_) {
    return sent_at_ + wait_ + kSilenceTimeout;
  }
  const Millis too_slow_at =
      *first_byte_at_ + kRateGracePeriod + 1000 * static_cast<double>(bytes_) / kMinBytesPerSecond;
  return std::min(*last_byte_at_ + kSilenceTimeout, too_slow_at);
}

Millis Poller::next_backoff() {
  const Millis limit = std::min(kMaxBackoff, kMinBackoff * std::pow(2, consecutive_failures_ - 1));
  return limit * (0.5 + 0.5 * random_unit());
}

}  // namespace reedspindle::discovery
