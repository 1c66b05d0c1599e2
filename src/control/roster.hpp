// The roster: who the members are, as discovery told it over time. Free of I/O. It decides what a list that
// shrinks, is empty or goes back in its revisions does to what is known, and is what outlives a restart.
// What was weighed: docs/design-control.md.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "logic.hpp"

namespace reedspindle::control {

struct RosterEntry {
  ListedMember listed;
  std::string endpoint;  // "10.1.0.18:6432"
  std::string zone;      // as discovery names it
};

struct RosterList {
  ListKind kind = ListKind::complete;
  long long revision = 0;
  std::vector<RosterEntry> members;
};

// What lasts over a restart: nothing that has to be seen again, so neither roles nor freshness.
struct KeptRoster {
  long long revision = 0;
  std::vector<RosterEntry> members;
};

enum class Doubt { none, empty, loss, older };

class Roster {
 public:
  struct Bounds {
    Millis confirm = 2000;      // how much later a list that has lost much has to be told again
    double largest_loss = 0.5;  // share of the members that one list may lose unconfirmed
    Millis older_list = 30000;  // how long lists of an older revision have to stand to undo anything
  };

  explicit Roster(Bounds bounds) : bounds_(bounds) {}

  // What the store held; before any list.
  void restore(const KeptRoster& kept);
  KeptRoster kept() const;

  // Returns the members that drain or are gone from now on and did not before.
  std::vector<MemberId> take(const RosterList& list, Millis now);

  // For the module: everyone who counts, as a complete list.
  ListRead read() const;
  const std::map<MemberId, RosterEntry>& members() const { return members_; }
  long long revision() const { return revision_; }
  bool known() const { return !members_.empty(); }
  // What a list was not believed for last; none once one is.
  Doubt doubt() const { return doubt_; }
  // When the whole list is to be asked for, to settle a doubt; none: no need.
  std::optional<Millis> ask_at() const { return ask_at_; }
  void asked(Millis now);

 private:
  Doubt judge(const RosterList& list, Millis now);
  void adopt(const RosterList& list);
  void merge(const RosterList& list, bool only_worse);

  const Bounds bounds_;
  std::map<MemberId, RosterEntry> members_;
  long long revision_ = 0;
  Doubt doubt_ = Doubt::none;
  Millis doubted_since_ = 0;
  std::optional<Millis> ask_at_;
};

}  // namespace reedspindle::control
