// The roster as the store holds it: JSON, read whole or not at all.
#pragma once

#include <string>

#include "control/endpoint_registry.hpp"

namespace reedspindle::control {

std::string text_of(const RegistryState& state);
// Throws InvalidInput, which names what is faulty.
RegistryState registry_state_in(const std::string& text);

}  // namespace reedspindle::control
