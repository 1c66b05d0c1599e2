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
  std::vector<int> open;
  int line = 1;
  bool ended = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char letter = text[at];
    if (letter == '\n') {
      ++line;
    }
    if (letter == ';') {
      while (at + 1 < text.size() && text[at + 1] != '\n') {
        ++at;
      }
    } else if (letter == '"') {
      const int from = line;
      for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\n') {
          ++line;
        }
        if (text[at] == '\\') {
          ++at;
        }
      }
      if (at >= text.size()) {
        throw_invalid_file(name, {{from, "the string that starts here is not closed"}});
      }
    } else if (letter == '(') {
      if (ended) {
        throw_invalid_file(
            name, {{line, fmt::format("more than one list; everything must be inside ({} ...)", form.head)}});
      }
      lines.push_back(line);
      open.push_back(line);
      if (open.size() > kMaxDepth) {
        throw_invalid_file(name, {{line, "lists are nested too deeply"}});
      }
    } else if (letter == ')') {
      if (open.empty()) {
        throw_invalid_file(name, {{line, "closing parenthesis without an opening one"}});
      }
      open.pop_back();
      ended = open.empty();
    } else if (letter == '\'' || letter == '#' || letter == '\0') {
      throw_invalid_file(name, {{line, fmt::format("unexpected character {}", letter ? letter : '0')}});
    } else if (open.empty() && !std::isspace(static_cast<unsigned char>(letter))) {
      throw_invalid_file(name, {{line, fmt::format("a list was expected: ({} ...)", form.head)}});
    }
  }
  if (!open.empty()) {
    throw_invalid_file(name, {{open.back(), "the list that starts here is not closed"}});
  }
  return lines;
}

}  // namespace reedspindle::operators
