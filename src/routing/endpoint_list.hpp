// Processes the lists from discovery: adds, updates and removes servers.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "routing/concurrency_limit.hpp"
#include "routing/replica_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/sample_exchange.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// Applies endpoint lists to the registry, and deletes servers that discovery has stopped listing.
class EndpointLists {
 public:
  EndpointLists(RouterContext& context, ServerRegistry& registry, SlowStart& slow_start,
                const ConcurrencyLimits& limits, SampleExchange& exchange)
      : context_(context),
        registry_(registry),
        slow_start_(slow_start),
        limits_(limits),
        exchange_(exchange) {}

  // Applies a list that discovery has answered with, of any kind except `failed`.
  void handle_endpoint_list(const EndpointListReceived& list);

  // Returns the servers that have been removed from memory since the last call and have not been listed
  // again.
  [[nodiscard]] std::vector<ServerId> take_forgotten() { return std::exchange(forgotten_, {}); }

 private:
  void apply(const ServerEntry& entry, bool complete);
  void add(Server& server);
  void update_listing(Server& server);
  void forget_gone();
  void forget(Server& server);

  RouterContext& context_;
  ServerRegistry& registry_;
  SlowStart& slow_start_;
  const ConcurrencyLimits& limits_;
  SampleExchange& exchange_;
  std::multimap<Millis, ServerId> gone_;  // ordered by the time since which they are gone
  std::vector<ServerId> forgotten_;
};

}  // namespace reedspindle::routing
