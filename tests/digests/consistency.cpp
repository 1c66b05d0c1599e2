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
                             leadership_rank({group}, front, others, 2)));
    }
    return Network::play(30000);
  }

 private:
  std::unique_ptr<ConsistencyMonitor> make(int front) override {
    Options options;
    options.slot = {front};
    options.silence = odd_ ? 3000 : 10000;
    options.writes_for = odd_ ? 8000 : 20000;
    options.reads_for = odd_ ? 12000 : 40000;
    lists_[static_cast<std::size_t>(front)] = EndpointListState();
    return make_consistency_monitor(options, static_cast<std::uint64_t>(draws.below(1000000)));
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
    EndpointListState& held = lists_[static_cast<std::size_t>(front)];
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
    held.apply(kind, revision_, members);
    AppliedState acts;
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
    acts.digest.sums = {held.digest(), digest_of_primaries(views), digest_of_view(there, {front})};
    acts.digest.revision = held.revision();
    digest.add(fmt::format("{} {} acts on {} {} {} {}", now, front, acts.digest.sums[0], acts.digest.sums[1],
                           acts.digest.sums[2], acts.digest.revision));
    at(front).core->enqueue(acts);
  }
  void happen(int front) override {
    const int kind = draws.below(12);
    if (kind < 2) {
      PeersChanged fellows;
      for (int other = 0; other < kFronts; ++other) {
        if (other != front && (at(other).core || draws.one_in(10))) {
          fellows.alive.insert({other});
        }
      }
      fellows.fleet_size = kFronts - draws.below(2);
      at(front).core->enqueue(fellows);
    } else if (kind < 5) {
      list(front);
    } else if (kind == 5 && now >= silent_) {
      at(front).core->enqueue(DiscoveryAnswered{});
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
    message.slot = {draws.below(kFronts + 1)};
    for (std::uint32_t& sum : message.digest.sums) {
      sum = static_cast<std::uint32_t>(draws.below(50));
    }
    message.digest.revision = static_cast<std::uint64_t>(draws.below(300));
    message.discovery_age = draws.below(5000) - 1000;
    const int marks = message.kind == Kind::check || message.kind == Kind::removed ? draws.below(6) : 0;
    for (int number = 0; number < marks; ++number) {
      message.marks.push_back(static_cast<std::uint32_t>(draws.below(1 << 24)));
    }
    const std::string bytes = encode(message);
    digest.add(fmt::format("to {} drawn {}", front, digests::hex(bytes)));
    return bytes;
  }
  void read(const std::string& bytes) override { decode(bytes); }
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
  static std::string text_of(const StateDigest& digest) {
    return fmt::format("{}/{}/{}/{}", digest.sums[0], digest.sums[1], digest.sums[2], digest.revision);
  }
  void take(int front, const ConsistencyReport& found) {
    digest.add(fmt::format("{} {} finds {} {} {} {} {} {:.3f}", now, front, static_cast<int>(found.event),
                           static_cast<int>(found.kind), found.slot.number, text_of(found.local),
                           text_of(found.remote), found.duration));
  }
  void take(int front, const Admission& allowed) {
    digest.add(fmt::format("{} {} may {} {}", now, front, allowed.writes, allowed.reads));
  }
  void take(int front, const SuspectServers& doubted) {
    digest.add(fmt::format("{} {} doubts {}", now, front, doubted.marks.size()));
    for (const std::uint32_t mark : doubted.marks) {
      digest.add(fmt::format("doubts {}", mark));
    }
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {:.3f} {} {} {} {} {}", front, view.last_contact, view.isolated,
                           view.admission.writes, view.admission.reads, view.suspect_servers.size(),
                           view.dropped));
    for (const Difference& one : view.differences) {
      digest.add(fmt::format("differ {} {} {:.3f} {} {}", one.differ, one.compared, one.since,
                             one.first.number, one.behind));
    }
  }

  const bool odd_;
  std::uint64_t revision_ = 1;
  Millis silent_ = 0;
  std::array<EndpointListState, kFronts> lists_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 16); }
