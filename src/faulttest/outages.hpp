// Random outages of discovery, with drains, reloads and paused processes around their ends.
#pragma once

#include <cstdint>
#include <vector>

#include "faulttest/plan.hpp"

namespace reedspindle::faulttest {

// Returns `count` outages of at most `like.by` each. In each, discovery's agents fail in one way or in two
// after each other, servers begin to drain, and the agents come back; processes are reloaded, held up, or
// killed and started meanwhile. At the end all processes get SIGTERM, and SIGKILL as early as the platform
// allows. The same seed gives the same steps.
std::vector<Step> random_outages(const Plan& plan, int count, const Step& like, std::uint64_t seed);

}  // namespace reedspindle::faulttest
