// The options in the operators' file, which come in addition to the placement file. Without an operators'
// file the defaults below apply, and the fleet coordination is disabled.
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

// Options of the fleet coordination.
struct FleetOptions {
  membership::Options membership;       // without name, slot and number of slots
  std::optional<int> slot;              // none: the position of `peer_listen` in the list of peers
  std::string status_path;              // of the status file; empty: none is written
  std::optional<quota::Options> quota;  // none: disabled; without the slot
  int connections_per_server = 0;       // the limit of one server for the whole fleet
  std::optional<consistency::Options> consistency;  // none: disabled; without the slot
};
// All options in the operators' file.
struct ProxyOptions {
  logging::LogOptions log;
  Millis clock_offset = 0;            // milliseconds ahead of the machine's clock, for tests
  std::optional<FleetOptions> fleet;  // none: the fleet coordination is disabled
  Settings values;                    // settings for the router, added to those in the placement file
};

// Reads the options from the parsed operators' file at `path`. Throws operators::InvalidFile.
ProxyOptions proxy_options_in(const operators::File& file, const std::string& path);

// Returns the membership options of this instance, with its name and slot from both files. Throws
// InvalidInput if the placement file has no valid name, or the slot is not in the list of peers.
membership::Options membership_options(const FleetOptions& fleet, const config::InstanceConfig& config);

}  // namespace reedspindle::proxy
