// Version 3 of PostgreSQL's wire protocol as bytes and values, and the form of the statements that clients
// send. Pure: no sockets, no clock, no state.
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

// Values are at most 64 KiB, twice that as hexadecimal digits; the rest of a statement is short.
constexpr std::size_t kLongestValue = 64 * 1024, kLongestMessage = 2 * kLongestValue + 1024;

struct Message {
  char type = 0;                 // 0: a startup message, which has no type byte
  std::string_view body, bytes;  // bytes: with its head
};
struct Partial {};
struct Fault {
  std::string code;  // SQLSTATE
  std::string text;
};
using Read = std::variant<Partial, Message, Fault>;

// The first message in the bytes held. What can't become a message of that side is a fault as soon as its
// type or its length is there: no more of it is waited for.
Read read_from_client(std::string_view held);
Read read_from_store(std::string_view held);
Read read_startup(std::string_view held);

enum class Startup { session, encryption, cancel, unknown };
Startup startup_kind(const Message& message);

// What a client needs to cancel a request from another connection (BackendKeyData).
struct CancelKey {
  std::uint32_t process = 0, secret = 0;
  auto operator<=>(const CancelKey&) const = default;
};
// Of a startup message of the kind cancel; none: it does not read.
std::optional<CancelKey> cancel_key(const Message& message);

// Of "name=value"; without the sign all of it is the name.
std::pair<std::string_view, std::string_view> name_and_value(std::string_view item);

// A finite number and nothing else.
std::optional<double> number(std::string_view text);

// Where a piece of a text stands.
struct TextSpan {
  std::size_t at = 0, size = 0;
};
// A statement in one of the two forms that stores take, checked to its last byte; the views point into its
// text. Guards stores against what they can't read, on which they close.
struct Statement {
  bool writes = false;
  std::string_view id, request_class, key;
  double remaining = 0;  // ms, as the client gives it
  int group = 0;
  double position = 0;     // that the read has to see; 0: none
  std::string_view token;  // empty: none
  bool repeat = false;
  TextSpan patience_place;
};
// In capitals; empty: nothing but blanks and semicolons.
std::string first_word(std::string_view text);
std::variant<Statement, Fault> read_statement(std::string_view text);
// The same text with another patience.
std::string with_patience(std::string_view text, TextSpan place, double patience);

// Bodies of what a store answers.
struct ErrorFields {
  std::string code, text;
};
std::optional<ErrorFields> read_error(std::string_view body);
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body);
bool describes_one_column(std::string_view row_description);
std::optional<std::string_view> read_row(std::string_view data_row);  // its one value, which is not null
bool read_tag(std::string_view body);                                 // of what was done

// Messages to send.
std::string startup(std::string_view user, std::string_view database);
std::string query(std::string_view text);
std::string welcome(const CancelKey& key = {});  // AuthenticationOk up to ReadyForQuery
std::string ready();
std::string empty_answer();
std::string completed(std::string_view tag);
enum class Severity { error, fatal };
std::string error(Severity severity, std::string_view code, std::string_view text,
                  std::string_view detail = "");

}  // namespace reedspindle::postgres
