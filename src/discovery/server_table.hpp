// The known servers, and what a list that is being read changes in them. If a row says that a known server is
// draining, gone or has restarted, this takes effect as soon as the row is read; everything else takes effect
// only when the list has been read to its end without an error, and is then returned in parts. Two lists may
// be read at the same time: what one changes is not lost to the other. Does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/endpoint_list.hpp"

namespace reedspindle::discovery {

using net::ListedEndpoint;

// Identifies a list that is being read.
struct DraftId {
  std::size_t number = 0;
};
// Whether rows that say that a server is draining, gone or has restarted take effect at once.
enum class EarlyChanges { allowed, forbidden };

class ServerTable {
 public:
  // The most lists that are read at the same time.
  static constexpr std::size_t kMaxDrafts = 2;

  // Keeps at most this many servers.
  explicit ServerTable(std::size_t max_servers) : max_servers_(max_servers) {}

  // Begins a list. Each has to be ended or discarded.
  DraftId begin_list();
  // Ends a list without using what was read of it, apart from what has taken effect.
  void discard(DraftId draft);
  // Adds a row of the list. If part of it takes effect at once, returns the server as it is known from now
  // on. Throws InvalidInput if the list has the server twice.
  std::optional<net::ListedEndpoint> add(DraftId draft, net::ListedEndpoint row,
                                         EarlyChanges early = EarlyChanges::allowed);
  // Ends the list: its changes are now available from next_changes. Servers that a complete list does not
  // name become gone.
  void end_list(DraftId draft, bool complete);
  // Returns the next changes of the last list, at most so many rows, servers that are draining or gone first.
  // Empty when there are no more.
  std::vector<net::ListedEndpoint> next_changes(std::size_t rows);
  [[nodiscard]] bool has_changes() const { return !changes_.empty(); }

  [[nodiscard]] std::size_t size() const { return known_.size(); }
  // Returns how many servers of the list were skipped because the table was full; valid until the next list
  // begins.
  [[nodiscard]] std::size_t skipped(DraftId draft) const { return drafts_.at(draft.number).skipped; }

 private:
  struct Known {
    net::ListedEndpoint row;
    std::array<std::uint64_t, kMaxDrafts> seen_in{};  // by draft: the number of its last list that named it
  };
  struct Draft {
    bool open = false;
    std::uint64_t list_number = 0;
    std::map<std::string, net::ListedEndpoint> staged;  // rows that take effect at the end of the list
    std::size_t skipped = 0;
  };

  void preserve_for_other_drafts(DraftId draft, const std::string& id, const Known& known);
  void mark_unlisted_gone(DraftId draft);
  void erase_gone(DraftId draft);
  void add_change(const net::ListedEndpoint& row) {
    changes_[{row.entry.state == ServerState::ready, row.entry.id.address}] = row;
  }

  const std::size_t max_servers_;
  std::uint64_t list_number_ = 0;
  std::map<std::string, Known> known_;
  std::array<Draft, kMaxDrafts> drafts_;
  // By whether the server is ready, and its id.
  std::map<std::pair<bool, std::string>, net::ListedEndpoint> changes_;
  std::vector<std::string> gone_;  // removed at the end of a list unless it names them again
};

}  // namespace reedspindle::discovery
