// What is known of each fellow: the words told of it weighed against one another, and the sums by which two
// fronts find out where they differ.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace reedspindle::membership {

struct Peer {
  Word word;
  Millis since = 0;              // of its standing
  Millis suspected = 0;          // when it came to be suspected
  std::vector<SlotId> doubters;  // who suspects it, the first few
};

bool is_here(Standing standing);  // there or suspected

class PeerTable {
 public:
  explicit PeerTable(int most) : most_(most) {}

  // Whether a word outweighs what is held. Of equal incarnations the graver word does.
  enum class Weight { news, confirmation, known, old };
  [[nodiscard]] Weight weigh(const Word& word) const;
  // Takes it as what is held from now on.
  Peer& take(const Word& word, Millis now);

  Peer* find(const std::string& name);
  [[nodiscard]] const Peer* find(const std::string& name) const;
  // Who is here at a place, if anybody.
  [[nodiscard]] const Peer* at(SlotId place) const;
  [[nodiscard]] const std::map<std::string, Peer>& all() const { return fellows_; }
  [[nodiscard]] int here() const { return here_; }
  [[nodiscard]] const std::set<std::string>& suspects() const { return suspects_; }
  // Who has been gone for as long is held no longer, but what is said of that life stays known.
  std::vector<Word> forget(Millis since);
  // Nothing said of the name under this incarnation or a lower one is news any more.
  void bury(const std::string& name, Incarnation last);

  [[nodiscard]] std::vector<std::uint32_t> sums(Range range, const Word& self) const;
  // Words on all in the range; nothing where they are more than so many.
  [[nodiscard]] std::optional<std::vector<Word>> words(Range range, const Word& self, std::size_t most) const;

 private:
  const int most_;
  int here_ = 0;
  std::map<std::string, Peer> fellows_;
  std::map<SlotId, std::string> places_;  // of who is here
  std::set<std::string> suspects_;
  std::map<std::string, Incarnation> graves_;
  std::deque<std::string> buried_;  // the oldest first
};

}  // namespace reedspindle::membership
