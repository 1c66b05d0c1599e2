// The commit times of the sessions' last writes, if the settings state that this instance remembers them.
#pragma once

#include <map>
#include <string>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// Remembers the last write of each session.
class SessionTokens {
 public:
  explicit SessionTokens(const RouterContext& context) : context_(context) {}

  // Records that an attempt of the session was acknowledged. Only writes count. `position` is what the answer
  // itself states, the commit of the write; if it is negative, the time of the acknowledgement takes its
  // place.
  void record_acknowledged(const std::string& session, const RequestClass& request_class, Millis position);

  // Returns the time up to which a replica must have applied commits for the session; kNever if any replica
  // will do.
  [[nodiscard]] Millis token_of(const std::string& session) const;

 private:
  const RouterContext& context_;
  std::map<std::string, Millis> tokens_;
  Millis token_of_all_ = kNever;
};

}  // namespace reedspindle::routing
