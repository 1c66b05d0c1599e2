// What a run has left behind, told second by second: faults, what became of ops, broken rules.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedspindle::faulttest {

// The record of a run (FaultTest::record) as lines.
std::vector<std::string> report(const nlohmann::json& record);

}  // namespace reedspindle::faulttest
