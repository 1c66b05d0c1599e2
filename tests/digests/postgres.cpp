// Reads random, mutated and cut off messages and statements of the PostgreSQL protocol, plays random commands
// to the pending replies and random turns of the event loop to the bound on arrival times, and prints a
// digest of the results.
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
constexpr int kReplyCommands = 6000;
constexpr int kLoopTurns = 4000;

class Sequence {
 public:
  Sequence(unsigned seed, bool print_lines) : random_(seed), digest_(print_lines) {}
  std::string play() {
    add_fixed_messages();
    for (int number = 0; number < kMessages; ++number) {
      check_random_message();
    }
    for (int number = 0; number < kStatements; ++number) {
      check_random_statement();
    }
    check_pending_replies();
    check_arrival_bound();
    return digest_.text();
  }

 private:
  void add_fixed_messages() {
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
  std::string message_bytes(char type, const std::string& body) {
    return std::string(1, type) + big_endian(static_cast<int>(body.size()) + 4, 4) + body;
  }
  std::string random_message() {
    const char types[] = {'Q', 'X', 'P', 'D', 'S', 'E', 'N', 'T', 'R', 'K', 'C', 'Z', 'I', 'd', 'q'};
    switch (random_.below(10)) {
      case 0:
        return postgres::startup("u", "d");
      case 1:
        return postgres::query(random_statement());
      case 2:
        return postgres::startup_response({static_cast<std::uint32_t>(random_.below(1000)), 5});
      case 3:
        return postgres::error(postgres::Severity::error, "40001", "text");
      case 4:
        return postgres::command_complete("SELECT 1");
      case 5: {
        const std::string value = random_.bytes(random_.below(12));
        return message_bytes('D', big_endian(1, 2) + big_endian(static_cast<int>(value.size()), 4) + value);
      }
      case 6:
        return message_bytes('T', big_endian(1, 2) + std::string("v\0", 2) + random_.bytes(18));
      case 7: {
        const int code = random_.one_in(2) ? 80877102 : 80877103;
        const std::string body = big_endian(code, 4) + random_.bytes(random_.one_in(3) ? 4 : 8);
        return big_endian(static_cast<int>(body.size()) + 4, 4) + body;
      }
      case 8:
        return message_bytes('S', std::string("a\0b\0", 4));
      default: {
        const char type = types[random_.below(static_cast<int>(sizeof types))];
        return message_bytes(type, random_.bytes(random_.below(12)));
      }
    }
  }
  void check_random_message() {
    std::string bytes = random_message();
    if (random_.one_in(3)) {
      bytes += random_message();
    }
    if (random_.one_in(2)) {
      bytes = random_.mutated(bytes);
    }
    digest_.comment(digests::hex(bytes));
    add(postgres::read_from_client(bytes));
    add(postgres::read_from_server(bytes));
    add(postgres::read_startup(bytes));
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

  std::string random_statement() {
    const std::string key = fmt::format("k{}", random_.below(100));
    std::string text = "SELECT v FROM records WHERE k = '" + key + "' /* ";
    if (random_.one_in(2)) {
      const std::string value = digests::hex(random_.bytes(random_.below(5)));
      text = "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + value + "') RETURNING v /* ";
    }
    std::vector<std::string> items{
        fmt::format("id=op-{}", random_.below(1000)), fmt::format("c=type{}", random_.below(3)),
        fmt::format("d={}", random_.below(3000)), fmt::format("cluster={}", random_.below(9))};
    if (random_.one_in(3)) {
      items.push_back(fmt::format("after={}.25", random_.below(100000)));
    }
    if (random_.one_in(3)) {
      items.push_back(fmt::format("k=token{}", random_.below(9)));
    }
    if (random_.one_in(3)) {
      items.push_back(fmt::format("r={}", random_.between(1, 2)));
    }
    if (random_.one_in(12)) {
      items.push_back(fmt::format("d={}", random_.below(9)));
    }
    if (random_.one_in(12)) {
      items.push_back("other=1");
    }
    if (random_.one_in(8)) {
      items.erase(items.begin() + random_.below(static_cast<int>(items.size())));
    }
    if (random_.one_in(4)) {
      std::swap(items.front(), items.back());
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
      text += (i > 0 ? "," : "") + items[i];
    }
    return text + " */";
  }
  void check_random_statement() {
    std::string text = random_statement();
    if (random_.one_in(2)) {
      text = random_.mutated(text);
    }
    digest_.add("word " + postgres::first_word(text));
    const auto read = postgres::read_statement(text);
    if (const auto* fault = std::get_if<postgres::Fault>(&read)) {
      return digest_.add("fault " + fault->code);
    }
    const auto& statement = std::get<postgres::Statement>(read);
    digest_.add(fmt::format("{} {} {} {} {:.3f} {} {:.3f} {} {} {} {}", statement.writes, statement.id,
                            statement.request_class, statement.key, statement.remaining, statement.group,
                            statement.position, statement.token, statement.is_retry,
                            statement.remaining_span.at, statement.remaining_span.size));
    const int remaining = random_.below(90000);
    const postgres::QueryParts parts =
        postgres::query_parts(text, statement.remaining_span, 0.25 * remaining);
    const std::string query = parts.head + std::string(parts.statement) + parts.tail;
    const auto message = std::get<postgres::Message>(postgres::read_from_client(query));
    digest_.add(digests::hex(message.body.substr(0, message.body.size() - 1)));
    const auto [name, value] = postgres::name_and_value(std::string_view(text).substr(text.rfind(',') + 1));
    digest_.add(fmt::format("{} / {}", digests::hex(name), digests::hex(value)));
    const int integer = random_.below(100);
    const int exponent = random_.below(3);
    const std::string number_text = random_.mutated(fmt::format("{}.5e{}", integer, exponent));
    digest_.add(fmt::format("{:.3f}", postgres::parse_number(number_text).value_or(-1)));
  }

  void check_pending_replies() {
    MemoryBudget budget(3000);
    MemoryBudget ample(1 << 30);  // for replies that are not queued yet, and for the records
    proxy::PendingReplies pending(budget, ample);
    std::uint64_t last_request = 0;
    for (int number = 0; number < kReplyCommands; ++number) {
      const int kind = random_.below(8);
      if (kind == 0) {
        pending.add_complete(fmt::format("at once {}", number));
      }
      if (kind == 1 || kind == 2) {
        pending.add_request({++last_request});
      }
      if (kind == 3 && random_.one_in(3)) {
        pending.add_readiness();
      }
      if (kind == 4) {
        pending.complete_readiness(fmt::format("ready {}", number));
      }
      if (kind > 4 && last_request > 0) {
        const int distance = random_.below(12);
        RequestId request{last_request -
                          std::min<std::uint64_t>(last_request, static_cast<std::uint64_t>(distance))};
        const std::vector<RequestId> open = pending.open_requests();
        if (open.size() > 6) {
          request = open.front();
        }
        const auto size = static_cast<std::size_t>(random_.below(1500));
        net::ChargedText bytes(ample);
        if (!bytes.append(std::string(size, 'x') + fmt::format("{}", number))) {
          return;
        }
        pending.complete(request, std::move(bytes), "instead");
      }
      if (random_.one_in(2)) {
        std::string taken;
        for (const proxy::PendingReplies::Outgoing& reply : pending.take_complete()) {
          taken += reply.bytes.text();
        }
        digest_.add(digests::hex(taken));
      }
      digest_.add(fmt::format("{} {}", pending.size(), pending.empty()));
      for (const RequestId& open : pending.open_requests()) {
        digest_.add(fmt::format("open {}", open.number));
      }
    }
  }
  void check_arrival_bound() {
    Millis now = 1000;
    proxy::ArrivalBound bound(now);
    for (int turn = 0; turn < kLoopTurns; ++turn) {
      now += random_.below(random_.one_in(9) ? 200 : 5);
      if (bound.marker_wanted() && !random_.one_in(5)) {
        bound.marker_sent(now);
      }
      if (random_.one_in(3)) {
        bound.none_ready(now - random_.below(4));
      }
      if (random_.one_in(3)) {
        bound.sleeps(now, now + random_.below(40));
        now += random_.below(60);
        bound.wakes(now);
      }
      digest_.add(fmt::format("{} {:.3f}", bound.marker_wanted(), bound.earliest(now)));
      if (random_.one_in(2)) {
        bound.marker_returned();
      }
    }
  }

  digests::RandomSource random_;
  digests::Digest digest_;
};

}  // namespace

int main(int argument_count, char** arguments) { digests::run_seeds<Sequence>(argument_count, arguments, 5); }
