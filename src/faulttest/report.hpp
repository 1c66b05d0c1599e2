// Formats the record of a run second by second: faults, outcomes of ops, violated invariants.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace reedspindle::faulttest {

// Formats the record of a run (FaultTest::record), one string per line.
std::vector<std::string> report(const nlohmann::json& record);

}  // namespace reedspindle::faulttest
