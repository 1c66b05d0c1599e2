#include "discovery/poller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedspindle::discovery {
namespace {

constexpr Millis kRateFrom = 1000;  // the first second of an answer is not held to the least rate

std::minstd_rand::result_type seed_of(std::uint64_t seed) {
  return static_cast<std::minstd_rand::result_type>(seed % (std::minstd_rand::modulus - 1) + 1);
}

}  // namespace

Poller::Poller(std::uint64_t seed) : random_(seed_of(seed)) {}

std::vector<PollDecision> Poller::process(Millis now) {
  now_ = now;
  for (const PollEvent& event : std::exchange(events_, {})) {
    std::visit([this](const auto& one) { take(one); }, event);
  }
  if (state_ == State::calling && now_ >= call_ends_at()) {
    fail(bytes_ > 0 && now_ < *last_byte_ + kSilence ? "the answer comes too slowly" : "no answer in time");
  }
  if (state_ == State::waiting && now_ >= next_call_) {
    begin_call();
  }
  if (state_ == State::waiting) {
    decisions_.push_back(RequestWakeup{next_call_});
  }
  if (state_ == State::calling) {
    decisions_.push_back(RequestWakeup{call_ends_at()});
  }
  return std::exchange(decisions_, {});
}

void Poller::take(const StartPolling& /*unused*/) {
  if (state_ == State::stopped) {
    call_at(now_);
  }
}

void Poller::take(const AddressChanged& /*unused*/) {
  failures_ = 0;
  ask_whole_now();
}

void Poller::take(const FullListRequested& /*unused*/) {
  if (state_ != State::stopped) {
    ask_whole_now();
  }
  whole_wanted_ = true;
}

// A list that is being handed on has been checked: it is handed on to its end, and the call follows.
void Poller::ask_whole_now() {
  whole_wanted_ = true;
  decisions_.push_back(AbortPoll{});
  if (state_ == State::handing_on) {
    doubted_meanwhile_ = true;
    return;
  }
  call_at(now_);
}

void Poller::take(const StopPolling& /*unused*/) {
  state_ = State::stopped;
  decisions_.push_back(AbortPoll{});
}

void Poller::take(const BytesReceived& came) {
  if (state_ != State::calling) {
    return;
  }
  if (!first_byte_) {
    first_byte_ = now_;
  }
  last_byte_ = now_;
  bytes_ += came.bytes;
}

void Poller::take(const ResponseCompleted& /*unused*/) {
  if (state_ == State::calling) {
    state_ = State::handing_on;
  }
}

void Poller::take(const ListApplied& list) {
  if (state_ != State::calling && state_ != State::handing_on) {
    return;
  }
  const bool news = asks_whole_ || list.whole || list.revision != revision_;
  if (!list.whole && list.revision < revision_) {
    whole_wanted_ = true;  // changes to another list than the one that is held
    return fail("changes up to an older revision than is known");
  }
  revision_ = list.revision;
  whole_wanted_ = std::exchange(doubted_meanwhile_, false);
  failures_ = 0;
  const bool at_once = now_ - asked_ < kPollPause;
  call_at(at_once && !news ? now_ + kPollPause : now_);
}

void Poller::take(const PollFailed& failure) {
  if (state_ != State::calling) {
    return;
  }
  whole_wanted_ = whole_wanted_ || failure.spoilt;
  fail(failure.why);
}

void Poller::call_at(Millis at) {
  state_ = State::waiting;
  next_call_ = at;
}

void Poller::begin_call() {
  state_ = State::calling;
  asked_ = now_;
  // After a failure the next call does not wait for news: its own loss would show a wait later.
  wait_ = whole_wanted_ || failures_ > 0 ? 0 : kPollWait;
  asks_whole_ = whole_wanted_;
  first_byte_.reset();
  last_byte_.reset();
  bytes_ = 0;
  decisions_.push_back(SendPoll{whole_wanted_ ? std::nullopt : std::optional(revision_), wait_});
}

void Poller::fail(const std::string& why) {
  ++failures_;
  const Millis pause = back_off();
  decisions_.push_back(AbortPoll{});
  decisions_.push_back(ReportFailure{why, failures_, pause});
  call_at(now_ + pause);
}

// Silence ends a call, and so does an answer that falls behind the least rate.
Millis Poller::call_ends_at() const {
  if (!first_byte_) {
    return asked_ + wait_ + kSilence;
  }
  const Millis too_slow = *first_byte_ + kRateFrom + 1000 * static_cast<double>(bytes_) / kLeastRate;
  return std::min(*last_byte_ + kSilence, too_slow);
}

Millis Poller::back_off() {
  const Millis full = std::min(kLongestBackOff, kFirstBackOff * std::pow(2, failures_ - 1));
  return full * (0.5 + 0.5 * draw());
}

}  // namespace reedspindle::discovery
