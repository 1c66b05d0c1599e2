// Property tests of the poller, the server table and the list reader, which are compared with simple models
// over random sequences.
#include <fmt/format.h>
#include <rapidcheck.h>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery/list_reader.hpp"
#include "discovery/poller.hpp"
#include "discovery/server_table.hpp"
#include "settings/settings.hpp"

using namespace reedspindle;
using namespace reedspindle::discovery;

namespace {

constexpr Millis kDelayLimit = 6000;  // after discovery had a change and was reachable: the platform's rule

// Model of discovery. How it fails when a poll arrives determines how it handles that poll.
enum class Behavior { answers, late, hangs, holds, refuses, rejects, half, trickles };
constexpr int kBehaviors = 8;

class Service {
 public:
  explicit Service(Poller& poller) : poller_(poller) {}

  void set_behavior(Behavior behavior) {
    behavior_ = behavior;
    for (Poll& poll : polls_) {
      if (poll.behavior == Behavior::holds && behavior != Behavior::holds) {
        poll.behavior = behavior;  // held until now
      }
      if (poll.behavior == Behavior::answers && behavior != Behavior::answers) {
        poll.behavior =
            behavior == Behavior::refuses || behavior == Behavior::holds ? behavior : Behavior::hangs;
      }
    }
  }
  [[nodiscard]] Behavior behavior() const { return behavior_; }

  void accept(const SendPoll& request, Millis now) {
    polls_.push_back({request, now, behavior_, latency, {}, 0});
  }
  void abort(std::optional<PollId> id) {
    std::erase_if(polls_, [id](const Poll& poll) { return !id || poll.request.id == *id; });
  }
  [[nodiscard]] std::size_t open() const { return polls_.size(); }

  void run(Millis now) {
    std::erase_if(polls_, [&](Poll& poll) { return handle(poll, now); });
  }

  long long revision = 1;
  Millis latency = 0;      // of responses that come late
  Millis answer_time = 0;  // of other responses
  int useless = 0;         // responses without a change, and failures

 private:
  struct Poll {
    SendPoll request;
    Millis sent_at = 0;
    Behavior behavior = Behavior::answers;
    Millis latency = 0;
    std::optional<long long> response;  // the revision that it states
    Millis complete_at = 0;
  };

  // Returns whether the poll has ended.
  bool handle(Poll& poll, Millis now) {
    const PollId id = poll.request.id;
    switch (poll.behavior) {
      case Behavior::hangs:
      case Behavior::holds:
        return false;
      case Behavior::refuses:
        return fail(id);
      case Behavior::rejects:
        return now >= poll.sent_at + answer_time && fail(id);
      case Behavior::half:
        if (!std::exchange(poll.response, revision)) {
          poller_.enqueue(BytesReceived{id, 20000});
        }
        return false;
      case Behavior::trickles:
        poller_.enqueue(BytesReceived{id, 1});
        return false;
      case Behavior::answers:
      case Behavior::late:
        return answer(poll, now);
    }
    return false;
  }

  bool fail(PollId id) {
    poller_.enqueue(PollFailed{id, "no", false});
    ++useless;
    return true;
  }

  bool answer(Poll& poll, Millis now) {
    const bool has_change = !poll.request.since || *poll.request.since < revision;
    if (!poll.response) {
      if (!has_change && now < poll.sent_at + poll.request.wait) {
        return false;
      }
      poll.response = revision;
      poll.complete_at = now + (poll.behavior == Behavior::late ? poll.latency : answer_time);
    }
    if (now < poll.complete_at) {
      return false;
    }
    const PollId id = poll.request.id;
    poller_.enqueue(BytesReceived{id, 200});
    if (poller_.is_outdated(id, *poll.response)) {
      poller_.enqueue(ListDiscarded{id});
      return true;
    }
    useless += *poll.response == poller_.revision() ? 1 : 0;
    poller_.enqueue(ResponseCompleted{id});
    poller_.enqueue(ListApplied{id, *poll.response, !poll.request.since});
    return true;
  }

  Poller& poller_;
  Behavior behavior_ = Behavior::answers;
  std::list<Poll> polls_;
};

struct Limits {
  Millis step = 10;
  Millis answering = kDelayLimit;   // until a change is known while discovery answers at once
  Millis responding = kDelayLimit;  // the same while it answers late
  Millis max_latency = 0, answer_time = 20;
  int useless_per_second = 12;
};

// Plays outages of all kinds, one after another, with polls at any phase of them.
void play_outages(const PollTiming& timing, const Limits& limits) {
  Poller poller(*rc::gen::inRange<std::uint64_t>(1, 100000), timing);
  Service service(poller);
  service.answer_time = limits.answer_time;
  poller.enqueue(StartPolling{});
  Millis now = 0;
  Millis answering_since = 0;
  Millis responding_since = 0;
  std::map<long long, Millis> changed_at{{1, 0}};
  Millis second_start = 0;
  long long known_revision = 0;
  const int steps = *rc::gen::inRange(500, 5000);
  Millis next_change = *rc::gen::inRange(0, 4000);
  Millis next_behavior = *rc::gen::inRange(0, 4000);
  for (int step = 0; step < steps; ++step, now += limits.step) {
    if (now >= next_behavior) {
      // It comes back after each failure, or fails in another way.
      const bool recovers = service.behavior() != Behavior::answers && *rc::gen::inRange(0, 4) > 0;
      service.latency = limits.max_latency * *rc::gen::inRange(1, 101) / 100;
      service.set_behavior(recovers ? Behavior::answers
                                    : static_cast<Behavior>(*rc::gen::inRange(0, kBehaviors)));
      const bool answers = service.behavior() == Behavior::answers;
      const bool responds = answers || service.behavior() == Behavior::late;
      answering_since = answers ? std::min(answering_since, now) : 1e18;
      responding_since = responds ? std::min(responding_since, now) : 1e18;
      next_behavior = now + *rc::gen::inRange(100, 9000);
      next_change = *rc::gen::inRange(0, 2) == 0 ? now : next_change;
    }
    if (now >= next_change) {
      changed_at[++service.revision] = now;
      next_change = now + *rc::gen::inRange(10, 6000);
    }
    if (*rc::gen::inRange(0, 2000) == 1999) {
      poller.enqueue(FullListRequested{});
    }
    service.run(now);
    for (const PollDecision& decision : poller.process(now)) {
      if (const auto* send = std::get_if<SendPoll>(&decision)) {
        service.accept(*send, now);
        RC_ASSERT(service.open() <= kMaxPolls);
      }
      if (const auto* abort = std::get_if<AbortPoll>(&decision)) {
        service.abort(abort->id);
      }
      if (std::holds_alternative<AbortAllPolls>(decision)) {
        service.abort({});
      }
    }
    RC_ASSERT(poller.revision() >= known_revision);
    known_revision = poller.revision();
    RC_ASSERT(service.useless <= limits.useless_per_second);
    if (now - second_start >= 1000) {
      second_start = now, service.useless = 0;
    }
    for (const auto& [revision, at] : changed_at) {
      if (now - std::max(at, answering_since) > limits.answering ||
          now - std::max(at, responding_since) > limits.responding) {
        RC_ASSERT(poller.revision() >= revision);
      }
    }
    while (changed_at.size() > 1 && changed_at.begin()->first <= poller.revision()) {
      changed_at.erase(changed_at.begin());
    }
  }
}

bool polled_changes_arrive_in_time() {
  return rc::check("polled: a change is known 6 s after discovery had it and was reachable",
                   [] { play_outages(polled_timing(), {.max_latency = 2500}); });
}

// What discovery has counts as known: a change has to arrive within the grace for draining servers, less 150
// ms in which the process may be held up and 10 ms for the event loop.
bool pushed_changes_arrive_in_time() {
  return rc::check("pushed: a change is known within the grace, whatever the outage before it", [] {
    const Millis grace = *rc::gen::element(250, 400, 500, 1000, 2000);
    const PollTiming timing = pushed_timing(grace);
    RC_ASSERT(timing.meets_budget);
    const double polls_per_second = 1000 / timing.min_backoff * 2 + 1000 / timing.late_after_without_wait;
    // Half of what is left of the grace is for the next poll, the other half for its response, of which the
    // model's steps take up to two.
    constexpr Millis kStep = 5;
    const Millis answer_time =
        std::max(0.0, timing.late_after_without_wait * *rc::gen::inRange(0, 101) / 100 - 2 * kStep);
    const Millis answering = std::min(grace - 160, timing.late_after_without_wait + answer_time + 20);
    play_outages(timing, {.step = kStep,
                          .answering = answering,
                          .max_latency = 2600,
                          .answer_time = answer_time,
                          .useless_per_second = static_cast<int>(polls_per_second) + 4});
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
      const DraftId draft = table.begin_list();
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
        if (const auto now = table.add(draft, row)) {
          RC_ASSERT(now->entry.state != ServerState::ready);
          apply(actual, *now);
        }
      }
      if (completes) {
        table.end_list(draft, complete);
      } else {
        table.discard(draft);
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
  const bool passed[] = {polled_changes_arrive_in_time(), pushed_changes_arrive_in_time(),
                         table_matches_lists(), list_parses_in_pieces()};
  return passed[0] && passed[1] && passed[2] && passed[3] ? 0 : 1;
}
