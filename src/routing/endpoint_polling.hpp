// When discovery is asked for a list, where it does not push.
#pragma once

#include "core/types.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

class EndpointPolling {
 public:
  explicit EndpointPolling(RouterContext& context) : context_(context) {}

  // Discovery did not answer.
  void handle_failure();

  // Whether a call is due, once a batch; none is due any more after that until the call has failed.
  bool take_due();

  // When the next call is due; kForever where none is.
  [[nodiscard]] Millis next_at() const;

 private:
  Millis draw_delay();

  RouterContext& context_;
  Millis next_poll_at_ = kNever;  // kNever: not yet decided
};

}  // namespace reedspindle::routing
