// Translation between the xDS v3 protocol's messages and the control service's own types. It decides nothing.
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

// What proxies say of themselves in client_features, beside what is known of user agents.
constexpr const char* kStatedExpiryFeature =
    "reedspindle.expiry.stated";                                      // gives endpoints up at fresh_until_ms
constexpr const char* kTimeToLiveFeature = "reedspindle.expiry.ttl";  // gives resources up after their ttl
constexpr const char* kWeightsFeature = "reedspindle.weights";        // goes by load_balancing_weight
constexpr const char* kTokensFeature = "reedspindle.tokens";          // tests tokens against position_ms
constexpr const char* kMetadata = "reedspindle";                      // the key of an endpoint's metadata

std::optional<ResourceType> resource_type_of(const std::string& type_url);
const char* type_url(ResourceType kind);
[[nodiscard]] ClientCapabilities capabilities_of(const envoy::config::core::v3::Node& node);

// None: of a type that is not served.
std::optional<SubscriptionRequest> decode_request(discovery::DiscoveryRequest&& message);
std::optional<SubscriptionRequest> decode_request(discovery::DeltaDiscoveryRequest&& message);

// Encodes each resource once, however many clients it is sent to. Thread-safe.
class Encoder {
 public:
  Encoder(std::string service, std::uint64_t epoch) : service_(std::move(service)), epoch_(epoch) {}
  discovery::DiscoveryResponse encode_state_of_the_world(const ResponseToSend& response);
  discovery::DeltaDiscoveryResponse encode_incremental(const ResponseToSend& response);

 private:
  void wrap(const ResponseToSend::Item& item, discovery::Resource& into);
  void put(const Resource& resource, google::protobuf::Any& into);
  std::shared_ptr<const std::string> encoded(const Resource& resource);

  const std::string service_;
  const std::uint64_t epoch_;
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<const std::string>> encoded_;  // by version; the oldest go first
};

}  // namespace reedspindle::control::xds
