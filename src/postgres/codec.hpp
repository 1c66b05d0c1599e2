// Reads and writes messages of version 3 of PostgreSQL's wire protocol, and reads the statements that clients
// send. Free of I/O, clocks and state. All views point into the text they were read from.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace reedspindle::postgres {

// In bytes. A value is written as hexadecimal digits, two for each byte; the rest of a statement is short.
constexpr std::size_t kMaxValueBytes = 64 * 1024;
constexpr std::size_t kMaxMessageBytes = 2 * kMaxValueBytes + 1024;

struct Message {
  char type = 0;           // 0: a startup message, which has no type byte
  std::string_view body;   // without the type and the length
  std::string_view bytes;  // all of it
};
// More bytes are needed.
struct Partial {};
// Why a message or a statement is rejected, as it is said to the client.
struct Fault {
  std::string code;  // SQLSTATE
  std::string text;
};
using ReadResult = std::variant<Partial, Message, Fault>;

// The first message in the buffered bytes. What can't become a message of that sender is a fault as soon as
// its type or its length has come.
[[nodiscard]] ReadResult read_from_client(std::string_view held);
[[nodiscard]] ReadResult read_from_server(std::string_view held);
[[nodiscard]] ReadResult read_startup(std::string_view held);

// What a startup message asks for: a session, TLS or GSSAPI encryption, or to cancel a request.
enum class Startup { session, encryption, cancel, unknown };
[[nodiscard]] Startup startup_kind(const Message& message);

// What a client needs to cancel a request from another connection (BackendKeyData).
struct CancelKey {
  std::uint32_t process = 0;
  std::uint32_t secret = 0;
  auto operator<=>(const CancelKey&) const = default;
};
// The key in a startup message of the kind cancel; none: it can't be read.
[[nodiscard]] std::optional<CancelKey> cancel_key(const Message& message);

// The two parts of "name=value"; without the sign all of it is the name.
[[nodiscard]] std::pair<std::string_view, std::string_view> name_and_value(std::string_view item);

// The finite number that the text consists of; none: it is anything else.
[[nodiscard]] std::optional<double> parse_number(std::string_view text);

// Where a part of a text is, in bytes.
struct TextSpan {
  std::size_t at = 0;
  std::size_t size = 0;
};
// A statement in one of the two forms that servers accept, checked to its last byte. Guards servers against
// what they can't read, on which they close the connection.
struct Statement {
  bool writes = false;
  std::string_view id;             // of the request, as the client names it
  std::string_view request_class;  // by its name in the configuration
  std::string_view key;            // of the session
  double remaining = 0;            // the client's remaining time in milliseconds
  int group = 0;
  double position = 0;      // Unix milliseconds up to which the read has to see writes; 0: none
  std::string_view token;   // empty: none
  bool is_retry = false;    // a retry by the client
  TextSpan remaining_span;  // where the remaining time is
};
// The first word in capitals; empty: there is nothing but blanks and semicolons.
[[nodiscard]] std::string first_word(std::string_view text);
[[nodiscard]] std::variant<Statement, Fault> read_statement(std::string_view text);
// The same text with another remaining time, in milliseconds.
[[nodiscard]] std::string with_remaining_time(std::string_view text, TextSpan place, double patience);

// The bodies of a server's messages; none or false: the body can't be read.
struct ErrorFields {
  std::string code;  // SQLSTATE
  std::string text;
};
std::optional<ErrorFields> read_error(std::string_view body);
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body);
bool describes_one_column(std::string_view row_description);
std::optional<std::string_view> read_row(std::string_view data_row);  // its one value, which is not null
bool is_command_tag(std::string_view body);                           // of CommandComplete

// Messages to send, as bytes.
std::string startup(std::string_view user, std::string_view database);
std::string query(std::string_view text);
std::string startup_response(const CancelKey& key = {});  // AuthenticationOk up to ReadyForQuery
std::string ready_for_query();
std::string empty_query_response();
std::string command_complete(std::string_view tag);
enum class Severity { error, fatal };
std::string error(Severity severity, std::string_view code, std::string_view text,
                  std::string_view detail = "");

}  // namespace reedspindle::postgres
