// Builds the resources that are sent to xDS clients from the router's view of the servers. There is one
// snapshot for each set of client capabilities. A resource never changes once it is built; snapshots share
// those that stay the same. Does no I/O and does not depend on the xDS message types. All times are in
// milliseconds.
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

// The resource types, in the order in which they have to be sent to a client that subscribes to all of them:
// new clusters and their endpoints before the routes that use them (make before break).
enum class ResourceType { clusters, endpoints, listeners, routes };
constexpr std::size_t kResourceTypes = 4;

// How a client stops using what it was sent if it no longer hears from the control service: not at all, a
// whole resource after its time to live, or each endpoint at the time that is stated for it.
enum class Expiry { none, time_to_live, stated };

// What a client supports, as far as the resources depend on it.
struct ClientCapabilities {
  Expiry expiry = Expiry::none;
  bool uses_weights = false;           // balances by the weights of endpoints
  bool checks_session_tokens = false;  // compares session tokens with the positions of endpoints
  bool legacy_matchers = false;        // reads only the older form of header matchers in routes
  auto operator<=>(const ClientCapabilities&) const = default;
};

// The health status of an endpoint as clients are sent it.
enum class HealthStatus { healthy, draining, unhealthy };

// A server in an assignment.
struct Endpoint {
  ServerId server;
  std::string address;
  std::string zone;
  HealthStatus health_status = HealthStatus::healthy;
  Unavailability unavailability = Unavailability::none;
  bool primary = false;
  int rank = 0;  // clients use endpoints of a higher rank only if none of a lower rank is available
  std::uint32_t weight = 100;  // 100 for a server of relative capacity 1 after slow start
  Millis position = -1;        // negative: not sent
  Millis valid_until = -1;     // negative: no expiry
  // Returns whether clients would treat both endpoints alike when they balance. Positions and expiry times
  // change continually and are not compared.
  [[nodiscard]] bool same(const Endpoint& other) const;
};

// The endpoints of the cluster with the same name.
struct Assignment {
  std::vector<Endpoint> endpoints;
};
// A cluster that either has the assignment of the same name or, if fallback clusters are given, uses those in
// their order.
struct Cluster {
  GroupId group;
  std::vector<std::string> fallback_clusters;
  bool operator==(const Cluster&) const = default;
};
// A listener, which refers to its routes by name.
struct Listener {
  std::string routes;
  bool operator==(const Listener&) const = default;
};
// Sends the requests of one class to one group to a cluster.
struct Route {
  GroupId group;
  std::string request_class;
  std::string cluster;
  bool operator==(const Route&) const = default;
};
// The routes of a listener.
struct Routes {
  std::vector<Route> routes;
  bool legacy_matchers = false;
  bool operator==(const Routes&) const = default;
};
using ResourceBody = std::variant<Cluster, Assignment, Listener, Routes>;

// A resource with its version.
struct Resource {
  ResourceType type = ResourceType::clusters;
  std::string name;
  std::uint64_t version = 0;          // increases with every change and is unique to a body
  std::uint64_t last_revocation = 0;  // the last version that withdrew an endpoint
  long long revision = 0;             // revision of the endpoint list that it was built from
  Millis built_at = 0;
  Millis valid_until = -1;  // negative: until it is replaced
  ResourceBody body;
};
using ResourcePtr = std::shared_ptr<const Resource>;

// All resources for one set of client capabilities at one time.
struct ResourceSnapshot {
  bool ready = false;      // nothing is sent to clients until this is set
  long long revision = 0;  // revision of the endpoint list that it was built from
  ClientCapabilities capabilities;
  std::array<std::map<std::string, ResourcePtr>, kResourceTypes> resources;
  // The version of the last change to each type, including removals.
  std::array<std::uint64_t, kResourceTypes> versions{};
  std::set<std::string> withheld;  // assignments that exist but have no known endpoints now
};

// A class of requests with routes of its own.
struct RoutedRequestClass {
  // The freshness that reads of the class need: any data, data of bounded age, data that includes the writes
  // of the client's session, or the data of the primary.
  enum class Needs { any, bounded, session, primary };

  std::string name;
  Needs needs = Needs::primary;
  Millis bound = 0;  // maximum age of the data; used only if needs is bounded
};

constexpr const char* kRoutes = "reedspindle";  // the name of the only listener and of its routes

class SnapshotDraft;

// Builds the snapshots. It keeps the previous ones, so that resources that have not changed keep their
// versions.
class SnapshotBuilder {
 public:
  // A lease is the time for which a client may use a replica without a further response.
  struct LeaseOptions {
    Millis max_transit = 100;    // maximum time for a response to reach its client
    Millis max_clock_skew = 10;  // maximum difference between the clocks of this service and its clients
    Millis min_duration = 250;   // minimum lease on a replica that the client does not have yet
  };

  // startup_timeout: the maximum time to wait after the start until every group has a primary.
  SnapshotBuilder(std::vector<RoutedRequestClass> request_classes, LeaseOptions leases,
                  Millis startup_timeout);

  // Builds the snapshots for the given sets of capabilities. Resources that have not changed are the same
  // objects as in the previous snapshots. `views` has to be read from the router after it has processed its
  // events.
  [[nodiscard]] std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> build(
      const std::vector<ServerView>& views, const EndpointRegistry& registry,
      const std::set<ClientCapabilities>& client_capabilities, Millis now);

  // Returns whether snapshots may be sent. Once true, it stays true.
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
  std::map<GroupId, Millis> removed_at_;  // groups that have lost all members, and when that was first seen
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> previous_snapshots_;
};

}  // namespace reedspindle::control
