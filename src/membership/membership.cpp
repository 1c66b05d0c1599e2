#include "membership/membership.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <random>
#include <utility>

#include "membership/peer_table.hpp"

namespace reedspindle::membership {
namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
// Figures of the literature (SWIM: Das, Gupta, Motivala 2002; Lifeguard: Dadgar, Phillips, Currey 2018), kept
// as they are.
constexpr int kHelpers = 3;     // fellows asked to probe as well
constexpr int kSure = 3;        // others' doubts after which a suspicion lasts its shortest time
constexpr double kLongest = 6;  // the longest time of a suspicion in shortest ones
constexpr int kWorst = 3;       // how much a front doubts itself at most; Lifeguard has 8, with which two
                           // survivors of eight took 25 s instead of 18 to see six deaths (virtual, one run)
constexpr double kSentOn = 4;       // times that a word is sent on, times the log10 of how many are here
constexpr double kNackAfter = 0.8;  // of the time-out, until a helper says that it has no answer either
// Figures of our own.
constexpr int kFarewells = 8;       // fellows told at once of a leaving; any one that lives passes it on
constexpr int kOfRange = 8;         // words on a range that go into one datagram, names being some 8 letters
constexpr double kPacesOfSeek = 2;  // so that a place that comes to life is met within places times that
constexpr double kPacesOfCompare = 10;  // costs half a datagram a pace; gossip has missed little by then
constexpr int kSpare = 16;              // datagrams a pace, at most, that tell where two fronts differ
constexpr int kErrands = 64;            // that are run for others at a time, at most
constexpr int kOfPlace = 64;            // datagrams a pace that one place may send; SWIM's sum is under ten
constexpr int kTries = 3;               // questions to another that has this front's name, until it is gone
constexpr Millis kAhead =
    86400000;  // of our clock: a day, more than any clock that somebody looks after is wrong
constexpr double kPacesOfYield = 20;  // after which it is asked again

class Watch final : public Membership {
 public:
  Watch(const Options& charge, std::uint64_t seed)
      : charge_(charge),
        random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
        fellows_(charge.most),
        heard_of_(static_cast<std::size_t>(charge.places)) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    decisions_.clear();
    if (born_ == 0) {
      begin(now);
    }
    mind_the_gap(now);
    now_ = std::max(now_, now);
    if (now_ >= next_count_) {
      std::ranges::fill(heard_of_, 0);
      spare_ = kSpare, next_count_ = now_ + charge_.pace;
      for (const Word& word : fellows_.forget(now_ - charge_.forget)) {
        change(word, Happening::forgotten);
      }
    }
    for (Event& event : std::exchange(events_, {})) {
      std::visit([this](const auto& happened) { take(happened); }, event);
    }
    if (!leaving_) {
      contend();
      if (!yielded_) {
        run_errands(), probe(), seek(), compare();
      }
    }
    judge();
    wake();
    return std::move(decisions_);
  }

  [[nodiscard]] View view() const override {
    View view{version_, incarnation_, health_, yielded_, {}, dropped_};
    for (const auto& [name, fellow] : fellows_.all()) {
      view.fellows.push_back(
          {name, fellow.word.place, fellow.word.standing, fellow.word.incarnation, fellow.since});
    }
    return view;
  }

 private:
  struct Probe {
    std::string name;
    SlotId place;
    std::uint32_t number = 0;
    Millis sent = 0;
    bool asked = false;
    int helpers = 0, nacks = 0;
  };
  // A probe for another front.
  struct Errand {
    SlotId of, place;
    std::uint32_t number_of = 0, number = 0;
    Millis until = 0;
  };
  struct News {
    Word word;
    int sent = 0;
  };
  struct Rival {
    SlotId place;
    Incarnation incarnation;
    int tries = 0;
    Millis next = 0;
  };

  void begin(Millis now) {
    // The Unix time of the start, so that it rises over restarts without a disk; where the clock went back,
    // fellows' words of the former life raise it.
    born_ = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(now));
    incarnation_ = {born_};
    now_ = wake_ = next_seek_ = now;
    next_probe_ = now + charge_.pace * chance();
    next_compare_ = now + charge_.pace * kPacesOfCompare * chance();
    spread(self());
  }

  // Guards against a process that was stopped or starved: what it has not heard meanwhile says nothing of the
  // others. It doubts itself as much as it can, and suspicions get the time that they have missed.
  void mind_the_gap(Millis now) {
    const Millis gap = now - wake_;
    if (gap <= charge_.pace) {
      return;
    }
    found(Finding::stopped, {}, gap);
    health_ = kWorst;
    probe_.reset();
    errands_.clear();
    next_probe_ = now;
    for (const std::string& name : fellows_.suspects()) {
      fellows_.find(name)->suspected += gap;
    }
  }

  // What was heard.

  void take(const Listed& listed) {
    charge_.places = listed.places;
    heard_of_.resize(static_cast<std::size_t>(listed.places));
  }

  void take(const Leaving& /*unused*/) {
    if (std::exchange(leaving_, true) || yielded_) {
      return;
    }
    Word word = self();
    word.standing = Standing::left;
    spread(word);
    for (const SlotId place : some(kFarewells, place_)) {
      tell(place, Kind::words, 0, [](Message& message) { message.answer = true; });
    }
  }

  void take(const DatagramReceived& heard) {
    const auto from = static_cast<std::size_t>(heard.from.number);
    if (from >= heard_of_.size()) {
      return void(++dropped_.strange);
    }
    // Guards against a flood from one address: beyond this its datagrams are not even read.
    if (++heard_of_[from] > kOfPlace) {
      return void(++dropped_.flood);
    }
    const auto message = message_in(heard.bytes);
    if (!message) {
      return void(++dropped_.unread);
    }
    if (message->place != heard.from || message->place == place_ || !likely(message->incarnation)) {
      return void(++dropped_.strange);
    }
    if (message->name == charge_.name) {
      return meet_rival(*message);
    }
    if (yielded_) {
      return;
    }
    const std::optional<Word> mistaken = meet(*message);
    for (const Word& word : message->words) {
      learn(word);
    }
    answer(*message, mistaken);
  }

  // Guards against an incarnation from which nobody could rise any more, and against one that outlives its
  // front.
  [[nodiscard]] bool likely(Incarnation incarnation) const {
    return static_cast<double>(incarnation.number) < now_ + kAhead;
  }

  // The sender itself is there. What it should hear of itself, if anything.
  std::optional<Word> meet(const Message& message) {
    // Who answers at a place is the only one there.
    if (const Peer* other = fellows_.at(message.place); other && other->word.name != message.name) {
      Word gone = other->word;
      gone.standing = Standing::failed, gone.by = place_;
      accept(gone);
    }
    const Word word{message.name,
                    message.place,
                    message.leaving ? Standing::left : Standing::there,
                    message.incarnation,
                    {}};
    const Peer* held = fellows_.find(message.name);
    const bool new_here = !held || !is_here(held->word.standing);
    if (fellows_.weigh(word) == PeerTable::Weight::news) {
      accept(word);
      // Met for the first time, or again: both find out what the other knows.
      if (new_here && !message.leaving) {
        differ_with_ = message.place;
      }
      return std::nullopt;
    }
    if (message.leaving || !held || held->word == word) {
      return std::nullopt;
    }
    return held->word;
  }

  void answer(const Message& message, const std::optional<Word>& mistaken) {
    switch (message.kind) {
      case Kind::ping:
        return tell(message.place, Kind::ack, message.number, [&](Message& ack) {
          if (mistaken) {
            ack.words.push_back(*mistaken);
          }
        });
      case Kind::ack:
        acked(message);
        break;
      case Kind::ask:
        take_errand(message);
        break;
      case Kind::vouch:
        if (!probe_ || message.number != probe_->number || message.words.empty() ||
            message.words.front().name != probe_->name) {
          return void(++dropped_.late);
        }
        probe_.reset();  // it lives; the way there does not, which says nothing good of ourselves
        break;
      case Kind::nack:
        if (probe_ && message.number == probe_->number) {
          ++probe_->nacks;
        }
        break;
      case Kind::digest:
        return answer_digest(message);
      case Kind::words:
        if (!message.answer) {
          answer_words(message);
        }
        break;
    }
    // Guards against two halves that were cut off from one another and each hold the other failed: who is
    // mistaken for gone hears so and refutes it.
    if (mistaken && (!is_here(mistaken->standing) || mistaken->incarnation > message.incarnation)) {
      tell(message.place, Kind::words, 0, [&](Message& words) {
        words.answer = true;
        words.words.push_back(*mistaken);
      });
    }
  }

  void acked(const Message& message) {
    if (probe_ && message.number == probe_->number) {
      probe_.reset();
      health_ = std::max(0, health_ - 1);
      return;
    }
    const auto errand = std::ranges::find(errands_, message.number, &Errand::number);
    if (errand == errands_.end()) {
      if (!std::ranges::count(asked_, std::pair(message.number, message.place))) {
        ++dropped_.late;
      }
      return;
    }
    if (const Peer* there = fellows_.find(message.name)) {
      tell(errand->of, Kind::vouch, errand->number_of,
           [&](Message& vouch) { vouch.words.push_back(there->word); });
    }
    errands_.erase(errand);
  }

  // Words.

  void learn(const Word& word) {
    // Only places of the list are believed.
    if (word.place.number >= charge_.places || !likely(word.incarnation)) {
      return void(++dropped_.strange);
    }
    if (word.name == charge_.name) {
      return hear_of_self(word);
    }
    switch (fellows_.weigh(word)) {
      case PeerTable::Weight::news:
        return accept(word);
      case PeerTable::Weight::confirmation:
        return doubt(*fellows_.find(word.name), word.by);
      default:
        return;
    }
  }

  // One more that suspects it, as far as that still counts; told on, for it shortens the others' patience
  // too.
  void doubt(Peer& fellow, SlotId by) {
    if (by.number < 0 || fellow.doubters.size() > kSure || std::ranges::count(fellow.doubters, by)) {
      return;
    }
    fellow.doubters.push_back(by);
    Word word = fellow.word;
    word.by = by;
    spread(word);
  }

  // A word that outweighs what is held.
  void accept(Word word) {
    const Peer* held = fellows_.find(word.name);
    if (!held && !is_here(word.standing)) {
      return fellows_.bury(word.name, word.incarnation);
    }
    const std::optional<Word> before = held ? std::optional(held->word) : std::nullopt;
    // Who is there in our eyes gets the time to refute it: guards against one half's belief about the other
    // coming in at once when they meet again. Where it has been suspected for a while, a failure is taken as
    // told, so that all hear of a death soon after the first.
    if (before && word.standing == Standing::failed && word.by != place_) {
      if (before->standing == Standing::there) {
        word.standing = Standing::suspected;
      }
      if (before->standing == Standing::suspected && now_ - held->suspected < least() / 2) {
        return doubt(*fellows_.find(word.name), word.by);
      }
    }
    Peer& fellow = fellows_.take(word, now_);
    if (word.standing == Standing::suspected && word.by.number >= 0) {
      fellow.doubters.push_back(word.by);
    }
    spread(word);
    const bool was_here = before && is_here(before->standing);
    const bool here = is_here(word.standing);
    if (!was_here && here) {
      ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(random_() % (ring_.size() + 1)), word.name);
      change(word, before ? Happening::back : Happening::joined);
    }
    if (was_here && here && before->place != word.place) {
      change(word, Happening::moved);
    }
    if (word.standing == Standing::suspected && (!before || before->standing != Standing::suspected)) {
      change(word, Happening::suspected);
    }
    if (word.standing == Standing::there && before && before->standing == Standing::suspected) {
      change(word, Happening::cleared);
    }
    if (was_here && !here) {
      change(word, word.standing == Standing::left ? Happening::left : Happening::failed);
    }
  }

  void hear_of_self(const Word& word) {
    if (leaving_ || word.incarnation < incarnation_) {
      return;
    }
    if (word.place != place_) {
      if (is_here(word.standing)) {
        return contest(word.place, word.incarnation);
      }
      return rise(word.incarnation);
    }
    if (word.standing == Standing::there) {
      // Of a former life, whose clock was ahead of ours.
      if (word.incarnation > incarnation_) {
        rise(word.incarnation);
      }
      return;
    }
    rise(word.incarnation);
    if (word.standing == Standing::left) {
      return;  // the former life's farewell
    }
    health_ = std::min(kWorst, health_ + 1);
    found(Finding::refuted, word.by);
  }

  void rise(Incarnation above) {
    incarnation_.number = std::max(incarnation_.number, above.number) + 1;
    spread(self());
  }

  // Another process with this front's name.

  void contest(SlotId place, Incarnation incarnation) {
    if (rival_ && rival_->place == place) {
      rival_->incarnation = std::max(rival_->incarnation, incarnation);
      return;
    }
    rival_ = Rival{place, incarnation, 0, now_};
    found(Finding::contested, place);
  }

  // Of two live processes with one name the one that was started later yields; with the same start, the one
  // that stands further back in the list. Both go by what the other says of itself, so one yields, not both.
  void meet_rival(const Message& message) {
    if (leaving_) {
      return;
    }
    if (std::pair(message.born, message.place) < std::pair(born_, place_)) {
      if (!std::exchange(yielded_, true)) {
        found(Finding::yields, message.place);
      }
      rival_ = Rival{message.place, message.incarnation, 0, now_ + kPacesOfYield * charge_.pace};
      return;
    }
    rival_.reset();
    if (message.incarnation >= incarnation_) {
      rise(message.incarnation);
    }
    if (message.kind == Kind::ping) {
      tell(message.place, Kind::ack, message.number);
    }
  }

  void contend() {
    if (!rival_ || now_ < rival_->next) {
      return;
    }
    if (rival_->tries++ < kTries) {
      rival_->next = now_ + charge_.pace;
      return tell(rival_->place, Kind::ping, ++number_);
    }
    // Nobody is there any more under this name: it has moved here.
    const Rival gone = *std::exchange(rival_, std::nullopt);
    yielded_ = false;
    rise(gone.incarnation);
    found(Finding::claims, gone.place);
  }

  // Probes.

  [[nodiscard]] Millis stretched(Millis span) const { return span * (1 + health_); }

  void probe() {
    if (probe_ && !probe_->asked && now_ >= probe_->sent + stretched(charge_.timeout)) {
      probe_->asked = true;
      for (const SlotId helper : some(kHelpers, probe_->place)) {
        ++probe_->helpers;
        tell(helper, Kind::ask, probe_->number, [this](Message& ask) { ask.about = probe_->place; });
      }
    }
    if (now_ < next_probe_) {
      return;
    }
    if (probe_) {
      unanswered(*std::exchange(probe_, std::nullopt));
    }
    next_probe_ = now_ + stretched(charge_.pace);
    const Peer* next = next_in_turn();
    if (!next) {
      return;
    }
    const Word word = next->word;
    ask(word.place, word.standing == Standing::suspected ? &word : nullptr);
    probe_ = Probe{word.name, word.place, number_, now_};
  }

  // A question whether somebody is there; who is suspected is told so with it.
  void ask(SlotId place, const Word* word = nullptr) {
    asked_[++asked_last_ % asked_.size()] = {++number_, place};
    tell(place, Kind::ping, number_, [&](Message& ping) {
      if (word) {
        ping.words.push_back(*word);
      }
    });
  }

  void unanswered(const Probe& probe) {
    // Helpers that said nothing either speak against ourselves.
    const int silent = probe.helpers > 0 ? probe.helpers - probe.nacks : 1;
    health_ = std::clamp(health_ + silent, 0, kWorst);
    const Peer* fellow = fellows_.find(probe.name);
    if (!fellow || !is_here(fellow->word.standing)) {
      return;
    }
    Word word = fellow->word;
    word.standing = Standing::suspected, word.by = place_;
    learn(word);
  }

  // All in turn, in an order of chance that is drawn anew each round (SWIM's bounded time to a first probe).
  const Peer* next_in_turn() {
    for (std::size_t tries = 0; tries <= ring_.size(); ++tries) {
      if (turn_ >= ring_.size()) {
        turn_ = 0;
        ring_.clear();
        for (const auto& [name, fellow] : fellows_.all()) {
          if (is_here(fellow.word.standing)) {
            ring_.push_back(name);
          }
        }
        for (std::size_t left = ring_.size(); left > 1; --left) {
          std::swap(ring_[left - 1], ring_[random_() % left]);
        }
      }
      if (ring_.empty()) {
        return nullptr;
      }
      const Peer* next = fellows_.find(ring_[turn_++]);
      if (next && is_here(next->word.standing)) {
        return next;
      }
    }
    return nullptr;
  }

  // Places of fellows that are here, drawn by chance, without one.
  std::vector<SlotId> some(int count, SlotId without) {
    std::vector<SlotId> places;
    for (int tries = 0; tries < 4 * count && !ring_.empty() && std::ssize(places) < count; ++tries) {
      const Peer* drawn = fellows_.find(ring_[random_() % ring_.size()]);
      if (drawn && is_here(drawn->word.standing) && drawn->word.place != without &&
          !std::ranges::count(places, drawn->word.place)) {
        places.push_back(drawn->word.place);
      }
    }
    return places;
  }

  void take_errand(const Message& message) {
    if (message.about.number >= charge_.places || message.about == place_ || errands_.size() >= kErrands) {
      return;
    }
    errands_.push_back(
        {message.place, message.about, message.number, ++number_, now_ + charge_.timeout * kNackAfter});
    tell(message.about, Kind::ping, number_);
  }

  void run_errands() {
    std::erase_if(errands_, [this](const Errand& errand) {
      if (now_ < errand.until) {
        return false;
      }
      tell(errand.of, Kind::nack, errand.number_of);
      return true;
    });
  }

  // Ends suspicions. The fewer others share one, the longer it lasts: then it may be ourselves.
  void judge() {
    std::vector<Word> failed;
    for (const std::string& name : fellows_.suspects()) {
      if (const Peer& fellow = *fellows_.find(name); now_ >= ends(fellow)) {
        failed.push_back(fellow.word);
      }
    }
    for (Word& word : failed) {
      word.standing = Standing::failed, word.by = place_;
      accept(word);
    }
  }

  [[nodiscard]] Millis least() const {
    return charge_.suspicion_multiplier * std::max(1.0, std::log10(fellows_.here() + 1)) * charge_.pace;
  }

  [[nodiscard]] Millis ends(const Peer& fellow) const {
    const double here = fellows_.here() + 1;
    const Millis least = this->least();
    const double others = std::min<double>(kSure, here - 3);
    if (others < 1) {
      return fellow.suspected + least;
    }
    const double shared =
        std::log(std::max<double>(1, static_cast<double>(fellow.doubters.size()))) / std::log(others + 1);
    return fellow.suspected + std::max(least, kLongest * least - (kLongest - 1) * least * shared);
  }

  // Asks at places where nobody is held to be: at the start, and so that those who were cut off, or have come
  // to the list anew, are found.
  void seek() {
    if (now_ < next_seek_) {
      return;
    }
    const bool alone = fellows_.here() == 0;
    next_seek_ = now_ + charge_.pace * (alone ? 1 : kPacesOfSeek);
    int asks = alone ? kHelpers : 1;
    const int first = static_cast<int>(random_() % static_cast<unsigned>(std::max(1, charge_.places)));
    for (int step = 0; step < charge_.places && asks > 0; ++step) {
      const SlotId place{(first + step) % charge_.places};
      if (place == place_ || fellows_.at(place)) {
        continue;
      }
      --asks;
      ask(place);
    }
  }

  // Where two fronts differ: sums of all they hold, then of the parts whose sums are not the same, down to
  // words (the hash tree of Dynamo, DeCandia et al. 2007).

  void compare() {
    if (now_ >= next_compare_) {
      next_compare_ = now_ + charge_.pace * kPacesOfCompare;
      if (const auto with = some(1, place_); !with.empty()) {
        send_digest(with.front(), {});
      }
    }
    if (const auto with = std::exchange(differ_with_, std::nullopt)) {
      send_digest(*with, {});
    }
  }

  void send_digest(SlotId to, Range range) {
    tell(to, Kind::digest, 0, [&](Message& digest) {
      digest.range = range;
      digest.sums = fellows_.sums(range, self());
    });
  }

  void answer_digest(const Message& message) {
    const std::vector<std::uint32_t> sums = fellows_.sums(message.range, self());
    const unsigned first = random_() % kFan;
    for (unsigned step = 0; step < kFan && spare_ > 0; ++step) {
      const unsigned part = (first + step) % kFan;
      if (sums[part] == message.sums[part]) {
        continue;
      }
      --spare_;
      send_range(message.place, {message.range.depth + 1, message.range.prefix << 4 | part}, false);
    }
  }

  void answer_words(const Message& message) {
    if (spare_ <= 0) {
      return;
    }
    --spare_;
    send_range(message.place, message.range, true, &message.words);
  }

  // Words on all in the range but those that the other has told the same; sums where they are too many.
  void send_range(SlotId to, Range range, bool answer, const std::vector<Word>* told = nullptr) {
    auto words = fellows_.words(range, self(), kOfRange);
    if (!words && range.depth < kDeepest) {
      return send_digest(to, range);
    }
    if (!words) {
      return;
    }
    if (told) {
      std::erase_if(*words, [&](const Word& word) {
        return std::ranges::any_of(*told, [&](const Word& other) {
          return other.name == word.name && other.incarnation == word.incarnation &&
                 other.standing == word.standing;
        });
      });
    }
    if (answer && words->empty()) {
      return;
    }
    tell(to, Kind::words, 0, [&](Message& message) {
      message.range = range, message.answer = answer;
      message.words = std::move(*words);
    });
  }

  // What goes out.

  [[nodiscard]] Word self() const { return {charge_.name, place_, Standing::there, incarnation_, {}}; }

  void spread(const Word& word) { news_[word.name] = {word, 0}; }

  // The news sent least often go along, behind what the message itself has to say.
  template <typename Fill>
  void tell(SlotId to, Kind kind, std::uint32_t number, Fill fill) {
    Message message;
    message.kind = kind, message.number = number, message.name = charge_.name, message.place = place_;
    message.incarnation = incarnation_, message.born = born_, message.leaving = leaving_;
    fill(message);
    const std::size_t own = message.words.size();
    std::vector<News*> news;
    for (auto& [name, one] : news_) {
      news.push_back(&one);
    }
    std::ranges::stable_sort(news, {}, &News::sent);
    if (news.size() > kMostWords) {
      news.resize(kMostWords);
    }
    for (const News* one : news) {
      message.words.push_back(one->word);
    }
    std::size_t told = 0;
    decisions_.push_back(SendDatagram{to, bytes_of(message, told)});
    const int most = static_cast<int>(std::ceil(kSentOn * std::log10(fellows_.here() + 2)));
    for (std::size_t at = own; at < told; ++at) {
      if (News* one = news[at - own]; ++one->sent >= most) {
        news_.erase(std::string(one->word.name));
      }
    }
  }
  void tell(SlotId to, Kind kind, std::uint32_t number) {
    tell(to, kind, number, [](Message&) {});
  }

  void change(const Word& word, Happening happening) {
    ++version_;
    decisions_.push_back(Change{word.name, word.place, happening, word.incarnation});
  }
  void found(Finding finding, SlotId place, Millis span = 0) {
    decisions_.push_back(Found{finding, place, span});
  }

  void wake() {
    Millis next = kNever;
    const auto at = [&next](Millis when) { next = std::min(next, when); };
    if (!leaving_) {
      if (rival_) {
        at(rival_->next);
      }
      if (!yielded_) {
        at(next_probe_), at(next_seek_), at(next_compare_);
        if (probe_ && !probe_->asked) {
          at(probe_->sent + stretched(charge_.timeout));
        }
        for (const Errand& errand : errands_) {
          at(errand.until);
        }
      }
    }
    for (const std::string& name : fellows_.suspects()) {
      at(ends(*fellows_.find(name)));
    }
    // Alone with its farewell it still minds its clock, so that a gap can be told from quiet.
    wake_ = std::max(now_, std::min(next, now_ + charge_.pace));
    decisions_.push_back(RequestWakeup{wake_});
  }

  double chance() { return static_cast<double>(random_()) / static_cast<double>(random_.max()); }

  Options charge_;
  const SlotId place_ = charge_.place;
  std::minstd_rand random_;
  std::vector<Event> events_;
  std::vector<Decision> decisions_;
  PeerTable fellows_;
  std::vector<std::string> ring_;  // who is probed in turn
  std::size_t turn_ = 0;
  std::map<std::string, News> news_;
  std::optional<Probe> probe_;
  std::vector<Errand> errands_;
  std::optional<Rival> rival_;
  std::optional<SlotId> differ_with_;
  std::array<std::pair<std::uint32_t, SlotId>, 16> asked_{};  // this front's last questions
  std::size_t asked_last_ = 0;
  std::vector<int> heard_of_;  // datagrams of each place in this pace
  Dropped dropped_;
  Incarnation incarnation_;
  std::uint64_t born_ = 0, version_ = 0;
  std::uint32_t number_ = 0;
  int health_ = 0, spare_ = kSpare;
  bool leaving_ = false, yielded_ = false;
  Millis now_ = 0, wake_ = 0;
  Millis next_probe_ = 0, next_seek_ = 0, next_compare_ = 0, next_count_ = 0;
};

}  // namespace

const char* word_of(Standing standing) {
  constexpr const char* words[] = {"there", "suspected", "failed", "left"};
  return words[static_cast<int>(standing)];
}

const char* word_of(Happening happening) {
  constexpr const char* words[] = {"joined", "suspected", "cleared", "failed",
                                   "left",   "back",      "moved",   "forgotten"};
  return words[static_cast<int>(happening)];
}

std::set<SlotId> there_in(const View& view) {
  std::set<SlotId> there;
  for (const PeerView& fellow : view.fellows) {
    if (fellow.standing == Standing::there) {
      there.insert(fellow.place);
    }
  }
  return there;
}

std::unique_ptr<Membership> make_membership(const Options& charge, std::uint64_t seed) {
  return std::make_unique<Watch>(charge, seed);
}

}  // namespace reedspindle::membership
