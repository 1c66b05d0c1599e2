// Decides on calls to discovery: the whole list, then a long poll for what changes, and what follows a call
// that fails. Free of I/O: events are noted, one settle a turn decides. Times are of the steady clock, in
// milliseconds.
//
// The platform counts a change as told 6 s after discovery had it and could be reached, whether it arrived or
// not. What stands between the two at the worst is one call that began just before, its wait, its silence,
// and one back-off; the next call then has to bring the change. docs/design-discovery.md works it out case by
// case.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::discovery {

// How long a poll lets discovery wait for news.
constexpr Millis kPollWait = 2000;
// A call is given up after so long without a byte, beyond what it lets discovery wait.
constexpr Millis kSilence = 1000;
// An answer that has begun has to come at this rate at least, in bytes a second, after its first second.
constexpr double kLeastRate = 32 * 1024;
// Between the answer to one poll that came at once and brought nothing new, and the next: half of what the
// protocol allows between two polls of one watch.
constexpr Millis kPollPause = 100;
// Back-off after failed calls: doubled with each failure in a row, then drawn between a half of it and the
// whole.
constexpr Millis kFirstBackOff = 100, kLongestBackOff = 1000;

// Events.
struct StartPolling {};       // calls begin, and go on by themselves
struct AddressChanged {};     // discovery is at another address
struct FullListRequested {};  // what is known is in doubt: the whole list is wanted
struct StopPolling {};
struct BytesReceived {
  std::size_t bytes = 0;
};
// An answer has come whole and reads: what it changes is being handed on, for which no time is set.
struct ResponseCompleted {};
// All of it has been handed on.
struct ListApplied {
  long long revision = 0;
  bool whole = false;
};
// None has come, or one that is no list. What is spoilt makes the whole list wanted.
struct PollFailed {
  std::string why;
  bool spoilt = false;
};
using PollEvent = std::variant<StartPolling, AddressChanged, FullListRequested, StopPolling, BytesReceived,
                               ResponseCompleted, ListApplied, PollFailed>;

// Decisions, to be carried out in their order.
struct SendPoll {
  std::optional<long long> since;  // none: the whole list
  Millis wait = 0;
};
struct AbortPoll {};  // its connection is to be closed, nothing of it counts any more
struct ReportFailure {
  std::string why;
  int consecutive_failures = 1;
  Millis retry_in = 0;
};
struct RequestWakeup {  // settle is wanted again then, at the latest; in the place of the time wanted before
  Millis at = 0;
};
using PollDecision = std::variant<SendPoll, AbortPoll, ReportFailure, RequestWakeup>;

class Poller {
 public:
  explicit Poller(std::uint64_t seed);

  void enqueue(PollEvent event) { events_.push_back(std::move(event)); }
  std::vector<PollDecision> process(Millis now);

  [[nodiscard]] bool poll_in_flight() const { return state_ == State::calling; }
  [[nodiscard]] long long revision() const { return revision_; }

 private:
  enum class State { stopped, waiting, calling, handing_on };

  void take(const StartPolling& /*unused*/);
  void take(const AddressChanged& /*unused*/);
  void take(const FullListRequested& /*unused*/);
  void take(const StopPolling& /*unused*/);
  void take(const BytesReceived& came);
  void take(const ResponseCompleted& /*unused*/);
  void take(const ListApplied& list);
  void take(const PollFailed& failure);
  void ask_whole_now();
  void call_at(Millis at);
  void begin_call();
  void fail(const std::string& why);
  [[nodiscard]] Millis call_ends_at() const;
  Millis back_off();
  double draw() { return static_cast<double>(random_() - 1) / static_cast<double>(random_.max()); }

  std::minstd_rand random_;
  std::vector<PollEvent> events_;
  std::vector<PollDecision> decisions_;
  Millis now_ = 0;
  State state_ = State::stopped;
  Millis next_call_ = 0;         // while waiting
  Millis asked_ = 0, wait_ = 0;  // of the call that is out
  std::optional<Millis> first_byte_, last_byte_;
  std::size_t bytes_ = 0;
  bool asks_whole_ = false;  // the call that is out does
  bool whole_wanted_ = true;
  bool doubted_meanwhile_ = false;  // while a list was handed on
  int failures_ = 0;                // in a row
  long long revision_ = 0;
};

}  // namespace reedspindle::discovery
