#include <fmt/format.h>
#include <yajl/yajl_parse.h>

#include <charconv>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "discovery/list_reader.hpp"
#include "settings/settings.hpp"

namespace reedspindle::discovery {
namespace {

struct Other {};  // null, or an object or array
// A number as it is written, of which the place decides what it may be.
struct Number {
  std::string text;
};
using Value = std::variant<Other, bool, Number, std::string>;

std::optional<long long> whole_number(const Value& value) {
  const auto* number = std::get_if<Number>(&value);
  if (!number) {
    return std::nullopt;
  }
  long long read = 0;
  const char* const end = number->text.data() + number->text.size();
  const auto [stop, fault] = std::from_chars(number->text.data(), end, read);
  return fault == std::errc() && stop == end ? std::optional(read) : std::nullopt;
}

std::optional<double> any_number(const Value& value) {
  const auto* number = std::get_if<Number>(&value);
  if (!number) {
    return std::nullopt;
  }
  double read = 0;
  const char* const end = number->text.data() + number->text.size();
  const auto [stop, fault] = std::from_chars(number->text.data(), end, read);
  return fault == std::errc() && stop == end ? std::optional(read) : std::nullopt;
}

// The values of one server, by key; what the protocol does not name is not kept.
using Row = std::map<std::string, Value, std::less<>>;

const Value& needed(const Row& row, const char* key) {
  const auto found = row.find(key);
  if (found == row.end()) {
    throw InvalidInput(fmt::format("targets: {} is missing", key));
  }
  return found->second;
}

const std::string& text(const Row& row, const char* key) {
  const auto* value = std::get_if<std::string>(&needed(row, key));
  if (!value || value->empty()) {
    throw InvalidInput(fmt::format("targets: {} is no text", key));
  }
  return *value;
}

std::string text_or_none(const Row& row, const char* key) {
  const auto found = row.find(key);
  const auto* value = found == row.end() ? nullptr : std::get_if<std::string>(&found->second);
  return value ? *value : "";
}

double number(const Row& row, const char* key, double other) {
  const auto found = row.find(key);
  if (found == row.end() || std::holds_alternative<Other>(found->second)) {
    return other;
  }
  const auto value = any_number(found->second);
  if (!value) {
    throw InvalidInput(fmt::format("targets: {} is no number", key));
  }
  return *value;
}

// What a name stands for; names the settings don't have stand for the first.
template <typename T>
T named(const std::string& name, const std::map<std::string, T, std::less<>>& names) {
  const auto found = names.find(name);
  return found == names.end() ? T{} : found->second;
}

ServerState state_in(const Row& row) {
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
  throw InvalidInput("targets: state is none of active, leaving, left");
}

net::ListedEndpoint server_in(const Row& row, const config::NameTable& names) {
  net::ListedEndpoint server;
  server.entry.id = {text(row, "uid")};
  server.entry.state = state_in(row);
  const auto endpoint = config::parse_endpoint(text(row, "endpoint"));
  if (!endpoint) {
    throw InvalidInput("targets: endpoint is no address and port");
  }
  server.endpoint = *endpoint;
  const auto group = whole_number(needed(row, "pod_group"));
  if (!group) {
    throw InvalidInput("targets: pod_group is no whole number");
  }
  server.entry.group = {static_cast<int>(*group)};
  server.zone = text_or_none(row, "az");
  server.entry.zone = named(server.zone, names.zones);
  server.entry.kind = named(text_or_none(row, "model"), names.kinds);
  server.entry.relative_capacity = number(row, "capacity_hint", 1);
  server.entry.started_at = number(row, "boot_ms", 0);
  server.entry.primary = text_or_none(row, "rank") == "source";
  return server;
}

bool is_named(std::string_view key) {
  for (const char* one :
       {"uid", "state", "endpoint", "pod_group", "az", "model", "capacity_hint", "boot_ms", "rank"}) {
    if (key == one) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Follows the parser through the document: the list's object, the array of its servers, a server's object.
class ListReader::Document {
 public:
  Document(const config::NameTable& names, ListReader::Row row)
      : catalogue_(names), row_taken_(std::move(row)), parser_(yajl_alloc(&callbacks(), nullptr, this)) {}
  ~Document() { yajl_free(parser_); }
  Document(const Document&) = delete;

  void read(std::string_view bytes) {
    since_row_ += bytes.size();
    check(yajl_parse(parser_, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()));
    if (since_row_ > kMaxTargetBytes) {
      throw InvalidInput(fmt::format("targets: {} bytes with no server's end, the limit is {}", since_row_,
                                     kMaxTargetBytes));
    }
  }

  Head finish() {
    check(yajl_complete_parse(parser_));
    if (!began_) {
      throw InvalidInput("the list is no object");
    }
    if (!head_.revision) {
      throw InvalidInput("rev is no whole number");
    }
    if (!head_.whole) {
      throw InvalidInput("all is neither true nor false");
    }
    if (!has_targets_) {
      throw InvalidInput("targets is no array");
    }
    return head_;
  }

 private:
  static const yajl_callbacks& callbacks() {
    static const yajl_callbacks all = [] {
      yajl_callbacks made{};
      made.yajl_null = [](void* to) { return of(to).value(Other{}); };
      made.yajl_boolean = [](void* to, int is) { return of(to).value(is != 0); };
      made.yajl_number = [](void* to, const char* at, std::size_t size) {
        return of(to).value(Number{std::string(at, size)});
      };
      made.yajl_string = [](void* to, const unsigned char* at, std::size_t size) {
        return of(to).value(std::string(reinterpret_cast<const char*>(at), size));
      };
      made.yajl_map_key = [](void* to, const unsigned char* at, std::size_t size) {
        of(to).key_.assign(reinterpret_cast<const char*>(at), size);
        return 1;
      };
      made.yajl_start_map = [](void* to) { return of(to).opens(true); };
      made.yajl_end_map = [](void* to) { return of(to).closes(); };
      made.yajl_start_array = [](void* to) { return of(to).opens(false); };
      made.yajl_end_array = [](void* to) { return of(to).closes(); };
      return made;
    }();
    return all;
  }
  static Document& of(void* context) { return *static_cast<Document*>(context); }

  // The parser's callbacks are C: a fault is kept and thrown once they have returned. 0 ends the parsing.
  int fail(std::string why) {
    fault_ = std::move(why);
    return 0;
  }
  void check(yajl_status status) {
    if (!fault_.empty()) {
      throw InvalidInput(fault_);
    }
    if (status != yajl_status_ok) {
      throw InvalidInput("no JSON");
    }
  }

  // Depths: 1 the list, 2 its servers, 3 one of them.
  [[nodiscard]] bool in_targets() const { return in_targets_ && depth_ >= 2; }

  int value(Value value) {
    if (depth_ == 0) {
      return fail("the list is no object");
    }
    if (depth_ == 1) {
      return head_value(value);
    }
    if (in_targets() && depth_ == 2) {
      return fail("targets: an entry is no object");
    }
    if (in_targets() && depth_ == 3) {
      keep(std::move(value));
    }
    return 1;
  }

  int head_value(const Value& value) {
    if (key_ == "rev" && !(head_.revision = whole_number(value))) {
      return fail("rev is no whole number");
    }
    if (key_ == "all") {
      const bool* whole = std::get_if<bool>(&value);
      if (!whole) {
        return fail("all is neither true nor false");
      }
      head_.whole = *whole;
    }
    if (key_ == "targets") {
      return fail("targets is no array");
    }
    return 1;
  }

  void keep(Value value) {
    if (is_named(key_)) {
      row_[key_] = std::move(value);
    }
  }

  int opens(bool object) {
    if (depth_ == 0 && !object) {
      return fail("the list is no object");
    }
    began_ = true;
    if (depth_ == 1) {
      if (key_ == "rev") {
        return fail("rev is no whole number");
      }
      if (key_ == "all") {
        return fail("all is neither true nor false");
      }
      in_targets_ = key_ == "targets";
      if (in_targets_ && object) {
        return fail("targets is no array");
      }
      if (in_targets_ && std::exchange(has_targets_, true)) {
        return fail("targets is there twice");
      }
    }
    if (in_targets() && depth_ == 2 && !object) {
      return fail("targets: an entry is no object");
    }
    if (in_targets() && depth_ == 3) {
      keep(Other{});
    }
    if (++depth_ > kMaxDepth) {
      return fail(fmt::format("nested more than {} deep", kMaxDepth));
    }
    if (in_targets() && depth_ == 3) {
      row_.clear();
    }
    return 1;
  }

  int closes() {
    const bool row = in_targets() && depth_ == 3;
    if (--depth_ == 1) {
      in_targets_ = false;
    }
    if (!row) {
      return 1;
    }
    since_row_ = 0;
    try {
      row_taken_(server_in(row_, catalogue_), head_);
    } catch (const InvalidInput& fault) {
      return fail(fault.what());
    }
    return 1;
  }

  const config::NameTable& catalogue_;
  const ListReader::Row row_taken_;
  const yajl_handle parser_;
  Head head_;
  reedspindle::discovery::Row row_;
  std::string key_, fault_;
  int depth_ = 0;
  bool began_ = false, in_targets_ = false, has_targets_ = false;
  std::size_t since_row_ = 0;
};

ListReader::ListReader(const config::NameTable& names, Row row)
    : document_(std::make_unique<Document>(names, std::move(row))) {}

ListReader::~ListReader() = default;

void ListReader::read(std::string_view bytes) { document_->read(bytes); }

ListReader::Head ListReader::finish() { return document_->finish(); }

net::EndpointList parse_endpoint_list(std::string_view json, const config::NameTable& names) {
  net::EndpointList list;
  std::set<std::string> seen;
  ListReader reader(names, [&](net::ListedEndpoint server, const ListReader::Head&) {
    const std::string& id = server.entry.id.address;
    if (!seen.insert(id).second) {
      throw InvalidInput("targets: uid is there twice: " + id);
    }
    list.servers.push_back(std::move(server));
  });
  // In parts, as it would come: the limit on a row's length is one on what is read between two ends of rows.
  constexpr std::size_t kPart = 16 * 1024;
  for (std::size_t at = 0; at < json.size(); at += kPart) {
    reader.read(json.substr(at, kPart));
  }
  const ListReader::Head head = reader.finish();
  list.revision = *head.revision;
  list.kind = *head.whole ? EndpointListKind::complete : EndpointListKind::changes;
  return list;
}

}  // namespace reedspindle::discovery
