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

// Up to the next zero byte, which is consumed too.
std::optional<std::string_view> take_text(std::string_view& body) {
  const std::size_t end = body.find('\0');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

// The longest that a message of a type may be by its own count; 0: that side sends none.
using Longest = std::size_t (*)(char type);
std::size_t longest_from_client(char type) {
  if (type == 'X' || type == 'S' || type == 'H' || type == 'c') {
    return 4;
  }
  return std::string_view("QPBDECdfF").find(type) != std::string_view::npos ? kMaxMessageBytes : 0;
}
std::size_t longest_from_store(char type) {
  constexpr std::size_t kShort = 64;
  constexpr std::size_t kNamed = 512;
  constexpr std::size_t kText = 8192;
  switch (type) {
    case 'D':
      return kMaxValueBytes + 10;
    case 'S':
    case 'E':
    case 'N':
      return kText;
    case 'T':
      return kNamed;
    default:
      return std::string_view("RKCZI").find(type) != std::string_view::npos ? kShort : 0;
  }
}
std::size_t longest_startup(char /*unused*/) { return 10000; }  // as PostgreSQL has it

ReadResult read(std::string_view held, std::size_t type_size, Longest longest) {
  const std::size_t head = type_size + 4;
  if (held.empty()) {
    return Partial{};
  }
  const std::size_t most = longest(held[0]);
  if (most == 0) {
    return Fault{"08P01", "an unknown type of message"};
  }
  if (held.size() < head) {
    return Partial{};
  }
  const std::size_t length = number_at(held, type_size, 4);
  if (length < 4) {
    return Fault{"08P01", "a message is shorter than its head"};
  }
  if (length > most) {
    return Fault{"54000", "a message is too long"};
  }
  if (held.size() < type_size + length) {
    return Partial{};
  }
  return Message{type_size ? held[0] : '\0', held.substr(head, length - 4),
                 held.substr(0, type_size + length)};
}

// No client waits longer than a day: beyond it a patience is no time.
constexpr double kLongestPatience = 24.0 * 3600 * 1000;

template <typename T>
bool number_of(std::string_view text, T& number) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(number)) {
      return false;
    }
  }
  return fault == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool all_of(std::string_view text, bool (*fits)(char)) { return std::ranges::all_of(text, fits); }
bool digit(char letter) { return letter >= '0' && letter <= '9'; }
bool hex(char letter) { return digit(letter) || (letter >= 'a' && letter <= 'f'); }
bool part_of_name(char letter) {
  return digit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         letter == '-' || letter == '_' || letter == '.' || letter == ':';
}
bool part_of_number(char letter) { return digit(letter) || letter == '.'; }
bool printable(char letter) { return letter >= ' ' && letter <= '~'; }

// Takes what stands at the front of a text.
bool take(std::string_view& text, std::string_view exactly) {
  if (!text.starts_with(exactly)) {
    return false;
  }
  text.remove_prefix(exactly.size());
  return true;
}
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
  return number_of(text, number) ? std::optional(number) : std::nullopt;
}

ReadResult read_from_client(std::string_view held) { return read(held, 1, longest_from_client); }
ReadResult read_from_server(std::string_view held) { return read(held, 1, longest_from_store); }
ReadResult read_startup(std::string_view held) { return read(held, 0, longest_startup); }

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
  constexpr std::size_t kSize = 12;  // the code of the message, then both numbers
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
  constexpr std::size_t kLongestName = 128;
  const auto no_form = [](const char* what) { return Fault{"42601", what}; };
  const auto name = [](std::string_view value) {
    return !value.empty() && value.size() <= kLongestName && all_of(value, part_of_name);
  };
  Statement statement;
  std::string_view rest = text;
  statement.writes = take(rest, "INSERT INTO records (k, v) VALUES ('");
  if (!statement.writes && !take(rest, "SELECT v FROM records WHERE k = '")) {
    return Fault{"0A000", "none of the two statements there are"};
  }
  statement.key = take_up_to(rest, '\'');
  if (!name(statement.key)) {
    return no_form("the key does not read");
  }
  if (statement.writes) {
    if (!take(rest, "', '\\x")) {
      return no_form("the value does not read");
    }
    const std::string_view value = take_up_to(rest, '\'');
    if (value.size() > 2 * kMaxValueBytes) {
      return Fault{"54000", "the value is too long"};
    }
    if (value.size() % 2 != 0 || !all_of(value, hex)) {
      return no_form("the value does not read");
    }
  }
  if (!take(rest, statement.writes ? "') RETURNING v /* " : "' /* ") || !rest.ends_with(" */")) {
    return no_form("no comment that tells of the op ends the statement");
  }
  rest.remove_suffix(3);

  std::string_view repeat;
  std::string_view patience;
  std::string_view group;
  std::string_view position;
  const std::pair<std::string_view, std::string_view*> names[] = {
      {"id", &statement.id}, {"c", &statement.request_class},
      {"d", &patience},      {"k", &statement.token},
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
  const auto wrong = [](const char* of) {
    return Fault{"22023", std::string(of) + " is no number that fits"};
  };
  if (!all_of(patience, part_of_number) || !number_of(patience, statement.remaining) ||
      statement.remaining <= 0 || statement.remaining > kLongestPatience) {
    return wrong("d");
  }
  if (!all_of(group, digit) || !number_of(group, statement.group)) {
    return wrong("cluster");
  }
  if (!position.empty() && (!all_of(position, part_of_number) || !number_of(position, statement.position))) {
    return wrong("after");
  }
  if (!repeat.empty() && repeat != "1") {
    return wrong("r");
  }
  statement.is_retry = !repeat.empty();
  statement.remaining_span = {static_cast<std::size_t>(patience.data() - text.data()), patience.size()};
  return statement;
}

std::string with_remaining_time(std::string_view text, TextSpan place, double patience) {
  std::string out(text.substr(0, place.at));
  out += std::to_string(static_cast<long long>(std::max(1.0, std::ceil(patience))));
  return out.append(text.substr(place.at + place.size));
}

std::optional<ErrorFields> read_error(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    const char name = body[0];
    body.remove_prefix(1);
    const auto text = take_text(body);
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
  const auto text = take_text(body);
  return text && !text->empty() && body.empty() && all_of(*text, printable);
}

std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body) {
  const auto name = take_text(body);
  const auto value = name ? take_text(body) : std::nullopt;
  if (!value || !body.empty()) {
    return std::nullopt;
  }
  return std::pair(*name, *value);
}

bool describes_one_column(std::string_view row_description) {
  constexpr std::size_t kBehindName = 18;  // table, column, type, its size and modifier, format
  if (row_description.size() < 2 || number_at(row_description, 0, 2) != 1) {
    return false;
  }
  row_description.remove_prefix(2);
  return take_text(row_description) && row_description.size() == kBehindName;
}

std::optional<std::string_view> read_row(std::string_view data_row) {
  constexpr std::size_t kHead = 6;  // how many values, how long the one is
  if (data_row.size() < kHead || number_at(data_row, 0, 2) != 1) {
    return std::nullopt;
  }
  if (number_at(data_row, 2, 4) != data_row.size() - kHead) {
    return std::nullopt;
  }
  return data_row.substr(kHead);
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

std::string startup_response(const CancelKey& key) {
  using namespace std::string_literals;
  std::string out = message('R', "\0\0\0\0"s);
  for (const std::string& parameter : {"server_version\0"s + "15.0\0"s, "server_encoding\0UTF8\0"s,
                                       "client_encoding\0UTF8\0"s, "standard_conforming_strings\0on\0"s}) {
    out += message('S', parameter);
  }
  std::string numbers;
  put(numbers, key.process, 4);
  put(numbers, key.secret, 4);
  return out + message('K', numbers) + ready_for_query();
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

}  // namespace reedspindle::postgres
