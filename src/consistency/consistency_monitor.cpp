#include "consistency/consistency_monitor.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <utility>

namespace reedspindle::consistency {
namespace {

constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
// Questions whose answers count; a pace apart, so an answer may take some paces.
constexpr std::size_t kAsked = 8;
// Datagrams of one place in a pace: it asks once and answers once, and whoever differs is asked again.
constexpr int kOfPlace = 8;
// The shortest time that a fellow's word is held, in paces, and the longest by the bound on how many are.
constexpr double kHeldPaces = 4;
// For how long a fellow's word that a member leaves holds: some rounds over 120 members, 40 a pace.
constexpr double kDoubtPaces = 10;

class Comparing final : public ConsistencyMonitor {
 public:
  Comparing(const Options& charge, std::uint64_t seed)
      : charge_(charge), random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (started_ == kNever) {
      started_ = next_ask_ = now, now_ = now;
    }
    now_ = std::max(now_, now);
    if (now_ >= next_count_) {
      heard_of_.clear(), next_count_ = now_ + charge_.pace;
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& happened) { take(happened); }, event);
    }
    if (2 * (there_.size() + 1) > static_cast<std::size_t>(std::max(1, counted_))) {
      majority_at_ = now_;
    }
    forget();
    for (int matter = 0; matter < kMatters; ++matter) {
      compare(static_cast<Matter>(matter));
    }
    ask();
    check_list();
    judge_contact();
    wake();
    return std::move(decisions_);
  }

  [[nodiscard]] View view() const override {
    View view{{}, contact(), cut_off_, allowed_, told_doubted_, dropped_};
    for (std::size_t matter = 0; matter < kMatters; ++matter) {
      view.differences[matter] = streaks_[matter].is;
    }
    return view;
  }

 private:
  struct Held {
    Account account;
    Millis at = 0;  // it was so at this time or later
  };
  // A time in which some fellow differed all along.
  struct Streak {
    Difference is;
    Account mine, theirs;
    bool told = false;
  };

  void take(const DatagramReceived& heard) {
    const auto message = message_in(heard.bytes);
    if (!message || message->place != heard.from || heard.from == charge_.place ||
        ++heard_of_[heard.from] > kOfPlace) {
      return void(++dropped_);
    }
    if (message->kind == Kind::asks) {
      hold(heard.from, message->account, now_);
      return tell(heard.from, Kind::answers, message->number);
    }
    if (message->kind == Kind::checks) {
      // Only a list that is later than the other's says more of who leaves.
      if (message->account.revision >= account_.revision) {
        return;
      }
      std::vector<std::uint32_t> leave;
      std::ranges::copy_if(message->marks, std::back_inserter(leave),
                           [this](std::uint32_t mark) { return !ready_.contains(mark); });
      return tell(heard.from, Kind::leave, message->number, std::move(leave));
    }
    // Guards against a word that took long: it is dated by when it was asked for, not by when it came.
    const auto asked =
        std::ranges::find(asked_, std::tuple(message->number, heard.from, message->kind), &Asked::what);
    if (asked == asked_.end()) {
      return void(++dropped_);
    }
    hold(heard.from, message->account, asked->at);
    if (message->word_age >= 0) {
      word_at_ = std::max(word_at_, asked->at - message->word_age);
    }
    asked_.erase(asked);
    if (message->kind != Kind::leave || !silent()) {
      return;
    }
    for (const std::uint32_t mark : message->marks) {
      if (ready_.contains(mark)) {
        doubted_[mark] = now_ + charge_.pace * kDoubtPaces;
      }
    }
  }

  // Who is there anew is asked next: two halves that meet would else each end their rounds among themselves.
  void take(const PeersChanged& fellows) {
    std::vector<SlotId> anew;
    std::ranges::set_difference(fellows.there, there_, std::back_inserter(anew));
    std::erase_if(round_, [&anew](SlotId place) { return std::ranges::binary_search(anew, place); });
    std::shuffle(anew.begin(), anew.end(), random_);
    round_.insert(round_.end(), anew.begin(), anew.end());
    there_ = fellows.there, counted_ = fellows.counted;
  }

  void take(const Acts& acts) {
    for (int matter = 0; matter < kMatters; ++matter) {
      if (acts.account.of(static_cast<Matter>(matter)) != account_.of(static_cast<Matter>(matter))) {
        changed_at_[static_cast<std::size_t>(matter)] = now_;
      }
    }
    account_ = acts.account, ready_ = acts.ready;
  }

  void take(const Confirmed& /*unused*/) {
    word_at_ = own_word_at_ = now_;
    doubted_.clear();
  }

  // TestDiscovery has not spoken to this front itself for longer than news may take.
  [[nodiscard]] bool silent() const { return now_ - std::max(own_word_at_, started_) > charge_.grace; }

  // What removes is taken from a fellow at once, for it can only make this front more careful: while
  // discovery is silent here, whoever has a later list is asked which of the members held ready it does not
  // hold so, a part of them each pace. What adds waits for discovery.
  void check_list() {
    std::erase_if(doubted_, [this](const auto& item) { return now_ >= item.second; });
    if (now_ >= next_check_) {
      next_check_ = now_ + charge_.pace;
      std::vector<SlotId> ahead;
      for (const auto& [place, held] : held_) {
        if (held.account.revision > account_.revision) {
          ahead.push_back(place);
        }
      }
      if (silent() && !ahead.empty() && !ready_.empty()) {
        std::vector<std::uint32_t> marks;
        auto next = ready_.upper_bound(checked_);
        for (std::size_t turn = 0; turn < std::min(kMostMarks, ready_.size()); ++turn, ++next) {
          if (next == ready_.end()) {
            next = ready_.begin();
          }
          marks.push_back(checked_ = *next);
        }
        const SlotId whom = ahead[random_() % ahead.size()];
        note_asked(whom, Kind::leave);
        tell(whom, Kind::checks, number_, std::move(marks));
      }
    }
    std::set<std::uint32_t> marks;
    for (const auto& [mark, until] : doubted_) {
      marks.insert(mark);
    }
    if (marks != told_doubted_) {
      decisions_.push_back(Doubted{told_doubted_ = std::move(marks)});
    }
  }

  void hold(SlotId of, const Account& account, Millis at) {
    Held& held = held_[of];
    if (at >= held.at) {
      held = {account, at};
    }
  }

  void forget() {
    const double paces =
        std::clamp(2.0 * static_cast<double>(there_.size()), kHeldPaces, static_cast<double>(kMostHeld));
    std::erase_if(held_, [&](const auto& item) {
      return !there_.contains(item.first) || now_ - item.second.at > charge_.pace * paces;
    });
    while (held_.size() > kMostHeld) {
      held_.erase(std::ranges::min_element(held_, {}, [](const auto& item) { return item.second.at; }));
    }
  }

  // What a fellow said before this front's own last change says nothing: both may have changed.
  [[nodiscard]] bool compares(const Held& held, Matter matter) const {
    return held.at > changed_at_[static_cast<std::size_t>(matter)];
  }
  [[nodiscard]] bool differs(const Held& held, Matter matter) const {
    return compares(held, matter) && held.account.of(matter) != account_.of(matter);
  }

  void compare(Matter matter) {
    Streak& streak = streaks_[static_cast<std::size_t>(matter)];
    Difference& is = streak.is;
    is.differ = is.compared = 0, is.behind = false;
    std::optional<SlotId> one;
    for (const auto& [place, held] : held_) {
      is.compared += compares(held, matter);
      if (!differs(held, matter)) {
        continue;
      }
      if (++is.differ == 1) {
        one = place;
      }
      is.behind = is.behind || (matter == Matter::list && held.account.revision > account_.revision);
    }
    if (one && is.since == 0) {
      is.since = now_, is.first = *one;
      streak.mine = account_, streak.theirs = held_.at(*one).account;
    }
    if (is.since > 0 && !streak.told && now_ - is.since >= charge_.grace) {
      streak.told = true;
      found({Finding::differs, matter, is.first, streak.mine, streak.theirs, now_ - is.since});
    }
    // While nobody's word compares, nothing says that it is over.
    if (one || is.since == 0 || is.compared == 0) {
      return;
    }
    if (streak.told) {
      found({Finding::agrees, matter, is.first, {}, {}, now_ - is.since});
    }
    streak = {Difference{0, is.compared, 0, {}, false}, {}, {}, false};
  }

  // Who differs is asked every other time, so that a difference that is over is soon seen to be; else each in
  // its turn, in an order drawn anew each time round.
  void ask() {
    if (now_ < next_ask_) {
      return;
    }
    next_ask_ = now_ + charge_.pace * (0.9 + 0.2 * chance());
    std::vector<SlotId> differing;
    for (const auto& [place, held] : held_) {
      for (int matter = 0; matter < kMatters; ++matter) {
        if (differs(held, static_cast<Matter>(matter)) && (differing.empty() || differing.back() != place)) {
          differing.push_back(place);
        }
      }
    }
    std::optional<SlotId> whom;
    if (!differing.empty() && std::exchange(again_, !again_)) {
      whom = differing[random_() % differing.size()];
    } else {
      while (!round_.empty() && !there_.contains(round_.back())) {
        round_.pop_back();
      }
      if (round_.empty()) {
        round_.assign(there_.begin(), there_.end());
        std::shuffle(round_.begin(), round_.end(), random_);
      }
      if (!round_.empty()) {
        whom = round_.back(), round_.pop_back();
      }
    }
    if (!whom) {
      return;
    }
    note_asked(*whom, Kind::answers);
    tell(*whom, Kind::asks, number_);
  }

  void note_asked(SlotId whom, Kind answer) {
    asked_.push_back({{++number_, whom, answer}, now_});
    if (asked_.size() > kAsked) {
      asked_.pop_front();
    }
  }

  // Contact is what would tell this front if it were wrong: discovery, here or at a fellow that hears it, or
  // the greater part of the fleet. A fleet that has all lost discovery goes on; one who has lost both may be
  // on the wrong side of a cut.
  [[nodiscard]] Millis contact() const { return std::max({started_, word_at_, majority_at_}); }

  void judge_contact() {
    const Millis without = now_ - contact();
    if (const bool cut_off = without > charge_.silence; cut_off != cut_off_) {
      cut_off_ = cut_off;
      found({cut_off ? Finding::cut_off : Finding::in_touch, {}, {}, {}, {}, now_ - lost_});
    }
    if (!cut_off_) {
      lost_ = contact();
    }
    const Allowed allowed{without <= charge_.writes_for, without <= charge_.reads_for};
    if (allowed == allowed_) {
      return;
    }
    if (allowed_.writes && !allowed.writes) {
      found({Finding::turns_writes_away, {}, {}, {}, {}, without});
    }
    if (allowed_.reads && !allowed.reads) {
      found({Finding::turns_reads_away, {}, {}, {}, {}, without});
    }
    decisions_.push_back(allowed_ = allowed);
  }

  void found(Found finding) { decisions_.push_back(std::move(finding)); }

  void tell(SlotId to, Kind kind, std::uint32_t number, std::vector<std::uint32_t> marks = {}) {
    const Millis age = word_at_ == kNever ? -1 : now_ - word_at_;
    decisions_.push_back(
        SendDatagram{to, bytes_of({kind, number, charge_.place, account_, age, std::move(marks)})});
  }

  void wake() {
    Millis next = std::min(next_ask_, next_check_);
    for (const Millis at : {charge_.silence, charge_.writes_for, charge_.reads_for}) {
      if (at != kForever && contact() + at + 1 > now_) {
        next = std::min(next, contact() + at + 1);
      }
    }
    for (const Streak& streak : streaks_) {
      if (streak.is.since > 0 && !streak.told) {
        next = std::min(next, streak.is.since + charge_.grace);
      }
    }
    decisions_.push_back(RequestWakeup{std::max(next, now_ + 1)});
  }

  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  struct Asked {
    std::tuple<std::uint32_t, SlotId, Kind> what;  // the kind of its answer
    Millis at = 0;
  };
  const Options charge_;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  Millis now_ = 0, started_ = kNever, next_ask_ = 0, next_count_ = 0;
  std::set<SlotId> there_;
  int counted_ = 1;
  Account account_;
  std::array<Millis, kMatters> changed_at_{kNever, kNever, kNever};
  std::map<SlotId, Held> held_;
  std::map<SlotId, int> heard_of_;
  std::array<Streak, kMatters> streaks_;
  std::deque<Asked> asked_;
  std::vector<SlotId> round_;
  std::uint32_t number_ = 0;
  bool again_ = false;
  Millis word_at_ = kNever, majority_at_ = kNever, lost_ = kNever;
  bool cut_off_ = false;
  Allowed allowed_;
  // Of a list that is behind.
  std::set<std::uint32_t> ready_, told_doubted_;
  std::map<std::uint32_t, Millis> doubted_;  // until when
  std::uint32_t checked_ = 0;                // the last mark that was asked of
  Millis next_check_ = 0, own_word_at_ = kNever;
  std::uint64_t dropped_ = 0;
};

}  // namespace

const char* word_of(Finding finding) {
  constexpr const char* words[] = {"differs from its fellows",
                                   "agrees with its fellows again",
                                   "cut off",
                                   "in touch again",
                                   "turns writes away",
                                   "turns reads away"};
  return words[static_cast<int>(finding)];
}

std::unique_ptr<ConsistencyMonitor> make_consistency_monitor(const Options& charge, std::uint64_t seed) {
  return std::make_unique<Comparing>(charge, seed);
}

}  // namespace reedspindle::consistency
