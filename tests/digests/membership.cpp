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
    Options charge;
    charge.name = fmt::format("n{}", front);
    if (draws.one_in(10)) {
      charge.name = fmt::format("n{}", draws.below(kFronts));
    }
    charge.place = {front};
    charge.places = kFronts + (odd_ ? 2 : 0);
    charge.forget = odd_ ? 20000 : 60000;
    if (odd_) {
      charge.pace = 300;
    }
    return make_membership(charge, static_cast<std::uint64_t>(draws.below(1000000)));
  }
  void heard(int front, int from, const std::string& bytes) override {
    at(front).core->enqueue(DatagramReceived{{from}, bytes});
  }
  void happen(int front) override {
    if (draws.one_in(400)) {
      at(front).core->enqueue(Leaving{});
    } else if (draws.one_in(30)) {
      at(front).core->enqueue(Listed{draws.between(kFronts - 1, kFronts + 3)});
    } else {
      return;
    }
    touch(front);
  }
  std::string foreign(int front) override {
    Message message;
    message.kind = static_cast<Kind>(draws.below(7));
    message.number = static_cast<std::uint32_t>(draws.below(200));
    message.name = fmt::format("n{}", draws.below(kFronts + 2));
    message.place = {draws.below(kFronts + 1)};
    message.incarnation = {static_cast<std::uint64_t>(now) - static_cast<std::uint64_t>(draws.below(90000))};
    message.born = message.incarnation.number;
    message.leaving = draws.one_in(20);
    message.answer = draws.one_in(2);
    message.about = {draws.below(kFronts)};
    if (message.kind == Kind::digest) {
      for (int part = 0; part < kFan; ++part) {
        message.sums.push_back(static_cast<std::uint32_t>(draws.below(5000)));
      }
    }
    const int words = draws.below(4);
    for (int number = 0; number < words; ++number) {
      Word word;
      word.name = fmt::format("n{}", draws.below(kFronts + 2));
      word.place = {draws.below(kFronts + 1)};
      word.standing = static_cast<Standing>(draws.below(4));
      word.incarnation = {static_cast<std::uint64_t>(now) - static_cast<std::uint64_t>(draws.below(90000))};
      word.by = {draws.below(kFronts)};
      message.words.push_back(word);
    }
    std::size_t told = 0;
    const std::string bytes = bytes_of(message, told);
    digest.add(fmt::format("to {} drawn {} told {} of {}", front, digests::hex(bytes), told, words));
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
  void take(int front, const Change& change) {
    digest.add(fmt::format("{} {} sees {} {} {} {}", now, front, change.name, change.place.number,
                           static_cast<int>(change.happening), change.incarnation.number));
  }
  void take(int front, const Found& found) {
    digest.add(fmt::format("{} {} finds {} {} {:.3f}", now, front, static_cast<int>(found.finding),
                           found.place.number, found.span));
  }
  void show(int front) override {
    const View view = at(front).core->view();
    digest.add(fmt::format("{} view {} {} {} {} dropped {} {} {} {}", front, view.version,
                           view.incarnation.number, view.health, view.yielded, view.dropped.unread,
                           view.dropped.strange, view.dropped.flood, view.dropped.late));
    for (const PeerView& fellow : view.fellows) {
      digest.add(fmt::format("{} {} {} {} {:.3f}", fellow.name, fellow.place.number,
                             static_cast<int>(fellow.standing), fellow.incarnation.number, fellow.since));
    }
    for (const SlotId& place : there_in(view)) {
      digest.add(fmt::format("there {}", place.number));
    }
  }

  const bool odd_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 12); }
