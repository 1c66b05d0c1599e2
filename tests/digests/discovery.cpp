// Plays drawn outcomes of calls to the poller, drawn and mutated lists in drawn pieces to the reader, and
// drawn rows to the table of servers; prints a digest of what they decide. Reasons are left out.
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
  Sequence(unsigned seed, bool prints) : draws_(seed), digest_(prints), poller_(seed), table_(14) {
    catalogue_.zones = {{"z0", {0}}, {"z1", {1}}};
    catalogue_.kinds = {{"small", 0}, {"large", 1}};
  }

  std::string play() {
    poller_.note(Watch{});
    for (int step = 0; step < kSteps; ++step) {
      now_ += draws_.below(60);
      call_event();
      for (const PollDecision& decision : poller_.settle(now_)) {
        std::visit([this](const auto& one) { add(one); }, decision);
      }
      if (step % 50 == 0) {
        digest_.add(fmt::format("{} {}", poller_.calling(), poller_.revision()));
      }
    }
    for (int list = 0; list < kLists; ++list) {
      if (draws_.one_in(2)) {
        read(drawn_list());
      } else {
        read(draws_.mutated(drawn_list()));
      }
    }
    return digest_.text();
  }

 private:
  void call_event() {
    const int kind = draws_.below(400);
    if (kind == 0) {
      poller_.note(Moved{});
    } else if (kind == 1) {
      poller_.note(Doubted{});
    } else if (kind == 2) {
      poller_.note(Stopped{});
    } else if (kind < 20) {
      poller_.note(Watch{});
    } else if (poller_.calling() && kind < 60) {
      poller_.note(BytesCame{static_cast<std::size_t>(draws_.below(40000))});
    } else if (poller_.calling() && kind < 90) {
      if (draws_.one_in(3)) {
        ++revision_;
      }
      poller_.note(AnswerWhole{});
      handing_on_ = true;
    } else if (handing_on_ && kind < 200) {
      const bool whole = draws_.one_in(3);
      poller_.note(ListTaken{revision_, whole});
      handing_on_ = false;
    } else if (poller_.calling() && kind < 230 && draws_.one_in(2)) {
      poller_.note(CallFailed{"no", draws_.one_in(4)});
      handing_on_ = false;
    }
  }
  void add(const Call& call) {
    digest_.add(fmt::format("{} call {} {:.3f}", now_, call.since.value_or(-1), call.wait));
  }
  void add(const GiveUpCall& /*unused*/) { digest_.add(fmt::format("{} give up", now_)); }
  void add(const TellFailure& failure) {
    digest_.add(fmt::format("{} failed {} {:.3f}", now_, failure.in_a_row, failure.next_in));
  }
  void add(const RequestWakeup& wanted) { digest_.add(fmt::format("{} wake {:.3f}", now_, wanted.at)); }

  std::string drawn_row() {
    const char* const states[] = {"active", "active", "active", "leaving", "left"};
    const int number = draws_.below(18);
    const int state = draws_.below(5);
    std::string row =
        fmt::format(R"({{"uid": "s{}", "endpoint": "10.0.0.{}:{}", "pod_group": {}, "state": "{}")", number,
                    number, 6000 + number, number % 4, states[state]);
    if (draws_.one_in(2)) {
      row += fmt::format(R"(, "az": "z{}")", number % 3);
    }
    if (draws_.one_in(2)) {
      row += fmt::format(R"(, "model": "{}")", number % 2 == 0 ? "small" : "large");
    }
    if (draws_.one_in(3)) {
      row += fmt::format(R"(, "capacity_hint": {}.5)", draws_.below(4));
    }
    if (draws_.one_in(3)) {
      row += fmt::format(R"(, "boot_ms": {})", 1767225600000 + draws_.below(100000));
    }
    if (draws_.one_in(3)) {
      row += fmt::format(R"(, "rank": "{}")", draws_.one_in(2) ? "source" : "copy");
    }
    if (draws_.one_in(6)) {
      row += R"(, "more": {"deep": [1, {"uid": null}, "\u00e9"]})";
    }
    return row + "}";
  }
  std::string drawn_list() {
    const int revision = draws_.below(100);
    const bool whole = draws_.one_in(2);
    std::string head = fmt::format(R"("rev": {}, "all": {})", revision, whole);
    std::string rows;
    const int count = draws_.below(8);
    for (int row = 0; row < count; ++row) {
      if (row > 0) {
        rows += ", ";
      }
      rows += drawn_row();
    }
    const std::string targets = fmt::format(R"("targets": [{}])", rows);
    if (draws_.one_in(8)) {
      return "{" + targets + ", " + head + "}";
    }
    if (draws_.one_in(12)) {
      return "{" + targets + "}";
    }
    if (draws_.one_in(8)) {
      head += R"(, "note": [[], {}, null, true, -1.5e3])";
    }
    return "{" + head + ", " + targets + "}";
  }
  static std::string text_of(const ListedEndpoint& one) {
    const ServerEntry& entry = one.entry;
    return fmt::format("{} {} {} {} {} {:.3f} {:.3f} {} {} {}", digests::hex(entry.id.address),
                       entry.zone.number, entry.kind, entry.group.number, static_cast<int>(entry.state),
                       entry.relative_capacity, entry.started_at, entry.primary, digests::hex(one.zone),
                       config::text_of(one.endpoint));
  }
  void read(const std::string& text) {
    table_.begin();
    try {
      ListReader reader(catalogue_, [this](ListedEndpoint row, const ListReader::Head& head) {
        digest_.add(fmt::format("row {} {}: {}", head.revision.value_or(-1),
                                head.whole ? static_cast<int>(*head.whole) : -1, text_of(row)));
        const auto counts = table_.take(std::move(row));
        if (counts) {
          digest_.add("at once " + text_of(*counts));
        }
      });
      std::size_t at = 0;
      while (at < text.size()) {
        const auto piece = static_cast<std::size_t>(draws_.between(1, 60));
        reader.read(std::string_view(text).substr(at, piece));
        at += piece;
      }
      const ListReader::Head head = reader.finish();
      digest_.add(fmt::format("list {} {}", *head.revision, *head.whole));
      table_.end(*head.whole);
    } catch (const InvalidInput&) {
      digest_.add("no list");
    }
    while (table_.has_parts()) {
      const auto rows = static_cast<std::size_t>(draws_.between(1, 5));
      for (const ListedEndpoint& one : table_.next_part(rows)) {
        digest_.add("part " + text_of(one));
      }
      digest_.add("part ends");
      if (draws_.one_in(6)) {
        break;
      }
    }
    digest_.add(fmt::format("table {} {}", table_.size(), table_.left_out()));
    try {
      const net::EndpointList list = read_list(text, catalogue_);
      digest_.add(fmt::format("whole {} {} {} {}", static_cast<int>(list.kind), list.revision,
                              list.servers.size(), list.last));
    } catch (const InvalidInput&) {
      digest_.add("not whole");
    }
  }

  digests::Draws draws_;
  digests::Digest digest_;
  Poller poller_;
  ServerTable table_;
  config::NameTable catalogue_;
  Millis now_ = 1000;
  long long revision_ = 1;
  bool handing_on_ = false;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 10); }
