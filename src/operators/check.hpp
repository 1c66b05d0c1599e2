// Validates JSON against a JSON Schema with Valijson.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedspindle::operators {

// A violation of the schema, as Valijson reports it.
struct Mismatch {
  std::vector<std::string> context;  // path from the root: "<root>", then "[key]" or "[index]"
  std::string description;
};
// Returns all violations of the schema, including those that Valijson derives from an inner violation.
std::vector<Mismatch> mismatches(const nlohmann::json& schema, const nlohmann::json& values);

}  // namespace reedspindle::operators
