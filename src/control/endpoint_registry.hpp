// The endpoint registry: the known servers, from the endpoint lists that discovery sends over time. Free of
// I/O. It decides what a list that shrinks, is empty or has an older revision changes, and is the state that
// outlives a restart. Rationale: docs/design-control.md. Times in ms.
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
  std::string zone;      // by discovery's name
};

struct RegistryUpdate {
  EndpointListKind kind = EndpointListKind::complete;
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

// The state that outlives a restart: neither roles nor freshness, which health checks find anew.
struct RegistryState {
  long long revision = 0;
  std::vector<RegistryEntry> members;
};

// Whether the last endpoint list was accepted, or why it is suspect.
enum class UpdateVerdict { accepted, empty, too_many_removed, stale_revision };

class EndpointRegistry {
 public:
  struct Bounds {
    Millis confirm_after = 2000;          // after which a list that removes many members has to be repeated
    double max_removed_fraction = 0.5;    // of the ready members, that one list may remove unconfirmed
    Millis stale_revision_grace = 30000;  // how long lists of an older revision have to come to be accepted
  };

  explicit EndpointRegistry(Bounds bounds) : bounds_(bounds) {}

  // Takes the persisted state; before any update.
  void restore(const RegistryState& state);
  [[nodiscard]] RegistryState persisted_state() const;

  // Applies an endpoint list as far as it is trusted. Returns the members that were ready before and are
  // draining or removed now.
  [[nodiscard]] std::vector<ServerId> apply_update(const RegistryUpdate& list, Millis now);

  // All members as a complete list, for the router.
  [[nodiscard]] EndpointListReceived endpoint_list() const;
  [[nodiscard]] const std::map<ServerId, RegistryEntry>& members() const { return members_; }
  [[nodiscard]] long long revision() const { return revision_; }
  [[nodiscard]] bool known() const { return !members_.empty(); }
  // The verdict on the last list.
  [[nodiscard]] UpdateVerdict verdict() const { return verdict_; }
  // When to poll for the complete list, to confirm or refute a suspect one; none: no need.
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
