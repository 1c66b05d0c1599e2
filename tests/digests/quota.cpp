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

  Options quota_options(int front) {
    Options options;
    options.slot = {front};
    options.slot_count = kFronts;
    if (odd_) {
      options.lease = 1200;
    }
    if (odd_) {
      options.reserved = 400;
    }
    return options;
  }
  std::unique_ptr<QuotaManager> make(int front) override {
    Options options = quota_options(front);
    if (draws.one_in(15)) {
      options.max_drift = 0.02;
    }
    usages_[static_cast<std::size_t>(front)] = std::make_unique<Usage>(quota_options(front), kConnections);
    return make_quota_manager(options, static_cast<std::uint64_t>(draws.below(1000000)));
  }
  void heard(int front, int from, const std::string& bytes) override {
    at(front).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void refused(int front, int from, const std::string& bytes) override {
    const std::string kept = draws.one_in(4) ? bytes.substr(0, 8) : bytes;
    at(front).core->enqueue(DatagramReturned{{from}, kept});
  }
  void happen(int front) override {
    const int kind = draws.below(40);
    if (kind == 0 && draws.one_in(10)) {
      at(front).core->enqueue(Leaving{});
    } else if (kind < 8) {
      PeersChanged fellows;
      for (int other = 0; other < kFronts; ++other) {
        if (other != front && (at(other).core || draws.one_in(10))) {
          fellows.alive.insert({other});
        }
      }
      at(front).core->enqueue(fellows);
    } else if (kind < 20) {
      const int need = draws.below(60);
      const Demand demand = usages_[static_cast<std::size_t>(front)]->demand(static_cast<std::size_t>(need));
      digest.add(fmt::format("{} {} needs {} asks {} {}", now, front, need, demand.wanted, demand.lent));
      at(front).core->enqueue(demand);
    } else {
      const Allocation allocation = at(front).core->allocation(clock(front) + draws.below(3000));
      const Connections connections = connections_of(allocation, quota_options(front), kConnections);
      digest.add(fmt::format("{} {} may use {} {} {}, {} {}", now, front, allocation.open, allocation.hold,
                             allocation.sharing_instances, connections.open, connections.hold));
      return;
    }
    touch(front);
  }
  std::string foreign(int front) override {
    Message message;
    message.kind = static_cast<Kind>(draws.below(7));
    message.number = static_cast<std::uint32_t>(draws.below(300));
    message.in_reply_to = static_cast<std::uint32_t>(draws.below(300));
    message.slot = {draws.below(kFronts + 1)};
    message.incarnation = {static_cast<std::uint64_t>(draws.below(100000))};
    message.options_hash = static_cast<std::uint32_t>(draws.below(100000));
    message.is_holder = draws.one_in(2);
    message.granted = draws.one_in(2);
    message.warming_up = draws.one_in(2);
    message.restores_slot = draws.one_in(2);
    message.shortage = draws.one_in(2);
    message.wanted = draws.below(2000);
    message.lent = draws.below(900);
    message.amount = draws.below(2000);
    message.valid_for = draws.below(2500);
    const std::string bytes = encode(message);
    digest.add(fmt::format("to {} drawn {}", front, digests::hex(bytes)));
    return bytes;
  }
  void read(const std::string& bytes) override {
    decode(bytes);
    decode_liveness_query(bytes);
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
  void take(int front, const LeaseReport& found) {
    digest.add(
        fmt::format("{} {} finds {} {}", now, front, static_cast<int>(found.event), found.slot.number));
  }
  void take(int front, const AllocationChanged& changed) {
    digest.add(fmt::format("{} {} has {} {} {}", now, front, changed.allocation.open, changed.allocation.hold,
                           changed.allocation.sharing_instances));
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {} {} {} {} {} {} {} {}", front, view.allocation.open,
                           view.allocation.hold, view.allocation.sharing_instances, view.holds_lease,
                           view.holder.number, view.pool, view.allocated, view.dropped));
  }

  const bool odd_;
  std::array<std::unique_ptr<Usage>, kFronts> usages_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 20); }
