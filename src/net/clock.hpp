// The clock and the timers of a process. Times are in milliseconds of Unix time, with fractions.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/types.hpp"

namespace reedspindle::net {

// Reads the system clock once, at construction, and follows the steady clock from then on: it never goes
// back.
class Clock {
 public:
  // Tests use `offset` (in milliseconds) to set this clock ahead of the machine's, or behind it.
  explicit Clock(Millis offset = 0) : offset_(offset) {}

  [[nodiscard]] Millis now() const {
    using Fraction = std::chrono::duration<double, std::milli>;
    return start_.unix + offset_ + Fraction(std::chrono::steady_clock::now() - start_.steady).count();
  }

 private:
  using Steady = std::chrono::steady_clock::time_point;
  struct Start {
    Steady steady;
    Millis unix = 0;
  };
  // Reads both clocks at the same moment. If the process were suspended between the two readings, its clock
  // would be wrong by that time for as long as it runs. Therefore it tries several times, and uses the try
  // that took the least time.
  static Start start() {
    Start best;
    auto shortest = std::chrono::steady_clock::duration::max();
    for (int i = 0; i < 5; ++i) {
      const Steady before = std::chrono::steady_clock::now();
      const auto unix = std::chrono::system_clock::now().time_since_epoch();
      const auto took = std::chrono::steady_clock::now() - before;
      if (took >= shortest) {
        continue;
      }
      shortest = took;
      best = {before + took / 2, std::chrono::duration<double, std::milli>(unix).count()};
    }
    return best;
  }

  const Millis offset_;
  const Start start_ = start();
};

// Owns all timers of a process, on one asio timer. A handle is valid until its timer expires or is cancelled.
class Timers {
 public:
  using Handle = std::pair<Millis, std::uint64_t>;

  Timers(asio::io_context& io, const Clock& clock) : clock_(clock), next_(io) {}

  // Calls `due` once, at `at` in Unix milliseconds or as soon after that as the event loop gets to it.
  Handle set(Millis at, std::function<void()> due) {
    const Handle handle{at, ++last_};
    due_.emplace(handle, std::move(due));
    if (due_.begin()->first == handle) {
      arm();
    }
    return handle;
  }
  // Returns the Unix time at which the next timer expires, or none if no timer is set.
  [[nodiscard]] std::optional<Millis> next_due() const {
    if (due_.empty()) {
      return std::nullopt;
    }
    return due_.begin()->first.first;
  }
  // Cancels a timer; has no effect if it has expired.
  void cancel(const Handle& handle) { due_.erase(handle); }
  // Cancels a timer if the handle holds one, and clears the handle.
  void cancel(std::optional<Handle>& handle) {
    if (handle) {
      due_.erase(*handle);
    }
    handle.reset();
  }

 private:
  void arm() {
    if (due_.empty()) {
      return;
    }
    const Millis left = std::max(0.0, due_.begin()->first.first - clock_.now());
    next_.expires_after(std::chrono::nanoseconds(static_cast<long long>(left * 1e6)));
    next_.async_wait([this](const asio::error_code& error) {
      if (error) {
        return;
      }
      while (!due_.empty() && due_.begin()->first.first <= clock_.now()) {
        const auto due = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        due();
      }
      arm();
    });
  }

  const Clock& clock_;
  asio::steady_timer next_;
  std::uint64_t last_ = 0;
  std::map<Handle, std::function<void()>> due_;
};

}  // namespace reedspindle::net
