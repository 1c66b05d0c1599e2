// Plays five fronts' accord in a drawn network and prints a digest of all decisions and views.
#include <variant>

#include "consistency/consistency_monitor.hpp"
#include "consistency/state_digest.hpp"
#include "network.hpp"
#include "routing/probe_leader.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::consistency;

class Sequence : public digests::Network<ConsistencyMonitor> {
 public:
  Sequence(unsigned seed, bool prints) : Network(seed, prints), odd_(seed % 2 == 1) {}
  std::string play() {
    for (int group = 0; group < 200; ++group) {
      const int front = draws.below(kFronts);
      const int other = draws.below(kFronts);
      std::set<int> others;
      for (int number = 0; number < kFronts; ++number) {
        if (number != front && draws.one_in(2)) {
          others.insert(number);
        }
      }
      digest.add(fmt::format("group {} {} {} {} {}", group, front, other, precedes({group}, front, other),
                             turn_of({group}, front, others, 2)));
    }
    return Network::play(30000);
  }

 private:
  std::unique_ptr<ConsistencyMonitor> make(int front) override {
    Options charge;
    charge.place = {front};
    charge.silence = odd_ ? 3000 : 10000;
    charge.writes_for = odd_ ? 8000 : 20000;
    charge.reads_for = odd_ ? 12000 : 40000;
    lists_[static_cast<std::size_t>(front)] = ListHeld();
    return make_consistency_monitor(charge, static_cast<std::uint64_t>(draws.below(1000000)));
  }
  void heard(int front, int from, const std::string& bytes) override {
    at(front).core->enqueue(DatagramReceived{{from}, bytes});
  }
  ServerEntry member() {
    ServerEntry entry;
    entry.id = {fmt::format("m{}", draws.below(9))};
    entry.group = {draws.below(3)};
    entry.state = static_cast<ServerState>(draws.below(5) < 3 ? 0 : draws.below(3));
    entry.primary = draws.one_in(3);
    return entry;
  }
  void list(int front) {
    ListHeld& held = lists_[static_cast<std::size_t>(front)];
    std::vector<ServerEntry> members;
    const int count = draws.below(4);
    for (int number = 0; number < count; ++number) {
      members.push_back(member());
    }
    const EndpointListKind kind = static_cast<EndpointListKind>(draws.one_in(4) ? draws.below(4) : 0);
    const bool behind = draws.one_in(5);
    if (!behind) {
      ++revision_;
    }
    held.learn(kind, revision_, members);
    Acts acts;
    for (const auto& [mark, entry] : held.ready()) {
      acts.ready.insert(mark);
      digest.add(fmt::format("ready {} {}", mark, entry.id.address));
    }
    std::vector<ServerView> views;
    for (const ServerEntry& entry : members) {
      ServerView view;
      view.entry = entry;
      view.primary = entry.primary;
      views.push_back(view);
    }
    std::set<SlotId> there;
    for (int other = 0; other < kFronts; ++other) {
      if (at(other).core) {
        there.insert({other});
      }
    }
    acts.account.sums = {held.sum(), sum_of_primaries(views), sum_of_view(there, {front})};
    acts.account.revision = held.revision();
    digest.add(fmt::format("{} {} acts on {} {} {} {}", now, front, acts.account.sums[0],
                           acts.account.sums[1], acts.account.sums[2], acts.account.revision));
    at(front).core->enqueue(acts);
  }
  void happen(int front) override {
    const int kind = draws.below(12);
    if (kind < 2) {
      PeersChanged fellows;
      for (int other = 0; other < kFronts; ++other) {
        if (other != front && (at(other).core || draws.one_in(10))) {
          fellows.there.insert({other});
        }
      }
      fellows.counted = kFronts - draws.below(2);
      at(front).core->enqueue(fellows);
    } else if (kind < 5) {
      list(front);
    } else if (kind == 5 && now >= silent_) {
      at(front).core->enqueue(Confirmed{});
    } else if (kind == 6 && draws.one_in(10)) {
      silent_ = now + draws.below(60000);
    } else {
      return;
    }
    touch(front);
  }
  std::string foreign(int front) override {
    Message message;
    message.kind = static_cast<Kind>(draws.below(4));
    message.number = static_cast<std::uint32_t>(draws.below(300));
    message.place = {draws.below(kFronts + 1)};
    for (std::uint32_t& sum : message.account.sums) {
      sum = static_cast<std::uint32_t>(draws.below(50));
    }
    message.account.revision = static_cast<std::uint64_t>(draws.below(300));
    message.word_age = draws.below(5000) - 1000;
    const int marks = message.kind == Kind::checks || message.kind == Kind::leave ? draws.below(6) : 0;
    for (int number = 0; number < marks; ++number) {
      message.marks.push_back(static_cast<std::uint32_t>(draws.below(1 << 24)));
    }
    const std::string bytes = bytes_of(message);
    digest.add(fmt::format("to {} drawn {}", front, digests::hex(bytes)));
    return bytes;
  }
  void read(const std::string& bytes) override { message_in(bytes); }
  void take(int front) override {
    for (const auto& decision : at(front).core->process(clock(front))) {
      std::visit([this, front](const auto& one) { take(front, one); }, decision);
    }
  }
  void take(int front, const SendDatagram& tell) { send(front, tell.to.number, tell.bytes); }
  void take(int front, const RequestWakeup& wanted) {
    digest.add(fmt::format("{} {} wakes {:.3f}", now, front, wanted.at));
    wake(front, wanted.at);
  }
  static std::string text_of(const Account& account) {
    return fmt::format("{}/{}/{}/{}", account.sums[0], account.sums[1], account.sums[2], account.revision);
  }
  void take(int front, const Found& found) {
    digest.add(fmt::format("{} {} finds {} {} {} {} {} {:.3f}", now, front, static_cast<int>(found.finding),
                           static_cast<int>(found.matter), found.place.number, text_of(found.mine),
                           text_of(found.theirs), found.span));
  }
  void take(int front, const Allowed& allowed) {
    digest.add(fmt::format("{} {} may {} {}", now, front, allowed.writes, allowed.reads));
  }
  void take(int front, const Doubted& doubted) {
    digest.add(fmt::format("{} {} doubts {}", now, front, doubted.marks.size()));
    for (const std::uint32_t mark : doubted.marks) {
      digest.add(fmt::format("doubts {}", mark));
    }
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {:.3f} {} {} {} {} {}", front, view.contact, view.cut_off,
                           view.allowed.writes, view.allowed.reads, view.doubted.size(), view.dropped));
    for (const Difference& one : view.differences) {
      digest.add(fmt::format("differ {} {} {:.3f} {} {}", one.differ, one.compared, one.since,
                             one.first.number, one.behind));
    }
  }

  const bool odd_;
  std::uint64_t revision_ = 1;
  Millis silent_ = 0;
  std::array<ListHeld, kFronts> lists_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 16); }
