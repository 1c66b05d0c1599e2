#include "discovery/server_table.hpp"

#include <algorithm>
#include <utility>

#include "settings/settings.hpp"

namespace reedspindle::discovery {

void ServerTable::begin_list() {
  ++list_number_;
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
      throw InvalidInput("targets[].uid: duplicate value " + id);
    }
    if (known_.size() + staged_.size() >= max_servers_) {
      ++skipped_;
    } else {
      staged_.emplace(id, std::move(row));
    }
    return std::nullopt;
  }
  Known& known = found->second;
  if (std::exchange(known.seen_in, list_number_) == list_number_) {
    throw InvalidInput("targets[].uid: duplicate value " + id);
  }
  if (row == known.row) {
    return std::nullopt;
  }

  // A server that is gone comes back, even as draining, only with a list that has been read to its end.
  const ServerState before = known.row.entry.state;
  const bool was_present = before != ServerState::gone;
  const bool leaving = was_present && row.entry.state != ServerState::ready && row.entry.state != before;
  const bool restarted = was_present && row.entry.started_at > known.row.entry.started_at;
  if (!leaving && !restarted) {
    staged_.emplace(id, std::move(row));
    return std::nullopt;
  }
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
    staged_.emplace(id, std::move(row));
  }
  return updated;
}

void ServerTable::end_list(bool complete) {
  if (complete) {
    for (auto& [id, known] : known_) {
      if (known.seen_in == list_number_ || known.row.entry.state == ServerState::gone) {
        continue;
      }
      known.row.entry.state = ServerState::gone;
      gone_.push_back(id);
      add_change(known.row);
    }
  }
  for (auto& [id, row] : staged_) {
    Known& known = known_[id];
    known.seen_in = list_number_;
    known.row = row;
    add_change(row);
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
