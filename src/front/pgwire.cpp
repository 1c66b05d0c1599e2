#include "front/pgwire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace reedspindle::front::pgwire {
namespace {

constexpr std::uint32_t kVersion3 = 196608, kCancel = 80877102, kSsl = 80877103, kGss = 80877104;

std::uint32_t number_at(std::string_view bytes, std::size_t at, std::size_t count) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < count; ++i) number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}

void put(std::string& out, std::uint32_t number, int count) {
  for (int i = count - 1; i >= 0; --i) out += static_cast<char>(number >> (8 * i) & 0xff);
}

std::string message(char type, std::string_view body) {
  std::string out(1, type);
  put(out, static_cast<std::uint32_t>(body.size() + 4), 4);
  return out.append(body);
}

// Up to the next zero byte, which is consumed too.
std::optional<std::string_view> take_text(std::string_view& body) {
  const std::size_t end = body.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

Read read(std::string_view held, std::size_t type_size) {
  const std::size_t head = type_size + 4;
  if (held.size() < head) return Partial{};
  const std::size_t length = number_at(held, type_size, 4);
  if (length < 4) return Fault{"08P01", "a message is shorter than its head"};
  if (length > kLongestMessage) return Fault{"54000", "a message is too long"};
  if (held.size() < type_size + length) return Partial{};
  return Message{type_size ? held[0] : '\0', held.substr(head, length - 4),
                 held.substr(0, type_size + length)};
}

// No client waits longer than a day: beyond it a patience is no time.
constexpr double kLongestPatience = 24.0 * 3600 * 1000;

template <typename T>
bool number_of(std::string_view text, T& number) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if constexpr (std::is_floating_point_v<T>)
    if (!std::isfinite(number)) return false;
  return fault == std::errc{} && end == text.data() + text.size() && !text.empty();
}

std::string_view trimmed(std::string_view text) {
  const std::size_t from = text.find_first_not_of(" \t\r\n");
  return from == std::string_view::npos ? "" : text.substr(from, text.find_last_not_of(" \t\r\n") - from + 1);
}

// Where quoted text and comments end, so that what stands in them is not taken for the statement's own.
std::size_t past_quoted(std::string_view text, std::size_t at) {
  for (++at; at < text.size(); ++at) {
    if (text[at] != '\'') continue;
    if (at + 1 >= text.size() || text[at + 1] != '\'') return at + 1;
    ++at;
  }
  return std::string_view::npos;
}

}  // namespace

std::optional<double> number(std::string_view text) {
  double number = 0;
  return number_of(text, number) ? std::optional(number) : std::nullopt;
}

Read read_message(std::string_view held) { return read(held, 1); }
Read read_startup(std::string_view held) { return read(held, 0); }

Startup startup_kind(const Message& message) {
  if (message.body.size() < 4) return Startup::unknown;
  const std::uint32_t code = number_at(message.body, 0, 4);
  if (code == kSsl || code == kGss) return Startup::encryption;
  if (code == kCancel) return Startup::cancel;
  return code >> 16 == kVersion3 >> 16 ? Startup::session : Startup::unknown;
}

std::string first_word(std::string_view text) {
  std::string word;
  for (const char letter : text) {
    const bool alpha = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    if (alpha)
      word += static_cast<char>(letter & ~0x20);
    else if (!word.empty() || std::string_view(" \t\r\n;").find(letter) == std::string_view::npos)
      return word.empty() ? "?" : word;
  }
  return word;
}

std::variant<Statement, Fault> read_statement(std::string_view text) {
  const auto fault = [](const char* code, std::string what) { return Fault{code, std::move(what)}; };
  Statement statement;
  std::string_view comment;
  bool ended = false;
  for (std::size_t at = 0; at < text.size();) {
    if (text[at] == '\'') {
      const std::size_t end = past_quoted(text, at);
      if (end == std::string_view::npos) return fault("42601", "a quoted text does not end");
      if (statement.key.empty()) statement.key = text.substr(at + 1, end - at - 2);
      at = end;
    } else if (text.substr(at).starts_with("/*")) {
      const std::size_t end = text.find("*/", at + 2);
      if (end == std::string_view::npos) return fault("42601", "a comment does not end");
      comment = text.substr(at + 2, end - at - 2);
      at = end + 2;
    } else {
      const bool blank = std::string_view(" \t\r\n").find(text[at]) != std::string_view::npos;
      if (ended && !blank && text[at] != ';') return fault("42601", "one statement to a query");
      ended = ended || text[at] == ';';
      ++at;
    }
  }
  if (const std::string word = first_word(text); word != "SELECT" && word != "INSERT")
    return fault("0A000", "SELECT and INSERT only");
  if (comment.data() == nullptr) return fault("42601", "the statement has no comment that tells of the op");
  bool has_group = false;
  while (!comment.empty()) {
    const std::size_t comma = comment.find(',');
    const std::string_view item = trimmed(comment.substr(0, comma));
    comment = comma == std::string_view::npos ? "" : comment.substr(comma + 1);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
    const auto wrong = [&] { return fault("22023", std::string(name) + " is no number that fits"); };
    if (name == "id") statement.id = value;
    if (name == "c") statement.op_type = value;
    if (name == "r") statement.repeat = value == "1";
    if (name == "d") {
      if (!number_of(value, statement.patience)) return wrong();
      if (statement.patience < 0 || statement.patience > kLongestPatience) return wrong();
      statement.patience_place = {static_cast<std::size_t>(value.data() - text.data()), value.size()};
    }
    if (name == "cluster" && !(has_group = number_of(value, statement.group))) return wrong();
    if (name == "after" && !number_of(value, statement.position)) return wrong();
  }
  if (statement.id.empty()) return fault("22023", "id is missing");
  if (statement.op_type.empty()) return fault("22023", "c is missing");
  if (statement.patience_place.size == 0) return fault("22023", "d is missing");
  if (!has_group) return fault("22023", "cluster is missing");
  return statement;
}

std::string with_patience(std::string_view text, Place place, double patience) {
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
    if (!text) return std::nullopt;
    if (name == 'C') fields.code = *text;
    if (name == 'M') fields.text = *text;
  }
  if (fields.code.empty()) return std::nullopt;
  return fields;
}

std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body) {
  const auto name = take_text(body);
  const auto value = name ? take_text(body) : std::nullopt;
  if (!value) return std::nullopt;
  return std::pair(*name, *value);
}

std::optional<std::size_t> columns(std::string_view row_description) {
  if (row_description.size() < 2) return std::nullopt;
  return number_at(row_description, 0, 2);
}

std::optional<std::vector<std::string_view>> read_row(std::string_view data_row) {
  if (data_row.size() < 2) return std::nullopt;
  std::vector<std::string_view> values(number_at(data_row, 0, 2));
  data_row.remove_prefix(2);
  for (std::string_view& value : values) {
    if (data_row.size() < 4) return std::nullopt;
    const std::uint32_t length = number_at(data_row, 0, 4);
    data_row.remove_prefix(4);
    if (length == 0xffffffff) continue;
    if (data_row.size() < length) return std::nullopt;
    value = data_row.substr(0, length);
    data_row.remove_prefix(length);
  }
  if (!data_row.empty()) return std::nullopt;
  return values;
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  put(body, kVersion3, 4);
  for (const std::string_view text : {std::string_view("user"), user, std::string_view("database"), database})
    body.append(text) += '\0';
  body += '\0';
  std::string out;
  put(out, static_cast<std::uint32_t>(body.size() + 4), 4);
  return out + body;
}

std::string query(std::string_view text) { return message('Q', std::string(text) + '\0'); }

std::string welcome() {
  using namespace std::string_literals;
  std::string out = message('R', "\0\0\0\0"s);
  for (const std::string& parameter : {"server_version\0"s + "15.0\0"s, "server_encoding\0UTF8\0"s,
                                       "client_encoding\0UTF8\0"s, "standard_conforming_strings\0on\0"s})
    out += message('S', parameter);
  return out + message('K', "\0\0\0\0\0\0\0\0"s) + ready();
}

std::string ready() { return message('Z', "I"); }

std::string empty_answer() { return message('I', "") + ready(); }

std::string completed(std::string_view tag) { return message('C', std::string(tag) + '\0'); }

std::string error(Severity severity, std::string_view code, std::string_view text, std::string_view detail) {
  const std::string_view word = severity == Severity::fatal ? "FATAL" : "ERROR";
  std::string body;
  const auto field = [&](char name, std::string_view value) { (body += name).append(value) += '\0'; };
  field('S', word), field('V', word), field('C', code), field('M', text);
  if (!detail.empty()) field('D', detail);
  body += '\0';
  return message('E', body);
}

}  // namespace reedspindle::front::pgwire
