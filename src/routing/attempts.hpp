// Tracks the attempts in flight and cancels those at unresponsive servers.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/types.hpp"
#include "routing/replica_state.hpp"
#include "routing/request_state.hpp"
#include "routing/router.hpp"
#include "routing/router_context.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {

// An attempt in flight. It may outlive its request.
struct Attempt {
  Server* server = nullptr;  // owned by the registry, which keeps it while attempts are in flight
  RequestClassId request_class;
  std::string session;
  Millis session_token = kNever;
  Millis sent_at = 0;
  bool cancel_due = false;
  bool cancelled = false;
};

// Owns the attempts in flight of all requests.
class Attempts {
 public:
  Attempts(const RouterContext& context, ServerRegistry& registry, const ServerHealth& health,
           SlowStart& slow_start)
      : context_(context), registry_(registry), health_(health), slow_start_(slow_start) {}

  // Starts the next attempt of a request at its target. The attempt is already included in the server's
  // in_flight.
  void start(RequestId id, Request& request, std::vector<Decision>& decisions);

  // Returns an attempt in flight, or null if it is unknown. Valid until the next call of another function.
  [[nodiscard]] const Attempt* find(RequestId id, AttemptNumber number) const;

  // Removes an attempt that has ended and returns it, or nothing if it is unknown.
  [[nodiscard]] std::optional<Attempt> take(RequestId id, AttemptNumber number);

  // Determines which attempts at unresponsive servers are to be cancelled. Called once per batch, after all
  // events.
  void check_servers();

  // Cancels the attempts determined by check_servers() and records the failure at their servers.
  void cancel_due(std::vector<Decision>& decisions);

 private:
  void update_oldest();

  const RouterContext& context_;
  ServerRegistry& registry_;
  const ServerHealth& health_;
  SlowStart& slow_start_;
  std::map<std::pair<RequestId, AttemptNumber>, Attempt> attempts_;
};

}  // namespace reedspindle::routing
