// The calls to discovery and the table of servers, beside plain models, over drawn sequences.
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/list_reader.hpp"
#include "discovery/poller.hpp"
#include "discovery/server_table.hpp"
#include "settings/settings.hpp"

using namespace reedspindle;
using namespace reedspindle::discovery;

namespace {

constexpr Millis kCountsAsTold =
    6000;  // after discovery had a change and could be reached: the platform's rule
constexpr Millis kStep = 10;

// TestDiscovery as a poller meets it. What it does with a call is decided when the call comes; one that it
// takes while it is silent is never answered.
struct Service {
  enum class Manner { answers, silent, refuses, turns_away, slow };
  Manner manner = Manner::answers;
  long long revision = 1;
  struct Open {
    SendPoll call;
    Millis asked = 0;
    Manner manner = Manner::answers;
    std::optional<Millis> done;  // its answer has come whole
  };
  std::unique_ptr<Open> call;
};

// A change is there and discovery has been reachable without a break since `since`: how long may it still
// take?
bool every_change_arrives_in_time() {
  return rc::check("a change is known 6 s after discovery had it and could be reached", [] {
    Poller poller(*rc::gen::inRange<std::uint64_t>(1, 100000));
    Service service;
    poller.enqueue(StartPolling{});
    Millis now = 0;
    Millis reachable_since = 0;
    std::map<long long, Millis> changed_at{{1, 0}};
    Millis second = 0;
    int calls_for_nothing = 0;  // in a second: failed, or with no news
    const auto for_nothing = [&] {
      if (now - second >= 1000) {
        second = now, calls_for_nothing = 0;
      }
      ++calls_for_nothing;
    };
    const int steps = *rc::gen::inRange(500, 4000);
    Millis next_change = *rc::gen::inRange(0, 4000);
    Millis next_manner = *rc::gen::inRange(0, 4000);
    for (int step = 0; step < steps; ++step, now += kStep) {
      if (now >= next_change) {
        changed_at[++service.revision] = now;
        next_change = now + *rc::gen::inRange(10, 6000);
      }
      if (now >= next_manner) {
        const auto before = service.manner;
        service.manner = static_cast<Service::Manner>(*rc::gen::inRange(0, 5));
        const auto reachable = [](Service::Manner manner) {
          return manner == Service::Manner::answers || manner == Service::Manner::slow;
        };
        if (reachable(service.manner) && !reachable(before)) {
          reachable_since = now;
        }
        if (!reachable(service.manner)) {
          reachable_since = 1e18;
        }
        next_manner = now + *rc::gen::inRange(100, 12000);
      }
      if (*rc::gen::inRange(0, 2000) == 0) {
        poller.enqueue(FullListRequested{});
      }
      if (Service::Open* const open = service.call.get()) {
        using Manner = Service::Manner;
        const bool news = !open->call.since || *open->call.since < service.revision;
        const bool due = news || now >= open->asked + open->call.wait;
        if (open->manner == Manner::refuses || open->manner == Manner::turns_away) {
          service.call.reset();
          for_nothing();
          poller.enqueue(PollFailed{"no", false});
        } else if (open->manner != Manner::silent && due) {
          const Millis takes = open->manner == Manner::slow ? 1500 : 20;
          if (!open->done) {
            open->done = now + takes;
          }
          poller.enqueue(BytesReceived{64 * 1024});
          if (now >= *open->done) {
            const bool whole = !open->call.since;
            if (!news) {
              for_nothing();
            }
            service.call.reset();
            poller.enqueue(ResponseCompleted{});
            poller.enqueue(ListApplied{service.revision, whole});
          }
        }
      }
      for (const PollDecision& decision : poller.process(now)) {
        if (const auto* call = std::get_if<SendPoll>(&decision)) {
          RC_ASSERT(!service.call);
          service.call = std::make_unique<Service::Open>(*call, now, service.manner, std::nullopt);
        }
        if (std::holds_alternative<AbortPoll>(decision)) {
          service.call.reset();
        }
      }
      RC_ASSERT(calls_for_nothing <= 12);
      for (const auto& [revision, at] : changed_at) {
        if (now - std::max(at, reachable_since) > kCountsAsTold) {
          RC_ASSERT(poller.revision() >= revision);
        }
      }
      while (changed_at.size() > 1 && changed_at.begin()->first <= poller.revision()) {
        changed_at.erase(changed_at.begin());
      }
    }
  });
}

ListedEndpoint server(int number, ServerState state, int size) {
  ListedEndpoint one;
  one.entry.id = {fmt::format("s{}", number)};
  one.entry.state = state;
  one.entry.relative_capacity = size;
  return one;
}

using View = std::map<std::string, std::pair<ServerState, double>>;

void apply(View& view, const ListedEndpoint& row) {
  view[row.entry.id.address] = {row.entry.state, row.entry.relative_capacity};
  if (row.entry.state == ServerState::gone) {
    view.erase(row.entry.id.address);
  }
}

bool table_follows_lists() {
  return rc::check("what the table hands on makes the lists that ended, and of others just what leaves", [] {
    ServerTable table(1000);
    View held;
    View wanted;
    const int lists = *rc::gen::inRange(1, 12);
    for (int list = 0; list < lists; ++list) {
      const bool whole = *rc::gen::arbitrary<bool>();
      const bool ends = *rc::gen::inRange(0, 4) > 0;
      table.begin_list();
      View next = whole ? View{} : wanted;
      View leaving = wanted;
      const int rows = *rc::gen::inRange(0, 12);
      for (int number = 0; number < 12; ++number) {
        if (*rc::gen::inRange(0, 12) >= rows) {
          continue;
        }
        const auto state = static_cast<ServerState>(*rc::gen::inRange(0, whole ? 2 : 3));
        const ListedEndpoint row = server(number, state, *rc::gen::inRange(1, 3));
        apply(next, row);
        if (const auto known = leaving.find(row.entry.id.address);
            known != leaving.end() && state != ServerState::ready) {
          known->second.first = state;
          if (state == ServerState::gone) {
            leaving.erase(known);
          }
        }
        if (const auto now = table.add(row)) {
          RC_ASSERT(now->entry.state != ServerState::ready);
          apply(held, *now);
        }
      }
      if (ends) {
        table.end_list(whole);
      }
      while (table.has_changes()) {
        const auto part = table.next_changes(3);
        RC_ASSERT(!part.empty() && part.size() <= 3);
        for (const ListedEndpoint& row : part) {
          apply(held, row);
        }
      }
      wanted = ends ? next : leaving;
      RC_ASSERT(held == wanted);
    }
  });
}

bool reading_in_pieces() {
  const config::NameTable names;
  return rc::check("a list reads the same however its bytes are cut, and its prefixes are no lists",
                   [&names] {
                     std::string text = R"({"rev": 7, "all": true, "more": [{"x": [1, null]}], "targets": [)";
                     const int rows = *rc::gen::inRange(0, 6);
                     for (int row = 0; row < rows; ++row) {
                       text += fmt::format(
                           "{}{{\"uid\": \"s{}\",\n  \"endpoint\": \"10.0.0.1:{}\", \"pod_group\": {}, "
                           "\"state\": \"active\"}}",
                           row ? "," : "", row, 1000 + row, row);
                     }
                     text += "]}";
                     std::vector<std::string> read;
                     ListReader reader(names, [&read](ListedEndpoint row, const ListReader::Head& head) {
                       RC_ASSERT(head.revision == 7);
                       read.push_back(row.entry.id.address);
                     });
                     std::size_t at = 0;
                     while (at < text.size()) {
                       const auto piece = *rc::gen::inRange<std::size_t>(1, 40);
                       reader.read(std::string_view(text).substr(at, piece));
                       at += piece;
                     }
                     RC_ASSERT(reader.finish().revision == 7);
                     RC_ASSERT(read.size() == static_cast<std::size_t>(rows));
                     const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
                     RC_ASSERT_THROWS_AS(parse_endpoint_list(text.substr(0, cut), names), InvalidInput);
                   });
}

}  // namespace

int main() {
  const bool held[] = {every_change_arrives_in_time(), table_follows_lists(), reading_in_pieces()};
  return held[0] && held[1] && held[2] ? 0 : 1;
}
