// The published xDS v3 protocol: messages of proxies read into Heard, Write turned into responses. It only
// translates; the protocol's names end here.
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
constexpr const char* kStated = "reedspindle.expiry.stated";   // gives endpoints up at fresh_until_ms
constexpr const char* kTimeToLive = "reedspindle.expiry.ttl";  // gives resources up after their ttl
constexpr const char* kWeighs = "reedspindle.weights";         // goes by load_balancing_weight
constexpr const char* kTokens = "reedspindle.tokens";          // tests tokens against position_ms
constexpr const char* kMetadata = "reedspindle";               // the key of an endpoint's metadata

std::optional<Kind> kind_of(const std::string& type_url);
const char* type_url_of(Kind kind);
Abilities abilities_of(const envoy::config::core::v3::Node& node);

// None: of a type that is not handed out.
std::optional<SubscriptionRequest> heard_in(discovery::DiscoveryRequest&& message);
std::optional<SubscriptionRequest> heard_in(discovery::DeltaDiscoveryRequest&& message);

// Encodes each resource once, however many proxies are sent it. Any thread may ask it.
class Encoder {
 public:
  Encoder(std::string service, std::uint64_t epoch) : service_(std::move(service)), epoch_(epoch) {}
  discovery::DiscoveryResponse whole(const Write& write);
  discovery::DeltaDiscoveryResponse changes(const Write& write);

 private:
  void wrap(const Write::Item& item, discovery::Resource& into);
  void put(const Resource& resource, google::protobuf::Any& into);
  std::shared_ptr<const std::string> encoded(const Resource& resource);

  const std::string service_;
  const std::uint64_t epoch_;
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<const std::string>> encoded_;  // by version; the oldest go first
};

}  // namespace reedspindle::control::xds
