// Reads go to an eligible replica; if there is none, the primary takes them, up to a fraction of its limit.
// All other requests go to the primary.
#include "routing/server_selection.hpp"

#include <algorithm>
#include <cmath>

#include "routing/eligibility.hpp"
#include "routing/group_usage.hpp"

namespace reedspindle::routing {
namespace {

// Penalties that add up to a replica's tier; the lowest tier is preferred.
constexpr int kNotPreferred = 1;
constexpr int kOtherZone = 2;
constexpr int kDown = 4;

// The fraction of the primary's limit that is open to reads. It rises from kPrimaryShare to the sum of both
// constants with the reads' value density relative to that of primary-only requests.
constexpr double kPrimaryShare = 0.5;
constexpr double kPrimaryShareByValue = 0.3;

// A connection that has been idle for this fraction of the stated time is closed before the server closes it.
constexpr double kIdlePart = 0.9;
// With this many requests per connection, the cost of the handshake is small compared with the variation
// between requests.
constexpr double kRequestsPerConnection = 3;

// For a session read, a replica over the lag threshold that has applied the session's last write is better
// than a busy primary.
bool is_acceptable(const Server& server, const Request& request, const RequestClass& request_class) {
  return request_class.consistency == Consistency::any ||
         (request_class.consistency == Consistency::session &&
          server.applied_position >= request.session_token);
}

}  // namespace

bool ServerSelection::may_serve(const Server& server, const Request& request,
                                const RequestClass& request_class, Millis now) const {
  if (primary_of(*server.group) == &server) {
    return true;
  }
  return !request_class.primary_only() && (is_acceptable(server, request, request_class) ||
                                           is_proven_fresh(server, request, request_class, now));
}

Server* ServerSelection::select(const Request& request, const RequestClass& request_class,
                                double long_running_share) {
  Group& group = registry_.mark_changed(request.group);
  Server* const primary = primary_of(group);
  if (!primary) {
    group.sample_wanted = true;
  }
  const bool primary_available = primary != nullptr && health_.is_available(*primary);
  if (request_class.primary_only()) {
    const bool selected =
        primary_available && limits_.has_room(*primary, request_class, request.admission_draw);
    return selected ? primary : nullptr;
  }
  const Candidate replica = best_replica(group, primary, request, request_class, long_running_share);
  if (replica.server && std::get<0>(replica.rank) < kDown) {
    return replica.server;
  }
  if (!replica.server && !context_.options.servers_check_staleness) {
    group.sample_wanted = true;
  }
  // The primary must keep capacity for the requests that only it can serve when replicas fall behind.
  const double relative_value = request_class.value_density() / context_.options.highest_primary_density;
  const double share = kPrimaryShare + kPrimaryShareByValue * std::min(1.0, relative_value);
  if (primary_available && limits_.has_room(*primary, request_class, request.admission_draw, share)) {
    return primary;
  }
  return replica.server;
}

// Long-running requests delay replication on the servers that execute them, so they are concentrated on the
// first replicas in the group's order, which is the same at every instance. The number of these replicas
// corresponds to the share of long-running requests in all work.
ServerSelection::Candidate ServerSelection::best_replica(const Group& group, const Server* primary,
                                                         const Request& request,
                                                         const RequestClass& request_class,
                                                         double long_running_share) const {
  Candidate best;
  // While no primary is known, any replica may report which server it is.
  const bool save_connections = primary != nullptr && has_enough_connections(group, primary);
  const auto servers = static_cast<double>(group.servers.size());
  long reserved_left =
      std::max(std::lround(long_running_share * servers), request_class.long_running ? 1L : 0L);
  for (Server* const server : group.servers) {
    if (server == primary) {
      continue;
    }
    const bool reserved = health_.is_in_service(*server) && !health_.is_down(*server) && reserved_left-- > 0;
    if (!health_.is_available(*server) || !limits_.has_room(*server, request_class, request.admission_draw)) {
      continue;
    }
    const bool fresh = is_proven_fresh(*server, request, request_class, context_.now);
    if (!fresh && !is_acceptable(*server, request, request_class)) {
      continue;
    }
    const Rank rank{tier_of(*server, request_class, fresh, reserved),
                    save_connections && !is_connected(*server), server->last_selected};
    if (!best.server || rank < best.rank) {
      best = {server, rank};
    }
  }
  return best;
}

int ServerSelection::tier_of(const Server& server, const RequestClass& request_class, bool fresh,
                             bool reserved) const {
  const int down = health_.is_down(server) ? kDown : 0;
  if (request_class.long_running) {
    return down + (reserved ? 0 : kNotPreferred);
  }
  int tier = down;
  if (!fresh || reserved) {
    tier += kNotPreferred;
  }
  const RouterOptions& options = context_.options;
  if (options.cross_zone_price > 0 && server.entry.zone.number != options.zone_number) {
    tier += kOtherZone;
  }
  return tier;
}

bool ServerSelection::is_proven_fresh(const Server& server, const Request& request,
                                      const RequestClass& request_class, Millis now) const {
  return is_fresh(server, request_class, request.session_token, now) ||
         probably_fresh(server, request, request_class, now);
}

// Where servers check reads themselves, a replica is tried if it would be fresh with the smallest lag among
// its latest samples, whatever their age: a refusal by the server saves a probe.
bool ServerSelection::probably_fresh(const Server& server, const Request& request,
                                     const RequestClass& request_class, Millis now) const {
  if (!context_.options.servers_check_staleness || request.not_executed > 1) {
    return false;
  }
  return smallest_sampled_lag(server) <= allowed_lag(request_class, request.session_token, now);
}

bool ServerSelection::is_connected(const Server& server) const {
  const Millis idle = context_.now - server.connection_answered_at;
  return server.connection_answered_at > server.cold_since &&
         idle < kIdlePart * context_.options.connection_idle;
}

// An instance that has few requests for each of many groups would otherwise open a connection for nearly
// every request. It uses only as many replicas as receive kRequestsPerConnection requests each within the
// time that a connection may be idle.
bool ServerSelection::has_enough_connections(const Group& group, const Server* primary) const {
  if (context_.options.connection_idle <= 0) {
    return false;
  }
  const auto connected = std::ranges::count_if(
      group.servers, [&](const Server* server) { return server != primary && is_connected(*server); });
  const double wanted = std::max(1.0, recent_requests(group, context_) / kRequestsPerConnection);
  return static_cast<double>(connected) >= wanted;
}

}  // namespace reedspindle::routing
