// Reads the options of the control service from the configuration file. Beyond the schema, it checks the keys
// that depend on one another.
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

// TLS for the connections of clients. All members are paths of PEM files.
struct Tls {
  std::string certificate;
  std::string key;
  std::string proxies;  // issuers of client certificates; empty: clients need no certificate
};

// The options of the control service.
struct Options {
  std::string name;
  std::string listen;
  std::string keep;               // directory of the persisted state
  config::InstanceConfig config;  // for the connections to discovery and servers
  std::vector<RoutedRequestClass> request_classes;
  EndpointRegistry::Bounds registry;
  SnapshotBuilder::LeaseOptions leases;
  Millis startup_timeout = 0;
  Millis keepalive = 0;
  Subscriptions::Bounds streams;
  std::optional<Tls> tls;
  logging::LogOptions log;
};

// Returns the options in a configuration file that conforms to the schema. `name` is the path of the file,
// for error messages. Throws operators::InvalidFile with all errors.
[[nodiscard]] Options options_in(const operators::File& file, const std::string& name);

}  // namespace reedspindle::control
