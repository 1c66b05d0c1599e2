// Selects the server of a group to which a request's next attempt is sent.
#pragma once

#include <tuple>

#include "core/types.hpp"
#include "routing/concurrency_limit.hpp"
#include "routing/replica_state.hpp"
#include "routing/request_state.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"

namespace reedspindle::routing {

// Selects servers by role, freshness, health and load.
class ServerSelection {
 public:
  ServerSelection(const RouterContext& context, ServerRegistry& registry, const ServerHealth& health,
                  const ConcurrencyLimits& limits)
      : context_(context), registry_(registry), health_(health), limits_(limits) {}

  // Returns the selected server, or null if no server is eligible, available and below its limit.
  // `long_running_share` is the share of long-running requests in all recent work.
  Server* select(const Request& request, const RequestClass& request_class, double long_running_share);

  // Returns whether the data of a server suits a request at `now`: the server is the primary, or a replica
  // that is proven to be fresh enough.
  [[nodiscard]] bool may_serve(const Server& server, const Request& request,
                               const RequestClass& request_class, Millis now) const;

 private:
  // The preference of a replica, the smallest first: its tier, whether a connection would have to be opened,
  // and when it was last selected.
  using Rank = std::tuple<int, bool, long>;
  struct Candidate {
    Server* server = nullptr;
    Rank rank;
  };

  Candidate best_replica(const Group& group, const Server* primary, const Request& request,
                         const RequestClass& request_class, double long_running_share) const;
  [[nodiscard]] bool is_proven_fresh(const Server& server, const Request& request,
                                     const RequestClass& request_class, Millis now) const;
  [[nodiscard]] bool probably_fresh(const Server& server, const Request& request,
                                    const RequestClass& request_class, Millis now) const;
  [[nodiscard]] int tier_of(const Server& server, const RequestClass& request_class, bool fresh,
                            bool reserved) const;
  [[nodiscard]] bool is_connected(const Server& server) const;
  [[nodiscard]] bool has_enough_connections(const Group& group, const Server* primary) const;

  const RouterContext& context_;
  ServerRegistry& registry_;
  const ServerHealth& health_;
  const ConcurrencyLimits& limits_;
};

}  // namespace reedspindle::routing
