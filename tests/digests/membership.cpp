// Runs the membership protocol of five instances in a simulated network with faults, and prints a digest of
// all decisions and views.
#include "membership/membership.hpp"

#include <variant>

#include "network.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::membership;

class Sequence : public digests::Network<Membership> {
 public:
  Sequence(unsigned seed, bool print_lines) : Network(seed, print_lines), odd_seed_(seed % 2 == 1) {}
  std::string play() { return Network::play(30000); }

 private:
  std::unique_ptr<Membership> make_core(int slot) override {
    Options options;
    options.name = fmt::format("n{}", slot);
    if (random.one_in(10)) {
      options.name = fmt::format("n{}", random.below(kInstances));
    }
    options.slot = {slot};
    options.slots = kInstances + (odd_seed_ ? 2 : 0);
    options.forget_after = odd_seed_ ? 20000 : 60000;
    if (odd_seed_) {
      options.protocol_period = 300;
    }
    return make_membership(options, static_cast<std::uint64_t>(random.below(1000000)));
  }
  void receive(int slot, int from, const std::string& bytes) override {
    instance_at(slot).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void add_random_event(int slot) override {
    if (random.one_in(400)) {
      instance_at(slot).core->enqueue(Leaving{});
    } else if (random.one_in(30)) {
      instance_at(slot).core->enqueue(SlotCountChanged{random.between(kInstances - 1, kInstances + 3)});
    } else {
      return;
    }
    mark_event(slot);
  }
  std::string forged_message(int slot) override {
    Message message;
    message.kind = static_cast<Kind>(random.below(7));
    message.sequence = static_cast<std::uint32_t>(random.below(200));
    message.name = fmt::format("n{}", random.below(kInstances + 2));
    message.slot = {random.below(kInstances + 1)};
    message.incarnation = {static_cast<std::uint64_t>(now) - static_cast<std::uint64_t>(random.below(90000))};
    message.started_at = message.incarnation.number;
    message.leaving = random.one_in(20);
    message.is_reply = random.one_in(2);
    message.target = {random.below(kInstances)};
    if (message.kind == Kind::digest) {
      for (int part = 0; part < kDigestFanOut; ++part) {
        message.digests.push_back(static_cast<std::uint32_t>(random.below(5000)));
      }
    }
    const int update_count = random.below(4);
    for (int number = 0; number < update_count; ++number) {
      GossipUpdate update;
      update.name = fmt::format("n{}", random.below(kInstances + 2));
      update.slot = {random.below(kInstances + 1)};
      update.state = static_cast<PeerState>(random.below(4));
      update.incarnation = {static_cast<std::uint64_t>(now) -
                            static_cast<std::uint64_t>(random.below(90000))};
      update.suspected_by = {random.below(kInstances)};
      message.updates.push_back(update);
    }
    std::size_t encoded_updates = 0;
    const std::string bytes = encode(message, encoded_updates);
    digest.add(fmt::format("to {} drawn {} told {} of {}", slot, digests::hex(bytes), encoded_updates,
                           update_count));
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
  void handle(int slot, const PeerChanged& change) {
    digest.add(fmt::format("{} {} sees {} {} {} {}", now, slot, change.name, change.slot.number,
                           static_cast<int>(change.event), change.incarnation.number));
  }
  void handle(int slot, const SelfReport& report) {
    digest.add(fmt::format("{} {} finds {} {} {:.3f}", now, slot, static_cast<int>(report.event),
                           report.slot.number, report.duration));
  }
  void add_view(int slot) override {
    const View view = instance_at(slot).core->view();
    digest.add(fmt::format("{} view {} {} {} {} dropped {} {} {} {}", slot, view.version,
                           view.incarnation.number, view.health, view.yielded, view.dropped.malformed,
                           view.dropped.unexpected_sender, view.dropped.rate_limited,
                           view.dropped.stale_reply));
    for (const PeerView& peer : view.peers) {
      digest.add(fmt::format("{} {} {} {} {:.3f}", peer.name, peer.slot.number, static_cast<int>(peer.state),
                             peer.incarnation.number, peer.since));
    }
    for (const SlotId& peer_slot : alive_peers(view)) {
      digest.add(fmt::format("there {}", peer_slot.number));
    }
  }

  const bool odd_seed_;
};

}  // namespace

int main(int argument_count, char** arguments) {
  digests::run_seeds<Sequence>(argument_count, arguments, 12);
}
