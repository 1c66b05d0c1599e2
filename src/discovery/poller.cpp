#include "discovery/poller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/random.hpp"

namespace reedspindle::discovery {
namespace {

// The time that the bytes received so far take at the minimum rate.
Millis time_at_min_rate(std::size_t bytes) { return 1000 * static_cast<double>(bytes) / kMinBytesPerSecond; }

}  // namespace

Poller::Poller(std::uint64_t seed, const PollTiming& timing) : timing_(timing), random_(make_random(seed)) {}

std::vector<PollDecision> Poller::process(Millis now) {
  now_ = now;
  if (!last_answer_at_) {
    last_answer_at_ = now;
  }
  for (const PollEvent& event : std::exchange(events_, {})) {
    std::visit([this](const auto& each) { handle(each); }, event);
  }
  if (running_ && !delivering_) {
    abort_expired();
    start_due();
    request_wakeup();
  }
  return std::exchange(decisions_, {});
}

bool Poller::may_apply_early(PollId id, std::optional<long long> revision) const {
  const auto poll = find(id);
  return poll != polls_.end() && (!poll->overtaken || (revision && *revision > revision_));
}

bool Poller::is_outdated(PollId id, long long revision) const {
  const auto poll = find(id);
  if (poll != polls_.end() && poll->overtaken) {
    const bool replaces_known = need_full_list_ && poll->requests_full_list;
    if (revision < revision_ || (revision == revision_ && !replaces_known)) {
      return true;
    }
  }
  return std::ranges::any_of(polls_, [&](const Poll& other) {
    return other.id != id && other.early_revision && *other.early_revision > revision;
  });
}

void Poller::handle(const StartPolling& /*unused*/) {
  if (!running_) {
    running_ = true;
    next_poll_at_ = now_;
  }
}

// A list that is being delivered has already been validated: its delivery completes before the next poll is
// sent.
void Poller::handle(const AddressChanged& /*unused*/) {
  consecutive_failures_ = 0;
  need_full_list_ = true;
  polls_.clear();
  decisions_.emplace_back(AbortAllPolls{});
  full_list_requested_meanwhile_ = delivering_.has_value();
  running_ = true;
  next_poll_at_ = now_;
}

// A poll in flight stays: its answer may come before that of the full list.
void Poller::handle(const FullListRequested& /*unused*/) {
  need_full_list_ = true;
  full_list_requested_meanwhile_ = delivering_.has_value();
  next_poll_at_ = now_;
}

void Poller::handle(const StopPolling& /*unused*/) {
  running_ = false;
  polls_.clear();
  delivering_.reset();
  decisions_.emplace_back(AbortAllPolls{});
}

void Poller::handle(const BytesReceived& received) {
  const auto poll = find(received.poll);
  if (poll == polls_.end()) {
    return;
  }
  if (!poll->first_byte_at) {
    poll->first_byte_at = now_;
  }
  poll->last_byte_at = now_;
  poll->bytes += received.bytes;
}

void Poller::handle(const EarlyChangesApplied& early) {
  if (const auto poll = find(early.poll); poll != polls_.end()) {
    poll->early_revision = early.revision;
  }
}

void Poller::handle(const ResponseCompleted& completed) {
  if (std::optional<Poll> poll = take(completed.poll)) {
    delivering_ = std::move(poll);
  }
}

void Poller::handle(const ListApplied& list) {
  std::optional<Poll> poll = take(list.poll);
  if (!poll && delivering_ && delivering_->id == list.poll) {
    poll = std::exchange(delivering_, std::nullopt);
  }
  if (!poll) {
    return;
  }
  if (!list.complete && list.revision < revision_) {
    need_full_list_ = true;  // the changes are relative to another list than the known one
    return fail(*poll, "list of changes is older than the known revision");
  }
  const bool has_news = poll->requests_full_list || list.complete || list.revision != revision_;
  revision_ = list.revision;
  const bool is_full_list = poll->requests_full_list || list.complete;
  need_full_list_ =
      std::exchange(full_list_requested_meanwhile_, false) || (need_full_list_ && !is_full_list);
  answered(*poll, has_news);
  for (Poll& other : polls_) {
    other.overtaken = true;
  }
}

void Poller::handle(const ListDiscarded& discarded) {
  if (const std::optional<Poll> poll = take(discarded.poll)) {
    answered(*poll, false);
  }
}

void Poller::handle(const PollFailed& failure) {
  const std::optional<Poll> poll = take(failure.poll);
  if (!poll) {
    return;
  }
  need_full_list_ = need_full_list_ || failure.invalid_list;
  fail(*poll, failure.error);
}

// A poll that was sent before one that has been answered is not waited for any longer.
void Poller::answered(const Poll& poll, bool has_news) {
  abort_older_than(poll.id);
  if (consecutive_failures_ > 0) {
    decisions_.emplace_back(ReportRecovery{consecutive_failures_, now_ - *last_answer_at_});
  }
  consecutive_failures_ = 0;
  last_answer_at_ = now_;
  const bool answered_at_once = now_ - poll.sent_at < timing_.empty_poll_delay;
  next_poll_at_ = answered_at_once && !has_news ? now_ + timing_.empty_poll_delay : now_;
  if (timing_.backoff_from_start) {
    next_poll_at_ = std::max(now_, std::min(next_poll_at_, poll.sent_at + timing_.late_after_without_wait));
  }
}

void Poller::abort_older_than(PollId id) {
  std::erase_if(polls_, [this, id](const Poll& poll) {
    if (poll.id < id) {
      decisions_.emplace_back(AbortPoll{poll.id});
    }
    return poll.id < id;
  });
}

void Poller::abort_expired() {
  for (const Poll& poll : std::vector(polls_)) {
    if (now_ < expires_at(poll)) {
      continue;
    }
    take(poll.id);
    const bool trickles = poll.bytes > 0 && now_ < *poll.last_byte_at + timing_.silence_timeout;
    fail(poll, trickles ? "response below the minimum rate" : "response timed out");
  }
}

void Poller::fail(const Poll& poll, const std::string& error) {
  ++consecutive_failures_;
  const Millis backoff = next_backoff();
  const Millis retry_at =
      timing_.backoff_from_start ? std::max(now_, poll.sent_at + backoff) : now_ + backoff;
  decisions_.emplace_back(AbortPoll{poll.id});
  decisions_.emplace_back(
      ReportFailure{error, consecutive_failures_, retry_at - now_, now_ - *last_answer_at_});
  next_poll_at_ = retry_at;
}

// While polls are in flight, a newer one is sent when the newest of them is late. If there is no room, it
// replaces the newest: the oldest stays, for discovery may answer each poll late.
void Poller::start_due() {
  if (now_ < next_start_at()) {
    return;
  }
  if (polls_.size() == kMaxPolls) {
    const Poll newest = std::move(polls_.back());
    polls_.pop_back();
    if (now_ < late_at(newest)) {
      decisions_.emplace_back(AbortPoll{newest.id});
    } else {
      fail(newest, "no response in time");
    }
  }
  start_poll();
}

// A poll that follows a failure or stands beside a late one has no wait: otherwise its own loss would be
// noticed later by that wait.
void Poller::start_poll() {
  Poll poll;
  poll.id = last_id_ = {last_id_.number + 1};
  poll.sent_at = now_;
  poll.wait = need_full_list_ || consecutive_failures_ > 0 || !polls_.empty() ? 0 : timing_.long_poll_wait;
  poll.requests_full_list = need_full_list_;
  decisions_.emplace_back(
      SendPoll{poll.id, need_full_list_ ? std::nullopt : std::optional(revision_), poll.wait});
  polls_.push_back(poll);
}

// A full list that is needed is requested beside a poll for changes.
Millis Poller::next_start_at() const {
  if (polls_.empty() || (need_full_list_ && !polls_.back().requests_full_list)) {
    return next_poll_at_;
  }
  return std::max(next_poll_at_, late_at(polls_.back()));
}

void Poller::request_wakeup() {
  Millis at = next_start_at();
  for (const Poll& poll : polls_) {
    at = std::min(at, expires_at(poll));
  }
  decisions_.emplace_back(RequestWakeup{at});
}

// A response that keeps the minimum rate, and does not pause for as long as a poll without a response may
// take, is not late.
Millis Poller::late_at(const Poll& poll) const {
  const Millis allowed = poll.wait > 0 ? poll.wait + timing_.late_after : timing_.late_after_without_wait;
  const Millis by_rate = poll.sent_at + allowed + time_at_min_rate(poll.bytes);
  if (!poll.last_byte_at) {
    return by_rate;
  }
  return std::min(by_rate,
                  std::max(poll.sent_at + allowed, *poll.last_byte_at + timing_.late_after_without_wait));
}

// A poll ends when no byte arrives within the silence timeout, or when the response falls below the minimum
// rate.
Millis Poller::expires_at(const Poll& poll) const {
  if (!poll.first_byte_at) {
    return poll.sent_at +
           (poll.wait > 0 ? poll.wait + timing_.silence_timeout : timing_.silence_timeout_without_wait);
  }
  const Millis too_slow_at = *poll.first_byte_at + kRateGracePeriod + time_at_min_rate(poll.bytes);
  return std::min(*poll.last_byte_at + timing_.silence_timeout, too_slow_at);
}

std::vector<Poller::Poll>::iterator Poller::find(PollId id) {
  return std::ranges::find(polls_, id, &Poll::id);
}

std::vector<Poller::Poll>::const_iterator Poller::find(PollId id) const {
  return std::ranges::find(polls_, id, &Poll::id);
}

std::optional<Poller::Poll> Poller::take(PollId id) {
  const auto found = find(id);
  if (found == polls_.end()) {
    return std::nullopt;
  }
  Poll poll = std::move(*found);
  polls_.erase(found);
  return poll;
}

Millis Poller::next_backoff() {
  const Millis limit =
      std::min(timing_.max_backoff, timing_.min_backoff * std::pow(2, consecutive_failures_ - 1));
  return limit * (0.5 + 0.5 * random_unit());
}

}  // namespace reedspindle::discovery
