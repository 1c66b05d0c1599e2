// The roster as the store holds it: JSON, read whole or not at all.
#pragma once

#include <string>

#include "control/roster.hpp"

namespace reedspindle::control {

std::string text_of(const KeptRoster& kept);
// Throws Malformed, which names what is faulty.
KeptRoster kept_in(const std::string& text);

}  // namespace reedspindle::control
