// What a front is told by the operators' file, beyond its placement. Without a file all of it is as it stands
// here, and nothing of the fleet is on.
#pragma once

#include <optional>
#include <string>

#include "config/instance_config.hpp"
#include "consistency/consistency_monitor.hpp"
#include "logging/log.hpp"
#include "membership/membership.hpp"
#include "operators/file.hpp"
#include "quota/quota_manager.hpp"

namespace reedspindle::proxy {

struct FleetOptions {
  membership::Options options;  // its name, place and number of places come from the placement
  std::optional<int> place;
  std::string status;                               // a file; empty: none
  std::optional<quota::Options> quota;              // its place comes with the membership's
  int connections = 0;                              // that one store takes from all fronts together
  std::optional<consistency::Options> consistency;  // its place comes with the membership's
};
struct ProxyOptions {
  logging::LogOptions log;
  Millis clock_offset = 0;
  std::optional<FleetOptions> fleet;
  Settings values;  // for the module, beside the placement's
};

// Throws operators::Faulty.
ProxyOptions proxy_options_in(const operators::File& file, const std::string& path);

// Who this front is in the tier, as placement and orders say together. Throws InvalidInput.
membership::Options membership_options(const FleetOptions& fleet, const config::InstanceConfig& config);

}  // namespace reedspindle::proxy
