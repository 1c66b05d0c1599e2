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

enum class UpdateDoubt { none, empty, loss, older };

class EndpointRegistry {
 public:
  struct Bounds {
    Millis confirm = 2000;      // how much later a list that has lost much has to be told again
    double largest_loss = 0.5;  // share of the members that one list may lose unconfirmed
    Millis older_list = 30000;  // how long lists of an older revision have to stand to undo anything
  };

  explicit EndpointRegistry(Bounds bounds) : bounds_(bounds) {}

  // What the store held; before any list.
  void restore(const RegistryState& kept);
  [[nodiscard]] RegistryState kept() const;

  // Returns the members that drain or are gone from now on and did not before.
  std::vector<ServerId> take(const RegistryUpdate& list, Millis now);

  // For the module: everyone who counts, as a complete list.
  [[nodiscard]] EndpointListReceived read() const;
  [[nodiscard]] const std::map<ServerId, RegistryEntry>& members() const { return members_; }
  [[nodiscard]] long long revision() const { return revision_; }
  [[nodiscard]] bool known() const { return !members_.empty(); }
  // What a list was not believed for last; none once one is.
  [[nodiscard]] UpdateDoubt doubt() const { return doubt_; }
  // When the whole list is to be asked for, to settle a doubt; none: no need.
  [[nodiscard]] std::optional<Millis> ask_at() const { return ask_at_; }
  void asked(Millis now);

 private:
  UpdateDoubt judge(const RegistryUpdate& list, Millis now);
  void adopt(const RegistryUpdate& list);
  void merge(const RegistryUpdate& list, bool only_worse);

  const Bounds bounds_;
  std::map<ServerId, RegistryEntry> members_;
  long long revision_ = 0;
  UpdateDoubt doubt_ = UpdateDoubt::none;
  Millis doubted_since_ = 0;
  std::optional<Millis> ask_at_;
};

}  // namespace reedspindle::control
