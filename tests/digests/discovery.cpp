// Plays random outcomes of calls to the poller, random and mutated endpoint lists in random chunks to the
// list reader, and random rows to the server table, and prints a digest of their decisions. Texts of failures
// are left out.
#include <optional>
#include <variant>

#include "config/instance_config.hpp"
#include "digest.hpp"
#include "discovery/list_reader.hpp"
#include "discovery/poller.hpp"
#include "discovery/server_table.hpp"
#include "settings/settings.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::discovery;

constexpr int kSteps = 20000;
constexpr int kLists = 1500;

class Sequence {
 public:
  Sequence(unsigned seed, bool print_lines)
      : random_(seed), digest_(print_lines), poller_(seed, polled_timing()), table_(14) {
    names_.zones = {{"z0", {0}}, {"z1", {1}}};
    names_.kinds = {{"small", 0}, {"large", 1}};
  }

  std::string play() {
    poller_.enqueue(StartPolling{});
    for (int step = 0; step < kSteps; ++step) {
      now_ += random_.below(60);
      add_random_event();
      for (const PollDecision& decision : poller_.process(now_)) {
        std::visit([this](const auto& item) { add(item); }, decision);
      }
      if (step % 50 == 0) {
        digest_.add(fmt::format("{} {}", poller_.poll_in_flight(), poller_.revision()));
      }
    }
    for (int list = 0; list < kLists; ++list) {
      if (random_.one_in(2)) {
        check_list(random_list());
      } else {
        check_list(random_.mutated(random_list()));
      }
    }
    return digest_.text();
  }

 private:
  void add_random_event() {
    const int kind = random_.below(400);
    if (kind == 0) {
      poller_.enqueue(AddressChanged{});
    } else if (kind == 1) {
      poller_.enqueue(FullListRequested{});
    } else if (kind == 2) {
      poller_.enqueue(StopPolling{});
    } else if (kind < 20) {
      poller_.enqueue(StartPolling{});
    } else if (poller_.poll_in_flight() && kind < 60) {
      poller_.enqueue(BytesReceived{last_poll_, static_cast<std::size_t>(random_.below(40000))});
    } else if (poller_.poll_in_flight() && kind < 90) {
      if (random_.one_in(3)) {
        ++revision_;
      }
      poller_.enqueue(ResponseCompleted{last_poll_});
      list_in_progress_ = true;
    } else if (list_in_progress_ && kind < 200) {
      const bool complete = random_.one_in(3);
      poller_.enqueue(ListApplied{last_poll_, revision_, complete});
      list_in_progress_ = false;
    } else if (poller_.poll_in_flight() && kind < 230 && random_.one_in(2)) {
      poller_.enqueue(PollFailed{last_poll_, "no", random_.one_in(4)});
      list_in_progress_ = false;
    }
  }
  void add(const SendPoll& poll) {
    last_poll_ = poll.id;
    digest_.add(fmt::format("{} call {} {:.3f}", now_, poll.since.value_or(-1), poll.wait));
  }
  void add(const AbortPoll& /*unused*/) { digest_.add(fmt::format("{} give up", now_)); }
  void add(const AbortAllPolls& /*unused*/) { digest_.add(fmt::format("{} give up", now_)); }
  void add(const ReportRecovery& /*unused*/) {}  // earlier versions did not report it
  void add(const ReportFailure& failure) {
    digest_.add(fmt::format("{} failed {} {:.3f}", now_, failure.consecutive_failures, failure.retry_in));
  }
  void add(const RequestWakeup& wakeup) { digest_.add(fmt::format("{} wake {:.3f}", now_, wakeup.at)); }

  std::string random_row() {
    const char* const states[] = {"active", "active", "active", "leaving", "left"};
    const int number = random_.below(18);
    const int state = random_.below(5);
    std::string row =
        fmt::format(R"({{"uid": "s{}", "endpoint": "10.0.0.{}:{}", "pod_group": {}, "state": "{}")", number,
                    number, 6000 + number, number % 4, states[state]);
    if (random_.one_in(2)) {
      row += fmt::format(R"(, "az": "z{}")", number % 3);
    }
    if (random_.one_in(2)) {
      row += fmt::format(R"(, "model": "{}")", number % 2 == 0 ? "small" : "large");
    }
    if (random_.one_in(3)) {
      row += fmt::format(R"(, "capacity_hint": {}.5)", random_.below(4));
    }
    if (random_.one_in(3)) {
      row += fmt::format(R"(, "boot_ms": {})", 1767225600000 + random_.below(100000));
    }
    if (random_.one_in(3)) {
      row += fmt::format(R"(, "rank": "{}")", random_.one_in(2) ? "source" : "copy");
    }
    if (random_.one_in(6)) {
      row += R"(, "more": {"deep": [1, {"uid": null}, "\u00e9"]})";
    }
    return row + "}";
  }
  std::string random_list() {
    const int revision = random_.below(100);
    const bool complete = random_.one_in(2);
    std::string head = fmt::format(R"("rev": {}, "all": {})", revision, complete);
    std::string rows;
    const int count = random_.below(8);
    for (int row = 0; row < count; ++row) {
      if (row > 0) {
        rows += ", ";
      }
      rows += random_row();
    }
    const std::string targets = fmt::format(R"("targets": [{}])", rows);
    if (random_.one_in(8)) {
      return "{" + targets + ", " + head + "}";
    }
    if (random_.one_in(12)) {
      return "{" + targets + "}";
    }
    if (random_.one_in(8)) {
      head += R"(, "note": [[], {}, null, true, -1.5e3])";
    }
    return "{" + head + ", " + targets + "}";
  }
  static std::string text_of(const ListedEndpoint& listed) {
    const ServerEntry& entry = listed.entry;
    return fmt::format("{} {} {} {} {} {:.3f} {:.3f} {} {} {}", digests::hex(entry.id.address),
                       entry.zone.number, entry.kind, entry.group.number, static_cast<int>(entry.state),
                       entry.relative_capacity, entry.started_at, entry.primary, digests::hex(listed.zone),
                       config::format_endpoint(listed.endpoint));
  }
  // Reads a list in random chunks, adds its rows and what the table hands out for it, and reads it again as a
  // whole.
  void check_list(const std::string& text) {
    const DraftId draft = table_.begin_list();
    try {
      ListReader reader(names_, [this, draft](ListedEndpoint row, const ListReader::Head& head) {
        digest_.add(fmt::format("row {} {}: {}", head.revision.value_or(-1),
                                head.complete ? static_cast<int>(*head.complete) : -1, text_of(row)));
        const auto immediate = table_.add(draft, std::move(row));
        if (immediate) {
          digest_.add("at once " + text_of(*immediate));
        }
      });
      std::size_t offset = 0;
      while (offset < text.size()) {
        const auto chunk_size = static_cast<std::size_t>(random_.between(1, 60));
        reader.read(std::string_view(text).substr(offset, chunk_size));
        offset += chunk_size;
      }
      const ListReader::Head head = reader.finish();
      digest_.add(fmt::format("list {} {}", *head.revision, *head.complete));
      table_.end_list(draft, *head.complete);
    } catch (const InvalidInput&) {
      table_.discard(draft);
      digest_.add("no list");
    }
    while (table_.has_changes()) {
      const auto rows = static_cast<std::size_t>(random_.between(1, 5));
      for (const ListedEndpoint& listed : table_.next_changes(rows)) {
        digest_.add("part " + text_of(listed));
      }
      digest_.add("part ends");
      if (random_.one_in(6)) {
        break;
      }
    }
    digest_.add(fmt::format("table {} {}", table_.size(), table_.skipped(draft)));
    try {
      const net::EndpointList list = parse_endpoint_list(text, names_);
      digest_.add(fmt::format("whole {} {} {} {}", static_cast<int>(list.kind), list.revision,
                              list.servers.size(), list.last));
    } catch (const InvalidInput&) {
      digest_.add("not whole");
    }
  }

  digests::RandomSource random_;
  digests::Digest digest_;
  Poller poller_;
  ServerTable table_;
  config::NameTable names_;
  Millis now_ = 1000;
  PollId last_poll_;
  long long revision_ = 1;
  bool list_in_progress_ = false;
};

}  // namespace

int main(int argument_count, char** arguments) {
  digests::run_seeds<Sequence>(argument_count, arguments, 10);
}
