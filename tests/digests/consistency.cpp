// Runs the consistency monitors of five instances in a simulated network with faults, and prints a digest of
// all decisions and views.
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
  Sequence(unsigned seed, bool print_lines) : Network(seed, print_lines), odd_seed_(seed % 2 == 1) {}
  std::string play() {
    for (int group = 0; group < 200; ++group) {
      const int slot = random.below(kInstances);
      const int other = random.below(kInstances);
      std::set<int> others;
      for (int number = 0; number < kInstances; ++number) {
        if (number != slot && random.one_in(2)) {
          others.insert(number);
        }
      }
      digest.add(fmt::format("group {} {} {} {} {}", group, slot, other, precedes({group}, slot, other),
                             leadership_rank({group}, slot, others, 2)));
    }
    return Network::play(30000);
  }

 private:
  std::unique_ptr<ConsistencyMonitor> make_core(int slot) override {
    Options options;
    options.slot = {slot};
    options.isolation_timeout = odd_seed_ ? 3000 : 10000;
    options.admit_writes_for = odd_seed_ ? 8000 : 20000;
    options.admit_reads_for = odd_seed_ ? 12000 : 40000;
    list_states_[static_cast<std::size_t>(slot)] = EndpointListState();
    return make_consistency_monitor(options, static_cast<std::uint64_t>(random.below(1000000)));
  }
  void receive(int slot, int from, const std::string& bytes) override {
    instance_at(slot).core->enqueue(DatagramReceived{{from}, bytes});
  }
  ServerEntry random_entry() {
    ServerEntry entry;
    entry.id = {fmt::format("m{}", random.below(9))};
    entry.group = {random.below(3)};
    entry.state = static_cast<ServerState>(random.below(5) < 3 ? 0 : random.below(3));
    entry.primary = random.one_in(3);
    return entry;
  }
  void apply_random_list(int slot) {
    EndpointListState& list_state = list_states_[static_cast<std::size_t>(slot)];
    std::vector<ServerEntry> entries;
    const int count = random.below(4);
    for (int number = 0; number < count; ++number) {
      entries.push_back(random_entry());
    }
    const EndpointListKind kind = static_cast<EndpointListKind>(random.one_in(4) ? random.below(4) : 0);
    const bool same_revision = random.one_in(5);
    if (!same_revision) {
      ++revision_;
    }
    list_state.apply(kind, revision_, entries);
    AppliedState applied;
    for (const auto& [mark, entry] : list_state.ready()) {
      applied.ready.insert(mark);
      digest.add(fmt::format("ready {} {}", mark, entry.id.address));
    }
    std::vector<ServerView> views;
    for (const ServerEntry& entry : entries) {
      ServerView view;
      view.entry = entry;
      view.primary = entry.primary;
      views.push_back(view);
    }
    std::set<SlotId> alive;
    for (int other = 0; other < kInstances; ++other) {
      if (instance_at(other).core) {
        alive.insert({other});
      }
    }
    applied.digest.sums = {list_state.digest(), digest_of_primaries(views), digest_of_view(alive, {slot})};
    applied.digest.revision = list_state.revision();
    digest.add(fmt::format("{} {} acts on {} {} {} {}", now, slot, applied.digest.sums[0],
                           applied.digest.sums[1], applied.digest.sums[2], applied.digest.revision));
    instance_at(slot).core->enqueue(applied);
  }
  void add_random_event(int slot) override {
    const int kind = random.below(12);
    if (kind < 2) {
      PeersChanged peers;
      for (int other = 0; other < kInstances; ++other) {
        if (other != slot && (instance_at(other).core || random.one_in(10))) {
          peers.alive.insert({other});
        }
      }
      peers.fleet_size = kInstances - random.below(2);
      instance_at(slot).core->enqueue(peers);
    } else if (kind < 5) {
      apply_random_list(slot);
    } else if (kind == 5 && now >= discovery_silent_until_) {
      instance_at(slot).core->enqueue(DiscoveryAnswered{});
    } else if (kind == 6 && random.one_in(10)) {
      discovery_silent_until_ = now + random.below(60000);
    } else {
      return;
    }
    mark_event(slot);
  }
  std::string forged_message(int slot) override {
    Message message;
    message.kind = static_cast<Kind>(random.below(4));
    message.number = static_cast<std::uint32_t>(random.below(300));
    message.slot = {random.below(kInstances + 1)};
    for (std::uint32_t& sum : message.digest.sums) {
      sum = static_cast<std::uint32_t>(random.below(50));
    }
    message.digest.revision = static_cast<std::uint64_t>(random.below(300));
    message.discovery_age = random.below(5000) - 1000;
    const int marks = message.kind == Kind::check || message.kind == Kind::removed ? random.below(6) : 0;
    for (int number = 0; number < marks; ++number) {
      message.marks.push_back(static_cast<std::uint32_t>(random.below(1 << 24)));
    }
    const std::string bytes = encode(message);
    digest.add(fmt::format("to {} drawn {}", slot, digests::hex(bytes)));
    return bytes;
  }
  void parse(const std::string& bytes) override { decode(bytes); }
  void process_events(int slot) override {
    for (const auto& decision : instance_at(slot).core->process(local_time(slot))) {
      std::visit([this, slot](const auto& one) { handle(slot, one); }, decision);
    }
  }
  void handle(int slot, const SendDatagram& datagram) { send(slot, datagram.to.number, datagram.bytes); }
  void handle(int slot, const RequestWakeup& wakeup) {
    digest.add(fmt::format("{} {} wakes {:.3f}", now, slot, wakeup.at));
    set_wakeup(slot, wakeup.at);
  }
  static std::string text_of(const StateDigest& digest) {
    return fmt::format("{}/{}/{}/{}", digest.sums[0], digest.sums[1], digest.sums[2], digest.revision);
  }
  void handle(int slot, const ConsistencyReport& report) {
    digest.add(fmt::format("{} {} finds {} {} {} {} {} {:.3f}", now, slot, static_cast<int>(report.event),
                           static_cast<int>(report.kind), report.slot.number, text_of(report.local),
                           text_of(report.remote), report.duration));
  }
  void handle(int slot, const Admission& admission) {
    digest.add(fmt::format("{} {} may {} {}", now, slot, admission.writes, admission.reads));
  }
  void handle(int slot, const SuspectServers& suspects) {
    digest.add(fmt::format("{} {} doubts {}", now, slot, suspects.marks.size()));
    for (const std::uint32_t mark : suspects.marks) {
      digest.add(fmt::format("doubts {}", mark));
    }
  }
  void add_view(int slot) override {
    const View view = instance_at(slot).core->view();
    digest.add(fmt::format("{} view {:.3f} {} {} {} {} {}", slot, view.last_contact, view.isolated,
                           view.admission.writes, view.admission.reads, view.suspect_servers.size(),
                           view.dropped));
    for (const Difference& one : view.differences) {
      digest.add(fmt::format("differ {} {} {:.3f} {} {}", one.differ, one.compared, one.since,
                             one.first.number, one.behind));
    }
  }

  const bool odd_seed_;
  std::uint64_t revision_ = 1;
  Millis discovery_silent_until_ = 0;
  std::array<EndpointListState, kInstances> list_states_;
};

}  // namespace

int main(int argument_count, char** arguments) {
  digests::run_seeds<Sequence>(argument_count, arguments, 16);
}
