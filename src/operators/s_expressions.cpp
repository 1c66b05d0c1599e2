#include "operators/s_expressions.hpp"

#include <fmt/format.h>

#include <cctype>
#include <cstddef>

#include "operators/errors.hpp"

namespace reedspindle::operators {
namespace {

constexpr std::size_t kMaxDepth = 16;  // nesting levels of lists; the schema needs five

}  // namespace

std::vector<int> lines_of_lists(std::string_view text, const std::string& name, const Form& form) {
  std::vector<int> lines;
  std::vector<int> open_lines;
  int line = 1;
  bool top_level_closed = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char character = text[at];
    if (character == '\n') {
      ++line;
    }
    if (character == ';') {
      while (at + 1 < text.size() && text[at + 1] != '\n') {
        ++at;
      }
    } else if (character == '"') {
      const int start_line = line;
      for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\n') {
          ++line;
        }
        if (text[at] == '\\') {
          ++at;
        }
      }
      if (at >= text.size()) {
        throw_invalid_file(name, {{start_line, "the string that starts here is not closed"}});
      }
    } else if (character == '(') {
      if (top_level_closed) {
        throw_invalid_file(
            name, {{line, fmt::format("more than one list; everything must be inside ({} ...)", form.head)}});
      }
      lines.push_back(line);
      open_lines.push_back(line);
      if (open_lines.size() > kMaxDepth) {
        throw_invalid_file(name, {{line, "lists are nested too deeply"}});
      }
    } else if (character == ')') {
      if (open_lines.empty()) {
        throw_invalid_file(name, {{line, "closing parenthesis without an opening one"}});
      }
      open_lines.pop_back();
      top_level_closed = open_lines.empty();
    } else if (character == '\'' || character == '#' || character == '\0') {
      throw_invalid_file(name, {{line, fmt::format("unexpected character {}", character ? character : '0')}});
    } else if (open_lines.empty() && !std::isspace(static_cast<unsigned char>(character))) {
      throw_invalid_file(name, {{line, fmt::format("a list was expected: ({} ...)", form.head)}});
    }
  }
  if (!open_lines.empty()) {
    throw_invalid_file(name, {{open_lines.back(), "the list that starts here is not closed"}});
  }
  return lines;
}

}  // namespace reedspindle::operators
