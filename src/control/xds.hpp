// Translates between the messages of the xDS v3 protocol and the control service's own types. Makes no
// decisions.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "control/resource_snapshot.hpp"
#include "control/subscriptions.hpp"
#include "envoy/service/discovery/v3/discovery.pb.h"

namespace reedspindle::control::xds {

namespace discovery = envoy::service::discovery::v3;

// Features that clients declare in client_features. Known user agents are assumed to have some of them.

// Stops using an endpoint at its fresh_until_ms.
constexpr const char* kStatedExpiryFeature = "reedspindle.expiry.stated";
// Stops using a resource when its ttl has passed.
constexpr const char* kTimeToLiveFeature = "reedspindle.expiry.ttl";
// Balances by load_balancing_weight.
constexpr const char* kWeightsFeature = "reedspindle.weights";
// Compares session tokens with position_ms.
constexpr const char* kTokensFeature = "reedspindle.tokens";

// The key of an endpoint's metadata.
constexpr const char* kMetadata = "reedspindle";

// Returns the type of resource for a type URL; none if it is not served.
std::optional<ResourceType> resource_type_of(const std::string& type_url);
// Returns the type URL of a type of resource.
const char* type_url(ResourceType type);
// Returns the capabilities of a client from its declared features and its user agent.
[[nodiscard]] ClientCapabilities capabilities_of(const envoy::config::core::v3::Node& node);

// Decode a request of either protocol variant; none if its type of resource is not served.
std::optional<SubscriptionRequest> decode_request(discovery::DiscoveryRequest&& message);
std::optional<SubscriptionRequest> decode_request(discovery::DeltaDiscoveryRequest&& message);

// Encodes responses. Caches encoded resources, so that a resource is encoded once for all clients.
// Thread-safe.
class Encoder {
 public:
  // The service's name and the epoch become part of the resources' versions.
  Encoder(std::string service, std::uint64_t epoch) : service_(std::move(service)), epoch_(epoch) {}
  discovery::DiscoveryResponse encode_state_of_the_world(const ResponseToSend& response);
  discovery::DeltaDiscoveryResponse encode_incremental(const ResponseToSend& response);

 private:
  void fill_resource(const ResponseToSend::Item& item, discovery::Resource& output);
  void fill_any(const Resource& resource, google::protobuf::Any& output);
  std::shared_ptr<const std::string> encoded_bytes(const Resource& resource);

  const std::string service_;
  const std::uint64_t epoch_;
  std::mutex mutex_;
  // Encoded bodies by version; the oldest are evicted first.
  std::map<std::uint64_t, std::shared_ptr<const std::string>> cache_;
};

}  // namespace reedspindle::control::xds
