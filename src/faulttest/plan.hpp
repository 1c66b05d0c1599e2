// A fault test plan: the number of router processes ("fronts") and stores, and the faults that are injected
// step by step. Plans are S-expressions, validated against plan.json as the operators' file is against its
// own schema.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "faulttest/test_clients.hpp"
#include "faulttest/test_discovery.hpp"
#include "faulttest/test_stores.hpp"
#include "invariants/invariants.hpp"
#include "membership/membership.hpp"
#include "operators/file.hpp"

namespace reedspindle::faulttest {

extern const operators::Form kPlanForm;

struct Step {
  std::string fault, name, until, in, how;
  std::set<int> fronts, to, of, none_failed, stores, spared;
  std::set<std::string> with;  // "discovery", "clients": further far sides of the links
  Millis clock = 0, by = 0, jitter = 0, lasts = 0, within = 0;
  double share = 0, rate = 0;
  double part = 0;   // connections that each running front must be able to use
  double acked = 0;  // minimum share of the step's ops acknowledged in time
  double sends = 0;  // most sends that reach stores per op of the step; 0: no limit
  double probes = 0,
         calls = 0;  // per second: probes of a store, calls of all fronts to discovery; 0: no limit
  int count = 0;
  int line = 0;  // in the plan file
};

struct Plan {
  int fronts = 0, stores = 0, groups = 1;
  std::uint64_t seed = 0;
  Millis longest = 0;
  membership::Options fleet;
  struct QuotaManager {
    int connections = 0;  // limit of one store for all fronts together; 0: no quota
    Millis lease = 0, evidence = 0, notice = 0;
    double kept = 0;
  } quota;
  std::string consistency, resends;  // sections of the operators' file; empty: feature off
  bool agent_notifies = false;       // what discovery's agent has counts as told, whether or not it was read
  Millis lag = 0;                    // replication lag, unless a step changes it
  StoreWork work;
  ClientWork clients;
  invariants::CheckerOptions terms;
  std::vector<Step> steps;
};

// Returns whether the 'until' condition is judged by the consistency checks that the fronts report.
bool is_consistency_condition(const std::string& until);
// Throws operators::InvalidFile.
Plan parse_plan(const operators::File& file, const std::string& path);
std::set<int> all_fronts(int fronts);
// Returns random faults, each followed by a random pause, then the steps that repair all of them and wait
// until all fronts agree. The same seed gives the same faults.
std::vector<Step> random_faults(const Plan& plan, int count, const Step& like, std::uint64_t seed);
// Returns the failure of discovery that the step begins, or none if it ends one.
DiscoveryFailure discovery_failure_of(const Step& step);
// Describes a step in one line.
std::string describe(const Step& step);

}  // namespace reedspindle::faulttest
