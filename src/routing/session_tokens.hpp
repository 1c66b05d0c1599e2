// The dates of the sessions' last writes, where the settings say that this instance remembers them.
#pragma once

#include <map>
#include <string>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

class SessionTokens {
 public:
  explicit SessionTokens(const RouterContext& context) : context_(context) {}

  // An attempt of the session was acknowledged; counts if it was a write with a known position.
  void record_acknowledged(const std::string& session, const RequestClass& request_class, Millis position);

  // The date up to which a replica must have applied commits for the session; kNever: any.
  [[nodiscard]] Millis token_of(const std::string& session) const;

 private:
  const RouterContext& context_;
  std::map<std::string, Millis> tokens_;
  Millis token_of_all_ = kNever;
};

}  // namespace reedspindle::routing
