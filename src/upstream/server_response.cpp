#include "upstream/server_response.hpp"

#include <algorithm>
#include <string_view>

namespace reedspindle::upstream {
namespace {

// The clocks of all machines are assumed to agree. A position can then exceed the current time only by a
// rounding error, which is less than this many milliseconds.
constexpr Millis kPositionRounding = 10;
constexpr Millis kMillisPerSecond = 1000;
// CommandComplete and ReadyForQuery at their longest, in bytes.
constexpr std::size_t kBytesAfterRow = 128;

bool is_valid_position(Millis position, Millis now) {
  return position >= 0 && position < now + kPositionRounding;
}

// Parses a load report such as "x0=1767225600.123,x1=1,cpu=0.61". Of several reports, keeps the latest. The
// items are:
// - x0: the replication position, a Unix time in seconds
// - x1: the role, 1 on a primary and 0 on a replica
// - cpu or util: the CPU utilization as a fraction; named cpu in the settings and util in the example of the
//   protocol
// Items with other names are ignored. If the value of any item is not a number, or if x0 or x1 has an
// impossible value, the whole report is ignored.
void read_load_report(std::string_view text, Millis now, ReplicaSample& latest) {
  ReplicaSample report;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto [name, value] = postgres::name_and_value(item);
    const auto number = postgres::parse_number(value);
    if (!number) {
      return;
    }
    if (name == "x0") {
      report.position = *number * kMillisPerSecond;
      if (!is_valid_position(report.position, now)) {
        return;
      }
    }
    if (name == "x1") {
      if (*number != 0 && *number != 1) {
        return;
      }
      report.role = *number > 0 ? Role::primary : Role::replica;
    }
    if (name == "cpu" || name == "util") {
      report.utilization = *number;
    }
  }
  if (report.position >= latest.position) {
    latest = report;
  }
}

Role role_of(std::string_view rank) {
  if (rank == "source") {
    return Role::primary;
  }
  return rank == "copy" ? Role::replica : Role::unknown;
}

}  // namespace

AttemptOutcome outcome_of_code(const std::string& code) {
  if (code == "25006" || code == "72000") {  // read-only server, snapshot too old
    return AttemptOutcome::rejected_not_executed;
  }
  return code == "53300" ? AttemptOutcome::rejected_overloaded : AttemptOutcome::failed;
}

void ServerResponse::read_parameter(const postgres::Message& message, Millis now) {
  const auto parameter = postgres::read_parameter(message.body);
  if (!parameter) {
    return;
  }
  const auto [name, value] = *parameter;
  if (name == "rank") {
    sample_.role = role_of(value);
  }
  if (name == "as_of") {
    const auto position = postgres::parse_number(value);
    if (position && is_valid_position(*position, now)) {
      sample_.position = std::max(sample_.position, *position);
    }
  }
  if (name == "vitals") {
    read_load_report(value, now, report_);
  }
}

bool ServerResponse::read_row_description(const postgres::Message& message) {
  if (error_ || described_ || !postgres::describes_one_column(message.body)) {
    return false;
  }
  described_ = true;
  keep(message);
  return true;
}

bool ServerResponse::read_data_row(const postgres::Message& message, Millis now, bool is_probe) {
  const auto value = postgres::read_row(message.body);
  if (error_ || !described_ || has_row_ || !value) {
    return false;
  }
  has_row_ = true;
  if (is_probe) {
    read_load_report(*value, now, report_);
  } else {
    keep(message, kBytesAfterRow);
  }
  return true;
}

bool ServerResponse::read_command_complete(const postgres::Message& message) {
  if (error_ || !has_row_ || complete_ || !postgres::is_command_tag(message.body)) {
    return false;
  }
  complete_ = true;
  keep(message);
  return true;
}

bool ServerResponse::read_error(const std::string& code) {
  if (finished()) {
    return false;
  }
  error_ = outcome_of_code(code);
  return true;
}

void ServerResponse::keep(const postgres::Message& message, std::size_t more) {
  if (row_ && !row_->append(message.bytes, more)) {
    row_.reset();
  }
}

void ServerResponse::mark_unreadable() {
  sample_ = {};
  report_ = {};
  unreadable_ = true;
}

AttemptOutcome ServerResponse::outcome() const {
  if (error_) {
    return *error_;
  }
  return complete_ ? AttemptOutcome::acknowledged : AttemptOutcome::failed;
}

}  // namespace reedspindle::upstream
