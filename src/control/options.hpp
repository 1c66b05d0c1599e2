// What the control service is told at start: the operators' file as values of its own, checked beyond the
// schema where one key goes with another.
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
  std::string certificate, key, proxies;  // files; proxies empty: no certificate is demanded
};

struct Options {
  std::string name, listen, keep;
  config::InstanceConfig config;  // as far as links to discovery and stores go by it
  std::vector<RoutedRequestClass> request_classes;
  EndpointRegistry::Bounds registry;
  SnapshotBuilder::LeaseOptions leases;
  Millis startup_timeout = 0;
  Millis keepalive = 0;
  Subscriptions::Bounds streams;
  std::optional<Tls> tls;
  logging::LogOptions log;
};

// Throws operators::Faulty.
Options options_in(const operators::File& file, const std::string& name);

}  // namespace reedspindle::control
