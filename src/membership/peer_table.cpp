#include "membership/peer_table.hpp"

// Only in here, from the header alone: the front needs no library at run time for it.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace reedspindle::membership {
namespace {

std::uint64_t hash_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

bool within(std::uint64_t hash, Range range) {
  return range.depth == 0 || hash >> (64 - 4 * range.depth) == range.prefix;
}

// The suspected count as there: who suspects whom changes too often to be compared.
std::uint32_t sum_of(const Word& word) {
  const std::uint64_t parts[] = {hash_of(word.name), static_cast<std::uint64_t>(word.place.number),
                                 is_here(word.standing) ? 1U : 0U, word.incarnation.number};
  return static_cast<std::uint32_t>(XXH3_64bits(parts, sizeof parts));
}

}  // namespace

bool is_here(Standing standing) { return standing == Standing::there || standing == Standing::suspected; }

PeerTable::Weight PeerTable::weigh(const Word& word) const {
  const Peer* held = find(word.name);
  if (!held) {
    const auto grave = graves_.find(word.name);
    if (grave != graves_.end() && word.incarnation <= grave->second) {
      return Weight::old;
    }
    // Guards against names without end.
    return static_cast<int>(fellows_.size()) < most_ ? Weight::news : Weight::old;
  }
  if (word.incarnation != held->word.incarnation) {
    return word.incarnation > held->word.incarnation ? Weight::news : Weight::old;
  }
  if (word.standing > held->word.standing) {
    return Weight::news;
  }
  if (word.standing < held->word.standing) {
    return Weight::old;
  }
  return word.standing == Standing::suspected ? Weight::confirmation : Weight::known;
}

Peer& PeerTable::take(const Word& word, Millis now) {
  Peer& fellow = fellows_[word.name];
  if (is_here(fellow.word.standing) && fellow.word.place.number >= 0) {
    --here_;
    if (const auto at = places_.find(fellow.word.place); at != places_.end() && at->second == word.name) {
      places_.erase(at);
    }
  }
  if (fellow.word.standing != word.standing || fellow.word.place.number < 0) {
    fellow.since = now;
  }
  fellow.word = word;
  fellow.doubters.clear();
  suspects_.erase(word.name);
  if (word.standing == Standing::suspected) {
    fellow.suspected = now, suspects_.insert(word.name);
  }
  if (is_here(word.standing)) {
    ++here_, places_[word.place] = word.name;
  }
  return fellow;
}

Peer* PeerTable::find(const std::string& name) {
  const auto found = fellows_.find(name);
  return found == fellows_.end() ? nullptr : &found->second;
}
const Peer* PeerTable::find(const std::string& name) const {
  const auto found = fellows_.find(name);
  return found == fellows_.end() ? nullptr : &found->second;
}

const Peer* PeerTable::at(SlotId place) const {
  const auto found = places_.find(place);
  return found == places_.end() ? nullptr : find(found->second);
}

std::vector<Word> PeerTable::forget(Millis since) {
  std::vector<Word> gone;
  for (auto at = fellows_.begin(); at != fellows_.end();) {
    if (is_here(at->second.word.standing) || at->second.since > since) {
      ++at;
      continue;
    }
    gone.push_back(at->second.word);
    bury(at->first, at->second.word.incarnation);
    at = fellows_.erase(at);
  }
  return gone;
}

// Guards against old words, sent again or late: they bring nobody back who was forgotten. As many as there
// may be fellows; then the oldest are given up.
void PeerTable::bury(const std::string& name, Incarnation last) {
  if (graves_.insert_or_assign(name, last).second) {
    buried_.push_back(name);
  }
  while (static_cast<int>(buried_.size()) > most_) {
    graves_.erase(buried_.front()), buried_.pop_front();
  }
}

std::vector<std::uint32_t> PeerTable::sums(Range range, const Word& self) const {
  std::vector<std::uint32_t> sums(kFan);
  const auto add = [&](const Word& word) {
    const std::uint64_t hash = hash_of(word.name);
    if (within(hash, range)) {
      sums[hash >> (60 - 4 * range.depth) & (kFan - 1)] += sum_of(word);
    }
  };
  add(self);
  for (const auto& [name, fellow] : fellows_) {
    add(fellow.word);
  }
  return sums;
}

std::optional<std::vector<Word>> PeerTable::words(Range range, const Word& self, std::size_t most) const {
  std::vector<Word> words;
  if (within(hash_of(self.name), range)) {
    words.push_back(self);
  }
  for (const auto& [name, fellow] : fellows_) {
    if (!within(hash_of(name), range)) {
      continue;
    }
    if (words.size() == most) {
      return std::nullopt;
    }
    words.push_back(fellow.word);
  }
  return words;
}

}  // namespace reedspindle::membership
