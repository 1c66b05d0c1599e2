// Reads drawn, mutated and cut messages and statements of the stores' protocol, and plays drawn commands to
// the pending replies and drawn turns to the bound on arrivals; prints a digest of what comes of it.
#include <algorithm>
#include <vector>

#include "digest.hpp"
#include "postgres/codec.hpp"
#include "proxy/arrival_bound.hpp"
#include "proxy/pending_replies.hpp"

namespace {
using namespace reedspindle;
using reedspindle::net::MemoryBudget;

constexpr int kMessages = 4000;
constexpr int kStatements = 4000;
constexpr int kCommands = 6000;
constexpr int kTurns = 4000;

class Sequence {
 public:
  Sequence(unsigned seed, bool prints) : draws_(seed), digest_(prints) {}
  std::string play() {
    fixed();
    for (int number = 0; number < kMessages; ++number) {
      message();
    }
    for (int number = 0; number < kStatements; ++number) {
      statement();
    }
    replies();
    arrivals();
    return digest_.text();
  }

 private:
  void fixed() {
    digest_.add(digests::hex(postgres::startup("router", "records")));
    digest_.add(digests::hex(postgres::query("SELECT 1")));
    digest_.add(digests::hex(postgres::startup_response()));
    digest_.add(digests::hex(postgres::startup_response({7, 4000000000U})));
    digest_.add(digests::hex(postgres::ready_for_query()));
    digest_.add(digests::hex(postgres::empty_query_response()));
    digest_.add(digests::hex(postgres::command_complete("INSERT 0 1")));
    digest_.add(digests::hex(postgres::error(postgres::Severity::error, "57014", "text")));
    digest_.add(digests::hex(postgres::error(postgres::Severity::fatal, "53300", "text", "detail")));
  }
  std::string big_endian(int number, int bytes) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
      text += static_cast<char>(number >> (8 * i) & 0xff);
    }
    return text;
  }
  std::string framed(char type, const std::string& body) {
    return std::string(1, type) + big_endian(static_cast<int>(body.size()) + 4, 4) + body;
  }
  std::string drawn_message() {
    const char types[] = {'Q', 'X', 'P', 'D', 'S', 'E', 'N', 'T', 'R', 'K', 'C', 'Z', 'I', 'd', 'q'};
    switch (draws_.below(10)) {
      case 0:
        return postgres::startup("u", "d");
      case 1:
        return postgres::query(drawn_statement());
      case 2:
        return postgres::startup_response({static_cast<std::uint32_t>(draws_.below(1000)), 5});
      case 3:
        return postgres::error(postgres::Severity::error, "40001", "text");
      case 4:
        return postgres::command_complete("SELECT 1");
      case 5: {
        const std::string value = draws_.bytes(draws_.below(12));
        return framed('D', big_endian(1, 2) + big_endian(static_cast<int>(value.size()), 4) + value);
      }
      case 6:
        return framed('T', big_endian(1, 2) + std::string("v\0", 2) + draws_.bytes(18));
      case 7: {
        const int code = draws_.one_in(2) ? 80877102 : 80877103;
        const std::string body = big_endian(code, 4) + draws_.bytes(draws_.one_in(3) ? 4 : 8);
        return big_endian(static_cast<int>(body.size()) + 4, 4) + body;
      }
      case 8:
        return framed('S', std::string("a\0b\0", 4));
      default: {
        const char type = types[draws_.below(static_cast<int>(sizeof types))];
        return framed(type, draws_.bytes(draws_.below(12)));
      }
    }
  }
  void message() {
    std::string held = drawn_message();
    if (draws_.one_in(3)) {
      held += drawn_message();
    }
    if (draws_.one_in(2)) {
      held = draws_.mutated(held);
    }
    digest_.comment(digests::hex(held));
    add(postgres::read_from_client(held));
    add(postgres::read_from_server(held));
    add(postgres::read_startup(held));
  }
  void add(const postgres::ReadResult& read) {
    if (std::holds_alternative<postgres::Partial>(read)) {
      return digest_.add("more");
    }
    if (const auto* fault = std::get_if<postgres::Fault>(&read)) {
      return digest_.add("fault " + fault->code);
    }
    const auto& message = std::get<postgres::Message>(read);
    digest_.add(fmt::format("message {} {} {}", static_cast<int>(message.type), digests::hex(message.body),
                            message.bytes.size()));
    const auto key = postgres::cancel_key(message);
    digest_.add(fmt::format("start {} {} {}", static_cast<int>(postgres::startup_kind(message)),
                            key ? key->process : 0, key ? key->secret : 0));
    const auto error = postgres::read_error(message.body);
    const auto parameter = postgres::read_parameter(message.body);
    const auto row = postgres::read_row(message.body);
    digest_.add(fmt::format("body {} {} {} {} {}", error ? digests::hex(error->code + error->text) : "-",
                            parameter ? digests::hex(parameter->first) : "-", row ? digests::hex(*row) : "-",
                            postgres::describes_one_column(message.body),
                            postgres::is_command_tag(message.body)));
  }

  std::string drawn_statement() {
    const std::string key = fmt::format("k{}", draws_.below(100));
    std::string text = "SELECT v FROM records WHERE k = '" + key + "' /* ";
    if (draws_.one_in(2)) {
      const std::string value = digests::hex(draws_.bytes(draws_.below(5)));
      text = "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + value + "') RETURNING v /* ";
    }
    std::vector<std::string> items{
        fmt::format("id=op-{}", draws_.below(1000)), fmt::format("c=type{}", draws_.below(3)),
        fmt::format("d={}", draws_.below(3000)), fmt::format("cluster={}", draws_.below(9))};
    if (draws_.one_in(3)) {
      items.push_back(fmt::format("after={}.25", draws_.below(100000)));
    }
    if (draws_.one_in(3)) {
      items.push_back(fmt::format("k=token{}", draws_.below(9)));
    }
    if (draws_.one_in(3)) {
      items.push_back(fmt::format("r={}", draws_.between(1, 2)));
    }
    if (draws_.one_in(12)) {
      items.push_back(fmt::format("d={}", draws_.below(9)));
    }
    if (draws_.one_in(12)) {
      items.push_back("other=1");
    }
    if (draws_.one_in(8)) {
      items.erase(items.begin() + draws_.below(static_cast<int>(items.size())));
    }
    if (draws_.one_in(4)) {
      std::swap(items.front(), items.back());
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
      text += (i > 0 ? "," : "") + items[i];
    }
    return text + " */";
  }
  void statement() {
    std::string text = drawn_statement();
    if (draws_.one_in(2)) {
      text = draws_.mutated(text);
    }
    digest_.add("word " + postgres::first_word(text));
    const auto read = postgres::read_statement(text);
    if (const auto* fault = std::get_if<postgres::Fault>(&read)) {
      return digest_.add("fault " + fault->code);
    }
    const auto& one = std::get<postgres::Statement>(read);
    digest_.add(fmt::format("{} {} {} {} {:.3f} {} {:.3f} {} {} {} {}", one.writes, one.id, one.request_class,
                            one.key, one.remaining, one.group, one.position, one.token, one.is_retry,
                            one.remaining_span.at, one.remaining_span.size));
    const int patience = draws_.below(90000);
    digest_.add(digests::hex(postgres::with_remaining_time(text, one.remaining_span, 0.25 * patience)));
    const auto [name, value] = postgres::name_and_value(std::string_view(text).substr(text.rfind(',') + 1));
    digest_.add(fmt::format("{} / {}", digests::hex(name), digests::hex(value)));
    const int units = draws_.below(100);
    const int exponent = draws_.below(3);
    const std::string figure = draws_.mutated(fmt::format("{}.5e{}", units, exponent));
    digest_.add(fmt::format("{:.3f}", postgres::parse_number(figure).value_or(-1)));
  }

  void replies() {
    MemoryBudget budget(3000);
    proxy::PendingReplies pending(budget);
    std::uint64_t last = 0;
    for (int number = 0; number < kCommands; ++number) {
      const int kind = draws_.below(8);
      if (kind == 0) {
        pending.add_complete(fmt::format("at once {}", number));
      }
      if (kind == 1 || kind == 2) {
        pending.add_request({++last});
      }
      if (kind == 3 && draws_.one_in(3)) {
        pending.add_readiness();
      }
      if (kind == 4) {
        pending.complete_readiness(fmt::format("ready {}", number));
      }
      if (kind > 4 && last > 0) {
        const int back = draws_.below(12);
        RequestId request{last - std::min<std::uint64_t>(last, static_cast<std::uint64_t>(back))};
        const std::vector<RequestId> open = pending.open_requests();
        if (open.size() > 6) {
          request = open.front();
        }
        const auto size = static_cast<std::size_t>(draws_.below(1500));
        pending.complete(request, std::string(size, 'x') + fmt::format("{}", number), "instead");
      }
      if (draws_.one_in(2)) {
        digest_.add(digests::hex(pending.take_complete()));
      }
      digest_.add(fmt::format("{} {}", pending.size(), pending.empty()));
      for (const RequestId& open : pending.open_requests()) {
        digest_.add(fmt::format("open {}", open.number));
      }
    }
  }
  void arrivals() {
    Millis now = 1000;
    proxy::ArrivalBound bound(now);
    for (int turn = 0; turn < kTurns; ++turn) {
      now += draws_.below(draws_.one_in(9) ? 200 : 5);
      if (bound.marker_wanted() && !draws_.one_in(5)) {
        bound.marker_sent(now);
      }
      if (draws_.one_in(3)) {
        bound.none_ready(now - draws_.below(4));
      }
      if (draws_.one_in(3)) {
        bound.sleeps(now, now + draws_.below(40));
        now += draws_.below(60);
        bound.wakes(now);
      }
      digest_.add(fmt::format("{} {:.3f}", bound.marker_wanted(), bound.earliest(now)));
      if (draws_.one_in(2)) {
        bound.marker_returned();
      }
    }
  }

  digests::Draws draws_;
  digests::Digest digest_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 5); }
