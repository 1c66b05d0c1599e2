// The persisted state of the endpoint registry as JSON text; read completely or not at all.
#pragma once

#include <string>

#include "control/endpoint_registry.hpp"

namespace reedspindle::control {

[[nodiscard]] std::string text_of(const RegistryState& state);
// Throws InvalidInput, which names what is wrong in the text.
[[nodiscard]] RegistryState registry_state_in(const std::string& text);

}  // namespace reedspindle::control
