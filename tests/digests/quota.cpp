// Plays five fronts' shares in a drawn network and prints a digest of all decisions and views.
#include <variant>

#include "network.hpp"
#include "quota/quota_manager.hpp"
#include "quota/usage.hpp"

namespace {
using namespace reedspindle;
using namespace reedspindle::quota;

class Sequence : public digests::Network<QuotaManager> {
 public:
  Sequence(unsigned seed, bool prints) : Network(seed, prints), odd_(seed % 2 == 1) {}
  std::string play() { return Network::play(30000); }

 private:
  static constexpr int kConnections = 100;

  Options membership_options(int front) {
    Options charge;
    charge.place = {front};
    charge.fleet = kFronts;
    if (odd_) {
      charge.lease = 1200;
    }
    if (odd_) {
      charge.kept = 400;
    }
    return charge;
  }
  std::unique_ptr<QuotaManager> make(int front) override {
    Options charge = membership_options(front);
    if (draws.one_in(15)) {
      charge.drift = 0.02;
    }
    uses_[static_cast<std::size_t>(front)] = std::make_unique<Use>(membership_options(front), kConnections);
    return make_quota_manager(charge, static_cast<std::uint64_t>(draws.below(1000000)));
  }
  void heard(int front, int from, const std::string& bytes) override {
    at(front).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void refused(int front, int from, const std::string& bytes) override {
    const std::string kept = draws.one_in(4) ? bytes.substr(0, 8) : bytes;
    at(front).core->enqueue(Refused{{from}, kept});
  }
  void happen(int front) override {
    const int kind = draws.below(40);
    if (kind == 0 && draws.one_in(10)) {
      at(front).core->enqueue(Leaving{});
    } else if (kind < 8) {
      PeersChanged fellows;
      for (int other = 0; other < kFronts; ++other) {
        if (other != front && (at(other).core || draws.one_in(10))) {
          fellows.there.insert({other});
        }
      }
      at(front).core->enqueue(fellows);
    } else if (kind < 20) {
      const int need = draws.below(60);
      const Demand demand = uses_[static_cast<std::size_t>(front)]->demand(static_cast<std::size_t>(need));
      digest.add(fmt::format("{} {} needs {} asks {} {}", now, front, need, demand.wants, demand.lends));
      at(front).core->enqueue(demand);
    } else {
      const Part part = at(front).core->part(clock(front) + draws.below(3000));
      const Connections connections = connections_of(part, membership_options(front), kConnections);
      digest.add(fmt::format("{} {} may use {} {} {}, {} {}", now, front, part.open, part.hold, part.among,
                             connections.open, connections.hold));
      return;
    }
    touch(front);
  }
  std::string foreign(int front) override {
    Message message;
    message.kind = static_cast<Kind>(draws.below(7));
    message.number = static_cast<std::uint32_t>(draws.below(300));
    message.of = static_cast<std::uint32_t>(draws.below(300));
    message.place = {draws.below(kFronts + 1)};
    message.life = {static_cast<std::uint64_t>(draws.below(100000))};
    message.terms = static_cast<std::uint32_t>(draws.below(100000));
    message.held = draws.one_in(2);
    message.yes = draws.one_in(2);
    message.young = draws.one_in(2);
    message.own = draws.one_in(2);
    message.need = draws.one_in(2);
    message.wants = draws.below(2000);
    message.lends = draws.below(900);
    message.amount = draws.below(2000);
    message.left = draws.below(2500);
    const std::string bytes = bytes_of(message);
    digest.add(fmt::format("to {} drawn {}", front, digests::hex(bytes)));
    return bytes;
  }
  void read(const std::string& bytes) override {
    message_in(bytes);
    question_in(bytes);
  }
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
  void take(int front, const Found& found) {
    digest.add(
        fmt::format("{} {} finds {} {}", now, front, static_cast<int>(found.finding), found.place.number));
  }
  void take(int front, const Changed& changed) {
    digest.add(fmt::format("{} {} has {} {} {}", now, front, changed.part.open, changed.part.hold,
                           changed.part.among));
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {} {} {} {} {} {} {} {}", front, view.part.open, view.part.hold,
                           view.part.among, view.office, view.holder.number, view.pool, view.given,
                           view.dropped));
  }

  const bool odd_;
  std::array<std::unique_ptr<Use>, kFronts> uses_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 20); }
