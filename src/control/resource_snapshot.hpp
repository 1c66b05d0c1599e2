// The resources that clients are sent, built from the router's view of the servers. Free of I/O and of the
// xDS messages' own types. There is one snapshot for each set of client capabilities; resources are shared
// between snapshots and never change once built. Times in ms.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control/endpoint_registry.hpp"
#include "routing/router.hpp"

namespace reedspindle::control {

// In the order in which a client that subscribes to everything has to get them: make before break.
enum class ResourceType { clusters, endpoints, listeners, routes };
constexpr std::size_t kResourceTypes = 4;

// How a client gives up what it was sent when the control service falls silent: not at all, a resource after
// its time to live, or an endpoint at a stated time.
enum class Expiry { none, time_to_live, stated };

struct ClientCapabilities {
  Expiry expiry = Expiry::none;
  bool uses_weights = false;           // balances by endpoints' weights
  bool checks_session_tokens = false;  // compares endpoints' positions with session tokens itself
  bool legacy_matchers = false;        // reads only the older form of header matchers in routes
  auto operator<=>(const ClientCapabilities&) const = default;
};

enum class HealthStatus { healthy, draining, unhealthy };

struct Endpoint {
  ServerId server;
  std::string address;
  std::string zone;
  HealthStatus health_status = HealthStatus::healthy;
  Unavailability unavailability = Unavailability::none;
  bool primary = false;
  int rank = 0;  // endpoints of the next rank are used only where those before are not available
  std::uint32_t weight = 100;  // 100 for a warm server of the usual size
  Millis position = -1;        // below 0: not sent
  Millis valid_until = -1;     // below 0: not bound to a time
  // Whether clients would balance equally; positions and times change all the while and don't count.
  [[nodiscard]] bool same(const Endpoint& other) const;
};

struct Assignment {
  std::vector<Endpoint> endpoints;
};
// Has the assignment of the same name, or uses other clusters in their order.
struct Cluster {
  GroupId group;
  std::vector<std::string> fallback_clusters;
  bool operator==(const Cluster&) const = default;
};
struct Listener {
  std::string routes;
  bool operator==(const Listener&) const = default;
};
struct Route {
  GroupId group;
  std::string request_class;
  std::string cluster;
  bool operator==(const Route&) const = default;
};
struct Routes {
  std::vector<Route> routes;
  bool legacy_matchers = false;
  bool operator==(const Routes&) const = default;
};
using ResourceBody = std::variant<Cluster, Assignment, Listener, Routes>;

struct Resource {
  ResourceType type = ResourceType::clusters;
  std::string name;
  std::uint64_t version = 0;          // rises with every change; no two bodies share one
  std::uint64_t last_revocation = 0;  // the last version that took an endpoint away
  long long revision = 0;             // of the endpoint list that it was built from
  Millis built_at = 0;
  Millis valid_until = -1;  // below 0: until it is replaced
  ResourceBody body;
};
using ResourcePtr = std::shared_ptr<const Resource>;

struct ResourceSnapshot {
  bool ready = false;      // nothing is sent before
  long long revision = 0;  // of the endpoint list that it was built from
  ClientCapabilities capabilities;
  std::array<std::map<std::string, ResourcePtr>, kResourceTypes> resources;
  std::array<std::uint64_t, kResourceTypes> versions{};  // the last change of each type, removals too
  std::set<std::string> withheld;  // assignments that exist, but have no known endpoints now
};

// A request class as routes name it.
struct RoutedRequestClass {
  // The freshness that its reads need.
  enum class Needs { any, bounded, session, primary };

  std::string name;
  Needs needs = Needs::primary;
  Millis bound = 0;  // of the data's age, where needs is bounded
};

constexpr const char* kRoutes = "reedspindle";  // the name of the one listener and of its routes

class SnapshotDraft;

// Builds the snapshots; remembers the last ones, so that what has not changed keeps its version.
class SnapshotBuilder {
 public:
  struct LeaseOptions {
    Millis max_transit = 100;    // longest time for a response to reach its client
    Millis max_clock_skew = 10;  // between this service and its clients
    Millis min_duration = 250;   // of a lease on a replica that the client does not have yet
  };

  // startup_timeout: how long to wait at start until every group has a primary.
  SnapshotBuilder(std::vector<RoutedRequestClass> request_classes, LeaseOptions leases,
                  Millis startup_timeout);

  // The snapshots for those capabilities as of now; what has not changed is the same resource as before.
  // `views` are the router's, after it has processed its events.
  [[nodiscard]] std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> build(
      const std::vector<ServerView>& views, const EndpointRegistry& registry,
      const std::set<ClientCapabilities>& client_capabilities, Millis now);

  // Whether snapshots are ready to be sent; stays true once it is.
  [[nodiscard]] bool ready() const { return ready_; }

 private:
  struct Group {
    std::vector<const ServerView*> members;
    const ServerView* primary = nullptr;
  };
  using Groups = std::map<GroupId, Group>;

  [[nodiscard]] static Groups groups_of(const std::vector<ServerView>& views,
                                        const EndpointRegistry& registry);
  [[nodiscard]] static Endpoint make_endpoint(const ServerView& view, const EndpointRegistry& registry);
  void update_readiness(const Groups& groups, const EndpointRegistry& registry, Millis now);
  void add_resources(SnapshotDraft& draft, const Groups& groups, const EndpointRegistry& registry);
  void add_group(SnapshotDraft& draft, GroupId id, const Group& group,
                 const EndpointRegistry& registry) const;
  void add_request_class(SnapshotDraft& draft, GroupId id, const Group& group,
                         const EndpointRegistry& registry, const RoutedRequestClass& request_class,
                         const std::vector<Endpoint>& primary) const;
  [[nodiscard]] std::vector<Endpoint> eligible_replicas(const SnapshotDraft& draft, const Group& group,
                                                        const EndpointRegistry& registry,
                                                        const RoutedRequestClass& request_class,
                                                        const std::string& name) const;
  void add_removed_groups(SnapshotDraft& draft, const Groups& groups);

  const std::vector<RoutedRequestClass> request_classes_;
  const LeaseOptions leases_;
  const Millis startup_timeout_;
  std::uint64_t last_version_ = 0;
  bool ready_ = false;
  std::optional<Millis> registry_known_since_;
  std::map<GroupId, Millis> removed_at_;  // groups without a member, and since when
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> previous_snapshots_;
};

}  // namespace reedspindle::control
