// Time in a front: Unix time in ms with fractions, never going back, and the one queue of timers.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/types.hpp"

namespace reedspindle::net {

class Clock {
 public:
  // Set apart from the machine's by as much, for trials.
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
  // Guards against a process that is put aside between its two looks at the clocks: it would stand apart from
  // all others by as much for good. Of a few tries the one counts that took least.
  static Start start() {
    Start best;
    auto least = std::chrono::steady_clock::duration::max();
    for (int turn = 0; turn < 5; ++turn) {
      const Steady before = std::chrono::steady_clock::now();
      const auto unix = std::chrono::system_clock::now().time_since_epoch();
      const auto took = std::chrono::steady_clock::now() - before;
      if (took >= least) {
        continue;
      }
      least = took;
      best = {before + took / 2, std::chrono::duration<double, std::milli>(unix).count()};
    }
    return best;
  }

  const Millis offset_;
  const Start start_ = start();
};

// Owns every timer of the front. Whoever sets one keeps the handle and gives it back with drop, or lets it
// come due, which gives it back too.
class Timers {
 public:
  using Handle = std::pair<Millis, std::uint64_t>;

  Timers(asio::io_context& io, const Clock& clock) : clock_(clock), next_(io) {}

  Handle set(Millis at, std::function<void()> due) {
    const Handle handle{at, ++last_};
    due_.emplace(handle, std::move(due));
    if (due_.begin()->first == handle) {
      arm();
    }
    return handle;
  }
  // When the next one is due; none is set: never.
  [[nodiscard]] std::optional<Millis> next_due() const {
    if (due_.empty()) {
      return std::nullopt;
    }
    return due_.begin()->first.first;
  }
  void cancel(const Handle& handle) { due_.erase(handle); }
  // The same for one that may be set; it is set no more.
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
    next_.async_wait([this](const asio::error_code& fault) {
      if (fault) {
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
