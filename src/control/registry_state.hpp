// Converts the persisted state of the endpoint registry to and from JSON text.
#pragma once

#include <string>

#include "control/endpoint_registry.hpp"

namespace reedspindle::control {

// Returns the state as JSON text. Invalid UTF-8 is replaced.
[[nodiscard]] std::string text_of(const RegistryState& state);
// Parses the JSON text. Throws InvalidInput, with the reason, if any part of the text is invalid: a state is
// never read in part.
[[nodiscard]] RegistryState registry_state_in(const std::string& text);

}  // namespace reedspindle::control
