// The known servers, and what a list that is being read changes in them. If a row says that a known server is
// draining, gone or has restarted, this takes effect as soon as the row is read; everything else takes effect
// only when the list has been read to its end without an error, and is then returned in parts. Does no I/O.
#pragma once

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

class ServerTable {
 public:
  // Keeps at most this many servers.
  explicit ServerTable(std::size_t max_servers) : max_servers_(max_servers) {}

  // Begins a list and discards what was read of a list that was not ended.
  void begin_list();
  // Adds a row of the list. If part of it takes effect at once, returns the server as it is known from now
  // on. Throws InvalidInput if the list has the server twice.
  std::optional<net::ListedEndpoint> add(net::ListedEndpoint row);
  // Ends the list: its changes are now available from next_changes. Servers that a complete list does not
  // name become gone.
  void end_list(bool complete);
  // Returns the next changes of the last list, at most so many rows, servers that are draining or gone first.
  // Empty when there are no more.
  std::vector<net::ListedEndpoint> next_changes(std::size_t rows);
  [[nodiscard]] bool has_changes() const { return !changes_.empty(); }

  [[nodiscard]] std::size_t size() const { return known_.size(); }
  // Returns how many servers of the last list were skipped because the table was full.
  [[nodiscard]] std::size_t skipped() const { return skipped_; }

 private:
  struct Known {
    net::ListedEndpoint row;
    std::uint64_t seen_in = 0;  // the number of the last list that named it
  };

  void add_change(const net::ListedEndpoint& row) {
    changes_[{row.entry.state == ServerState::ready, row.entry.id.address}] = row;
  }

  const std::size_t max_servers_;
  std::uint64_t list_number_ = 0;
  std::map<std::string, Known> known_;
  std::map<std::string, net::ListedEndpoint> staged_;  // rows that take effect at the end of their list
  // By whether the server is ready, and its id.
  std::map<std::pair<bool, std::string>, net::ListedEndpoint> changes_;
  std::vector<std::string> gone_;  // removed at the end of the list unless it names them again
  std::size_t skipped_ = 0;
};

}  // namespace reedspindle::discovery
