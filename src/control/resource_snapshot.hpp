// What is handed out: the module's view of the members, as resources for proxies. Free of I/O and of the
// protocol's own words. One Offer for each set of abilities that proxies have; resources are shared and never
// change once made.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control/endpoint_registry.hpp"
#include "routing/router.hpp"

namespace reedspindle::control {

// In the order in which a proxy that takes everything has to have them: make before break.
enum class ResourceType { clusters, endpoints, listeners, routes };
constexpr std::size_t kResourceTypes = 4;

// How a proxy gives up what it was handed when nothing more is heard of us: not at all, a resource after its
// time to live, or an endpoint at a stated time.
enum class Expiry { none, time_to_live, stated };

struct ClientCapabilities {
  Expiry expiry = Expiry::none;
  bool uses_weights = false;           // goes by endpoints' weights
  bool checks_session_tokens = false;  // tests endpoints' positions against sessions' tokens itself
  bool legacy_matchers = false;        // reads routes in the protocol's elder form alone
  auto operator<=>(const ClientCapabilities&) const = default;
};

enum class HealthStatus { healthy, draining, unhealthy };

struct Endpoint {
  ServerId server;
  std::string address, zone;
  HealthStatus health_status = HealthStatus::healthy;
  Unavailability unavailability = Unavailability::none;
  bool primary = false;
  int rank = 0;                      // endpoints of the next rank only where those before are not there
  std::uint32_t weight = 100;        // 100 for one that is warm and of the usual size
  Millis position = -1, until = -1;  // below 0: not told, or not bound to a time
  // What matters to who is sent to; positions and times move all the while.
  [[nodiscard]] bool same(const Endpoint& other) const;
};

struct Assignment {
  std::vector<Endpoint> endpoints;
};
// Where the endpoints come from: an assignment of the same name, or other clusters one after the other.
struct Cluster {
  GroupId group;
  std::vector<std::string> others;
  bool operator==(const Cluster&) const = default;
};
struct Listener {
  std::string routes;
  bool operator==(const Listener&) const = default;
};
struct Route {
  GroupId group;
  std::string request_class, cluster;
  bool operator==(const Route&) const = default;
};
struct Routes {
  std::vector<Route> routes;
  bool legacy_matchers = false;
  bool operator==(const Routes&) const = default;
};

struct Resource {
  ResourceType kind = ResourceType::clusters;
  std::string name;
  std::uint64_t version = 0;  // rises with every change; no two resources share one
  std::uint64_t revoked = 0;  // the last version that took an endpoint away
  long long revision = 0;     // of the list it was made from
  Millis made = 0;
  Millis until = -1;  // below 0: holds until another comes
  std::variant<Cluster, Assignment, Listener, Routes> body;
};
using ResourcePtr = std::shared_ptr<const Resource>;

struct ResourceSnapshot {
  bool ready = false;      // not before that is anything handed out
  long long revision = 0;  // of the list it stands on
  ClientCapabilities capabilities;
  std::array<std::map<std::string, ResourcePtr>, kResourceTypes> resources;
  std::array<std::uint64_t, kResourceTypes> versions{};  // the last change of each kind, removals too
  std::set<std::string> withheld;  // assignments that there are, of which nothing can be told now
};

// An op type as routes name it.
struct RoutedRequestClass {
  std::string name;
  enum class Needs { any, bounded, session, primary } needs = Needs::primary;
  Millis bound = 0;
};

constexpr const char* kRoutes = "reedspindle";  // the name of the one listener and of its routes

class SnapshotBuilder {
 public:
  struct LeaseOptions {
    Millis transit = 100, clocks = 10, least = 250;
  };

  SnapshotBuilder(std::vector<RoutedRequestClass> types, LeaseOptions leases, Millis first_answer);

  // The offers for those abilities as of now; what has not changed is the same resource as before. Called
  // after every settle of the module.
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> build(
      const std::vector<ServerView>& views, const EndpointRegistry& registry,
      const std::set<ClientCapabilities>& wanted, Millis now);

  // Whether anything has been offered as ready since the start.
  [[nodiscard]] bool ready() const { return ready_; }

 private:
  struct Group {
    std::vector<const ServerView*> members;
    const ServerView* primary = nullptr;
  };
  struct SnapshotDraft;  // an offer in the making

  void update_readiness(const std::map<GroupId, Group>& groups, const EndpointRegistry& registry, Millis now);
  void add_group(SnapshotDraft& made, GroupId id, const Group& group);
  [[nodiscard]] Endpoint make_endpoint(const ServerView& view, const EndpointRegistry& registry) const;
  [[nodiscard]] std::vector<Endpoint> eligible_replicas(const SnapshotDraft& made, const Group& group,
                                                        const RoutedRequestClass& type,
                                                        const std::string& name) const;
  void add_resource(SnapshotDraft& made, ResourceType kind, const std::string& name,
                    decltype(Resource::body) body);
  void add_assignment(SnapshotDraft& made, const std::string& name, std::vector<Endpoint> endpoints);
  bool add_as_draining(SnapshotDraft& made, const std::string& name);
  void add_removed_groups(SnapshotDraft& made, const std::map<GroupId, Group>& groups);

  const std::vector<RoutedRequestClass> types_;
  const LeaseOptions leases_;
  const Millis first_answer_;
  std::uint64_t last_version_ = 0;
  bool ready_ = false;
  Millis known_since_ = -1;
  std::map<GroupId, Millis> ended_;  // groups without a member, and since when
  std::map<ClientCapabilities, std::shared_ptr<const ResourceSnapshot>> last_;
};

}  // namespace reedspindle::control
