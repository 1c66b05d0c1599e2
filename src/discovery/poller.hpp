// Decides when to poll discovery: first for the full list, then by long polls for changes; when a newer poll
// is sent beside one that is late; when a poll is given up, and when the next one follows; and which of two
// lists is used. Does no I/O: events are enqueued, and process() returns the decisions once per turn of the
// event loop. Times are in milliseconds of the steady clock.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "discovery/poll_timing.hpp"

namespace reedspindle::discovery {

// Identifies a poll. Later polls have greater numbers.
struct PollId {
  std::uint64_t number = 0;
  auto operator<=>(const PollId&) const = default;
};

// Events. Those of polls that are no longer in flight are ignored.

// Starts polling, which then continues by itself.
struct StartPolling {};
// Discovery has another address: the full list is requested from there.
struct AddressChanged {};
// The known list may be wrong: the full list is requested at once, beside a poll in flight.
struct FullListRequested {};
struct StopPolling {};
struct BytesReceived {
  PollId poll;
  std::size_t bytes = 0;
};
// Rows of a list that is still being read have taken effect; `revision` is that list's.
struct EarlyChangesApplied {
  PollId poll;
  long long revision = 0;
};
// A response is complete and valid. Its changes are being delivered, which has no time limit.
struct ResponseCompleted {
  PollId poll;
};
// All changes of a list have been delivered.
struct ListApplied {
  PollId poll;
  long long revision = 0;
  bool complete = false;  // a full list, not changes to one
};
// A list was valid, and was not used because a newer one is known.
struct ListDiscarded {
  PollId poll;
};
// No response was received, or it held no valid list.
struct PollFailed {
  PollId poll;
  std::string error;
  bool invalid_list = false;  // the next poll requests the full list
};
using PollEvent =
    std::variant<StartPolling, AddressChanged, FullListRequested, StopPolling, BytesReceived,
                 EarlyChangesApplied, ResponseCompleted, ListApplied, ListDiscarded, PollFailed>;

// Decisions, which the caller executes in the order in which they are returned.

// Send a poll.
struct SendPoll {
  PollId id;
  std::optional<long long> since;  // revision to report changes from; none requests the full list
  Millis wait = 0;                 // how long discovery may hold the poll open
};
// Close the connection of this poll and ignore what it still receives.
struct AbortPoll {
  PollId id;
};
// Close all connections, also those without a poll, and ignore what they still receive.
struct AbortAllPolls {};
// Log a failed poll.
struct ReportFailure {
  std::string error;
  int consecutive_failures = 1;
  Millis retry_in = 0;
  Millis unanswered_for = 0;  // time since discovery last answered
};
// Log that discovery has answered again after failed polls.
struct ReportRecovery {
  int failures = 0;
  Millis unanswered_for = 0;
};
// Call process() at this time at the latest. Replaces the time of the wakeup requested before.
struct RequestWakeup {
  Millis at = 0;
};
using PollDecision =
    std::variant<SendPoll, AbortPoll, AbortAllPolls, ReportFailure, ReportRecovery, RequestWakeup>;

class Poller {
 public:
  Poller(std::uint64_t seed, const PollTiming& timing);

  // Adds an event for the next call of process().
  void enqueue(PollEvent event) { events_.push_back(std::move(event)); }
  // Handles the enqueued events and expired times, and returns what is to be done.
  std::vector<PollDecision> process(Millis now);

  [[nodiscard]] const PollTiming& timing() const { return timing_; }
  [[nodiscard]] bool poll_in_flight() const { return !polls_.empty(); }
  // Returns the revision of the last list that was applied, 0 before the first.
  [[nodiscard]] long long revision() const { return revision_; }
  // Returns whether rows of a list that is being read may take effect before its end. The revision is unset
  // while it has not been read.
  [[nodiscard]] bool may_apply_early(PollId id, std::optional<long long> revision) const;
  // Returns whether the list that a poll has brought is older than what is known from a newer poll.
  [[nodiscard]] bool is_outdated(PollId id, long long revision) const;

 private:
  struct Poll {
    PollId id;
    Millis sent_at = 0, wait = 0;
    bool requests_full_list = false;
    bool overtaken = false;  // another poll's list has been applied since this one was sent
    std::optional<Millis> first_byte_at, last_byte_at;
    std::size_t bytes = 0;
    std::optional<long long> early_revision;
  };

  void handle(const StartPolling& /*unused*/);
  void handle(const AddressChanged& /*unused*/);
  void handle(const FullListRequested& /*unused*/);
  void handle(const StopPolling& /*unused*/);
  void handle(const BytesReceived& received);
  void handle(const EarlyChangesApplied& early);
  void handle(const ResponseCompleted& completed);
  void handle(const ListApplied& list);
  void handle(const ListDiscarded& discarded);
  void handle(const PollFailed& failure);
  void abort_expired();
  void start_due();
  void start_poll();
  void abort_older_than(PollId id);
  void fail(const Poll& poll, const std::string& error);
  void answered(const Poll& poll, bool has_news);
  void request_wakeup();
  [[nodiscard]] Millis next_start_at() const;
  [[nodiscard]] Millis late_at(const Poll& poll) const;
  [[nodiscard]] Millis expires_at(const Poll& poll) const;
  [[nodiscard]] std::vector<Poll>::iterator find(PollId id);
  [[nodiscard]] std::vector<Poll>::const_iterator find(PollId id) const;
  std::optional<Poll> take(PollId id);
  Millis next_backoff();
  double random_unit() { return static_cast<double>(random_() - 1) / static_cast<double>(random_.max()); }

  const PollTiming timing_;
  std::minstd_rand random_;
  std::vector<PollEvent> events_;
  std::vector<PollDecision> decisions_;
  Millis now_ = 0;
  bool running_ = false;
  PollId last_id_;
  std::vector<Poll> polls_;         // in flight, in the order in which they were sent
  std::optional<Poll> delivering_;  // its response is complete and its changes are being delivered
  Millis next_poll_at_ = 0;         // not before this time, after an answer or a failure
  bool need_full_list_ = true;
  bool full_list_requested_meanwhile_ = false;  // while a list was being delivered
  int consecutive_failures_ = 0;
  std::optional<Millis> last_answer_at_;  // unset before the first process()
  long long revision_ = 0;
};

}  // namespace reedspindle::discovery
