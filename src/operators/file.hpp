// Reads the operators' file. It is written as S-expressions, which are parsed by sfsexp, converted to JSON,
// validated against a schema (schema.json) by Valijson, and completed with the defaults of the schema.
//
//   (reedspindle
//     (control (name "control-a") (listen "127.0.0.1:18000") ...)
//     (op-type (name browse) (needs bounded) (bound 1500ms)))
//
// A list holds a key and its value, or a key and nested lists. A key that is an array in the schema may be
// repeated. Times are written as 500ms, 2s, 1m or 1h, sizes as 64KiB, 32MiB or 1GiB, booleans as yes or no.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedspindle::operators {

// Reports all errors of a file at once, one line each, as "FILE:LINE: KEY: what was expected", in file order.
struct InvalidFile : std::runtime_error {
  explicit InvalidFile(std::vector<std::string> lines);
  std::vector<std::string> lines;
};

// The content of an operators' file.
struct File {
  nlohmann::json values;  // with defaults filled in; times in ms, sizes in bytes
  // Line numbers of the keys that the file sets, by path, such as "control.roster.confirm" or "op-type[0]".
  std::map<std::string, int> lines;
};

constexpr std::size_t kLongestFile = 1 << 20;  // bytes

// A kind of file: the key of its outermost list, and its JSON Schema as text.
struct Form {
  const char* head;
  const char* schema;
};
extern const Form kOperatorsFile;

// Parse and validate a text or a file. Both throw InvalidFile. `name` is the file name used in messages.
File read_text(std::string_view text, const std::string& name, const Form& form = kOperatorsFile);
File read_file(const std::string& path, const Form& form = kOperatorsFile);

// Returns a line for each value: its path, the value as the file would write it, and its line number or
// "default".
std::vector<std::string> show(const File& file, const Form& form = kOperatorsFile);

}  // namespace reedspindle::operators
