#include "quota/quota_manager.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace reedspindle::quota {
namespace {

constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();
constexpr double kBids = 3;       // of a holder in one lease: two may be lost
constexpr double kAsks = 6;       // of a front that wants, lends or is young, in one lease
constexpr double kQuiet = 2;      // leases between two asks of a front that has nothing to ask
constexpr double kQuestions = 3;  // to an empty place while evidence holds
constexpr std::size_t kNumbers =
    4096;                     // answers and questions whose times are kept: some leases of 300 fronts
constexpr int kOfPlace = 64;  // datagrams of one place in a sixth of a lease; a place sends under ten

// When something was sent, by its number, the last few.
class Sent {
 public:
  void put(std::uint32_t number, SlotId to, Millis at) {
    by_number_[number] = {to, at};
    order_.push_back(number);
    if (order_.size() <= kNumbers) {
      return;
    }
    by_number_.erase(order_.front());
    order_.pop_front();
  }
  [[nodiscard]] Millis at(std::uint32_t number, SlotId to) const {
    const auto found = by_number_.find(number);
    return found == by_number_.end() || found->second.first != to ? kNever : found->second.second;
  }

 private:
  std::map<std::uint32_t, std::pair<SlotId, Millis>> by_number_;
  std::deque<std::uint32_t> order_;
};

class Sharing final : public QuotaManager {
 public:
  Sharing(const Options& charge, std::uint64_t seed)
      : charge_(charge), random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (life_.number == 0) {
      begin(now);
    }
    now_ = std::max(now_, now);
    if (now_ >= next_count_) {
      heard_of_.clear(), next_count_ = now_ + charge_.lease / kAsks;
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& happened) { take(happened); }, event);
    }
    if (!gone_) {
      stand_for_office();
      question_empty_places();
      ask();
    }
    emit();
    return std::move(decisions_);
  }

  [[nodiscard]] Part part(Millis now) const override {
    if (gone_) {
      return {};
    }
    const bool counts = charge_.place.number < charge_.fleet;
    Part part;
    part.among = charge_.fleet - (holds() ? ended() : now < ended_until_ ? ended_ : 0);
    const auto add = [&](int amount, Millis until) {
      if (now < until) {
        part.hold += amount;
      }
      if (now < until - charge_.notice) {
        part.open += amount;
      }
    };
    if (counts) {
      add(charge_.kept, kForever);
    }
    if (counts) {
      add(kSlot - charge_.kept, now >= settled_at_ ? kForever : own_until_);
    }
    add(granted_, granted_until_);
    int lent = 0;
    for (const auto& [until, amount] : lent_) {
      if (now < until) {
        lent = std::max(lent, amount);
      }
    }
    part.open = std::max(0, part.open - lent), part.hold = std::max(0, part.hold - lent);
    return part;
  }

  [[nodiscard]] View view() const override {
    View view{part(now_), holds(), holder_, 0, 0, dropped_};
    if (view.office) {
      view.pool = pool(), view.given = given({});
    }
    return view;
  }

 private:
  struct Grant {
    int amount = 0;
    Millis until = 0;
  };
  // Somebody who asks the office.
  struct Asker {
    Life life;
    Millis asked = kNever;
    int wants = 0;
    std::vector<Grant> out;  // what it may still be using, by this clock
    int lends = 0;
    Millis lends_until = kNever;  // up to when something may be given on the strength of it
  };

  void begin(Millis now) {
    life_ = {static_cast<std::uint64_t>(std::max(1.0, now * 1000))};
    started_ = now_ = now;
    // Whatever was given of this slot to others has ended by then: on the strength of evidence from before
    // the start, or of what a former life lent; then one lease, by clocks that may be slower than ours.
    settled_at_ = now + slow(std::max(charge_.evidence, charge_.lease) + charge_.lease);
    // A vote of a former life has come to its end by then.
    votes_from_ = now + slow(charge_.lease);
    heard_office_ = now;
    next_bid_ = votes_from_;
    const auto mix = [this](double value) {
      terms_ = (terms_ ^ static_cast<std::uint32_t>(std::llround(value * 1000))) * 16777619U;
    };
    terms_ = 2166136261U;
    for (const double value : {static_cast<double>(charge_.fleet), charge_.lease, charge_.evidence,
                               charge_.drift, static_cast<double>(charge_.kept)}) {
      mix(value);
    }
  }

  // So long by our clock that any other's has gone on by the span; and the other way round.
  [[nodiscard]] Millis slow(Millis span) const { return span * (1 + 3 * charge_.drift); }
  [[nodiscard]] Millis fast(Millis span) const { return span / (1 + 3 * charge_.drift); }

  bool believed(const Message& message, SlotId from) {
    if (message.place != from || from == charge_.place || from.number >= kMostPlaces) {
      return false;
    }
    if (++heard_of_[from] > kOfPlace) {
      return false;
    }
    if (message.terms == terms_) {
      return true;
    }
    if (other_terms_.insert(from).second) {
      decisions_.push_back(Found{Finding::other_terms, from});
    }
    return false;
  }

  void take(const DatagramReceived& heard) {
    const auto message = message_in(heard.bytes);
    if (!message || !believed(*message, heard.from)) {
      return void(++dropped_);
    }
    other_terms_.erase(heard.from);
    // A farewell is no sign of life.
    if (message->kind != Kind::gone) {
      heard_at_[heard.from] = now_;
    }
    switch (message->kind) {
      case Kind::bid:
        if (message->held) {
          heard_office_ = now_, holder_ = heard.from;
          ended_ = std::min(message->amount, charge_.fleet / 2), ended_until_ = now_ + fast(charge_.lease);
        }
        return tell(heard.from, Kind::vote, [&](Message& vote) {
          vote.of = message->number, vote.yes = votes_for(heard.from, message->life);
        });
      case Kind::vote:
        if (message->yes) {
          count(message->of, heard.from);
        }
        return;
      case Kind::ask:
        return answer(*message);
      case Kind::answer:
        return take_answer(*message);
      case Kind::question:
        return tell(heard.from, Kind::here, [&](Message& here) { here.of = message->number; });
      case Kind::here:
        return;
      case Kind::gone:
        // It says so of the time after the last answer it had; that one was sent when it was there.
        if (const Millis at = answers_.at(message->of, heard.from); at != kNever) {
          empty_at_[heard.from] = std::max(empty_at_[heard.from], at), heard_at_[heard.from] = kNever;
        }
        askers_.erase(heard.from);
        return;
    }
  }

  // Guards against a message that took long: it is dated by when the question was asked, not by when it came
  // back, for somebody may have started meanwhile.
  void take(const Refused& refused) {
    const auto number = question_in(refused.bytes);
    const Millis at = number ? questions_.at(*number, refused.at) : kNever;
    if (at == kNever) {
      return;
    }
    const auto known = empty_at_.try_emplace(refused.at, kNever).first;
    known->second = std::max(known->second, at);
  }

  void take(const PeersChanged& fellows) { there_ = fellows.there; }
  void take(const Demand& demand) {
    const bool more = demand.wants > demand_.wants;
    demand_ = demand;
    if (more) {
      next_ask_ = std::min(next_ask_, now_);
    }
  }
  void take(const Leaving& /*unused*/) {
    if (std::exchange(gone_, true)) {
      return;
    }
    if (holder_.number >= 0 && holder_ != charge_.place && last_answer_ > 0) {
      tell(holder_, Kind::gone, [this](Message& gone) { gone.of = last_answer_; });
    }
  }

  // The office: who holds it has, for a lease, the vote of a majority of the fleet, each of whom votes for
  // one at a time. So there is one at most.

  bool votes_for(SlotId candidate, Life life) {
    if (now_ < votes_from_) {
      return false;
    }
    // Two who stand at once would bind each other's voters for a lease: the one further back gives up, for
    // what it has asked for so far, and is free.
    if (bound_to_ == charge_.place && !holds() && candidate < charge_.place) {
      bids_.clear();
      bound_until_ = kNever;
    }
    const bool bound = now_ < bound_until_ && (bound_to_ != candidate || bound_life_ != life);
    if (bound || candidate.number >= charge_.fleet || charge_.place.number >= charge_.fleet) {
      return false;
    }
    bound_to_ = candidate, bound_life_ = life, bound_until_ = now_ + slow(charge_.lease);
    if (candidate != charge_.place) {
      next_bid_ = std::max(next_bid_, bound_until_);
    }
    return true;
  }

  void count(std::uint32_t bid, SlotId voter) {
    const auto found = bids_.find(bid);
    if (found == bids_.end() || voter.number >= charge_.fleet) {
      return;
    }
    found->second.second.insert(voter);
    if (std::ssize(found->second.second) <= charge_.fleet / 2) {
      return;
    }
    // It counts from when it was asked for, by our clock; the voters count from later, and longer.
    const Millis until = found->second.first + charge_.lease;
    bids_.erase(found);
    if (until <= now_) {
      return;
    }
    if (!holds()) {
      decisions_.push_back(Found{Finding::holds_office, charge_.place});
      next_bid_ = now_;  // by which all hear of it
    }
    office_until_ = std::max(office_until_, until), holder_ = charge_.place, heard_office_ = now_;
    was_holder_ = true;
  }

  [[nodiscard]] bool holds() const { return now_ < office_until_; }

  void stand_for_office() {
    if (was_holder_ && !holds()) {
      was_holder_ = false;
      holder_ = {};
      decisions_.push_back(Found{Finding::lost_office, charge_.place});
    }
    if (!holds() && holder_.number >= 0 && now_ > heard_office_ + slow(charge_.lease)) {
      holder_ = {};
    }
    if (charge_.place.number >= charge_.fleet) {
      return;
    }
    // Who stands first in the list of those that are there tries first, the others each a little later.
    Millis at = next_bid_;
    if (!holds()) {
      const auto before = std::distance(there_.begin(), there_.lower_bound(charge_.place));
      at = std::max(at, heard_office_ + slow(charge_.lease) +
                            std::min<double>(static_cast<double>(before), 8) * charge_.lease / 4);
      if (first_) {
        at = std::max(votes_from_,
                      started_ + std::min<double>(static_cast<double>(before), 8) * charge_.lease / 4);
      }
    }
    bid_at_ = at;
    if (now_ < at) {
      return;
    }
    first_ = false;
    // A vote that is bound to another, or lost, is tried again after a time of chance, so that two don't go
    // on taking each other's.
    next_bid_ = bid_at_ = now_ + (holds() ? charge_.lease / kBids : charge_.lease * (0.5 + chance()));
    while (bids_.size() > 2 * kBids) {
      bids_.erase(bids_.begin());
    }
    const bool held = holds();
    const std::uint32_t bid = ++number_;
    bids_[bid] = {now_, {}};
    for (int place = 0; place < charge_.fleet; ++place) {
      if (place != charge_.place.number) {
        tell({place}, Kind::bid, [&](Message& message) {
          message.number = bid, message.held = held, message.amount = held ? ended() : 0;
        });
      }
    }
    if (votes_for(charge_.place, life_)) {
      count(bid, charge_.place);
    }
  }

  // Who holds the office asks at places where nobody seems to be. That the question comes back is the word of
  // the machine there, the only sign by which one who is dead can be told from one who is cut off.
  void question_empty_places() {
    if (!holds() || now_ < next_question_) {
      return;
    }
    next_question_ = now_ + charge_.evidence / kQuestions;
    for (int place = 0; place < charge_.fleet; ++place) {
      if (place == charge_.place.number || there_.contains({place})) {
        continue;
      }
      tell({place}, Kind::question, [&](Message& question) {
        question.number = ++number_;
        questions_.put(question.number, {place}, now_);
      });
    }
  }

  [[nodiscard]] bool is_free(SlotId place) const {
    const auto empty = empty_at_.find(place);
    if (empty == empty_at_.end() || now_ >= empty->second + charge_.evidence) {
      return false;
    }
    // Guards against something between that sends questions back: who is heard since is there.
    const auto heard = heard_at_.find(place);
    return heard == heard_at_.end() || heard->second < empty->second;
  }

  [[nodiscard]] int ended() const {
    return static_cast<int>(std::ranges::count_if(empty_at_, [this](const auto& item) {
      return item.first.number < charge_.fleet && is_free(item.first);
    }));
  }

  // What is known not to be used by whom it belongs to.
  [[nodiscard]] int pool(SlotId before = {kMostPlaces}) const {
    int pool = 0;
    for (const auto& [place, at] : empty_at_) {
      if (place.number < charge_.fleet && is_free(place)) {
        pool += kSlot - charge_.kept;
      }
    }
    for (const auto& [place, asker] : askers_) {
      if (place < before && now_ < asker.lends_until && !is_free(place)) {
        pool += asker.lends;
      }
    }
    return pool;
  }

  // What may be in use of what was handed out, but by one: of several grants the largest, for the last may
  // have been lost.
  [[nodiscard]] int given(SlotId without) const {
    int given = 0;
    for (const auto& [place, asker] : askers_) {
      if (place != without) {
        given += largest(asker);
      }
    }
    return given;
  }
  [[nodiscard]] int largest(const Asker& asker) const {
    int most = 0;
    for (const Grant& grant : asker.out) {
      if (now_ < grant.until) {
        most = std::max(most, grant.amount);
      }
    }
    return most;
  }

  // An equal part of the pool for each who wants one, none more than it wants; what some leave the others
  // get.
  [[nodiscard]] int target(SlotId of) const {
    std::vector<std::pair<int, SlotId>> wants;
    for (const auto& [place, asker] : askers_) {
      if (asker.wants > 0 && now_ - asker.asked < charge_.lease) {
        wants.emplace_back(asker.wants, place);
      }
    }
    std::ranges::sort(wants);
    int left = pool();
    for (std::size_t at = 0; at < wants.size(); ++at) {
      const int part = std::min(wants[at].first, left / static_cast<int>(wants.size() - at));
      if (wants[at].second == of) {
        return part;
      }
      left -= part;
    }
    return 0;
  }

  // For how long something may be handed out now: nothing outlasts the office.
  [[nodiscard]] Millis span() const { return fast(std::min(charge_.lease, office_until_ - now_)); }

  void answer(const Message& asks) {
    if (!holds()) {
      return;
    }
    Asker& asker = askers_[asks.place];
    if (asker.life != asks.life) {
      asker = {asks.life, kNever, 0, asker.out, 0, kNever};
    }
    asker.asked = now_, asker.wants = asks.wants;
    // What it lends it has not used since it had the answer that it names, and will not for two leases.
    if (const Millis known = answers_.at(asks.of, asks.place); asks.lends > 0 && known != kNever) {
      asker.lends = asks.lends, asker.lends_until = known + charge_.lease;
    } else if (now_ >= asker.lends_until) {
      asker.lends = 0;
    }
    std::erase_if(asker.out, [this](const Grant& grant) { return now_ >= grant.until; });
    const int room = pool() - given(asks.place);
    // Its own slot is its own again when nothing that was handed out needs it any more.
    const bool own = asks.young && room >= largest(asker);
    const int amount = std::max(0, std::min(target(asks.place), room));
    int wanted = 0;
    for (const auto& [place, one] : askers_) {
      if (now_ - one.asked < charge_.lease) {
        wanted += one.wants;
      }
    }
    const Millis left = span();
    if (amount > 0) {
      asker.out.push_back({amount, now_ + slow(left)});
    }
    if (asks.place == charge_.place) {
      granted_ = amount, granted_until_ = now_ + left;
      if (own) {
        own_until_ = now_ + left;
      }
      return;
    }
    tell(asks.place, Kind::answer, [&](Message& message) {
      message.number = ++number_, message.of = asks.number;
      message.amount = amount, message.left = left, message.own = own;
      // Who lends goes on as long as those before it don't lend enough; else all would stop, and start, at
      // once.
      message.need = wanted > pool(asks.place);
      answers_.put(message.number, asks.place, now_);
    });
  }

  void take_answer(const Message& answer) {
    const Millis asked = asks_.at(answer.of, answer.place);
    // Only to the last asks, and never to an earlier one than the last that was answered.
    if (asked == kNever || asked <= answered_) {
      return;
    }
    answered_ = asked, last_answer_ = answer.number;
    heard_office_ = now_, holder_ = answer.place;
    need_ = answer.need;
    if (need_ && demand_.lends > 0) {
      next_ask_ = std::min(next_ask_, now_ + charge_.lease / kAsks);
    }
    const Millis until = asked + std::min(answer.left, charge_.lease);
    granted_ = answer.amount, granted_until_ = until;
    if (answer.own && own_until_ == kNever) {
      decisions_.push_back(Found{Finding::whole, charge_.place});
    }
    if (answer.own) {
      own_until_ = until;
    }
  }

  void ask() {
    if (now_ < next_ask_) {
      return;
    }
    const bool young = now_ < settled_at_;
    // Lent is what nobody has to ask for again at once: of a settled slot, and while others are short of it.
    const int lends = !young && need_ ? std::clamp(demand_.lends, 0, kSlot - charge_.kept) : 0;
    const bool active = young || demand_.wants > 0 || lends > 0;
    next_ask_ = now_ + charge_.lease * (active ? 1 / kAsks : kQuiet) * (0.9 + 0.2 * chance());
    Message message = blank(Kind::ask);
    message.number = ++number_, message.of = last_answer_, message.young = young,
    message.wants = demand_.wants;
    if (holds()) {
      message.place = charge_.place;
      return answer(message);
    }
    if (holder_.number < 0) {
      return;
    }
    std::erase_if(lent_, [this](const auto& one) { return now_ >= one.first; });
    if (lends > 0 && last_answer_ > 0) {
      message.lends = lends;
      lent_.emplace_back(now_ + 2 * slow(charge_.lease), lends);
    }
    asks_.put(message.number, holder_, now_);
    decisions_.push_back(SendDatagram{holder_, bytes_of(message)});
  }

  [[nodiscard]] Message blank(Kind kind) const {
    Message message;
    message.kind = kind, message.place = charge_.place, message.life = life_, message.terms = terms_;
    return message;
  }
  template <typename Fill>
  void tell(SlotId to, Kind kind, Fill fill) {
    Message message = blank(kind);
    fill(message);
    decisions_.push_back(SendDatagram{to, bytes_of(message)});
  }

  void emit() {
    if (const Part part = this->part(now_); part != told_) {
      decisions_.push_back(Changed{told_ = part});
    }
    Millis next = now_ + charge_.lease;
    const auto at = [&](Millis when) {
      if (when > now_) {
        next = std::min(next, when);
      }
    };
    for (const Millis until : {granted_until_, own_until_}) {
      at(until), at(until - charge_.notice);
    }
    at(ended_until_);
    for (const auto& [until, amount] : lent_) {
      at(until);
    }
    at(settled_at_), at(settled_at_ + charge_.notice);
    if (!gone_) {
      at(bid_at_), at(next_ask_);
      if (holds()) {
        at(next_question_), at(office_until_);
      }
    }
    decisions_.push_back(RequestWakeup{next});
  }

  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  static constexpr int kMostPlaces = 1 << 16;
  const Options charge_;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  Life life_;
  std::uint32_t terms_ = 0, number_ = 0;
  Millis now_ = 0, started_ = 0;
  std::set<SlotId> there_, other_terms_;
  std::map<SlotId, int> heard_of_;
  Millis next_count_ = 0;
  std::uint64_t dropped_ = 0;
  bool gone_ = false;
  // What this front may use.
  Millis settled_at_ = 0, own_until_ = kNever, granted_until_ = kNever;
  int granted_ = 0;
  std::vector<std::pair<Millis, int>> lent_;  // until when, how much
  Demand demand_;
  Part told_{-1, -1};
  // As one who asks.
  Sent asks_;
  Millis next_ask_ = 0, answered_ = kNever;
  std::uint32_t last_answer_ = 0;  // of the office's, its number
  bool need_ = false;
  SlotId holder_;
  Millis heard_office_ = 0;
  int ended_ = 0;  // fronts, by the office's word
  Millis ended_until_ = kNever;
  // As one who votes.
  Millis votes_from_ = 0, bound_until_ = kNever;
  SlotId bound_to_;
  Life bound_life_;
  // As one who stands for the office, or holds it.
  std::map<std::uint32_t, std::pair<Millis, std::set<SlotId>>> bids_;
  Millis next_bid_ = 0, bid_at_ = 0, next_question_ = 0, office_until_ = kNever;
  bool was_holder_ = false, first_ = true;
  Sent answers_, questions_;
  std::map<SlotId, Millis> empty_at_, heard_at_;
  std::map<SlotId, Asker> askers_;
};

}  // namespace

const char* word_of(Finding finding) {
  constexpr const char* words[] = {"holds the office of shares", "lost the office of shares",
                                   "its slot is whole again", "another front has other terms"};
  return words[static_cast<int>(finding)];
}

std::unique_ptr<QuotaManager> make_quota_manager(const Options& charge, std::uint64_t seed) {
  return std::make_unique<Sharing>(charge, seed);
}

}  // namespace reedspindle::quota
