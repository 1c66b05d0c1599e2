// Translates the settings object that an instance is given at start, by the simulator or in its configuration
// file, into the router's Settings: names, values and units.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "routing/router.hpp"

namespace reedspindle {

// Input that does not have the expected form. The message says where and what was expected.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Times are integers in nanoseconds in the settings object, and milliseconds with fractions in the router.
constexpr double kNsPerMs = 1e6;

// Returns an element of an array, or a JSON null beyond its end.
const nlohmann::json& element_or_null(const nlohmann::json& list, std::size_t index);
// Returns a number, or 1 and 0 for booleans; the default for null. Throws InvalidInput for other values.
double number_or_default(const nlohmann::json& value, double default_value);
// Returns a string; the default for null. Throws InvalidInput for other values.
std::string string_or_default(const nlohmann::json& value, const std::string& default_value);

// Returns the settings under the router's names, with times in milliseconds. Throws InvalidInput if they are
// not an object; keys that are not known are ignored.
Settings parse_router_settings(const nlohmann::json& settings);

}  // namespace reedspindle
