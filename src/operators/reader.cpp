#include "operators/reader.hpp"

#include <fmt/format.h>
#include <sfsexp/sexp.h>

#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "operators/check.hpp"
#include "operators/errors.hpp"
#include "operators/units.hpp"

namespace reedspindle::operators {
namespace {

using Json = nlohmann::json;

class Reader {
 public:
  Reader(std::string name, std::vector<int> lines, const Form& form)
      : name_(std::move(name)), lines_(std::move(lines)), form_(form) {}

  File read(const sexp_t* top) {
    const Json schema = Json::parse(form_.schema);
    const int line = next_line();
    if (head(top) != form_.head) {
      throw_invalid_file(name_, {{line, fmt::format("({} ...) was expected", form_.head)}});
    }
    file_.values = Json::object();
    read_entries(top->list->next, schema, file_.values, "");
    check_schema(schema);
    if (!errors_.empty()) {
      throw_invalid_file(name_, std::move(errors_));
    }
    add_defaults(schema, file_.values);
    return std::move(file_);
  }

 private:
  int next_line() { return lines_.at(next_++); }

  static std::string head(const sexp_t* list) {
    const bool named = list && list->ty == SEXP_LIST && list->list && list->list->ty == SEXP_VALUE;
    return named ? std::string(list->list->val) : "";
  }

  // Reads the entries of an object, which follow its key.
  void read_entries(const sexp_t* first, const Json& schema, Json& into, const std::string& path) {
    for (const sexp_t* at = first; at; at = at->next) {
      if (at->ty != SEXP_LIST) {
        add_error(path,
                  fmt::format("a list such as (key value) was expected, not {}", at->val ? at->val : "this"));
        continue;
      }
      read_entry(at, schema, into, path);
    }
  }

  void read_entry(const sexp_t* list, const Json& schema, Json& into, const std::string& path) {
    const int line = next_line();
    const std::string key = head(list);
    if (key.empty()) {
      errors_.push_back({line, fmt::format("{}: a key was expected here", path.empty() ? "file" : path)});
      return skip(list->list);
    }
    std::string full_path = path.empty() ? key : fmt::format("{}.{}", path, key);
    const Json* value_schema = nullptr;
    if (schema.contains("properties") && schema["properties"].contains(key)) {
      value_schema = &schema["properties"][key];
    }
    if (!value_schema) {
      errors_.push_back({line, fmt::format("{}: unknown key", full_path)});
      return skip(list->list->next);
    }
    Json* value = nullptr;
    if ((*value_schema)["type"] == "array") {
      value_schema = &(*value_schema)["items"];
      Json& items = into[key];
      if (items.is_null()) {
        items = Json::array();
      }
      file_.lines.emplace(full_path, line);
      full_path = fmt::format("{}[{}]", full_path, items.size());
      value = &items.emplace_back();
    } else {
      if (into.contains(key)) {
        errors_.push_back(
            {line, fmt::format("{}: is already set in line {}", full_path, file_.lines[full_path])});
        return skip(list->list->next);
      }
      value = &into[key];
    }
    file_.lines[full_path] = line;
    const sexp_t* rest = list->list->next;
    if ((*value_schema)["type"] == "object") {
      *value = Json::object();
      return read_entries(rest, *value_schema, *value, full_path);
    }
    if (!rest || rest->next || rest->ty != SEXP_VALUE) {
      errors_.push_back({line, fmt::format("{}: one value was expected", full_path)});
      invalid_keys_.insert(full_path);
      return skip(rest);
    }
    *value = read_value(rest->val ? rest->val : "", *value_schema, full_path, line);
  }

  // Consumes the line numbers of lists that are not read, so that later lists get their own.
  void skip(const sexp_t* first) {
    for (const sexp_t* at = first; at; at = at->next) {
      if (at->ty == SEXP_LIST) {
        next_line();
        skip(at->list);
      }
    }
  }

  Json read_value(const std::string& text, const Json& schema, const std::string& path, int line) {
    const std::string type = schema["type"];
    const std::string unit = schema.value("unit", "");
    const auto reject = [&](const char* expected) {
      errors_.push_back({line, fmt::format("{}: {} was expected, not {}", path, expected, text)});
      invalid_keys_.insert(path);
      return Json();
    };
    if (type == "boolean") {
      return text == "yes" ? Json(true) : text == "no" ? Json(false) : reject("yes or no");
    }
    if (type == "string") {
      if (schema.value("format", "") == "address" && !is_address(text)) {
        return reject("an address and a port such as 127.0.0.1:18000");
      }
      return text;
    }
    const auto value = unit == "time"   ? parse_time(text)
                       : unit == "size" ? parse_size(text)
                                        : parse_number(text);
    if (!value) {
      return reject(unit == "time"   ? "a time such as 500ms or 2s"
                    : unit == "size" ? "a size such as 64KiB or 32MiB"
                                     : "a number");
    }
    if (type == "integer") {
      if (*value != std::floor(*value) || std::abs(*value) > 9e15) {
        return reject("a whole number");
      }
      return static_cast<long long>(*value);
    }
    return *value;
  }

  void add_error(const std::string& path, const std::string& text) {
    errors_.push_back({line_of(path), fmt::format("{}: {}", path.empty() ? "file" : path, text)});
  }
  // Returns the line of a key, or that of the nearest enclosing key that the file sets.
  [[nodiscard]] int line_of(std::string path) const {
    for (;;) {
      const auto found = file_.lines.find(path);
      if (found != file_.lines.end()) {
        return found->second;
      }
      const std::size_t dot = path.find_last_of(".[");
      if (dot == std::string::npos) {
        return 1;
      }
      path.resize(dot);
    }
  }

  // Joins a Valijson context to a path: "<root>", "[op-type]", "[0]", "[bound]" gives "op-type[0].bound".
  static std::string path_of(const std::vector<std::string>& context) {
    std::string path;
    for (const std::string& part : context) {
      if (part.size() < 3 || part.front() != '[') {
        continue;
      }
      const std::string inner = part.substr(1, part.size() - 2);
      if (inner.find_first_not_of("0123456789") == std::string::npos) {
        path += part;
      } else {
        path += path.empty() ? inner : fmt::format(".{}", inner);
      }
    }
    return path;
  }

  void check_schema(const Json& schema) {
    std::set<std::string> reported = invalid_keys_;
    for (const Mismatch& error : mismatches(schema, file_.values)) {
      const std::string path = path_of(error.context);
      // Valijson repeats an error at every enclosing level; only the first, innermost message is reported.
      if (error.description.starts_with("Failed to validate against schema associated with property") ||
          error.description.starts_with("Failed to validate item") ||
          reported.contains(path + error.description) || invalid_keys_.contains(path)) {
        continue;
      }
      reported.insert(path + error.description);
      std::string text = error.description;
      if (const auto at = text.find("Missing required property '"); at == 0) {
        const std::string name = text.substr(27, text.find('\'', 27) - 27);
        text = fmt::format("{} is missing", name);
      } else {
        text = expectation(schema, error.context).value_or(text);
      }
      add_error(path, text);
    }
  }

  // Returns what the schema expects at this place, as text for an error message.
  static std::optional<std::string> expectation(const Json& schema, const std::vector<std::string>& context) {
    const Json* value_schema = &schema;
    for (const std::string& part : context) {
      if (part.size() < 3 || part.front() != '[') {
        continue;
      }
      const std::string inner = part.substr(1, part.size() - 2);
      if (value_schema->contains("items")) {
        value_schema = &(*value_schema)["items"];
      } else if (value_schema->contains("properties") && (*value_schema)["properties"].contains(inner)) {
        value_schema = &(*value_schema)["properties"][inner];
      } else {
        return std::nullopt;
      }
    }
    if (value_schema->contains("enum")) {
      std::string words;
      for (const Json& word : (*value_schema)["enum"]) {
        words += fmt::format("{}{}", words.empty() ? "" : ", ", word.get<std::string>());
      }
      return "one of " + words + " was expected";
    }
    if (value_schema->contains("minimum")) {
      const std::string unit = value_schema->value("unit", "") == "time"   ? "ms"
                               : value_schema->value("unit", "") == "size" ? "B"
                                                                           : "";
      return fmt::format("from {}{} to {}{} was expected", (*value_schema)["minimum"].dump(), unit,
                         (*value_schema)["maximum"].dump(), unit);
    }
    if (value_schema->contains("pattern")) {
      return "a text of the form " + (*value_schema)["pattern"].get<std::string>() + " was expected";
    }
    return std::nullopt;
  }

  static void add_defaults(const Json& schema, Json& values) {
    if (schema["type"] == "array") {
      for (Json& item : values) {
        add_defaults(schema["items"], item);
      }
      return;
    }
    if (schema["type"] != "object") {
      return;
    }
    for (const auto& [key, value_schema] : schema["properties"].items()) {
      // An object with a list of required keys, even an empty one, is not created if the file omits it.
      if (!values.contains(key) && value_schema["type"] == "object" && !value_schema.contains("required")) {
        values[key] = Json::object();
      }
      if (!values.contains(key) && value_schema.contains("default")) {
        values[key] = value_schema["default"];
      }
      if (values.contains(key)) {
        add_defaults(value_schema, values[key]);
      }
    }
  }

  const std::string name_;
  const std::vector<int> lines_;
  const Form& form_;
  std::size_t next_ = 0;
  File file_;
  std::vector<FileError> errors_;
  std::set<std::string> invalid_keys_;  // keys whose values have already been reported as invalid
};

}  // namespace

File read_tree(const elt* tree, const std::string& name, std::vector<int> lines, const Form& form) {
  return Reader(name, std::move(lines), form).read(tree);
}

}  // namespace reedspindle::operators
