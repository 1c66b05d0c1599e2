#include "control/xds.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <compare>
#include <cstdlib>
#include <utility>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "envoy/extensions/clusters/aggregate/v3/cluster.pb.h"
#include "envoy/extensions/filters/http/router/v3/router.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"

namespace reedspindle::control::xds {
namespace {

namespace core = envoy::config::core::v3;
namespace endpoint = envoy::config::endpoint::v3;
namespace cluster = envoy::config::cluster::v3;
namespace route = envoy::config::route::v3;
namespace listener = envoy::config::listener::v3;
namespace hcm = envoy::extensions::filters::network::http_connection_manager::v3;

constexpr const char* kTypeUrls[] = {"type.googleapis.com/envoy.config.cluster.v3.Cluster",
                                     "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
                                     "type.googleapis.com/envoy.config.listener.v3.Listener",
                                     "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"};
constexpr std::size_t kMaxCachedResources = 4096;  // a few times what a thousand groups have
constexpr const char* kGroupHeader = "x-group";
constexpr const char* kTypeHeader = "x-op-type";

// Makes the client request the resource on the same aggregated stream.
void set_ads_source(core::ConfigSource& source) {
  source.mutable_ads();
  source.set_resource_api_version(core::V3);
}

// A cluster with fallback clusters becomes an aggregate cluster, any other one gets its endpoints by EDS.
void encode(const Cluster& body, const Resource& resource, std::string& output) {
  cluster::Cluster message;
  message.set_name(resource.name);
  if (body.fallback_clusters.empty()) {
    message.set_type(cluster::Cluster::EDS);
    set_ads_source(*message.mutable_eds_cluster_config()->mutable_eds_config());
  } else {
    envoy::extensions::clusters::aggregate::v3::ClusterConfig others;
    for (const std::string& other : body.fallback_clusters) {
      others.add_clusters(other);
    }
    message.mutable_cluster_type()->set_name("envoy.clusters.aggregate");
    message.mutable_cluster_type()->mutable_typed_config()->PackFrom(others);
    message.set_lb_policy(cluster::Cluster::CLUSTER_PROVIDED);
  }
  message.mutable_connect_timeout()->set_seconds(1);
  // The client must stop using draining and removed endpoints at once: the update is not merged with later
  // ones, a removed endpoint is not kept while it is healthy, and the panic threshold does not bring
  // endpoints back when few others are left.
  auto& common = *message.mutable_common_lb_config();
  common.mutable_healthy_panic_threshold()->set_value(0);
  common.mutable_update_merge_window()->set_seconds(0);
  message.set_ignore_health_on_host_removal(true);
  message.SerializeToString(&output);
}

// Sets the address from text such as "10.1.0.18:6432" or "[::1]:6432"; the port is 0 if the text has none.
void set_address(const std::string& text, core::SocketAddress& address) {
  const std::size_t colon = text.rfind(':');
  std::string_view host = std::string_view(text).substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const unsigned long port =
      colon == std::string::npos ? 0 : std::strtoul(text.c_str() + colon + 1, nullptr, 10);
  address.set_address(std::string(host));
  address.set_port_value(static_cast<std::uint32_t>(port));
}

core::HealthStatus health_status_of(HealthStatus status) {
  switch (status) {
    case HealthStatus::healthy:
      return core::HEALTHY;
    case HealthStatus::draining:
      return core::DRAINING;
    case HealthStatus::unhealthy:
      break;
  }
  return core::UNHEALTHY;
}

void encode_endpoint(const Endpoint& e, endpoint::LbEndpoint& row) {
  set_address(e.address, *row.mutable_endpoint()->mutable_address()->mutable_socket_address());
  row.mutable_endpoint()->set_hostname(e.server.address);
  row.set_health_status(health_status_of(e.health_status));
  row.mutable_load_balancing_weight()->set_value(e.weight);
  auto& fields = *(*row.mutable_metadata()->mutable_filter_metadata())[kMetadata].mutable_fields();
  // The values of Unavailability as clients receive them.
  static const char* const unavailability_names[] = {"none", "drains", "gone", "down", "resting"};
  fields["member"].set_string_value(e.server.address);
  fields["role"].set_string_value(e.primary ? "primary" : "replica");
  fields["hindrance"].set_string_value(unavailability_names[static_cast<int>(e.unavailability)]);
  if (e.position >= 0) {
    fields["position_ms"].set_number_value(e.position);
  }
  if (e.valid_until >= 0) {
    fields["fresh_until_ms"].set_number_value(e.valid_until);
  }
}

// Endpoints of the same rank and zone form a locality, with the rank as its priority.
void encode(const Assignment& body, const Resource& resource, std::string& output) {
  endpoint::ClusterLoadAssignment message;
  message.set_cluster_name(resource.name);
  struct LocalityKey {
    int rank;
    std::string zone;
    auto operator<=>(const LocalityKey&) const = default;
  };
  std::map<LocalityKey, std::vector<const Endpoint*>> localities;
  for (const Endpoint& e : body.endpoints) {
    localities[{e.rank, e.zone}].push_back(&e);
  }
  for (const auto& [key, endpoints] : localities) {
    endpoint::LocalityLbEndpoints& locality = *message.add_endpoints();
    locality.set_priority(static_cast<std::uint32_t>(key.rank));
    locality.mutable_locality()->set_zone(key.zone);
    std::uint32_t weight = 0;
    for (const Endpoint* e : endpoints) {
      encode_endpoint(*e, *locality.add_lb_endpoints());
      weight += e->weight;
    }
    locality.mutable_load_balancing_weight()->set_value(weight);
  }
  message.SerializeToString(&output);
}

// An API listener, as gRPC clients use it: it binds no port.
void encode(const Listener& body, const Resource& resource, std::string& output) {
  hcm::HttpConnectionManager manager;
  manager.set_stat_prefix(resource.name);
  manager.mutable_rds()->set_route_config_name(body.routes);
  set_ads_source(*manager.mutable_rds()->mutable_config_source());
  hcm::HttpFilter& filter = *manager.add_http_filters();
  filter.set_name("envoy.filters.http.router");
  filter.mutable_typed_config()->PackFrom(envoy::extensions::filters::http::router::v3::Router());
  listener::Listener message;
  message.set_name(resource.name);
  message.mutable_api_listener()->mutable_api_listener()->PackFrom(manager);
  message.SerializeToString(&output);
}

// Routes match the group and the request class in request headers.
void encode(const Routes& body, const Resource& resource, std::string& output) {
  route::RouteConfiguration message;
  message.set_name(resource.name);
  route::VirtualHost& host = *message.add_virtual_hosts();
  host.set_name(resource.name);
  host.add_domains(std::string(1, '*'));
  for (const Route& one : body.routes) {
    route::Route& row = *host.add_routes();
    row.set_name(fmt::format("group-{}.{}", one.group.number, one.request_class));
    row.mutable_match()->set_prefix("");
    const auto match = [&](const char* name, const std::string& value) {
      route::HeaderMatcher& header = *row.mutable_match()->add_headers();
      header.set_name(name);
      if (body.legacy_matchers) {
        header.set_exact_match(value);
      } else {
        header.mutable_string_match()->set_exact(value);
      }
    };
    match(kGroupHeader, std::to_string(one.group.number));
    match(kTypeHeader, one.request_class);
    row.mutable_route()->set_cluster(one.cluster);
  }
  message.SerializeToString(&output);
}

void set_duration(google::protobuf::Duration& duration, Millis ms) {
  const auto seconds = static_cast<std::int64_t>(ms / 1000);
  duration.set_seconds(seconds);
  duration.set_nanos(static_cast<std::int32_t>((ms - static_cast<double>(seconds) * 1000) * 1e6));
}

template <typename Names>
std::vector<std::string> move_names(Names& names) {
  std::vector<std::string> moved;
  for (std::string& name : names) {
    moved.push_back(std::move(name));
  }
  return moved;
}

// Decodes the fields that requests of both protocol variants share; none if the type is not served.
template <typename Message>
std::optional<SubscriptionRequest> decode_common(const Message& message) {
  const auto type = resource_type_of(message.type_url());
  if (!type) {
    return std::nullopt;
  }
  SubscriptionRequest request;
  request.type = *type;
  request.nonce = message.response_nonce();
  if (message.has_error_detail()) {
    request.rejection_reason = message.error_detail().message();
  }
  return request;
}

}  // namespace

std::optional<ResourceType> resource_type_of(const std::string& type_url) {
  for (std::size_t type = 0; type < kResourceTypes; ++type) {
    if (type_url == kTypeUrls[type]) {
      return static_cast<ResourceType>(type);
    }
  }
  return std::nullopt;
}
const char* type_url(ResourceType type) { return kTypeUrls[static_cast<std::size_t>(type)]; }

ClientCapabilities capabilities_of(const core::Node& node) {
  const auto has_feature = [&node](const char* feature) {
    return std::ranges::find(node.client_features(), feature) != node.client_features().end();
  };
  const bool envoy = node.user_agent_name() == "envoy";
  ClientCapabilities capabilities;
  capabilities.expiry = has_feature(kStatedExpiryFeature)          ? Expiry::stated
                        : has_feature(kTimeToLiveFeature) || envoy ? Expiry::time_to_live
                                                                   : Expiry::none;
  capabilities.uses_weights = has_feature(kWeightsFeature) || envoy;
  capabilities.checks_session_tokens = has_feature(kTokensFeature);
  // gRPC clients up to 1.51, the version in which this was found, reject string_match. Later ones read both
  // forms.
  capabilities.legacy_matchers = node.user_agent_name().starts_with("gRPC");
  return capabilities;
}

std::optional<SubscriptionRequest> decode_request(discovery::DiscoveryRequest&& message) {
  auto request = decode_common(message);
  if (!request) {
    return std::nullopt;
  }
  request->version = message.version_info();
  request->names = move_names(*message.mutable_resource_names());
  return request;
}

std::optional<SubscriptionRequest> decode_request(discovery::DeltaDiscoveryRequest&& message) {
  auto request = decode_common(message);
  if (!request) {
    return std::nullopt;
  }
  request->names = move_names(*message.mutable_resource_names_subscribe());
  request->unsubscribed = move_names(*message.mutable_resource_names_unsubscribe());
  for (const auto& [name, version] : message.initial_resource_versions()) {
    request->known_versions[name] = version;
  }
  return request;
}

// Returns the resource's encoded body, from the cache or added to it.
std::shared_ptr<const std::string> Encoder::encoded_bytes(const Resource& resource) {
  const std::lock_guard lock(mutex_);
  const auto found = cache_.find(resource.version);
  if (found != cache_.end()) {
    return found->second;
  }
  while (cache_.size() >= kMaxCachedResources) {
    cache_.erase(cache_.begin());
  }
  auto bytes = std::make_shared<std::string>();
  std::visit([&](const auto& body) { encode(body, resource, *bytes); }, resource.body);
  return cache_[resource.version] = std::move(bytes);
}

// Fills the envelope of a resource: name, version, time to live, and the body unless this is a heartbeat.
void Encoder::fill_resource(const ResponseToSend::Item& item, discovery::Resource& output) {
  output.set_name(item.resource->name);
  output.set_version(resource_version_text(*item.resource, epoch_, service_));
  if (item.time_to_live) {
    set_duration(*output.mutable_ttl(), *item.time_to_live);
  }
  if (item.body) {
    fill_any(*item.resource, *output.mutable_resource());
  }
}

void Encoder::fill_any(const Resource& resource, google::protobuf::Any& output) {
  output.set_type_url(type_url(resource.type));
  output.set_value(*encoded_bytes(resource));
}

discovery::DiscoveryResponse Encoder::encode_state_of_the_world(const ResponseToSend& response) {
  discovery::DiscoveryResponse message;
  message.set_version_info(response.version);
  message.set_type_url(type_url(response.type));
  message.set_nonce(response.nonce);
  message.mutable_control_plane()->set_identifier(service_);
  for (const ResponseToSend::Item& item : response.items) {
    google::protobuf::Any& any = *message.add_resources();
    if (!item.time_to_live) {
      fill_any(*item.resource, any);
      continue;
    }
    discovery::Resource wrapped;
    fill_resource(item, wrapped);
    any.PackFrom(wrapped);
  }
  return message;
}

discovery::DeltaDiscoveryResponse Encoder::encode_incremental(const ResponseToSend& response) {
  discovery::DeltaDiscoveryResponse message;
  message.set_system_version_info(response.version);
  message.set_type_url(type_url(response.type));
  message.set_nonce(response.nonce);
  message.mutable_control_plane()->set_identifier(service_);
  for (const ResponseToSend::Item& item : response.items) {
    fill_resource(item, *message.add_resources());
  }
  for (const std::string& name : response.removed) {
    message.add_removed_resources(name);
  }
  return message;
}

}  // namespace reedspindle::control::xds
