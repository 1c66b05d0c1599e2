#include "discovery/server_table.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "settings/settings.hpp"

namespace reedspindle::discovery {

DraftId ServerTable::begin_list() {
  const auto free = std::ranges::find(drafts_, false, &Draft::open);
  if (free == drafts_.end()) {
    throw std::logic_error("too many endpoint lists are being read");
  }
  *free = {true, ++list_number_, {}, 0};
  return {static_cast<std::size_t>(free - drafts_.begin())};
}

void ServerTable::discard(DraftId draft) {
  drafts_.at(draft.number).open = false;
  drafts_.at(draft.number).staged.clear();
}

std::optional<net::ListedEndpoint> ServerTable::add(DraftId draft_id, net::ListedEndpoint row,
                                                    EarlyChanges early) {
  Draft& draft = drafts_.at(draft_id.number);
  const std::string id = row.entry.id.address;
  const auto found = known_.find(id);
  if (found == known_.end()) {
    if (row.entry.state == ServerState::gone) {
      return std::nullopt;
    }
    if (draft.staged.contains(id)) {
      throw InvalidInput("targets[].uid: duplicate value " + id);
    }
    if (known_.size() + draft.staged.size() >= max_servers_) {
      ++draft.skipped;
    } else {
      draft.staged.emplace(id, std::move(row));
    }
    return std::nullopt;
  }
  Known& known = found->second;
  if (std::exchange(known.seen_in.at(draft_id.number), draft.list_number) == draft.list_number) {
    throw InvalidInput("targets[].uid: duplicate value " + id);
  }
  if (row == known.row) {
    return std::nullopt;
  }

  // A server that is gone comes back, even as draining, only with a list that has been read to its end.
  const ServerState before = known.row.entry.state;
  const bool was_present = before != ServerState::gone && early == EarlyChanges::allowed;
  const bool leaving = was_present && row.entry.state != ServerState::ready && row.entry.state != before;
  const bool restarted = was_present && row.entry.started_at > known.row.entry.started_at;
  if (!leaving && !restarted) {
    draft.staged.emplace(id, std::move(row));
    return std::nullopt;
  }
  preserve_for_other_drafts(draft_id, id, known);
  // Only the state and the start time of the row take effect before the list has been read to its end.
  if (leaving) {
    known.row.entry.state = row.entry.state;
  }
  if (row.entry.state == ServerState::gone) {
    gone_.push_back(id);
  }
  if (restarted) {
    known.row.entry.started_at = row.entry.started_at;
  }
  const net::ListedEndpoint updated = known.row;
  if (row != updated) {
    draft.staged.emplace(id, std::move(row));
  }
  return updated;
}

void ServerTable::end_list(DraftId draft_id, bool complete) {
  Draft& draft = drafts_.at(draft_id.number);
  if (complete) {
    mark_unlisted_gone(draft_id);
  }
  for (auto& [id, row] : draft.staged) {
    Known& known = known_[id];
    preserve_for_other_drafts(draft_id, id, known);
    known.seen_in.at(draft_id.number) = draft.list_number;
    known.row = row;
    add_change(row);
  }
  draft.staged.clear();
  draft.open = false;
  erase_gone(draft_id);
}

void ServerTable::mark_unlisted_gone(DraftId draft_id) {
  const std::uint64_t list_number = drafts_.at(draft_id.number).list_number;
  for (auto& [id, known] : known_) {
    if (known.seen_in.at(draft_id.number) == list_number || known.row.entry.state == ServerState::gone) {
      continue;
    }
    preserve_for_other_drafts(draft_id, id, known);
    known.row.entry.state = ServerState::gone;
    gone_.push_back(id);
    add_change(known.row);
  }
}

void ServerTable::erase_gone(DraftId draft_id) {
  for (const std::string& id : std::exchange(gone_, {})) {
    const auto found = known_.find(id);
    if (found == known_.end() || found->second.row.entry.state != ServerState::gone) {
      continue;
    }
    preserve_for_other_drafts(draft_id, id, found->second);
    known_.erase(found);
  }
}

// A row that another list has in common with what is known was not staged there. It is staged before what is
// known changes.
void ServerTable::preserve_for_other_drafts(DraftId draft_id, const std::string& id, const Known& known) {
  for (std::size_t other = 0; other < kMaxDrafts; ++other) {
    Draft& draft = drafts_.at(other);
    if (other != draft_id.number && draft.open && known.seen_in.at(other) == draft.list_number) {
      draft.staged.try_emplace(id, known.row);
    }
  }
}

std::vector<net::ListedEndpoint> ServerTable::next_changes(std::size_t rows) {
  std::vector<net::ListedEndpoint> part;
  while (part.size() < rows && !changes_.empty()) {
    part.push_back(std::move(changes_.extract(changes_.begin()).mapped()));
  }
  return part;
}

}  // namespace reedspindle::discovery
