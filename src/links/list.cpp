#include "links/list.hpp"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "values.hpp"

namespace reedspindle::links {
namespace {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

// The protocol's figures: a watch goes on if the next call comes within 200 ms, half of which leaves time for
// the call itself. Guards against a watch that has fallen silent, as discovery's agent may with no word: what
// it misses counts as told 6 s later, so wait and loss together are half of that, and the next call can still
// fail. With the wait of the protocol's example (20 s) fronts sent to a list from before a release for all of
// it.
constexpr Millis kNextCall = 100, kWait = 2000, kLost = 1000;
constexpr std::size_t kLongestBody = 1 << 20;  // some times a list of a thousand stores

const Json& needed(const Json& row, const char* key) {
  const auto found = row.find(key);
  if (found == row.end()) throw Malformed(fmt::format("targets: {} is missing", key));
  return *found;
}

std::string word(const Json& row, const char* key) {
  const Json& value = needed(row, key);
  if (!value.is_string() || value.get<std::string>().empty())
    throw Malformed(fmt::format("targets: {} is no text", key));
  return value.get<std::string>();
}

double number(const Json& row, const char* key, double other) {
  const auto found = row.find(key);
  if (found == row.end() || found->is_null()) return other;
  if (!found->is_number()) throw Malformed(fmt::format("targets: {} is no number", key));
  return found->get<double>();
}

// What a name stands for; names the settings don't have stand for the first.
template <typename T>
T named(const Json& row, const char* key, const std::map<std::string, T, std::less<>>& names) {
  const auto name = row.find(key);
  if (name == row.end() || !name->is_string()) return {};
  const auto found = names.find(name->get<std::string>());
  return found == names.end() ? T{} : found->second;
}

ListedStore read_store(const Json& row, const Catalogue& catalogue) {
  if (!row.is_object()) throw Malformed("targets: an entry is no object");
  static const std::map<std::string, MemberState> states = {
      {"active", MemberState::ready}, {"leaving", MemberState::draining}, {"left", MemberState::gone}};
  ListedStore store;
  store.entry.member = {word(row, "uid")};
  const auto state = states.find(word(row, "state"));
  if (state == states.end()) throw Malformed("targets: state is none of active, leaving, left");
  store.entry.state = state->second;
  const auto endpoint = endpoint_in(word(row, "endpoint"));
  if (!endpoint) throw Malformed("targets: endpoint is no address and port");
  store.endpoint = *endpoint;
  if (!needed(row, "pod_group").is_number_integer()) throw Malformed("targets: pod_group is no whole number");
  store.entry.group = {row["pod_group"].get<int>()};
  store.entry.zone = named(row, "az", catalogue.zones);
  if (const auto az = row.find("az"); az != row.end() && az->is_string()) store.zone = az->get<std::string>();
  store.entry.kind = named(row, "model", catalogue.kinds);
  store.entry.size = number(row, "capacity_hint", 1);
  store.entry.up_since = number(row, "boot_ms", 0);
  const auto rank = row.find("rank");
  store.entry.primary = rank != row.end() && rank->is_string() && rank->get<std::string>() == "source";
  return store;
}

}  // namespace

StoreList read_list(const Json& json, const Catalogue& catalogue) {
  if (!json.is_object()) throw Malformed("the list is no object");
  StoreList list;
  const auto rev = json.find("rev"), all = json.find("all"), targets = json.find("targets");
  if (rev == json.end() || !rev->is_number_integer()) throw Malformed("rev is no whole number");
  if (all == json.end() || !all->is_boolean()) throw Malformed("all is neither true nor false");
  if (targets == json.end() || !targets->is_array()) throw Malformed("targets is no array");
  list.revision = rev->get<long long>();
  list.kind = all->get<bool>() ? ListKind::complete : ListKind::changes;
  std::set<std::string> seen;
  for (const Json& row : *targets) {
    list.stores.push_back(read_store(row, catalogue));
    const std::string& id = list.stores.back().entry.member.address;
    if (!seen.insert(id).second) throw Malformed("targets: uid is there twice: " + id);
  }
  return list;
}

struct List::Call {
  explicit Call(asio::io_context& io) : socket(io), buffer(allowance) {}
  static const http_parser_settings& settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        Call& call = *static_cast<Call*>(parser->data);
        if (call.body.size() + length > kLongestBody) return 1;
        call.body.append(at, length);
        return 0;
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Call*>(parser->data)->whole = true;
        http_parser_pause(parser, 1);
        return 0;
      };
      return made;
    }();
    return settings;
  }

  Tcp::socket socket;
  http_parser parser;
  Allowance allowance{kLongestBody};
  Buffer buffer;
  std::string request, body;
  bool whole = false, given_back = false;
};

List::List(asio::io_context& io, Timers& timers, const Clock& clock, Log& log, const Placement& placement,
           Told told)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      placement_(placement),
      told_(std::move(told)),
      discovery_(placement.discovery) {}

void List::watch() {
  if (std::exchange(watching_, true)) return;
  ask();
}

void List::move(const Tcp::endpoint& discovery) {
  if (discovery == discovery_) return;
  discovery_ = discovery;
  whole_ = true;
  give_back();
  // Also where the module says when to ask: it would be told of the failed call to the old address first.
  watching_ = watching_ || placement_.list_is_asked;
  if (watching_) ask();
}

void List::ask_whole() {
  whole_ = true;
  if (!watching_) return;
  give_back();
  ask();
}

void List::stop() {
  watching_ = false;
  give_back();
}

// The connection to discovery and the timers of its call are given back here and nowhere else.
void List::give_back() {
  timers_.drop(limit_);
  timers_.drop(again_);
  if (!call_) return;
  asio::error_code ignored;
  call_->given_back = true;
  call_->socket.close(ignored);
  call_.reset();
}

void List::ask() {
  again_.reset();
  asked_ = clock_.now();
  // After a failed call the next one does not wait for news, so that its own loss shows a wait earlier: a
  // change counts as told 6 s after discovery can be reached again, and a call that was lost just before
  // that, the time until the next one and that call have to fit into it.
  const Millis wait = whole_ || failing_ ? 0 : kWait;
  const std::string path = whole_
                               ? "/discovery/hosts"
                               : fmt::format("/discovery/hosts?since={}&timeout_ms={:.0f}", revision_, wait);
  const std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                                       path, text_of(discovery_));
  limit_ = timers_.set(clock_.now() + wait + kLost, [this] {
    limit_.reset();
    failed("no answer in time");
  });
  if (call_) {
    call_->request = text;
    return connected(call_);
  }
  call_ = std::make_shared<Call>(io_);
  call_->request = text;
  call_->socket.async_connect(discovery_, [this, call = call_](const asio::error_code& fault) {
    if (call->given_back) return;
    if (fault) return failed(fault.message());
    connected(call);
  });
}

void List::connected(const std::shared_ptr<Call>& call) {
  call->whole = false;
  call->body.clear();
  http_parser_init(&call->parser, HTTP_RESPONSE);
  call->parser.data = call.get();
  asio::async_write(call->socket, asio::buffer(call->request),
                    [this, call](const asio::error_code& fault, std::size_t) {
                      if (!call->given_back && fault) failed(fault.message());
                    });
  read(call);
}

void List::read(const std::shared_ptr<Call>& call) {
  const auto room = call->buffer.room(16384);
  if (room.empty()) return failed("the answer is too long");
  call->socket.async_read_some(
      asio::buffer(room.data(), room.size()), [this, call](const asio::error_code& fault, std::size_t count) {
        if (call->given_back) return;
        call->buffer.filled(count);
        const std::string_view held = call->buffer.held();
        // An answer without a length ends with its connection, which the parser is told as no bytes.
        if (fault && fault != asio::error::eof) return failed(fault.message());
        const std::size_t parsed =
            http_parser_execute(&call->parser, &Call::settings(), held.data(), fault ? 0 : held.size());
        call->buffer.consume(std::min(parsed, held.size()));
        if (call->whole) return answered(*call);
        if (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK)
          return failed(http_errno_description(HTTP_PARSER_ERRNO(&call->parser)));
        if (fault) return failed("discovery ended the connection");
        read(call);
      });
}

void List::answered(Call& call) {
  timers_.drop(limit_);
  if (call.parser.status_code != 200)
    return failed(fmt::format("status {}", static_cast<int>(call.parser.status_code)));
  StoreList list;
  try {
    list = read_list(Json::parse(call.body), placement_.catalogue);
  } catch (const std::exception& fault) {
    whole_ = true;
    return failed(fault.what());
  }
  http_parser_pause(&call.parser, 0);
  // What stands behind the answer belongs to none that was asked for. Guards against taking it, an older list
  // or half a line, for the answer to the next call.
  if (!http_should_keep_alive(&call.parser) || !call.buffer.held().empty()) give_back();
  if (list.kind == ListKind::changes && list.revision < revision_) {
    whole_ = true;  // changes to another list than the one held
    return failed(fmt::format("changes up to {}, while {} is known", list.revision, revision_));
  }
  // An answer that is nothing new is due only when its wait is over; from one that comes at once the next
  // call keeps the distance that a watch allows.
  const bool again = !whole_ && list.revision == revision_ && clock_.now() - asked_ < kNextCall;
  whole_ = false;
  failing_ = false;
  revision_ = list.revision;
  told_(std::move(list));
  if (!watching_) return;
  if (!again) return ask();
  again_ = timers_.set(clock_.now() + kNextCall, [this] { ask(); });
}

void List::failed(const std::string& why) {
  give_back();
  failing_ = true;
  if (!watching_) return;
  log_.warn("list", "no answer, what is known stays", {{"why", why}});
  // Where the deployment's list is asked for, when to ask again is decided by who is told of this.
  if (placement_.list_is_asked) watching_ = false;
  told_({ListKind::failed, revision_, {}});
  if (watching_) again_ = timers_.set(clock_.now() + kNextCall, [this] { ask(); });
}

}  // namespace reedspindle::links
