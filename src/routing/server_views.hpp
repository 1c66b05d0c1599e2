// What the decision module holds true of each server, for those who hand its judgement on.
#pragma once

#include <vector>

#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// As of the last batch, in the order of the servers' ids; freshness is judged as for requests.
[[nodiscard]] std::vector<ServerView> describe_servers(const RouterContext& context,
                                                       const ServerRegistry& registry,
                                                       const ServerHealth& health,
                                                       const SlowStart& slow_start);

}  // namespace reedspindle::routing
