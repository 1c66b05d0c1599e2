// The control service's options from the operators' file, checked beyond the schema where one key depends on
// another.
#pragma once

#include <asio.hpp>
#include <string>
#include <vector>

#include "config/instance_config.hpp"
#include "control/endpoint_registry.hpp"
#include "control/resource_snapshot.hpp"
#include "control/subscriptions.hpp"
#include "logging/log.hpp"
#include "operators/file.hpp"

namespace reedspindle::control {

struct Tls {
  // Paths of files.
  std::string certificate;
  std::string key;
  std::string proxies;  // empty: no client certificate is demanded
};

struct Options {
  std::string name;
  std::string listen;
  std::string keep;               // folder of the persisted state
  config::InstanceConfig config;  // for the connections to discovery and stores
  std::vector<RoutedRequestClass> request_classes;
  EndpointRegistry::Bounds registry;
  SnapshotBuilder::LeaseOptions leases;
  Millis startup_timeout = 0;
  Millis keepalive = 0;
  Subscriptions::Bounds streams;
  std::optional<Tls> tls;
  logging::LogOptions log;
};

// Throws operators::InvalidFile with all errors.
[[nodiscard]] Options options_in(const operators::File& file, const std::string& name);

}  // namespace reedspindle::control
