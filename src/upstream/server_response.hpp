// Reads a server's response to one query: its load report, its one row, and an error.
#pragma once

#include <optional>
#include <string>

#include "core/types.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

// What an SQLSTATE from a server says about the attempt.
[[nodiscard]] AttemptOutcome outcome_of_code(const std::string& code);

// What has been read so far of the response to one query. The functions that return bool say whether the
// message is allowed at this point; where it is not, the response is left as it was.
class ServerResponse {
 public:
  // Takes the load report from a parameter that comes beside the response. One that can't be read is ignored.
  void read_parameter(const postgres::Message& message, Millis now);
  bool read_row_description(const postgres::Message& message);
  // From a probe, the row's value is a load report, too.
  bool read_data_row(const postgres::Message& message, Millis now, bool is_probe);
  bool read_command_complete(const postgres::Message& message);
  bool read_error(const std::string& code);

  // Drops the load report and records that the rest of the response could not be read.
  void mark_unreadable();

  // Either the row with its tag has come, or an error.
  [[nodiscard]] bool finished() const { return complete_ || error_code_; }
  [[nodiscard]] bool unreadable() const { return unreadable_; }
  [[nodiscard]] AttemptOutcome outcome() const;
  [[nodiscard]] const ReplicaSample& sample() const { return sample_; }
  // The messages of the row as the server sent them, from RowDescription up to CommandComplete.
  [[nodiscard]] std::string take_row() { return std::move(row_); }

 private:
  ReplicaSample sample_;
  std::string row_;
  std::optional<std::string> error_code_;  // SQLSTATE
  bool described_ = false;                 // RowDescription has come
  bool has_row_ = false;                   // DataRow has come
  bool complete_ = false;                  // CommandComplete has come
  bool unreadable_ = false;
};

}  // namespace reedspindle::upstream
