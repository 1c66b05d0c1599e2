// Counts the recent requests of a group. Requests are counted only if the setting allow.connection_idle
// states how long a connection may be idle; the counts decay with that time constant.
#pragma once

#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"

namespace reedspindle::routing {

// Records a request for the group.
void record_request(Group& group, const RouterContext& context);

// Returns the group's exponentially decayed request count.
[[nodiscard]] double recent_requests(const Group& group, const RouterContext& context);

// Returns whether the group is to be probed: it has recent requests at this instance, or this instance leads
// its probing.
[[nodiscard]] bool is_in_use(const Group& group, const RouterContext& context);

}  // namespace reedspindle::routing
