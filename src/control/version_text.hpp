// The text form of resource versions on the wire: "r<revision>.e<epoch>.c<change>.<service>".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control/resource_snapshot.hpp"

namespace reedspindle::control {

struct Version {
  long long revision = 0;    // of the endpoint list that the resource was built from
  std::uint64_t epoch = 0;   // number of the start of the service; rises with every restart
  std::uint64_t change = 0;  // number of the change within that epoch
  std::string service;       // name of the control service that built the resource
};

[[nodiscard]] std::string text_of(const Version& version);
// Empty where the text isn't a version of this form.
[[nodiscard]] std::optional<Version> parse_version(const std::string& text);
// The version text of a resource as this service sends it.
[[nodiscard]] std::string resource_version_text(const Resource& resource, std::uint64_t epoch,
                                                const std::string& service);

}  // namespace reedspindle::control
