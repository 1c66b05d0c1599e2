// A plan of the rig: how many fronts, and what happens to them step by step. An S-expression, checked by
// plan.json as the operators' file is by its own schema.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "faulttest/test_clients.hpp"
#include "faulttest/test_stores.hpp"
#include "invariants/invariants.hpp"
#include "membership/membership.hpp"
#include "operators/file.hpp"

namespace reedspindle::faulttest {

extern const operators::Form kPlan;

struct Step {
  std::string fault, name, until, in;
  std::set<int> fronts, to, of, none_failed, stores, spared;
  std::set<std::string> with;  // discovery, clients: what else the links of the fronts go to
  Millis clock = 0, by = 0, jitter = 0, lasts = 0, within = 0;
  double share = 0, rate = 0;
  double part = 0;               // slots that each that runs has to have
  double acked = 0;              // share of the step's ops that has to be acked in time
  double sends = 0;              // that reach stores for each of the step's ops, at most; 0: any
  double probes = 0, calls = 0;  // at most in any second: of a store, of all fronts to discovery; 0: any
  int count = 0;
  int line = 0;  // of the plan
};

struct Plan {
  int fronts = 0, stores = 0, groups = 1;
  std::uint64_t seed = 0;
  Millis longest = 0;
  membership::Options fleet;
  struct QuotaManager {
    int connections = 0;  // that one store takes from all fronts together; 0: nothing is shared
    Millis lease = 0, evidence = 0, notice = 0;
    double kept = 0;
  } quota;
  std::string consistency, resends;  // as the operators' file has them; empty: off
  Millis lag = 0;                    // that replicas stand behind, unless a step changes it
  StoreWork work;
  ClientWork clients;
  invariants::CheckerOptions terms;
  std::vector<Step> steps;
};

// Whether that is waited for by what fronts say of their accord.
bool of_accord(const std::string& until);
// Throws operators::Faulty.
Plan plan_in(const operators::File& file, const std::string& path);
// Faults drawn by chance, each for a while, then all of them mended and all agreeing again. The same seed,
// the same faults.
std::vector<Step> drawn(const Plan& plan, int count, const Step& like, std::uint64_t seed);
// What a step does, as one line.
std::string text_of(const Step& step);

}  // namespace reedspindle::faulttest
