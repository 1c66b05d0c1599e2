#include "discovery/server_table.hpp"

#include <algorithm>
#include <utility>

#include "settings/settings.hpp"

namespace reedspindle::discovery {

void ServerTable::begin_list() {
  ++list_;
  staged_.clear();
  skipped_ = 0;
}

std::optional<net::ListedEndpoint> ServerTable::add(net::ListedEndpoint row) {
  const std::string id = row.entry.id.address;
  const auto found = known_.find(id);
  if (found == known_.end()) {
    if (row.entry.state == ServerState::gone) {
      return std::nullopt;
    }
    if (staged_.contains(id)) {
      throw InvalidInput("targets: uid is there twice: " + id);
    }
    if (known_.size() + staged_.size() >= most_) {
      ++skipped_;
    } else {
      staged_.emplace(id, std::move(row));
    }
    return std::nullopt;
  }
  Known& known = found->second;
  if (std::exchange(known.seen_in, list_) == list_) {
    throw InvalidInput("targets: uid is there twice: " + id);
  }
  if (row == known.row) {
    return std::nullopt;
  }

  // One that is gone comes back, if only to drain, with a list that has been read to its end.
  const ServerState before = known.row.entry.state;
  const bool is_there = before != ServerState::gone;
  const bool leaves = is_there && row.entry.state != ServerState::ready && row.entry.state != before;
  const bool started = is_there && row.entry.started_at > known.row.entry.started_at;
  if (!leaves && !started) {
    staged_.emplace(id, std::move(row));
    return std::nullopt;
  }
  // Only this much of the row counts before the list has been read to its end.
  if (leaves) {
    known.row.entry.state = row.entry.state;
  }
  if (row.entry.state == ServerState::gone) {
    gone_.push_back(id);
  }
  if (started) {
    known.row.entry.started_at = row.entry.started_at;
  }
  const net::ListedEndpoint now = known.row;
  if (row != now) {
    staged_.emplace(id, std::move(row));
  }
  return now;
}

void ServerTable::end_list(bool whole) {
  if (whole) {
    for (auto& [id, known] : known_) {
      if (known.seen_in == list_ || known.row.entry.state == ServerState::gone) {
        continue;
      }
      known.row.entry.state = ServerState::gone;
      gone_.push_back(id);
      change(known.row);
    }
  }
  for (auto& [id, row] : staged_) {
    Known& known = known_[id];
    known.seen_in = list_;
    known.row = row;
    change(row);
  }
  staged_.clear();
  for (const std::string& id : std::exchange(gone_, {})) {
    if (const auto found = known_.find(id);
        found != known_.end() && found->second.row.entry.state == ServerState::gone) {
      known_.erase(found);
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
