// The registry of known servers, maintained from the endpoint lists that discovery sends over time. It
// decides how far a list is applied that is empty, lacks many known servers or has an older revision, and its
// content is persisted across restarts. Does no I/O. Rationale: docs/design-control.md. All times are in
// milliseconds.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace reedspindle::control {

// A known server.
struct RegistryEntry {
  ServerEntry listed;    // as the router takes it
  std::string endpoint;  // address and port, for example "10.1.0.18:6432"
  std::string zone;      // the name that discovery gives the zone
};

// An endpoint list from discovery.
struct RegistryUpdate {
  EndpointListKind kind = EndpointListKind::complete;
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

// The state that is persisted across restarts. Roles and freshness are not part of it: health checks
// determine them again after a restart.
struct RegistryState {
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

// The result of checking an endpoint list: accepted, or the reason why the list is suspect.
enum class UpdateVerdict { accepted, empty, too_many_removed, stale_revision };

// Holds the known servers and applies endpoint lists to them as far as the lists are trusted.
class EndpointRegistry {
 public:
  struct Bounds {
    // A list that removes many members is accepted if the lists still do so after this time.
    Millis confirm_after = 2000;
    // The fraction of the ready members that one list may remove without confirmation.
    double max_removed_fraction = 0.5;
    // Lists of an older revision are accepted once they alone have been received for this time.
    Millis stale_revision_grace = 30000;
  };

  explicit EndpointRegistry(Bounds bounds) : bounds_(bounds) {}

  // Loads the persisted state. It must be called before the first update.
  void restore(const RegistryState& state);
  // Returns the state to persist.
  [[nodiscard]] RegistryState persisted_state() const;

  // Applies an endpoint list as far as it is trusted. Returns the members that were ready before the update
  // and are draining or removed after it.
  [[nodiscard]] std::vector<ServerId> apply_update(const RegistryUpdate& list, Millis now);

  // Returns all members as a complete endpoint list, for the router.
  [[nodiscard]] EndpointListReceived endpoint_list() const;
  // Returns the known servers, including those that are draining.
  [[nodiscard]] const std::map<ServerId, RegistryEntry>& members() const { return members_; }
  // Returns the revision of the endpoint lists that the members reflect.
  [[nodiscard]] long long revision() const { return revision_; }
  // Returns whether any server is known.
  [[nodiscard]] bool known() const { return !members_.empty(); }
  // Returns the result of checking the last endpoint list.
  [[nodiscard]] UpdateVerdict verdict() const { return verdict_; }
  // Returns when to poll discovery for a complete list that confirms or refutes a suspect one, or nothing if
  // the last list was accepted.
  [[nodiscard]] std::optional<Millis> poll_at() const { return poll_at_; }
  // Schedules the next poll after one has been sent, in case the last list is still suspect.
  void on_poll_sent(Millis now);

 private:
  UpdateVerdict check_update(const RegistryUpdate& list, Millis now);
  void apply_accepted(const RegistryUpdate& list);
  // Applies only the members that the list names. With only_worse set, it adds no members and changes states
  // only towards removal.
  void apply_suspect(const RegistryUpdate& list, bool only_worse);

  const Bounds bounds_;
  std::map<ServerId, RegistryEntry> members_;
  long long revision_ = 0;
  UpdateVerdict verdict_ = UpdateVerdict::accepted;
  Millis verdict_since_ = 0;
  std::optional<Millis> poll_at_;
};

}  // namespace reedspindle::control
