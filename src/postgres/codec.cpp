#include "postgres/codec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace reedspindle::postgres {
namespace {

constexpr std::uint32_t kVersion3 = 196608, kCancel = 80877102, kSsl = 80877103, kGss = 80877104;

std::uint32_t number_at(std::string_view bytes, std::size_t at, std::size_t count) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < count; ++i) {
    number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return number;
}

void put(std::string& out, std::uint32_t number, int count) {
  for (int i = count - 1; i >= 0; --i) {
    out += static_cast<char>(number >> (8 * i) & 0xff);
  }
}

std::string message(char type, std::string_view body) {
  std::string out(1, type);
  put(out, static_cast<std::uint32_t>(body.size() + 4), 4);
  return out.append(body);
}

// Removes and returns the text up to the next zero byte, and removes that byte; none if there is no zero
// byte.
std::optional<std::string_view> take_c_string(std::string_view& body) {
  const std::size_t end = body.find('\0');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

// Returns the largest length field that a message of this type may have; 0 if that sender never sends the
// type.
using MaxLength = std::size_t (*)(char type);
std::size_t max_length_from_client(char type) {
  if (type == 'X' || type == 'S' || type == 'H' || type == 'c') {
    return 4;
  }
  return std::string_view("QPBDECdfF").find(type) != std::string_view::npos ? kMaxMessageBytes : 0;
}
std::size_t max_length_from_server(char type) {
  constexpr std::size_t kMaxShortMessage = 64;
  constexpr std::size_t kMaxRowDescription = 512;
  constexpr std::size_t kMaxTextMessage = 8192;
  switch (type) {
    case 'D':
      return kMaxValueBytes + 10;
    case 'S':
    case 'E':
    case 'N':
      return kMaxTextMessage;
    case 'T':
      return kMaxRowDescription;
    default:
      return std::string_view("RKCZI").find(type) != std::string_view::npos ? kMaxShortMessage : 0;
  }
}
std::size_t max_startup_length(char /*unused*/) { return 10000; }  // PostgreSQL's own limit

ReadResult read(std::string_view buffered, std::size_t type_size, MaxLength max_length) {
  const std::size_t header_size = type_size + 4;
  if (buffered.empty()) {
    return Partial{};
  }
  const std::size_t limit = max_length(buffered[0]);
  if (limit == 0) {
    return Fault{"08P01", "an unknown type of message"};
  }
  if (buffered.size() < header_size) {
    return Partial{};
  }
  const std::size_t length = number_at(buffered, type_size, 4);
  if (length < 4) {
    return Fault{"08P01", "a message is shorter than its head"};
  }
  if (length > limit) {
    return Fault{"54000", "a message is too long"};
  }
  if (buffered.size() < type_size + length) {
    return Partial{};
  }
  return Message{type_size ? buffered[0] : '\0', buffered.substr(header_size, length - 4),
                 buffered.substr(0, type_size + length)};
}

// The longest remaining time that is accepted, in milliseconds: no client waits longer than a day.
constexpr double kMaxRemaining = 24.0 * 3600 * 1000;

template <typename T>
bool parse_into(std::string_view text, T& number) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(number)) {
      return false;
    }
  }
  return fault == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool consists_of(std::string_view text, bool (*fits)(char)) { return std::ranges::all_of(text, fits); }
bool is_digit(char letter) { return letter >= '0' && letter <= '9'; }
bool is_hex(char letter) { return is_digit(letter) || (letter >= 'a' && letter <= 'f'); }
bool is_name_character(char letter) {
  return is_digit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         letter == '-' || letter == '_' || letter == '.' || letter == ':';
}
bool is_number_character(char letter) { return is_digit(letter) || letter == '.'; }
bool is_printable(char letter) { return letter >= ' ' && letter <= '~'; }

// Removes `prefix` from the beginning of the text; returns false if the text does not begin with it.
bool take(std::string_view& text, std::string_view prefix) {
  if (!text.starts_with(prefix)) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}
// Removes and returns the text before the first `end`, or the whole text if there is none.
std::string_view take_up_to(std::string_view& text, char end) {
  const std::string_view taken = text.substr(0, text.find(end));
  text.remove_prefix(taken.size());
  return taken;
}

}  // namespace

std::pair<std::string_view, std::string_view> name_and_value(std::string_view item) {
  const std::size_t equals = std::min(item.find('='), item.size());
  return {item.substr(0, equals), item.substr(std::min(equals + 1, item.size()))};
}

std::optional<double> parse_number(std::string_view text) {
  double number = 0;
  return parse_into(text, number) ? std::optional(number) : std::nullopt;
}

ReadResult read_from_client(std::string_view buffered) { return read(buffered, 1, max_length_from_client); }
ReadResult read_from_server(std::string_view buffered) { return read(buffered, 1, max_length_from_server); }
ReadResult read_startup(std::string_view buffered) { return read(buffered, 0, max_startup_length); }

Startup startup_kind(const Message& message) {
  if (message.body.size() < 4) {
    return Startup::unknown;
  }
  const std::uint32_t code = number_at(message.body, 0, 4);
  if (code == kSsl || code == kGss) {
    return Startup::encryption;
  }
  if (code == kCancel) {
    return Startup::cancel;
  }
  return code >> 16 == kVersion3 >> 16 ? Startup::session : Startup::unknown;
}

std::optional<CancelKey> cancel_key(const Message& message) {
  constexpr std::size_t kSize = 12;  // the request code and both numbers of the key
  if (message.body.size() != kSize || startup_kind(message) != Startup::cancel) {
    return std::nullopt;
  }
  return CancelKey{number_at(message.body, 4, 4), number_at(message.body, 8, 4)};
}

std::string first_word(std::string_view text) {
  std::string word;
  for (const char letter : text) {
    const bool alpha = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    if (alpha) {
      word += static_cast<char>(letter & ~0x20);
    } else if (!word.empty() || std::string_view(" \t\r\n;").find(letter) == std::string_view::npos) {
      return word.empty() ? "?" : word;
    }
  }
  return word;
}

std::variant<Statement, Fault> read_statement(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 128;
  const auto syntax_error = [](const char* what) { return Fault{"42601", what}; };
  const auto name = [](std::string_view value) {
    return !value.empty() && value.size() <= kMaxNameBytes && consists_of(value, is_name_character);
  };
  Statement statement;
  std::string_view rest = text;
  statement.writes = take(rest, "INSERT INTO records (k, v) VALUES ('");
  if (!statement.writes && !take(rest, "SELECT v FROM records WHERE k = '")) {
    return Fault{"0A000", "none of the two statements there are"};
  }
  statement.key = take_up_to(rest, '\'');
  if (!name(statement.key)) {
    return syntax_error("the key does not read");
  }
  if (statement.writes) {
    if (!take(rest, "', '\\x")) {
      return syntax_error("the value does not read");
    }
    const std::string_view value = take_up_to(rest, '\'');
    if (value.size() > 2 * kMaxValueBytes) {
      return Fault{"54000", "the value is too long"};
    }
    if (value.size() % 2 != 0 || !consists_of(value, is_hex)) {
      return syntax_error("the value does not read");
    }
  }
  if (!take(rest, statement.writes ? "') RETURNING v /* " : "' /* ") || !rest.ends_with(" */")) {
    return syntax_error("no comment that tells of the op ends the statement");
  }
  rest.remove_suffix(3);

  std::string_view repeat;
  std::string_view remaining;
  std::string_view group;
  std::string_view position;
  const std::pair<std::string_view, std::string_view*> names[] = {
      {"id", &statement.id}, {"c", &statement.request_class},
      {"d", &remaining},     {"k", &statement.token},
      {"cluster", &group},   {"after", &position},
      {"r", &repeat}};
  for (bool more = true; more;) {
    const std::string_view item = take_up_to(rest, ',');
    more = take(rest, ",");
    const auto [of, value] = name_and_value(item);
    const auto known = std::ranges::find(names, of, [](const auto& at) { return at.first; });
    if (known == std::end(names)) {
      return Fault{"22023", "an unknown name in the comment"};
    }

    if (!known->second->empty() || !name(value)) {
      return Fault{"22023", std::string(known->first) + " is there twice or does not read"};
    }
    *known->second = value;
  }
  for (const auto& [of, value] : {names[0], names[1], names[2], names[4]}) {
    if (value->empty()) {
      return Fault{"22023", std::string(of) + " is missing"};
    }
  }
  const auto invalid_number = [](const char* of) {
    return Fault{"22023", std::string(of) + " is no number that fits"};
  };
  if (!consists_of(remaining, is_number_character) || !parse_into(remaining, statement.remaining) ||
      statement.remaining <= 0 || statement.remaining > kMaxRemaining) {
    return invalid_number("d");
  }
  if (!consists_of(group, is_digit) || !parse_into(group, statement.group)) {
    return invalid_number("cluster");
  }
  if (!position.empty() &&
      (!consists_of(position, is_number_character) || !parse_into(position, statement.position))) {
    return invalid_number("after");
  }
  if (!repeat.empty() && repeat != "1") {
    return invalid_number("r");
  }
  statement.is_retry = !repeat.empty();
  statement.remaining_span = {static_cast<std::size_t>(remaining.data() - text.data()), remaining.size()};
  return statement;
}

QueryParts query_parts(std::string_view text, TextSpan span, double remaining) {
  QueryParts parts{"Q", text.substr(0, span.at),
                   std::to_string(static_cast<long long>(std::max(1.0, std::ceil(remaining))))};
  parts.tail.append(text.substr(span.at + span.size)) += '\0';
  put(parts.head, static_cast<std::uint32_t>(4 + parts.statement.size() + parts.tail.size()), 4);
  return parts;
}

std::optional<ErrorFields> read_error(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    const char name = body[0];
    body.remove_prefix(1);
    const auto text = take_c_string(body);
    if (!text) {
      return std::nullopt;
    }
    if (name == 'C') {
      fields.code = *text;
    }
    if (name == 'M') {
      fields.text = *text;
    }
  }
  if (fields.code.empty() || body.size() != 1) {
    return std::nullopt;
  }
  return fields;
}

bool is_command_tag(std::string_view body) {
  const auto text = take_c_string(body);
  return text && !text->empty() && body.empty() && consists_of(*text, is_printable);
}

std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body) {
  const auto name = take_c_string(body);
  const auto value = name ? take_c_string(body) : std::nullopt;
  if (!value || !body.empty()) {
    return std::nullopt;
  }
  return std::pair(*name, *value);
}

bool describes_one_column(std::string_view row_description) {
  constexpr std::size_t kBytesAfterName = 18;  // table, column, type, type size, type modifier, format
  if (row_description.size() < 2 || number_at(row_description, 0, 2) != 1) {
    return false;
  }
  row_description.remove_prefix(2);
  return take_c_string(row_description) && row_description.size() == kBytesAfterName;
}

std::optional<std::string_view> read_row(std::string_view data_row) {
  constexpr std::size_t kHeaderBytes = 6;  // the number of values, and the length of the first
  if (data_row.size() < kHeaderBytes || number_at(data_row, 0, 2) != 1) {
    return std::nullopt;
  }
  if (number_at(data_row, 2, 4) != data_row.size() - kHeaderBytes) {
    return std::nullopt;
  }
  return data_row.substr(kHeaderBytes);
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  put(body, kVersion3, 4);
  for (const std::string_view text :
       {std::string_view("user"), user, std::string_view("database"), database}) {
    body.append(text) += '\0';
  }
  body += '\0';
  std::string out;
  put(out, static_cast<std::uint32_t>(body.size() + 4), 4);
  return out + body;
}

std::string query(std::string_view text) { return message('Q', std::string(text) + '\0'); }

// What clients are told of this server.
constexpr std::pair<std::string_view, std::string_view> kParameters[] = {
    {"server_version", "15.0"},
    {"server_encoding", "UTF8"},
    {"client_encoding", "UTF8"},
    {"standard_conforming_strings", "on"}};

std::string startup_response(const CancelKey& key) {
  using namespace std::string_literals;
  std::string out = message('R', "\0\0\0\0"s);
  for (const auto& [name, value] : kParameters) {
    out += parameter_status(name, value);
  }
  std::string numbers;
  put(numbers, key.process, 4);
  put(numbers, key.secret, 4);
  return out + message('K', numbers) + ready_for_query();
}

std::string parameter_status(std::string_view name, std::string_view value) {
  return message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string ready_for_query() { return message('Z', "I"); }

std::string empty_query_response() { return message('I', "") + ready_for_query(); }

std::string command_complete(std::string_view tag) { return message('C', std::string(tag) + '\0'); }

std::string error(Severity severity, std::string_view code, std::string_view text, std::string_view detail) {
  const std::string_view word = severity == Severity::fatal ? "FATAL" : "ERROR";
  std::string body;
  const auto field = [&](char name, std::string_view value) { (body += name).append(value) += '\0'; };
  field('S', word), field('V', word), field('C', code), field('M', text);
  if (!detail.empty()) {
    field('D', detail);
  }
  body += '\0';
  return message('E', body);
}

std::string error_reply(const Fault& fault, std::string_view detail) {
  return error(Severity::error, fault.code, fault.text, detail) + ready_for_query();
}

}  // namespace reedspindle::postgres
