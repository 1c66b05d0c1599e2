// What is known of the servers, and what a list that is being read changes in it. That a known server drains,
// is gone or has started anew counts as soon as its row is read; all else waits until the list has been read
// to its end without a fault, and is then handed out in parts. Free of I/O.
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
  // How many servers are kept at the most.
  explicit ServerTable(std::size_t most) : most_(most) {}

  // A list begins; what was read of one that did not end is forgotten.
  void begin_list();
  // The row, if it counts at once, as it is to be handed on. Throws InvalidInput where the list has that
  // server twice.
  std::optional<net::ListedEndpoint> add(net::ListedEndpoint row);
  // The list has ended: what it changes is there for next_changes. A whole list leaves out the servers that
  // are gone.
  void end_list(bool whole);
  // The next of what the last list has changed, so many rows at the most, servers that leave first; empty:
  // that was all.
  std::vector<net::ListedEndpoint> next_changes(std::size_t rows);
  [[nodiscard]] bool has_changes() const { return !changes_.empty(); }

  [[nodiscard]] std::size_t size() const { return known_.size(); }
  // Servers of the last list for which there was no room.
  [[nodiscard]] std::size_t skipped() const { return skipped_; }

 private:
  struct Known {
    net::ListedEndpoint row;
    std::uint64_t seen_in = 0;  // the list that named it last
  };

  void change(const net::ListedEndpoint& row) {
    changes_[{row.entry.state == ServerState::ready, row.entry.id.address}] = row;
  }

  const std::size_t most_;
  std::uint64_t list_ = 0;
  std::map<std::string, Known> known_;
  std::map<std::string, net::ListedEndpoint> staged_;  // rows that wait for the end of their list
  std::map<std::pair<bool, std::string>, net::ListedEndpoint>
      changes_;                    // by whether the server is ready, and its id
  std::vector<std::string> gone_;  // forgotten once the list has ended, unless it has them again
  std::size_t skipped_ = 0;
};

}  // namespace reedspindle::discovery
