// The settings object that an instance is handed at start, on the simulator's wire as in a front's
// placement, turned into the module's Values. It only translates: words, units and places.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "routing/router.hpp"

namespace reedspindle {

// What was handed over does not read as it should; the message says where.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr double kNsPerMs = 1e6;  // times are whole ns there, ms with fractions here

// A value of an array by its place; null beyond the end.
const nlohmann::json& element_or_null(const nlohmann::json& list, std::size_t place);
// Missing values become the other; a value of another kind is malformed.
double number_or_default(const nlohmann::json& value, double other);
std::string string_or_default(const nlohmann::json& value, const std::string& other);

// The settings under the module's names (times in ms).
Settings parse_router_settings(const nlohmann::json& settings);

}  // namespace reedspindle
