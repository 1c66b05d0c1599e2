// Runs the quota managers of five instances in a simulated network with faults, and prints a digest of all
// decisions and views.
#include <variant>

#include "network.hpp"
#include "quota/quota_manager.hpp"
#include "quota/usage.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::quota;

class Sequence : public digests::Network<QuotaManager> {
 public:
  Sequence(unsigned seed, bool print_lines) : Network(seed, print_lines), odd_seed_(seed % 2 == 1) {}
  std::string play() { return Network::play(30000); }

 private:
  static constexpr int kConnections = 100;

  Options quota_options(int slot) {
    Options options;
    options.slot = {slot};
    options.slot_count = kInstances;
    if (odd_seed_) {
      options.lease = 1200;
    }
    if (odd_seed_) {
      options.reserved = 400;
    }
    return options;
  }
  std::unique_ptr<QuotaManager> make_core(int slot) override {
    Options options = quota_options(slot);
    if (random.one_in(15)) {
      options.max_drift = 0.02;
    }
    usages_[static_cast<std::size_t>(slot)] = std::make_unique<Usage>(quota_options(slot), kConnections);
    return make_quota_manager(options, static_cast<std::uint64_t>(random.below(1000000)));
  }
  void receive(int slot, int from, const std::string& bytes) override {
    instance_at(slot).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void receive_returned(int slot, int from, const std::string& bytes) override {
    const std::string returned_bytes = random.one_in(4) ? bytes.substr(0, 8) : bytes;
    instance_at(slot).core->enqueue(DatagramReturned{{from}, returned_bytes});
  }
  void add_random_event(int slot) override {
    const int kind = random.below(40);
    if (kind == 0 && random.one_in(10)) {
      instance_at(slot).core->enqueue(Leaving{});
    } else if (kind < 8) {
      PeersChanged peers;
      for (int other = 0; other < kInstances; ++other) {
        if (other != slot && (instance_at(other).core || random.one_in(10))) {
          peers.alive.insert({other});
        }
      }
      instance_at(slot).core->enqueue(peers);
    } else if (kind < 20) {
      const int need = random.below(60);
      const Demand demand = usages_[static_cast<std::size_t>(slot)]->demand(static_cast<std::size_t>(need));
      digest.add(fmt::format("{} {} needs {} asks {} {}", now, slot, need, demand.wanted, demand.lent));
      instance_at(slot).core->enqueue(demand);
    } else {
      const Allocation allocation = instance_at(slot).core->allocation(local_time(slot) + random.below(3000));
      const Connections connections = connections_of(allocation, quota_options(slot), kConnections);
      digest.add(fmt::format("{} {} may use {} {} {}, {} {}", now, slot, allocation.open, allocation.hold,
                             allocation.sharing_instances, connections.open, connections.hold));
      return;
    }
    mark_event(slot);
  }
  std::string forged_message(int slot) override {
    Message message;
    message.kind = static_cast<Kind>(random.below(7));
    message.number = static_cast<std::uint32_t>(random.below(300));
    message.in_reply_to = static_cast<std::uint32_t>(random.below(300));
    message.slot = {random.below(kInstances + 1)};
    message.incarnation = {static_cast<std::uint64_t>(random.below(100000))};
    message.options_hash = static_cast<std::uint32_t>(random.below(100000));
    message.is_holder = random.one_in(2);
    message.granted = random.one_in(2);
    message.warming_up = random.one_in(2);
    message.restores_slot = random.one_in(2);
    message.shortage = random.one_in(2);
    message.wanted = random.below(2000);
    message.lent = random.below(900);
    message.amount = random.below(2000);
    message.valid_for = random.below(2500);
    const std::string bytes = encode(message);
    digest.add(fmt::format("to {} drawn {}", slot, digests::hex(bytes)));
    return bytes;
  }
  void parse(const std::string& bytes) override {
    decode(bytes);
    decode_liveness_query(bytes);
  }
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
  void handle(int slot, const LeaseReport& report) {
    digest.add(
        fmt::format("{} {} finds {} {}", now, slot, static_cast<int>(report.event), report.slot.number));
  }
  void handle(int slot, const AllocationChanged& change) {
    digest.add(fmt::format("{} {} has {} {} {}", now, slot, change.allocation.open, change.allocation.hold,
                           change.allocation.sharing_instances));
  }
  void add_view(int slot) override {
    const View view = instance_at(slot).core->view();
    digest.add(fmt::format("{} view {} {} {} {} {} {} {} {}", slot, view.allocation.open,
                           view.allocation.hold, view.allocation.sharing_instances, view.holds_lease,
                           view.holder.number, view.pool, view.allocated, view.dropped));
  }

  const bool odd_seed_;
  std::array<std::unique_ptr<Usage>, kInstances> usages_;
};

}  // namespace

int main(int argument_count, char** arguments) {
  digests::run_seeds<Sequence>(argument_count, arguments, 20);
}
