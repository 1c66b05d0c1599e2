// How many requests a group has had of late. They are counted only where the setting allow.connection_idle
// states how long a connection may stand idle: that is the time in which a count decays.
#pragma once

#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// A request for the group has arrived.
void record_request(Group& group, const RouterContext& context);

// The decayed number of its requests.
[[nodiscard]] double recent_requests(const Group& group, const RouterContext& context);

// Whether the group is to be probed: it has requests here, or this instance leads its probing for others.
[[nodiscard]] bool is_in_use(const Group& group, const RouterContext& context);

}  // namespace reedspindle::routing
