// Decides when to poll discovery: first for the full list, then by long polls for changes, and when to retry
// after a failed poll. Does no I/O: events are enqueued, and process() returns the decisions once per turn of
// the event loop. Times are in milliseconds of the steady clock.
//
// The platform treats a change as known to the instance 6 s after discovery had it and was reachable, whether
// or not it arrived. The longest delay is that of one poll that began just before the change (its wait, then
// its silence timeout) plus one backoff; the next poll then has to bring the change.
// docs/design-discovery.md works through the cases.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::discovery {

// Time for which discovery may hold a long poll open until the list changes.
constexpr Millis kLongPollWait = 2000;
// A poll is aborted after this time without a byte, in addition to the wait that it allows discovery.
constexpr Millis kSilenceTimeout = 1000;
// Minimum average rate of a response, checked from one second after its first byte on.
constexpr double kMinBytesPerSecond = 32 * 1024;
// Delay before the next poll if the last one was answered within this time and brought nothing new. It is
// half of the longest pause that the protocol allows between two polls of one watch.
constexpr Millis kEmptyPollDelay = 100;
// Limits of the backoff after failed polls. It doubles with each consecutive failure; the delay is then drawn
// between half of it and all of it.
constexpr Millis kMinBackoff = 100, kMaxBackoff = 1000;

// Events.

// Starts polling, which then continues by itself.
struct StartPolling {};
// Discovery has another address: the full list is requested from there.
struct AddressChanged {};
// The known list may be wrong: the full list is requested at once.
struct FullListRequested {};
struct StopPolling {};
struct BytesReceived {
  std::size_t bytes = 0;
};
// A response is complete and valid. Its changes are being delivered, which has no time limit.
struct ResponseCompleted {};
// All changes of a list have been delivered.
struct ListApplied {
  long long revision = 0;
  bool complete = false;  // a full list, not changes to one
};
// No response was received, or it held no valid list.
struct PollFailed {
  std::string error;
  bool invalid_list = false;  // the next poll requests the full list
};
using PollEvent = std::variant<StartPolling, AddressChanged, FullListRequested, StopPolling, BytesReceived,
                               ResponseCompleted, ListApplied, PollFailed>;

// Decisions, which the caller executes in the order in which they are returned.

// Send a poll.
struct SendPoll {
  std::optional<long long> since;  // revision to report changes from; none requests the full list
  Millis wait = 0;                 // how long discovery may hold the poll open
};
// Close the connection of the poll in flight and ignore what it still receives.
struct AbortPoll {};
// Log a failed poll.
struct ReportFailure {
  std::string error;
  int consecutive_failures = 1;
  Millis retry_in = 0;
};
// Call process() at this time at the latest. Replaces the time of the wakeup requested before.
struct RequestWakeup {
  Millis at = 0;
};
using PollDecision = std::variant<SendPoll, AbortPoll, ReportFailure, RequestWakeup>;

class Poller {
 public:
  explicit Poller(std::uint64_t seed);

  // Adds an event for the next call of process().
  void enqueue(PollEvent event) { events_.push_back(std::move(event)); }
  // Handles the enqueued events and expired times, and returns what is to be done.
  std::vector<PollDecision> process(Millis now);

  [[nodiscard]] bool poll_in_flight() const { return state_ == State::polling; }
  // Returns the revision of the last list that was applied, 0 before the first.
  [[nodiscard]] long long revision() const { return revision_; }

 private:
  // delivering: a response is complete and its changes are being delivered.
  enum class State { stopped, waiting, polling, delivering };

  void handle(const StartPolling& /*unused*/);
  void handle(const AddressChanged& /*unused*/);
  void handle(const FullListRequested& /*unused*/);
  void handle(const StopPolling& /*unused*/);
  void handle(const BytesReceived& received);
  void handle(const ResponseCompleted& /*unused*/);
  void handle(const ListApplied& list);
  void handle(const PollFailed& failure);
  void poll_full_list_now();
  void schedule_poll(Millis at);
  void start_poll();
  void fail(const std::string& error);
  [[nodiscard]] Millis poll_deadline() const;
  Millis next_backoff();
  double random_unit() { return static_cast<double>(random_() - 1) / static_cast<double>(random_.max()); }

  std::minstd_rand random_;
  std::vector<PollEvent> events_;
  std::vector<PollDecision> decisions_;
  Millis now_ = 0;
  State state_ = State::stopped;
  Millis next_poll_at_ = 0;        // while waiting
  Millis sent_at_ = 0, wait_ = 0;  // of the poll in flight
  std::optional<Millis> first_byte_at_, last_byte_at_;
  std::size_t bytes_ = 0;
  bool requested_full_list_ = false;  // by the poll in flight
  bool need_full_list_ = true;
  bool full_list_requested_meanwhile_ = false;  // while a list was being delivered
  int consecutive_failures_ = 0;
  long long revision_ = 0;
};

}  // namespace reedspindle::discovery
