// Encodes and decodes messages of version 3 of PostgreSQL's wire protocol, and parses the statements that
// clients send. Has no I/O, clocks or state. All string views in results point into the text that was read.
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

// Limits in bytes. A statement holds a value as two hexadecimal digits for each byte; the rest of it is
// short.
constexpr std::size_t kMaxValueBytes = 64 * 1024;
constexpr std::size_t kMaxMessageBytes = 2 * kMaxValueBytes + 1024;

// One message of the protocol.
struct Message {
  char type = 0;           // 0 for a startup message, which has no type byte
  std::string_view body;   // without the type byte and the length
  std::string_view bytes;  // the whole message
};
// The message is incomplete: more bytes are needed.
struct Partial {};
// The reason why a message or a statement is rejected, as it is sent to the client.
struct Fault {
  std::string code;  // SQLSTATE
  std::string text;
};
using ReadResult = std::variant<Partial, Message, Fault>;

// Return the first message in the buffered bytes. Bytes that can't become a message from that sender are a
// fault as soon as the type or the length shows it.
[[nodiscard]] ReadResult read_from_client(std::string_view buffered);
[[nodiscard]] ReadResult read_from_server(std::string_view buffered);
[[nodiscard]] ReadResult read_startup(std::string_view buffered);

// What a startup message requests: a session, TLS or GSSAPI encryption, or the cancellation of a request.
enum class Startup { session, encryption, cancel, unknown };
[[nodiscard]] Startup startup_kind(const Message& message);

// Identifies a connection (BackendKeyData). With it a client can cancel a request from another connection.
struct CancelKey {
  std::uint32_t process = 0;
  std::uint32_t secret = 0;
  auto operator<=>(const CancelKey&) const = default;
};
// Returns the key in a cancel request; none if the message is not a valid cancel request.
[[nodiscard]] std::optional<CancelKey> cancel_key(const Message& message);

// Splits "name=value" at the first equals sign. Without one, the whole item is the name.
[[nodiscard]] std::pair<std::string_view, std::string_view> name_and_value(std::string_view item);

// Parses a text that consists of one finite number; returns none for any other text.
[[nodiscard]] std::optional<double> parse_number(std::string_view text);

// The position of a part of a text, in bytes.
struct TextSpan {
  std::size_t at = 0;
  std::size_t size = 0;
};
// A statement in one of the two forms that servers accept. It is validated to its last byte, because a server
// closes the connection on a statement that it can't parse.
struct Statement {
  bool writes = false;
  std::string_view id;             // of the request, chosen by the client
  std::string_view request_class;  // its name in the configuration
  std::string_view key;            // of the session
  double remaining = 0;            // the time until the client gives up, in milliseconds
  int group = 0;
  double position = 0;      // Unix milliseconds; the read has to see all writes up to it; 0: none
  std::string_view token;   // empty if there is none
  bool is_retry = false;    // the client sends the request again
  TextSpan remaining_span;  // the place of the remaining time in the text
};
// Skips blanks and semicolons and returns the first word in capitals: "?" if something else than a letter
// comes first, and an empty string if nothing is left.
[[nodiscard]] std::string first_word(std::string_view text);
// Parses and validates a statement.
[[nodiscard]] std::variant<Statement, Fault> read_statement(std::string_view text);
// The message of a query in three parts, so that a long statement is sent without being copied: the statement
// up to its remaining time, with what stands before and after it.
struct QueryParts {
  std::string head;            // type and length
  std::string_view statement;  // points into the text
  std::string tail;            // the remaining time, the rest of the text, the terminator
};
// Encodes a query with the remaining time at `span` replaced by `remaining`, in milliseconds, rounded up.
[[nodiscard]] QueryParts query_parts(std::string_view text, TextSpan span, double remaining);

// Decode the bodies of messages from a server. They return none or false if the body is not valid.
struct ErrorFields {
  std::string code;  // SQLSTATE
  std::string text;
};
std::optional<ErrorFields> read_error(std::string_view body);
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body);
bool describes_one_column(std::string_view row_description);
std::optional<std::string_view> read_row(std::string_view data_row);  // the only value; null is not valid
bool is_command_tag(std::string_view body);                           // the body of CommandComplete

// Encode messages.
std::string startup(std::string_view user, std::string_view database);
std::string query(std::string_view text);
std::string startup_response(const CancelKey& key = {});  // AuthenticationOk up to ReadyForQuery
std::string parameter_status(std::string_view name, std::string_view value);
std::string ready_for_query();
std::string empty_query_response();
std::string command_complete(std::string_view tag);
enum class Severity { error, fatal };
std::string error(Severity severity, std::string_view code, std::string_view text,
                  std::string_view detail = "");
// The reply to a command that has failed: an error up to ReadyForQuery.
std::string error_reply(const Fault& fault, std::string_view detail = "");

}  // namespace reedspindle::postgres
