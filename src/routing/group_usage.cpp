// A group that receives no requests should cause no work merely because it is listed.
#include "routing/group_usage.hpp"

#include <algorithm>
#include <cmath>

namespace reedspindle::routing {

void record_request(Group& group, const RouterContext& context) {
  if (context.options.connection_idle <= 0) {
    return;
  }
  group.recent_requests = 1 + recent_requests(group, context);
  group.requests_counted_at = context.now;
}

double recent_requests(const Group& group, const RouterContext& context) {
  const Millis age = std::max(0.0, context.now - group.requests_counted_at);
  return group.recent_requests * std::exp(-age / context.options.connection_idle);
}

bool is_in_use(const Group& group, const RouterContext& context) {
  const Millis idle = context.options.connection_idle;
  return idle <= 0 || group.leader_rank == 0 || context.now - group.requests_counted_at < idle;
}

}  // namespace reedspindle::routing
