// Plays five fronts' membership in a drawn network and prints a digest of all decisions and views.
#include "membership/membership.hpp"

#include <variant>

#include "network.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::membership;

class Sequence : public digests::Network<Membership> {
 public:
  Sequence(unsigned seed, bool prints) : Network(seed, prints), odd_(seed % 2 == 1) {}
  std::string play() { return Network::play(30000); }

 private:
  std::unique_ptr<Membership> make(int front) override {
    Options options;
    options.name = fmt::format("n{}", front);
    if (draws.one_in(10)) {
      options.name = fmt::format("n{}", draws.below(kFronts));
    }
    options.slot = {front};
    options.slots = kFronts + (odd_ ? 2 : 0);
    options.forget_after = odd_ ? 20000 : 60000;
    if (odd_) {
      options.protocol_period = 300;
    }
    return make_membership(options, static_cast<std::uint64_t>(draws.below(1000000)));
  }
  void heard(int front, int from, const std::string& bytes) override {
    at(front).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void happen(int front) override {
    if (draws.one_in(400)) {
      at(front).core->enqueue(Leaving{});
    } else if (draws.one_in(30)) {
      at(front).core->enqueue(SlotCountChanged{draws.between(kFronts - 1, kFronts + 3)});
    } else {
      return;
    }
    touch(front);
  }
  std::string foreign(int front) override {
    Message message;
    message.kind = static_cast<Kind>(draws.below(7));
    message.sequence = static_cast<std::uint32_t>(draws.below(200));
    message.name = fmt::format("n{}", draws.below(kFronts + 2));
    message.slot = {draws.below(kFronts + 1)};
    message.incarnation = {static_cast<std::uint64_t>(now) - static_cast<std::uint64_t>(draws.below(90000))};
    message.started_at = message.incarnation.number;
    message.leaving = draws.one_in(20);
    message.is_reply = draws.one_in(2);
    message.target = {draws.below(kFronts)};
    if (message.kind == Kind::digest) {
      for (int part = 0; part < kDigestFanOut; ++part) {
        message.digests.push_back(static_cast<std::uint32_t>(draws.below(5000)));
      }
    }
    const int words = draws.below(4);
    for (int number = 0; number < words; ++number) {
      GossipUpdate update;
      update.name = fmt::format("n{}", draws.below(kFronts + 2));
      update.slot = {draws.below(kFronts + 1)};
      update.state = static_cast<PeerState>(draws.below(4));
      update.incarnation = {static_cast<std::uint64_t>(now) - static_cast<std::uint64_t>(draws.below(90000))};
      update.suspected_by = {draws.below(kFronts)};
      message.updates.push_back(update);
    }
    std::size_t told = 0;
    const std::string bytes = encode(message, told);
    digest.add(fmt::format("to {} drawn {} told {} of {}", front, digests::hex(bytes), told, words));
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
  void take(int front, const PeerChanged& change) {
    digest.add(fmt::format("{} {} sees {} {} {} {}", now, front, change.name, change.slot.number,
                           static_cast<int>(change.event), change.incarnation.number));
  }
  void take(int front, const SelfReport& found) {
    digest.add(fmt::format("{} {} finds {} {} {:.3f}", now, front, static_cast<int>(found.event),
                           found.slot.number, found.duration));
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {} {} {} {} dropped {} {} {} {}", front, view.version,
                           view.incarnation.number, view.health, view.yielded, view.dropped.malformed,
                           view.dropped.unexpected_sender, view.dropped.rate_limited,
                           view.dropped.stale_reply));
    for (const PeerView& peer : view.peers) {
      digest.add(fmt::format("{} {} {} {} {:.3f}", peer.name, peer.slot.number, static_cast<int>(peer.state),
                             peer.incarnation.number, peer.since));
    }
    for (const SlotId& place : alive_peers(view)) {
      digest.add(fmt::format("there {}", place.number));
    }
  }

  const bool odd_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 12); }
