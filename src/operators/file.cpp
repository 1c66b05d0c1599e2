#include "operators/file.hpp"

#include <fmt/format.h>
#include <sfsexp/sexp.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <set>

#include "operators/check.hpp"

namespace reedspindle::operators {

extern const char* const kSchema;  // schema.json
const Form kOperatorsFile{"reedspindle", kSchema};

namespace {

using Json = nlohmann::json;

constexpr std::size_t kDeepest = 16;  // of lists in lists; the schema needs five

struct Fault {
  int line;
  std::string text;
};

[[noreturn]] void give_up(const std::string& name, std::vector<Fault> faults) {
  std::ranges::stable_sort(faults, {}, &Fault::line);
  std::vector<std::string> lines;
  for (const Fault& fault : faults) {
    lines.push_back(fmt::format("{}:{}: {}", name, fault.line, fault.text));
  }
  throw InvalidFile(std::move(lines));
}

// The lines of all opening parentheses, in their order: the library's tree has no places, and its lists come
// in the same order. What the library would read in ways of its own (quotes by ', binary by #) is a fault.
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
        give_up(name, {{from, "a text that begins here is not closed"}});
      }
    } else if (letter == '(') {
      if (ended) {
        give_up(name, {{line, fmt::format("more than one list; all stands inside ({} ...)", form.head)}});
      }
      lines.push_back(line);
      open.push_back(line);
      if (open.size() > kDeepest) {
        give_up(name, {{line, "lists stand too deep in lists"}});
      }
    } else if (letter == ')') {
      if (open.empty()) {
        give_up(name, {{line, "a list is closed here that was not opened"}});
      }
      open.pop_back();
      ended = open.empty();
    } else if (letter == '\'' || letter == '#' || letter == '\0') {
      give_up(name, {{line, fmt::format("the letter {} has no meaning here", letter ? letter : '0')}});
    } else if (open.empty() && !std::isspace(static_cast<unsigned char>(letter))) {
      give_up(name, {{line, fmt::format("a list was expected: ({} ...)", form.head)}});
    }
  }
  if (!open.empty()) {
    give_up(name, {{open.back(), "the list that begins here is not closed"}});
  }
  return lines;
}

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

struct Unit {
  std::string_view word;
  double factor;
};
constexpr Unit kTimes[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}};
constexpr Unit kSizes[] = {{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"B", 1}};

template <std::size_t N>
std::optional<double> with_unit(std::string_view text, const Unit (&units)[N]) {
  for (const Unit& unit : units) {
    if (text.ends_with(unit.word)) {
      if (const auto value = number(text.substr(0, text.size() - unit.word.size()))) {
        return *value * unit.factor;
      }
    }
  }
  return std::nullopt;
}

// An address and a port.
bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const auto port = number(text.substr(colon + 1));
  return port && *port >= 0 && *port <= 65535 && *port == std::floor(*port);
}

class Reader {
 public:
  Reader(std::string name, std::vector<int> lines, const Form& form)
      : name_(std::move(name)), lines_(std::move(lines)), form_(form) {}

  File read(const sexp_t* top) {
    const Json schema = Json::parse(form_.schema);
    const int line = next_line();
    if (head(top) != form_.head) {
      give_up(name_, {{line, fmt::format("({} ...) was expected", form_.head)}});
    }
    file_.values = Json::object();
    entries(top->list->next, schema, file_.values, "");
    check(schema);
    if (!faults_.empty()) {
      give_up(name_, std::move(faults_));
    }
    complete(schema, file_.values);
    return std::move(file_);
  }

 private:
  int next_line() { return lines_.at(next_++); }

  static std::string head(const sexp_t* list) {
    const bool named = list && list->ty == SEXP_LIST && list->list && list->list->ty == SEXP_VALUE;
    return named ? std::string(list->list->val) : "";
  }

  // What stands behind a key: entries of an object.
  void entries(const sexp_t* first, const Json& schema, Json& into, const std::string& path) {
    for (const sexp_t* at = first; at; at = at->next) {
      if (at->ty != SEXP_LIST) {
        fault(path,
              fmt::format("a list such as (key value) was expected, not {}", at->val ? at->val : "this"));
        continue;
      }
      entry(at, schema, into, path);
    }
  }

  void entry(const sexp_t* list, const Json& schema, Json& into, const std::string& path) {
    const int line = next_line();
    const std::string key = head(list);
    if (key.empty()) {
      faults_.push_back({line, fmt::format("{}: a key was expected here", path.empty() ? "file" : path)});
      return skip(list->list);
    }
    std::string full = path.empty() ? key : fmt::format("{}.{}", path, key);
    const Json* of = nullptr;
    if (schema.contains("properties") && schema["properties"].contains(key)) {
      of = &schema["properties"][key];
    }
    if (!of) {
      faults_.push_back({line, fmt::format("{}: there is no such key", full)});
      return skip(list->list->next);
    }
    Json* place = nullptr;
    if ((*of)["type"] == "array") {
      of = &(*of)["items"];
      Json& rows = into[key];
      if (rows.is_null()) {
        rows = Json::array();
      }
      file_.lines.emplace(full, line);
      full = fmt::format("{}[{}]", full, rows.size());
      place = &rows.emplace_back();
    } else {
      if (into.contains(key)) {
        faults_.push_back(
            {line, fmt::format("{}: is there twice, first in line {}", full, file_.lines[full])});
        return skip(list->list->next);
      }
      place = &into[key];
    }
    file_.lines[full] = line;
    const sexp_t* rest = list->list->next;
    if ((*of)["type"] == "object") {
      *place = Json::object();
      return entries(rest, *of, *place, full);
    }
    if (!rest || rest->next || rest->ty != SEXP_VALUE) {
      faults_.push_back({line, fmt::format("{}: one value was expected", full)});
      faulty_.insert(full);
      return skip(rest);
    }
    *place = scalar(rest->val ? rest->val : "", *of, full, line);
  }

  // Counts the lists of what is not read, so that those behind it keep their lines.
  void skip(const sexp_t* first) {
    for (const sexp_t* at = first; at; at = at->next) {
      if (at->ty == SEXP_LIST) {
        next_line(), skip(at->list);
      }
    }
  }

  Json scalar(const std::string& text, const Json& schema, const std::string& path, int line) {
    const std::string type = schema["type"];
    const std::string unit = schema.value("unit", "");
    const auto wrong = [&](const char* expected) {
      faults_.push_back({line, fmt::format("{}: {} was expected, not {}", path, expected, text)});
      faulty_.insert(path);
      return Json();
    };
    if (type == "boolean") {
      return text == "yes" ? Json(true) : text == "no" ? Json(false) : wrong("yes or no");
    }
    if (type == "string") {
      if (schema.value("format", "") == "address" && !is_address(text)) {
        return wrong("an address and a port such as 127.0.0.1:18000");
      }
      return text;
    }
    const auto value = unit == "time"   ? with_unit(text, kTimes)
                       : unit == "size" ? with_unit(text, kSizes)
                                        : number(text);
    if (!value) {
      return wrong(unit == "time"   ? "a time such as 500ms or 2s"
                   : unit == "size" ? "a size such as 64KiB or 32MiB"
                                    : "a number");
    }
    if (type == "integer") {
      if (*value != std::floor(*value) || std::abs(*value) > 9e15) {
        return wrong("a whole number");
      }
      return static_cast<long long>(*value);
    }
    return *value;
  }

  void fault(const std::string& path, const std::string& text) {
    faults_.push_back({line_of(path), fmt::format("{}: {}", path.empty() ? "file" : path, text)});
  }
  // The line of a key, or of what it stands in.
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

  // "<root>", "[control]", "[op-type]", "[0]" as one key.
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

  void check(const Json& schema) {
    std::set<std::string> told = faulty_;
    for (const Mismatch& error : mismatches(schema, file_.values)) {
      const std::string path = path_of(error.context);
      // Of the messages on one key the first, innermost one says it; outer ones repeat it.
      if (error.description.starts_with("Failed to validate against schema associated with property") ||
          error.description.starts_with("Failed to validate item") ||
          told.contains(path + error.description) || faulty_.contains(path)) {
        continue;
      }
      told.insert(path + error.description);
      std::string text = error.description;
      if (const auto at = text.find("Missing required property '"); at == 0) {
        const std::string name = text.substr(27, text.find('\'', 27) - 27);
        text = fmt::format("{} is missing", name);
      } else {
        text = expected(schema, error.context).value_or(text);
      }
      fault(path, text);
    }
  }

  // What the schema says of a value, for the message on one that does not keep to it.
  static std::optional<std::string> expected(const Json& schema, const std::vector<std::string>& context) {
    const Json* of = &schema;
    for (const std::string& part : context) {
      if (part.size() < 3 || part.front() != '[') {
        continue;
      }
      const std::string inner = part.substr(1, part.size() - 2);
      if (of->contains("items")) {
        of = &(*of)["items"];
      } else if (of->contains("properties") && (*of)["properties"].contains(inner)) {
        of = &(*of)["properties"][inner];
      } else {
        return std::nullopt;
      }
    }
    if (of->contains("enum")) {
      std::string words;
      for (const Json& word : (*of)["enum"]) {
        words += fmt::format("{}{}", words.empty() ? "" : ", ", word.get<std::string>());
      }
      return "one of " + words + " was expected";
    }
    if (of->contains("minimum")) {
      const std::string unit = of->value("unit", "") == "time"   ? "ms"
                               : of->value("unit", "") == "size" ? "B"
                                                                 : "";
      return fmt::format("from {}{} to {}{} was expected", (*of)["minimum"].dump(), unit,
                         (*of)["maximum"].dump(), unit);
    }
    if (of->contains("pattern")) {
      return "a text of the form " + (*of)["pattern"].get<std::string>() + " was expected";
    }
    return std::nullopt;
  }

  static void complete(const Json& schema, Json& values) {
    if (schema["type"] == "array") {
      for (Json& row : values) {
        complete(schema["items"], row);
      }
      return;
    }
    if (schema["type"] != "object") {
      return;
    }
    for (const auto& [key, of] : schema["properties"].items()) {
      // A part with needed keys stays away where the file does not have it.
      if (!values.contains(key) && of["type"] == "object" && !of.contains("required")) {
        values[key] = Json::object();
      }
      if (!values.contains(key) && of.contains("default")) {
        values[key] = of["default"];
      }
      if (values.contains(key)) {
        complete(of, values[key]);
      }
    }
  }

  const std::string name_;
  const std::vector<int> lines_;
  const Form& form_;
  std::size_t next_ = 0;
  File file_;
  std::vector<Fault> faults_;
  std::set<std::string> faulty_;  // keys that a fault has been told of
};

std::string in_units(const Json& value, const std::string& unit) {
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_string()) {
    return value.dump();
  }
  if (unit == "time") {
    return fmt::format("{}ms", value.get<double>());
  }
  if (unit == "size") {
    return fmt::format("{}B", value.get<double>());
  }
  return value.dump();
}

void show_into(const Json& schema, const Json& values, const std::string& path, const File& file,
               std::vector<std::string>& lines) {
  if (values.is_array()) {
    for (std::size_t at = 0; at < values.size(); ++at) {
      show_into(schema["items"], values[at], fmt::format("{}[{}]", path, at), file, lines);
    }
    return;
  }
  if (values.is_object()) {
    for (const auto& [key, inner] : values.items()) {
      show_into(schema["properties"][key], inner, path.empty() ? key : fmt::format("{}.{}", path, key), file,
                lines);
    }
    return;
  }
  const auto line = file.lines.find(path);
  lines.push_back(fmt::format("{} {}  {}", path, in_units(values, schema.value("unit", "")),
                              line == file.lines.end() ? "default" : fmt::format("line {}", line->second)));
}

}  // namespace

InvalidFile::InvalidFile(std::vector<std::string> of)
    : std::runtime_error([&of] {
        std::string text;
        for (const std::string& line : of) {
          text += fmt::format("{}{}", text.empty() ? "" : "\n", line);
        }
        return text;
      }()),
      lines(std::move(of)) {}

File read_text(std::string_view text, const std::string& name, const Form& form) {
  if (text.size() > kLongestFile) {
    give_up(name, {{1, "the file is longer than 1 MiB"}});
  }
  std::vector<int> lines = lines_of_lists(text, name, form);
  if (lines.empty()) {
    give_up(name, {{1, fmt::format("a list was expected: ({} ...)", form.head)}});
  }
  std::string copy(text);
  const std::unique_ptr<sexp_t, void (*)(sexp_t*)> tree(parse_sexp(copy.data(), copy.size()), destroy_sexp);
  if (!tree) {
    give_up(name, {{1, "it does not read as S-expressions"}});
  }
  return Reader(name, std::move(lines), form).read(tree.get());
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
  show_into(Json::parse(form.schema), file.values, "", file, lines);
  return lines;
}

}  // namespace reedspindle::operators
