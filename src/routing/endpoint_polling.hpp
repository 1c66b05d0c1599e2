// Schedules the calls to discovery, where discovery does not push its lists.
#pragma once

#include "core/types.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// Schedules calls to discovery, spread at random over time.
class EndpointPolling {
 public:
  explicit EndpointPolling(RouterContext& context) : context_(context) {}

  // Schedules the next call after discovery did not answer.
  void handle_failure();

  // Returns whether a call is due. Called once per batch. After it has returned true, no call is due until
  // that call has failed.
  bool take_due();

  // Returns the time of the next call, or kForever if none is scheduled.
  [[nodiscard]] Millis next_at() const;

 private:
  Millis draw_delay();

  RouterContext& context_;
  Millis next_poll_at_ = kNever;  // kNever: not yet drawn
};

}  // namespace reedspindle::routing
