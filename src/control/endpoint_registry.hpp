// The roster: who the members are, as discovery told it over time. Free of I/O. It decides what a list that
// shrinks, is empty or goes back in its revisions does to what is known, and is what outlives a restart.
// What was weighed: docs/design-control.md.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::control {

struct RegistryEntry {
  ServerEntry listed;
  std::string endpoint;  // "10.1.0.18:6432"
  std::string zone;      // as discovery names it
};

struct RegistryUpdate {
  EndpointListKind kind = EndpointListKind::complete;
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

// What lasts over a restart: nothing that has to be seen again, so neither roles nor freshness.
struct RegistryState {
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

enum class UpdateVerdict { accepted, empty, too_many_removed, stale_revision };

class EndpointRegistry {
 public:
  struct Bounds {
    Millis confirm_after = 2000;        // how much later a list that has lost much has to be told again
    double max_removed_fraction = 0.5;  // share of the members that one list may lose unconfirmed
    Millis stale_revision_grace =
        30000;  // how long lists of an older revision have to stand to undo anything
  };

  explicit EndpointRegistry(Bounds bounds) : bounds_(bounds) {}

  // What the store held; before any list.
  void restore(const RegistryState& state);
  [[nodiscard]] RegistryState persisted_state() const;

  // Returns the members that drain or are gone from now on and did not before.
  std::vector<ServerId> apply_update(const RegistryUpdate& list, Millis now);

  // For the module: everyone who counts, as a complete list.
  [[nodiscard]] EndpointListReceived endpoint_list() const;
  [[nodiscard]] const std::map<ServerId, RegistryEntry>& members() const { return members_; }
  [[nodiscard]] long long revision() const { return revision_; }
  [[nodiscard]] bool known() const { return !members_.empty(); }
  // What a list was not believed for last; none once one is.
  [[nodiscard]] UpdateVerdict verdict() const { return verdict_; }
  // When the whole list is to be asked for, to settle a doubt; none: no need.
  [[nodiscard]] std::optional<Millis> poll_at() const { return poll_at_; }
  void on_poll_sent(Millis now);

 private:
  UpdateVerdict check_update(const RegistryUpdate& list, Millis now);
  void apply_accepted(const RegistryUpdate& list);
  void apply_suspect(const RegistryUpdate& list, bool only_worse);

  const Bounds bounds_;
  std::map<ServerId, RegistryEntry> members_;
  long long revision_ = 0;
  UpdateVerdict verdict_ = UpdateVerdict::accepted;
  Millis verdict_since_ = 0;
  std::optional<Millis> poll_at_;
};

}  // namespace reedspindle::control
