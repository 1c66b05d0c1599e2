// Formats and parses the versions of resources as they are sent to clients:
// "r<revision>.e<epoch>.c<change>.<service>".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

// The parts of a resource version.
struct Version {
  long long revision = 0;    // revision of the endpoint list that the resource was built from
  std::uint64_t epoch = 0;   // number of the service's start, which increases with every restart
  std::uint64_t change = 0;  // number of the change within that epoch
  std::string service;       // name of the control service that built the resource
};

// Returns the text form of a version.
[[nodiscard]] std::string text_of(const Version& version);
// Parses a version. Returns nothing if the text does not have this form.
[[nodiscard]] std::optional<Version> parse_version(const std::string& text);
// Returns the version text of a resource that is sent by the given service in the given epoch.
[[nodiscard]] std::string resource_version_text(const Resource& resource, std::uint64_t epoch,
                                                const std::string& service);

}  // namespace reedspindle::control
