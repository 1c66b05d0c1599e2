#include "discovery/list_reader.hpp"

#include <fmt/format.h>
#include <yajl/yajl_parse.h>

#include <charconv>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "settings/settings.hpp"

namespace reedspindle::discovery {
namespace {

struct Other {};  // null, or an object or array
// A number as written in the document; the field decides whether it must be an integer.
struct Number {
  std::string text;
};
using Value = std::variant<Other, bool, Number, std::string>;

std::optional<long long> integer_in(const Value& value) {
  const auto* number = std::get_if<Number>(&value);
  if (!number) {
    return std::nullopt;
  }
  long long read = 0;
  const char* const end = number->text.data() + number->text.size();
  const auto [parsed_end, parse_error] = std::from_chars(number->text.data(), end, read);
  return parse_error == std::errc() && parsed_end == end ? std::optional(read) : std::nullopt;
}

std::optional<double> number_in(const Value& value) {
  const auto* number = std::get_if<Number>(&value);
  if (!number) {
    return std::nullopt;
  }
  double read = 0;
  const char* const end = number->text.data() + number->text.size();
  const auto [parsed_end, parse_error] = std::from_chars(number->text.data(), end, read);
  return parse_error == std::errc() && parsed_end == end ? std::optional(read) : std::nullopt;
}

// The values of one server by key, without fields that the protocol does not define.
using Row = std::map<std::string, Value, std::less<>>;

const Value& required(const Row& row, const char* key) {
  const auto found = row.find(key);
  if (found == row.end()) {
    throw InvalidInput(fmt::format("targets[].{}: missing", key));
  }
  return found->second;
}

const std::string& text(const Row& row, const char* key) {
  const auto* value = std::get_if<std::string>(&required(row, key));
  if (!value || value->empty()) {
    throw InvalidInput(fmt::format("targets[].{}: expected a non-empty string", key));
  }
  return *value;
}

std::string text_or_empty(const Row& row, const char* key) {
  const auto found = row.find(key);
  const auto* value = found == row.end() ? nullptr : std::get_if<std::string>(&found->second);
  return value ? *value : "";
}

double number(const Row& row, const char* key, double default_value) {
  const auto found = row.find(key);
  if (found == row.end() || std::holds_alternative<Other>(found->second)) {
    return default_value;
  }
  const auto value = number_in(found->second);
  if (!value) {
    throw InvalidInput(fmt::format("targets[].{}: expected a number", key));
  }
  return *value;
}

// Returns the number that the settings give to a name, or the first one for names that they do not contain.
template <typename T>
T number_of_name(const std::string& name, const std::map<std::string, T, std::less<>>& names) {
  const auto found = names.find(name);
  return found == names.end() ? T{} : found->second;
}

ServerState parse_state(const Row& row) {
  const std::string& word = text(row, "state");
  if (word == "active") {
    return ServerState::ready;
  }
  if (word == "leaving") {
    return ServerState::draining;
  }
  if (word == "left") {
    return ServerState::gone;
  }
  throw InvalidInput("targets[].state: expected active, leaving or left");
}

net::ListedEndpoint parse_server(const Row& row, const config::NameTable& names) {
  net::ListedEndpoint server;
  server.entry.id = {text(row, "uid")};
  server.entry.state = parse_state(row);
  const auto endpoint = config::parse_endpoint(text(row, "endpoint"));
  if (!endpoint) {
    throw InvalidInput("targets[].endpoint: expected an address and a port such as 10.0.0.4:6432");
  }
  server.endpoint = *endpoint;
  const auto group = integer_in(required(row, "pod_group"));
  if (!group) {
    throw InvalidInput("targets[].pod_group: expected an integer");
  }
  server.entry.group = {static_cast<int>(*group)};
  server.zone = text_or_empty(row, "az");
  server.entry.zone = number_of_name(server.zone, names.zones);
  server.entry.kind = number_of_name(text_or_empty(row, "model"), names.kinds);
  server.entry.relative_capacity = number(row, "capacity_hint", 1);
  server.entry.started_at = number(row, "boot_ms", 0);
  server.entry.primary = text_or_empty(row, "rank") == "source";
  return server;
}

bool is_known_field(std::string_view key) {
  for (const char* field :
       {"uid", "state", "endpoint", "pod_group", "az", "model", "capacity_hint", "boot_ms", "rank"}) {
    if (key == field) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Tracks the position in the document while the parser runs: the list's object, the array of its servers, the
// object of one server.
class ListReader::Document {
 public:
  Document(const config::NameTable& names, ListReader::RowCallback on_row)
      : names_(names), on_row_(std::move(on_row)), parser_(yajl_alloc(&callbacks(), nullptr, this)) {}
  ~Document() { yajl_free(parser_); }
  Document(const Document&) = delete;

  void read(std::string_view bytes) {
    bytes_since_row_ += bytes.size();
    check(yajl_parse(parser_, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()));
    if (bytes_since_row_ > kMaxTargetBytes) {
      throw InvalidInput(fmt::format("targets[]: entry too large, {} bytes read, at most {} allowed",
                                     bytes_since_row_, kMaxTargetBytes));
    }
  }

  Head finish() {
    check(yajl_complete_parse(parser_));
    if (!started_) {
      throw InvalidInput("endpoint list: expected an object");
    }
    if (!head_.revision) {
      throw InvalidInput("rev: expected an integer");
    }
    if (!head_.complete) {
      throw InvalidInput("all: expected true or false");
    }
    if (!has_targets_) {
      throw InvalidInput("targets: expected an array");
    }
    return head_;
  }

 private:
  static const yajl_callbacks& callbacks() {
    static const yajl_callbacks all = [] {
      yajl_callbacks made{};
      made.yajl_null = [](void* context) { return self(context).on_value(Other{}); };
      made.yajl_boolean = [](void* context, int is_true) { return self(context).on_value(is_true != 0); };
      made.yajl_number = [](void* context, const char* at, std::size_t size) {
        return self(context).on_value(Number{std::string(at, size)});
      };
      made.yajl_string = [](void* context, const unsigned char* at, std::size_t size) {
        return self(context).on_value(std::string(reinterpret_cast<const char*>(at), size));
      };
      made.yajl_map_key = [](void* context, const unsigned char* at, std::size_t size) {
        self(context).key_.assign(reinterpret_cast<const char*>(at), size);
        return 1;
      };
      made.yajl_start_map = [](void* context) { return self(context).on_open(true); };
      made.yajl_end_map = [](void* context) { return self(context).on_close(); };
      made.yajl_start_array = [](void* context) { return self(context).on_open(false); };
      made.yajl_end_array = [](void* context) { return self(context).on_close(); };
      return made;
    }();
    return all;
  }
  static Document& self(void* context) { return *static_cast<Document*>(context); }

  // The parser is C code and its callbacks must not throw: the error is stored, and thrown by check() after
  // the parser has returned. Returning 0 stops the parser.
  int fail(std::string error) {
    error_ = std::move(error);
    return 0;
  }
  void check(yajl_status status) {
    if (!error_.empty()) {
      throw InvalidInput(error_);
    }
    if (status != yajl_status_ok) {
      throw InvalidInput("endpoint list: invalid JSON");
    }
  }

  // Depth 1 is the list's object, 2 the array of servers, 3 the object of one server.
  [[nodiscard]] bool in_targets() const { return in_targets_ && depth_ >= 2; }

  int on_value(Value value) {
    if (depth_ == 0) {
      return fail("endpoint list: expected an object");
    }
    if (depth_ == 1) {
      return on_head_value(value);
    }
    if (in_targets() && depth_ == 2) {
      return fail("targets[]: expected an object");
    }
    if (in_targets() && depth_ == 3) {
      store(std::move(value));
    }
    return 1;
  }

  int on_head_value(const Value& value) {
    if (key_ == "rev" && !(head_.revision = integer_in(value))) {
      return fail("rev: expected an integer");
    }
    if (key_ == "all") {
      const bool* complete = std::get_if<bool>(&value);
      if (!complete) {
        return fail("all: expected true or false");
      }
      head_.complete = *complete;
    }
    if (key_ == "targets") {
      return fail("targets: expected an array");
    }
    return 1;
  }

  void store(Value value) {
    if (is_known_field(key_)) {
      row_[key_] = std::move(value);
    }
  }

  int on_open(bool object) {
    if (depth_ == 0 && !object) {
      return fail("endpoint list: expected an object");
    }
    started_ = true;
    if (depth_ == 1) {
      if (key_ == "rev") {
        return fail("rev: expected an integer");
      }
      if (key_ == "all") {
        return fail("all: expected true or false");
      }
      in_targets_ = key_ == "targets";
      if (in_targets_ && object) {
        return fail("targets: expected an array");
      }
      if (in_targets_ && std::exchange(has_targets_, true)) {
        return fail("targets: duplicate key");
      }
    }
    if (in_targets() && depth_ == 2 && !object) {
      return fail("targets[]: expected an object");
    }
    if (in_targets() && depth_ == 3) {
      store(Other{});
    }
    if (++depth_ > kMaxDepth) {
      return fail(fmt::format("endpoint list: nested more than {} levels deep", kMaxDepth));
    }
    if (in_targets() && depth_ == 3) {
      row_.clear();
    }
    return 1;
  }

  int on_close() {
    const bool ends_row = in_targets() && depth_ == 3;
    if (--depth_ == 1) {
      in_targets_ = false;
    }
    if (!ends_row) {
      return 1;
    }
    bytes_since_row_ = 0;
    try {
      on_row_(parse_server(row_, names_), head_);
    } catch (const InvalidInput& error) {
      return fail(error.what());
    }
    return 1;
  }

  const config::NameTable& names_;
  const ListReader::RowCallback on_row_;
  const yajl_handle parser_;
  Head head_;
  reedspindle::discovery::Row row_;
  std::string key_, error_;
  int depth_ = 0;
  bool started_ = false, in_targets_ = false, has_targets_ = false;
  std::size_t bytes_since_row_ = 0;
};

ListReader::ListReader(const config::NameTable& names, RowCallback on_row)
    : document_(std::make_unique<Document>(names, std::move(on_row))) {}

ListReader::~ListReader() = default;

void ListReader::read(std::string_view bytes) { document_->read(bytes); }

ListReader::Head ListReader::finish() { return document_->finish(); }

net::EndpointList parse_endpoint_list(std::string_view json, const config::NameTable& names) {
  net::EndpointList list;
  std::set<std::string> seen;
  ListReader reader(names, [&](net::ListedEndpoint server, const ListReader::Head&) {
    const std::string& id = server.entry.id.address;
    if (!seen.insert(id).second) {
      throw InvalidInput("targets[].uid: duplicate value " + id);
    }
    list.servers.push_back(std::move(server));
  });
  // In parts, as from the network: the limit on the size of a row is checked after each part.
  constexpr std::size_t kPartBytes = 16 * 1024;
  for (std::size_t at = 0; at < json.size(); at += kPartBytes) {
    reader.read(json.substr(at, kPartBytes));
  }
  const ListReader::Head head = reader.finish();
  list.revision = *head.revision;
  list.kind = *head.complete ? EndpointListKind::complete : EndpointListKind::changes;
  return list;
}

}  // namespace reedspindle::discovery
