// Reads the response of a server to one query: its load report, its one row, or an error.
#pragma once

#include <optional>
#include <string>

#include "core/types.hpp"
#include "net/memory_budget.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

// Returns the outcome of an attempt that the server answered with this SQLSTATE.
[[nodiscard]] AttemptOutcome outcome_of_code(const std::string& code);

// Collects the response to one query, message by message. The functions that return bool return whether the
// message is valid and allowed at this point; if it is not, the response is unchanged.
class ServerResponse {
 public:
  // The row is charged to the budget, which has to outlive the response and the row.
  explicit ServerResponse(net::MemoryBudget& budget) : row_(net::ChargedText(budget)) {}

  // Takes role, position or load report from a ParameterStatus message. A value that can't be parsed is
  // ignored. The parameters may come in any order. `now` is in Unix milliseconds.
  void read_parameter(const postgres::Message& message, Millis now);
  bool read_row_description(const postgres::Message& message);
  // The row of a probe holds a load report, and is not kept.
  bool read_data_row(const postgres::Message& message, Millis now, bool is_probe);
  bool read_command_complete(const postgres::Message& message);
  bool read_error(const std::string& code);

  // Discards the server's samples, and records that the rest of the response could not be read.
  void mark_unreadable();

  // Returns whether CommandComplete or an error has been received.
  [[nodiscard]] bool finished() const { return complete_ || error_; }
  [[nodiscard]] bool unreadable() const { return unreadable_; }
  // Returns the outcome of the attempt or probe; `failed` if the response is incomplete.
  [[nodiscard]] AttemptOutcome outcome() const;
  // Returns the role and position that the answer itself states.
  [[nodiscard]] const ReplicaSample& sample() const { return sample_; }
  // Returns the role, position and load of the load report, which is older than the answer.
  [[nodiscard]] const ReplicaSample& report() const { return report_; }
  // Returns the server's messages, unchanged, from RowDescription up to CommandComplete, with space for a
  // ReadyForQuery. None if there was no memory to keep them.
  [[nodiscard]] std::optional<net::ChargedText> take_row() { return std::move(row_); }

 private:
  // Appends a message to the row.
  void keep(const postgres::Message& message, std::size_t more = 0);

  ReplicaSample sample_;
  ReplicaSample report_;
  std::optional<net::ChargedText> row_;  // none: there was no memory to keep it
  std::optional<AttemptOutcome> error_;  // what the error that was received says
  bool described_ = false;               // RowDescription has been received
  bool has_row_ = false;                 // DataRow has been received
  bool complete_ = false;                // CommandComplete has been received
  bool unreadable_ = false;
};

}  // namespace reedspindle::upstream
