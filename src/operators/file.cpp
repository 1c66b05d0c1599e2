#include "operators/file.hpp"

#include <fmt/format.h>
#include <sfsexp/sexp.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <utility>

#include "operators/errors.hpp"
#include "operators/reader.hpp"
#include "operators/s_expressions.hpp"
#include "operators/units.hpp"

namespace reedspindle::operators {

extern const char* const kSchema;  // generated from schema.json
const Form kOperatorsFile{"reedspindle", kSchema};

namespace {

using Json = nlohmann::json;

void append_values(const Json& schema, const Json& values, const std::string& path, const File& file,
                   std::vector<std::string>& lines) {
  if (values.is_array()) {
    for (std::size_t at = 0; at < values.size(); ++at) {
      append_values(schema["items"], values[at], fmt::format("{}[{}]", path, at), file, lines);
    }
    return;
  }
  if (values.is_object()) {
    for (const auto& [key, inner] : values.items()) {
      append_values(schema["properties"][key], inner, path.empty() ? key : fmt::format("{}.{}", path, key),
                    file, lines);
    }
    return;
  }
  const auto line = file.lines.find(path);
  lines.push_back(fmt::format("{} {}  {}", path, format_value(values, schema.value("unit", "")),
                              line == file.lines.end() ? "default" : fmt::format("line {}", line->second)));
}

}  // namespace

void throw_invalid_file(const std::string& name, std::vector<FileError> errors) {
  std::ranges::stable_sort(errors, {}, &FileError::line);
  std::vector<std::string> lines;
  for (const FileError& error : errors) {
    lines.push_back(fmt::format("{}:{}: {}", name, error.line, error.text));
  }
  throw InvalidFile(std::move(lines));
}

InvalidFile::InvalidFile(std::vector<std::string> messages)
    : std::runtime_error([&messages] {
        std::string text;
        for (const std::string& line : messages) {
          text += fmt::format("{}{}", text.empty() ? "" : "\n", line);
        }
        return text;
      }()),
      lines(std::move(messages)) {}

File read_text(std::string_view text, const std::string& name, const Form& form) {
  if (text.size() > kLongestFile) {
    throw_invalid_file(name, {{1, "the file is longer than 1 MiB"}});
  }
  std::vector<int> lines = lines_of_lists(text, name, form);
  if (lines.empty()) {
    throw_invalid_file(name, {{1, fmt::format("a list was expected: ({} ...)", form.head)}});
  }
  std::string buffer(text);
  const std::unique_ptr<sexp_t, void (*)(sexp_t*)> tree(parse_sexp(buffer.data(), buffer.size()),
                                                        destroy_sexp);
  if (!tree) {
    throw_invalid_file(name, {{1, "it does not read as S-expressions"}});
  }
  return read_tree(tree.get(), name, std::move(lines), form);
}

File read_file(const std::string& path, const Form& form) {
  std::ifstream stream(path, std::ios::binary);
  std::string text;
  if (stream) {
    text.resize(kLongestFile + 1);
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
  }
  if (stream.bad() || (!stream.eof() && !stream) || !stream.is_open()) {
    throw InvalidFile({fmt::format("{}: can't be read", path)});
  }
  return read_text(text, path, form);
}

std::vector<std::string> show(const File& file, const Form& form) {
  std::vector<std::string> lines;
  append_values(Json::parse(form.schema), file.values, "", file, lines);
  return lines;
}

}  // namespace reedspindle::operators
