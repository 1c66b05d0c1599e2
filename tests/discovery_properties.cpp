// Property tests of the poller, the server table and the list reader, which are compared with simple models
// over random sequences.
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

constexpr Millis kDelayLimit = 6000;  // after discovery had a change and was reachable: the platform's rule
constexpr Millis kStep = 10;

// Model of discovery. Its behavior when a poll arrives determines how it handles that poll: a poll that
// arrives while it is silent is never answered.
struct Service {
  enum class Behavior { answers, silent, refuses, rejects, slow };
  Behavior behavior = Behavior::answers;
  long long revision = 1;
  struct Poll {
    SendPoll request;
    Millis sent_at = 0;
    Behavior behavior = Behavior::answers;
    std::optional<Millis> completed_at;  // when its response is complete
  };
  std::unique_ptr<Poll> poll;
};

// A change has to be known kDelayLimit after it is there and discovery has been reachable without a break.
// The number of useless polls per second is limited.
bool changes_arrive_in_time() {
  return rc::check("a change is known 6 s after discovery had it and was reachable", [] {
    Poller poller(*rc::gen::inRange<std::uint64_t>(1, 100000));
    Service service;
    poller.enqueue(StartPolling{});
    Millis now = 0;
    Millis reachable_since = 0;
    std::map<long long, Millis> changed_at{{1, 0}};
    Millis second_start = 0;
    int useless_polls = 0;  // in the current second: failed, or without a change
    const auto count_useless = [&] {
      if (now - second_start >= 1000) {
        second_start = now, useless_polls = 0;
      }
      ++useless_polls;
    };
    const int steps = *rc::gen::inRange(500, 4000);
    Millis next_change = *rc::gen::inRange(0, 4000);
    Millis next_behavior = *rc::gen::inRange(0, 4000);
    for (int step = 0; step < steps; ++step, now += kStep) {
      if (now >= next_change) {
        changed_at[++service.revision] = now;
        next_change = now + *rc::gen::inRange(10, 6000);
      }
      if (now >= next_behavior) {
        const auto before = service.behavior;
        service.behavior = static_cast<Service::Behavior>(*rc::gen::inRange(0, 5));
        const auto reachable = [](Service::Behavior behavior) {
          return behavior == Service::Behavior::answers || behavior == Service::Behavior::slow;
        };
        if (reachable(service.behavior) && !reachable(before)) {
          reachable_since = now;
        }
        if (!reachable(service.behavior)) {
          reachable_since = 1e18;
        }
        next_behavior = now + *rc::gen::inRange(100, 12000);
      }
      if (*rc::gen::inRange(0, 2000) == 0) {
        poller.enqueue(FullListRequested{});
      }
      if (Service::Poll* const poll = service.poll.get()) {
        using Behavior = Service::Behavior;
        const bool has_change = !poll->request.since || *poll->request.since < service.revision;
        const bool due = has_change || now >= poll->sent_at + poll->request.wait;
        if (poll->behavior == Behavior::refuses || poll->behavior == Behavior::rejects) {
          service.poll.reset();
          count_useless();
          poller.enqueue(PollFailed{"no", false});
        } else if (poll->behavior != Behavior::silent && due) {
          const Millis takes = poll->behavior == Behavior::slow ? 1500 : 20;
          if (!poll->completed_at) {
            poll->completed_at = now + takes;
          }
          poller.enqueue(BytesReceived{64 * 1024});
          if (now >= *poll->completed_at) {
            const bool complete = !poll->request.since;
            if (!has_change) {
              count_useless();
            }
            service.poll.reset();
            poller.enqueue(ResponseCompleted{});
            poller.enqueue(ListApplied{service.revision, complete});
          }
        }
      }
      for (const PollDecision& decision : poller.process(now)) {
        if (const auto* send = std::get_if<SendPoll>(&decision)) {
          RC_ASSERT(!service.poll);
          service.poll = std::make_unique<Service::Poll>(*send, now, service.behavior, std::nullopt);
        }
        if (std::holds_alternative<AbortPoll>(decision)) {
          service.poll.reset();
        }
      }
      RC_ASSERT(useless_polls <= 12);
      for (const auto& [revision, at] : changed_at) {
        if (now - std::max(at, reachable_since) > kDelayLimit) {
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

bool table_matches_lists() {
  return rc::check("finished lists are returned as changes, unfinished ones only as leaving servers", [] {
    ServerTable table(1000);
    View actual;
    View expected;
    const int lists = *rc::gen::inRange(1, 12);
    for (int list = 0; list < lists; ++list) {
      const bool complete = *rc::gen::arbitrary<bool>();
      const bool completes = *rc::gen::inRange(0, 4) > 0;
      table.begin_list();
      View next = complete ? View{} : expected;
      View leaving = expected;
      const int rows = *rc::gen::inRange(0, 12);
      for (int number = 0; number < 12; ++number) {
        if (*rc::gen::inRange(0, 12) >= rows) {
          continue;
        }
        const auto state = static_cast<ServerState>(*rc::gen::inRange(0, complete ? 2 : 3));
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
          apply(actual, *now);
        }
      }
      if (completes) {
        table.end_list(complete);
      }
      while (table.has_changes()) {
        const auto part = table.next_changes(3);
        RC_ASSERT(!part.empty() && part.size() <= 3);
        for (const ListedEndpoint& row : part) {
          apply(actual, row);
        }
      }
      expected = completes ? next : leaving;
      RC_ASSERT(actual == expected);
    }
  });
}

bool list_parses_in_pieces() {
  const config::NameTable names;
  return rc::check("a list parses the same however its bytes are split, and its prefixes are rejected",
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
  const bool passed[] = {changes_arrive_in_time(), table_matches_lists(), list_parses_in_pieces()};
  return passed[0] && passed[1] && passed[2] ? 0 : 1;
}
