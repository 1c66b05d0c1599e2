// Applies the same tests as for requests, and reports the time up to which each result holds.
#include "routing/server_views.hpp"

#include <set>

#include "routing/eligibility.hpp"

namespace reedspindle::routing {
namespace {

// Returns the staleness bounds of all classes and of reads that state none, in ascending order.
std::set<Millis> staleness_bounds(const RouterOptions& options) {
  std::set<Millis> bounds{kDefaultStalenessBound};
  for (const RequestClass& request_class : options.request_classes) {
    if (request_class.consistency == Consistency::bounded) {
      bounds.insert(request_class.staleness_bound);
    }
  }
  return bounds;
}

}  // namespace

std::vector<ServerView> describe_servers(const RouterContext& context, const ServerRegistry& registry,
                                         const ServerHealth& health, const SlowStart& slow_start) {
  const std::set<Millis> bounds = staleness_bounds(context.options);
  std::vector<ServerView> views;
  for (const auto& [id, server] : registry.servers()) {
    ServerView& view = views.emplace_back(server.entry);
    view.primary = primary_of(*server.group) == &server;
    view.unavailability = health.unavailability(server);
    view.slow_start_fraction = slow_start.fraction(server);
    if (server.samples.empty()) {
      continue;
    }
    view.position = server.applied_position;
    view.sampled_at = server.samples.back().seen_at;
    for (const Millis bound : bounds) {
      const Millis until = fresh_until(server, bound);
      if (context.now < until) {
        view.fresh.push_back({bound, until});
      }
    }
  }
  return views;
}

}  // namespace reedspindle::routing
