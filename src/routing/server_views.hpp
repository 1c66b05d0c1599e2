// Describes the state of each server for components that publish it rather than route by it.
#pragma once

#include <vector>

#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// Returns the state of all servers as of the last batch, ordered by server id. Freshness is judged as for
// requests.
[[nodiscard]] std::vector<ServerView> describe_servers(const RouterContext& context,
                                                       const ServerRegistry& registry,
                                                       const ServerHealth& health,
                                                       const SlowStart& slow_start);

}  // namespace reedspindle::routing
