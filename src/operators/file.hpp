// The operators' file: S-expressions, read by sfsexp, turned into JSON, checked against one schema
// (schema.json) by Valijson, and given the schema's defaults.
//
//   (reedspindle
//     (control (name "control-a") (listen "127.0.0.1:18000") ...)
//     (op-type (name browse) (needs bounded) (bound 1500ms)))
//
// A list is a key and its value, or a key and the keys inside it; a key that the schema makes an array may
// stand several times. Times are written 500ms, 2s, 1m, 1h; sizes 64KiB, 32MiB, 1GiB; switches yes or no.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedspindle::operators {

// All faults of a file at once: one line each, "FILE:LINE: KEY: what was expected", in the order of the file.
struct InvalidFile : std::runtime_error {
  explicit InvalidFile(std::vector<std::string> lines);
  std::vector<std::string> lines;
};

struct File {
  nlohmann::json values;  // complete: with defaults; times in ms, sizes in bytes
  std::map<std::string, int>
      lines;  // of what the file states, by key as "control.roster.confirm", "op-type[0]"
};

constexpr std::size_t kLongestFile = 1 << 20;

// A file's outermost word and its schema, as JSON.
struct Form {
  const char* head;
  const char* schema;
};
extern const Form kOperatorsFile;

// Throws Faulty. The name is for messages.
File read_text(std::string_view text, const std::string& name, const Form& form = kOperatorsFile);
File read_file(const std::string& path, const Form& form = kOperatorsFile);

// Each value in the file's form with where it comes from, a line each.
std::vector<std::string> show(const File& file, const Form& form = kOperatorsFile);

}  // namespace reedspindle::operators
