// reedspindle's decision module: every decision of the router is taken here. Interface: logic.hpp.
// Note a batch's events, then call settle once; emit() alone turns what is wanted into decisions. See docs/.
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "accord/keepers.hpp"
#include "routing/due_times.hpp"
#include "routing/mark_index.hpp"
#include "routing/warm_capacity.hpp"
#include "samples.hpp"

namespace reedspindle {
namespace {

constexpr Millis kNever = -1e18, kForever = 1e18;
constexpr Millis kSampleAge = 1000;     // the design's limit on the age of a replica's sample
constexpr Millis kProbePeriod = 200;    // the design's pace of probing
constexpr Millis kLagThreshold = 2000;  // for reads without a bound: the figure the design's source uses

enum class Effect { retryable, tokened, non_retryable };
enum class Needs { any, bounded, session, current, write };

struct OpType {
  Effect effect = Effect::non_retryable;
  Needs needs = Needs::write;
  bool group_tokens = true, long_work = false;
  double target = 0, op_timeout = 0, bound = 0, token_memory = 0, value = 1, late_value = 0;
  bool primary_only() const { return needs == Needs::write || needs == Needs::current; }
  // Value for the time it takes, for which the latency target stands: both are known before anything has run.
  double density() const { return value / std::max(1.0, target); }
};

// What the deployment states at start.
struct Catalog {
  explicit Catalog(const Values& values) : values_(values) {
    std::vector<Millis> targets;
    for (int i = 0; i < static_cast<int>(number("op_types", 0)); ++i) {
      const std::string at = "op_type." + std::to_string(i) + ".";
      OpType& type = op_types.emplace_back();
      type.effect = static_cast<Effect>(place(word(at + "effect", ""), {"retryable", "tokened"}));
      type.needs =
          static_cast<Needs>(place(word(at + "needs", ""), {"any", "bounded", "session", "current"}));
      type.group_tokens = word(at + "token_scope", "group") != "all";
      targets.push_back(type.target = number(at + "latency_target", 1000));
      type.op_timeout = number(at + "op_timeout"), type.token_memory = number(at + "token_memory");
      type.bound = number(at + "bound"), type.late_value = number(at + "late_value");
      type.value = number(at + "value", 1);
    }
    std::ranges::sort(targets);
    // Long work: wanted far later than the usual op; five times the median sets reports apart from look-ups.
    for (OpType& type : op_types) type.long_work = type.target > 5 * targets[targets.size() / 2];
  }
  double number(const std::string& name, double other = 0) const { return pick(name, other); }
  std::string word(const std::string& name, const std::string& other) const { return pick(name, other); }
  std::vector<OpType> op_types;

 private:
  template <typename T>
  T pick(const std::string& name, const T& other) const {
    const auto found = values_.find(name);
    const T* value = found == values_.end() ? nullptr : std::get_if<T>(&found->second);
    return value ? *value : other;
  }
  static long place(const std::string& word, std::initializer_list<const char*> words) {
    return std::ranges::find(words, word) - words.begin();
  }
  Values values_;
};

template <typename T>
void keep(std::deque<T>& last, const std::type_identity_t<T>& sample, std::size_t most) {
  last.push_back(sample);
  if (last.size() > most) last.pop_front();
}

struct Group;

struct Member {
  ListedMember entry;
  Group* group = nullptr;                         // that the list names it in
  routing::WarmCapacity::Slot warm_slot;          // in the sum of the warm replicas' capacity
  bool drained = false;                           // stands until it is listed as ready again
  std::deque<std::pair<Millis, Millis>> samples;  // the last few: position and when seen
  std::deque<double> paces;  // latency over latency target of the last answers, since the limit last moved
  std::deque<Millis> latencies;                                     // of the last answers of short work
  Millis proven = kNever;                                           // a position once shown holds
  Millis primary_at = kNever, replica_at = kNever, heard = kNever;  // heard: of a sample from anyone
  Millis told = kNever;   // when this instance or another last told all others of it
  Millis since = kNever;  // first listed
  Millis last_good = kNever, probe_bad = kNever, op_bad = kNever, cold_since = kNever;
  Millis probe_out = kNever, probed = kNever, next_probe = kNever;
  Millis oldest_out = kNever;  // sending time of the oldest short op that is out
  double limit = 0, credit = 0;
  double more = 1;  // how many times its cold credit it gets, for it shows processors free
  Millis yielded = kNever, credit_at = kNever, rests_until = kNever, gone_since = kNever, hurt = kNever,
         busy_at = kNever;
  double busy = 0;              // share of its processors in use
  bool unanswered = false;      // the last word on it: a probe, of whomever, had no answer
  bool was_late = false;        // its last answer
  Millis answered_at = kNever;  // on a connection that has not been seen to break since
  bool was_gone = false;        // before the list that is being read
  int out = 0;
  long turn = 0, mark = 0;
};

struct Group {
  std::vector<Member*> members;         // in the order of their marks
  double wait = 0;                      // drawn: the share of its patience that this instance waits
  bool asked = false, touched = false;  // asked: an op waits for a sample
  bool mine = false;                    // this instance keeps the pace for all
  GroupId id;
  double requests = 0;  // of late: an old one counts less, by the time that a connection may stand idle
  Millis requests_at = kNever;  // when they were counted last
  int turn = -1;  // how many that are there come before this instance as keepers; below 0: not known
};

enum class Want { hold, send, busy_reply, error_reply };

struct Op {
  OpTypeId type;
  GroupId group;
  std::string session;
  Millis wanted_by = 0, half = 0, end = 0, token = kNever;
  double chance = 0;             // drawn once
  Millis may_have_run = kNever;  // when the first send went out that may have run
  int sends = 0, out = 0, turned_away = 0;
  Want want = Want::hold;
  Member* to = nullptr;
};

struct Flight {
  Member* member = nullptr;
  Op op;
  Millis sent = 0;
  bool called_off = false, want_call_off = false;
};

class Steering final : public Router {
 public:
  Steering(const Values& values, std::uint64_t seed)
      : catalog_(values), chance_(static_cast<std::minstd_rand::result_type>(seed)) {
    for (const OpType& type : catalog_.op_types)
      if (type.primary_only()) primary_density_ = std::max(primary_density_, type.density());
  }

  void note(const Event& event) override { noted_.push_back(event); }

  std::vector<Decision> settle(Millis now) override {
    now_ = now, born_ = born_ == kNever ? now : born_;
    for (const Event& event : noted_) std::visit([this](const auto& e) { learn(e); }, event);
    noted_.clear();
    judge_flights();
    decide_ops();
    decide_probes();
    decide_list();
    return emit();
  }

  // The same tests as an op's, told with the time up to which they hold.
  std::vector<MemberView> view() const override {
    std::set<Millis> bounds{kLagThreshold};
    for (const OpType& type : catalog_.op_types)
      if (type.needs == Needs::bounded) bounds.insert(type.bound);
    std::vector<MemberView> views;
    for (const auto& [id, member] : members_) {
      MemberView& view = views.emplace_back(member.entry);
      const auto group = groups_.find(member.entry.group);
      view.primary = group != groups_.end() && primary_of(group->second) == &member;
      view.hindrance = member.entry.state == MemberState::gone && bound_by_gone_ ? Hindrance::gone
                       : !sendable(member)                                       ? Hindrance::drains
                       : down(member)                                            ? Hindrance::down
                       : !usable(member)                                         ? Hindrance::resting
                                                                                 : Hindrance::none;
      view.warmth = warmth(member);
      if (member.samples.empty()) continue;
      view.position = member.proven, view.sampled = member.samples.back().second;
      for (const Millis bound : bounds)
        if (const Millis until = passes_until(member, bound); now_ < until)
          view.fresh.push_back({bound, until});
    }
    return views;
  }

 private:
  Catalog catalog_;
  std::minstd_rand chance_;
  const double all_ = std::max(1.0, catalog_.number("instances", 1));
  const int rank_ = static_cast<int>(catalog_.number("rank"));
  double instances_ = all_;          // that share what is for all
  std::optional<AmongPeers> among_;  // none: nobody says who is there

  double roll() { return static_cast<double>(chance_() - 1) / static_cast<double>(chance_.max()); }

  // Work is done for the groups that something happened to.
  Group& touch(GroupId id) {
    Group& group = groups_[id];
    group.id = id;
    if (!std::exchange(group.touched, true)) touched_.push_back(&group);
    return group;
  }
  Group& touch(const Member& member) {
    if (!std::exchange(member.group->touched, true)) touched_.push_back(member.group);
    return *member.group;
  }

  void learn(const ListRead& read) {
    if (read.kind == ListKind::failed) return void(next_watch_ = now_ + 200 + spread());
    const bool whole = read.kind != ListKind::changes;
    if (whole)
      for (auto& [id, member] : members_)
        member.was_gone = std::exchange(member.entry.state, MemberState::gone) == MemberState::gone;
    for (const ListedMember& entry : read.members) learn(entry, whole);
    if (whole)
      for (auto& [id, member] : members_) judge_listing(member);
    forget_the_gone();
  }

  void learn(const ListedMember& entry, bool whole) {
    const auto [at, is_new] = members_.try_emplace(entry.member);
    Member& member = at->second;
    if (!whole) member.was_gone = member.entry.state == MemberState::gone && !is_new;
    member.entry = entry;
    Group& group = touch(entry.group);
    if (member.group != &group) {
      if (member.group) std::erase(member.group->members, &member);
      member.group = &group;
      is_new ? add(member) : place_in_group(member);
    }
    if (entry.state != MemberState::gone) member.drained = entry.state == MemberState::draining;
    if (entry.up_since > member.cold_since && entry.up_since > 0)
      member.cold_since = entry.up_since, member.next_probe = now_;
    if (!whole) judge_listing(member);
  }

  void add(Member& member) {
    const MemberId& id = member.entry.member;
    member.since = now_, member.mark = mark_of(id), std::erase(want_forgets_, id);
    marks_.add(member.mark, member);
    place_in_group(member);
    member.limit = std::max(1.0, 8 / instances_);
    // By chance, so that instances don't all begin with the same member, nor spend all credit at once.
    member.credit = roll(), member.credit_at = now_;
    member.turn = turn_ - static_cast<long>(100 * roll());
  }

  // In the order of the marks, which is the same at every instance.
  void place_in_group(Member& member) {
    const auto order = [](const Member* one, const Member* other) {
      return std::tie(one->mark, one->entry.member) < std::tie(other->mark, other->entry.member);
    };
    std::vector<Member*>& members = member.group->members;
    members.insert(std::ranges::upper_bound(members, &member, order), &member);
  }

  // The list has said something of it, or has it no more.
  void judge_listing(Member& member) {
    recount(member);
    const bool gone = member.entry.state == MemberState::gone;
    if (!gone || std::exchange(member.was_gone, true) || !bound_by_gone_) return;
    // One that was never there is forgotten at once.
    const bool was_there = member.since < now_ || member.out > 0;
    member.gone_since = was_there ? now_ : now_ - kForgetAfter;
    gone_.emplace(member.gone_since, member.entry.member);
  }

  // Guards against growing where stores are replaced all day. What has been gone for half a minute is
  // forgotten: no late word of the list, no answer and no excuse for a former primary is due by then. A few
  // at a time: where thousands go at once, the turn of the loop has to stay short.
  void forget_the_gone() {
    for (int forgotten = 0; forgotten < kForgottenAtOnce; ++forgotten) {
      if (gone_.empty() || now_ - gone_.begin()->first < kForgetAfter) return;
      const auto [since, id] = *gone_.begin();
      gone_.erase(gone_.begin());
      const auto found = members_.find(id);
      if (found == members_.end()) continue;
      Member& member = found->second;
      if (member.entry.state != MemberState::gone || member.gone_since != since) continue;
      if (member.out > 0 || member.probe_out != kNever) {
        member.gone_since = now_;
        gone_.emplace(now_, id);
        continue;
      }
      std::erase(touch(member).members, &member), marks_.remove(member.mark, member);
      std::erase(want_tells_, &member);
      warm_capacity_.remove(member.warm_slot);
      want_forgets_.push_back(id);
      members_.erase(found);
    }
  }
  static constexpr Millis kForgetAfter = 30000;
  static constexpr int kForgottenAtOnce = 64;

  // Its part in the capacity of the warm replicas, after anything of it has changed that decides on that.
  void recount(Member& member) {
    warm_capacity_.update(member.warm_slot,
                          {member.entry.size, member.cold_since, sendable(member),
                           member.op_bad > member.last_good, member.probe_bad > member.last_good},
                          now_);
  }

  void learn(const OpArrived& arrived) {
    Op& op = ops_[arrived.op] = {arrived.type, arrived.group, arrived.session};
    op.half = now_ + arrived.patience / 2, op.end = now_ + arrived.patience;
    op.wanted_by = now_ + type_of(op.type).target - waited(arrived);
    // A millisecond to the cautious side: positions are rounded down, ages may be rounded either way.
    if (arrived.token_age != 0) op.token = now_ - std::floor(arrived.token_age) + 1;
    op.chance = roll();
    count_request(op.group);
    op.token = std::max(op.token, remembered_floor_);
    if (const auto mine = remembered_.find(arrived.session); mine != remembered_.end())
      op.token = std::max(op.token, mine->second);
  }

  void count_request(GroupId id) {
    const auto found = groups_.find(id);
    if (found == groups_.end() || connection_idle_ <= 0) return;
    Group& group = found->second;
    group.requests = 1 + requests_of_late(group);
    group.requests_at = now_;
  }
  double requests_of_late(const Group& group) const {
    return group.requests * std::exp(-std::max(0.0, now_ - group.requests_at) / connection_idle_);
  }
  const Millis connection_idle_ = catalog_.number("allow.connection_idle");  // 0: not stated
  // Guards against probing for nobody: a group costs what its requests cost, not that it is there. Which
  // front keeps the pace by the fleet's view does so for the others, too.
  bool in_use(const Group& group) const {
    return connection_idle_ <= 0 || group.turn == 0 || now_ - group.requests_at < connection_idle_;
  }

  // How long the client has been asking already, the latency target running since its first try. First tries
  // share one patience; any other is what is left of the op timeout. Where no patience is common to a quarter
  // of the last ops, nothing is concluded. Guards against repeats crowding out first tries.
  static constexpr Millis kJitter = 10;  // the network varies them by a few milliseconds
  Millis waited(const OpArrived& arrived) {
    const OpType& type = type_of(arrived.type);
    keep(patiences_[arrived.type], arrived.patience, 64);
    std::deque<Millis> sorted = patiences_[arrived.type];
    std::sort(sorted.begin(), sorted.end());
    std::size_t common = 0;
    Millis usual = 0;
    for (std::size_t low = 0, high = 0; high < sorted.size(); ++high) {
      while (sorted[high] - sorted[low] > kJitter) ++low;
      if (high - low + 1 > common) common = high - low + 1, usual = sorted[high];
    }
    if (common < 3 || 4 * common < sorted.size()) return 0;
    if (std::abs(arrived.patience - usual) > 3 * kJitter)
      return std::max(0.0, type.op_timeout - arrived.patience);
    return arrived.repeat ? std::clamp(type.op_timeout - usual, 0.0, type.target) : 0;
  }

  void learn(const SendEnded& ended) {
    const auto flight = flights_.find({ended.op, ended.send});
    if (flight == flights_.end()) return;
    const Flight was = flights_.extract(flight).mapped();
    Member& member = *was.member;
    touch(member);
    const OpType& type = type_of(was.op.type);
    if (--member.out == 0) member.oldest_out = kNever;
    const auto is = [&ended](auto... ending) { return ((ended.ending == ending) || ...); };
    if (is(Ending::acked, Ending::errored, Ending::turned_away_full, Ending::turned_away_untouched)) {
      good(member);
      const bool dated = ended.seen.role == Role::primary && ended.seen.position >= 0;
      see(member, ended.seen, dated ? ended.seen.position : now_, now_,
          is(Ending::acked) && type.needs == Needs::write);
    }
    member.answered_at = is(Ending::acked, Ending::errored, Ending::turned_away_untouched) ? now_ : kNever;
    if (is(Ending::acked)) {
      remember(was.op.session, ended, type);
      if (warmth(member) >= 1) keep(acked_, now_, 10000);
    }
    // Guards against taking a member for down by the end of one connection: twice with no answer between.
    if (is(Ending::reset, Ending::connect_failed) && std::exchange(member.hurt, now_) > member.last_good)
      member.op_bad = now_, recount(member);
    if (is(Ending::acked, Ending::timed_out)) pace(member, was.op.type, ended.took);
    if (is(Ending::turned_away_full)) {
      // Guards against a member that turns ops away faster than others work and so draws ever more of them.
      yield(member);
      member.limit = std::max(floor(), member.limit * 0.85), member.rests_until = now_ + kProbePeriod / 2;
    }
    const auto found = ops_.find(ended.op);
    if (found == ops_.end()) return;
    Op& op = found->second;
    const bool untouched = is(Ending::turned_away_untouched);
    if (untouched && type.needs == Needs::write) member.replica_at = now_;
    if (untouched && type.needs != Needs::write) {
      // The store's word replaces what was thought of its lag: where it stands, or that it is too far behind.
      const Millis at = member.samples.empty() ? now_ : member.samples.back().second;
      member.samples = {
          {ended.seen.position >= 0 ? member.proven : at - wanted_lag(was.op, type, was.sent) - 1, at}};
    }
    --op.out, op.turned_away += untouched;
    const bool ran = !untouched && !is(Ending::turned_away_full, Ending::connect_failed, Ending::never_sent);
    if (ran && op.may_have_run == kNever) op.may_have_run = was.sent;
    if (ended.op_ended) ops_.erase(found);
  }

  void learn(const ProbeEnded& ended) {
    Member& member = members_[ended.member];
    member.probe_out = kNever;
    Group& group = touch(member);
    if (!hears()) group.wait = roll();
    // All instances together go on probing a failing member as one would; where others tell, rarer still.
    const double sharing = std::min(instances_, may_tell_ ? 64.0 : 16.0);
    if (!ended.answered) member.next_probe = now_ + kProbePeriod * sharing * (0.9 + 0.2 * roll());
    member.probe_bad = ended.answered ? kNever : now_;
    recount(member);
    --probes_out_;
    // Probes that were sent for another reason than the pace tell the others nothing they need. A keeper's
    // own answers don't, either: others would take its silence for its death.
    const bool due = now_ - (group.mine ? member.told : member.heard) > kProbePeriod * (group.mine ? 0.5 : 1);
    const bool first = !std::exchange(member.unanswered, !ended.answered);  // told of it once, others know
    if (may_tell_ && due && (ended.answered ? ended.seen.position >= 0 : first)) {
      if (want_tells_.empty()) untold_since_ = now_;
      want_tells_.push_back(&member);
      group.mine = hears() && (group.mine || ended.answered);
    }
    if (!ended.answered) return;
    member.answered_at = now_;
    good(member);
    see(member, ended.seen, ended.seen.position, now_);
  }

  void learn(const OpGone& gone) { ops_.erase(gone.op); }
  void learn(const TimerDue& due) { armed_ = due.timer == armed_as_ ? kNever : armed_; }

  // Guards against all that come at once, or meet again: while it knows few, each would hold itself first.
  void learn(const AmongPeers& among) {
    if (!among_ || !std::ranges::includes(among_->there, among.there)) grown_at_ = now_;
    for (auto& [id, group] : groups_) touch(id).turn = -1;
    groups_kept_ = 0;
    among_ = among, instances_ = std::max(1.0, all_ * among.of_all);
  }

  // A position once shown holds whoever saw it, so samples are shared; health is not, it is of the path.
  // Guards against words over a second late, from the future, or on members that are unknown or share a mark.
  void learn(const PeerSpoke& spoke) {
    const auto told = samples_in(spoke.text, now_);
    if (!told || now_ - told->then > kSampleAge) return;
    if (!hears()) heard_again_ = now_;
    peer_heard_ = now_;
    for (const auto& [mark, seen] : told->samples) {
      Member* const found = marks_.find(mark);
      if (!found) continue;
      Member& member = *found;
      Group& group = in_use(*member.group) ? touch(member) : *member.group;
      const bool answered = seen.role != Role::unknown;
      // Of two that keep the pace one goes on.
      group.mine = group.mine && (!answered || keeps_before(group, spoke.peer));
      if (answered) member.told = std::max(member.told, told->then);
      if (told->then <= member.heard || (member.unanswered = !answered)) continue;
      // What another saw outweighs a failed probe of one's own, but not failed ops: those make it look again.
      member.probe_bad = kNever, recount(member);
      if (down(member))
        member.next_probe = std::max(now_, member.probed + kProbePeriod * std::min(5.0, instances_));
      group.wait = roll();
      see(member, seen, seen.position, told->then);
    }
  }

  // How much longer than the usual pace others are given to tell first: by their turn where the fleet says
  // who is there, else (and behind those) drawn, so that few speak at once: messages take up to 50 ms, 10 ms
  // set two apart. Where none can tell, and for a member that did not answer who looked first, all keep the
  // pace of one together.
  Millis patience(const Group& group, const Member& member) const {
    if (!hears() || member.unanswered) return 2 * kProbePeriod * (instances_ - 1) * group.wait;
    const Millis drawn = 50 + 10 * instances_ * group.wait;
    return group.turn < 0 ? drawn : group.turn < kReady ? 50 * group.turn : 50 * (kReady - 1) + drawn;
  }
  bool keeps_before(const Group& group, int peer) const {
    return among_ ? accord::precedes(group.id, rank_, peer) : rank_ < peer;
  }
  static constexpr int kReady = 2;  // who keeps and who is ready to: two that die in one pace are rare

  // Guards against instances that don't hear each other: each would keep the pace for all groups and tell all
  // others of it. Not a word of any group for two paces and the way of a message: what goes on elsewhere is
  // not known here, nor whether anyone listens. One whose turn it is everywhere need not hear anybody.
  bool hears() const {
    return may_tell_ && (now_ - std::max(peer_heard_, born_) < 2 * kProbePeriod + 50 ||
                         (among_ && !among_->there.empty() && groups_kept_ == groups_.size()));
  }
  std::size_t groups_kept_ = 0;  // those in which it is this instance's turn

  const bool may_probe_ = catalog_.number("allow.probes") > 0;
  const Millis probe_wait_ = catalog_.number("allow.connect_time_out", 250);  // a new connection included
  const bool may_tell_ = instances_ > 1 && catalog_.number("allow.peers") > 0;

  // A primary stands at the present, so the position it claims dates the claim.
  void see(Member& member, const Sighting& seen, Millis date, Millis at, bool commit = false) {
    member.heard = at, member.unanswered = false;
    if (seen.role == Role::primary) member.primary_at = std::max(member.primary_at, date);
    if (seen.role == Role::replica) member.replica_at = std::max(member.replica_at, date);
    if (seen.busy >= 0) member.busy = seen.busy, member.busy_at = at, credit_more(member);
    if (seen.position < 0) return;
    member.proven = std::max(member.proven, seen.position - (commit ? 1 : 0));  // a commit is rounded up
    keep(member.samples, {member.proven, at}, 3);
  }

  // The design leaves open how long tokens are kept. All are; when there are many, they are folded into one
  // that binds every session: replicas will soon have applied it.
  void remember(const std::string& session, const SendEnded& ended, const OpType& type) {
    if (type.needs != Needs::write || ended.seen.position < 0 || !remembers_) return;
    Millis& mine = remembered_.try_emplace(session, kNever).first->second;
    mine = std::max(mine, ended.seen.position);
    if (remembered_.size() > 10000) remembered_floor_ = now_, remembered_.clear();
  }
  const bool remembers_ = catalog_.word("tokens", "") == "remembered";

  // Guards against pushing over a member that restarted before the list told of it: one that answers after
  // its ops failed and nobody heard of it for two seconds is taken for cold. Harm: one cut off is, too.
  void good(Member& member) {
    if (member.probe_bad > member.last_good) doubted_ = now_;
    if (member.op_bad > member.last_good && now_ - std::max(member.last_good, member.heard) > 2000)
      member.cold_since = now_;
    member.last_good = now_;
    recount(member);
  }

  // The limit on what is out at a member follows the latency of its own answers: over 0.35 of their latency
  // target on average it shrinks, under 0.25 it grows (with 0.45 and 0.35 more came late everywhere). Guards
  // against full queues, slow members and fallbacks onto a primary; the floor keeps work going when all are
  // slow. Harm: op types whose latency target says little of their work.
  void pace(Member& member, OpTypeId id, Millis took) {
    const OpType& type = type_of(id);
    keep(latencies_[id], took, 32), usual_[id] = quantile(latencies_[id], 0.75, 0);
    keep(work_, {type.long_work, took}, 256);
    if (!type.long_work) {
      keep(member.latencies, took, 16);
      keep(short_latencies_, took, 32);
      // Guards against taking one op's own slowness for its member's: a first late answer of one that shows
      // processors free says nothing, a second in a row does. Of members that show 0.7 or more in use, every
      // fifth op and more came late, below that far fewer (whole fleet, join).
      const bool has_free = now_ - member.busy_at < kSampleAge && member.busy < 0.7;
      const bool late = took > type.target, again = std::exchange(member.was_late, late);
      if (late && (again || !has_free)) yield(member);
      if (took < 0.5 * type.target && member.limit < 1) member.limit = std::min(1.0, member.limit + 0.3);
    }
    member.paces.push_back(took / std::max(1.0, type.target));
    if (member.paces.size() < 10) return;
    const double mean = std::accumulate(member.paces.begin(), member.paces.end(), 0.0) / 10;
    if (mean > 0.35) member.limit = std::max(floor(), member.limit * 0.85);
    if (mean < 0.25 && member.out + 1 >= member.limit * 0.7) member.limit += 1;
    member.paces.clear();
  }

  // Where instances are many, each has too few ops at a member to limit by their number. A limit under one is
  // the chance that an op may go there, and follows single answers. Guards against slow, full or overloaded
  // members, be it for this instance only, and against reads falling back onto primaries: the sum over all
  // instances goes by what the member can do. Harm: after one slow answer by chance a member is spared.
  void yield(Member& member) {
    if (floor() >= 1) return;
    member.limit = std::max(floor(), std::min(member.limit, 1.0) * 0.3);
    member.yielded = now_;
  }

  double floor() const { return 4 / instances_; }  // what any server runs at once, shared

  const OpType& type_of(OpTypeId type) const {
    return catalog_.op_types.at(static_cast<std::size_t>(type.number));
  }

  static double quantile(std::deque<Millis> samples, double share, double other) {
    if (samples.empty()) return other;
    std::sort(samples.begin(), samples.end());
    return samples[static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1))];
  }

  void judge_flights() {
    for (const auto& [key, flight] : flights_) flight.member->oldest_out = kNever;
    for (const auto& [key, flight] : flights_) {
      Member& member = *flight.member;
      touch(member);
      if (type_of(flight.op.type).long_work || flight.called_off) continue;
      if (member.oldest_out == kNever || flight.sent < member.oldest_out) member.oldest_out = flight.sent;
    }
    for (auto& [key, flight] : flights_)
      flight.want_call_off = !flight.called_off && may_call_off_ &&
                             type_of(flight.op.type).effect == Effect::retryable && silent(*flight.member);
  }
  const bool may_call_off_ = catalog_.number("allow.call_off") > 0;

  // No answer of any kind for longer than its answers usually take, with an op out all that time.
  bool overdue(const Member& member, double times = 3) const {
    const Millis mute = now_ - std::max(member.last_good, member.oldest_out);
    if (member.oldest_out == kNever || mute <= 60) return false;
    return mute > times * quantile(member.latencies.empty() ? short_latencies_ : member.latencies, 0.75, 100);
  }

  // Guards against members that hang, vanish or are cut off. A probe is answered beside the queue: an overdue
  // member whose probe failed or is out for 50 ms is silent; with probes in doubt, one overdue five times.
  bool silent(const Member& member) const {
    const bool probe_late = member.probe_out > member.last_good && now_ - member.probe_out > 50;
    return probes_count() ? overdue(member) && (down(member) || probe_late) : overdue(member, 5);
  }

  // Guards against probes that fail while ops are answered: an answer from a member after its probe failed
  // shows that failed probes say nothing for now (for 5 s: several such answers come in that time).
  bool probes_count() const { return now_ - doubted_ > 5000; }

  bool down(const Member& member) const {
    return member.op_bad > member.last_good || (member.probe_bad > member.last_good && probes_count());
  }

  bool sendable(const Member& member) const {
    return !member.drained && (member.entry.state != MemberState::gone || !bound_by_gone_);
  }
  const bool bound_by_gone_ = catalog_.number("rule.only_draining_binds") <= 0;

  // Guards against trusting failed probes over answered ops: where only probes say that a member is down, or
  // its ops failed a second ago, one op at a time may find out where nothing better is left.
  bool usable(const Member& member) const {
    return sendable(member) && now_ >= member.rests_until && !overdue(member) &&
           (!down(member) || (member.out == 0 && now_ - member.op_bad > 1000));
  }

  // The share of its capacity that a cold member has at least.
  double warmth(const Member& member) const {
    const Millis age = now_ - member.cold_since;
    if (age >= warm_within_ || warm_within_ <= 0) return 1;
    return cold_from_ + (1 - cold_from_) * std::max(0.0, age) / warm_within_;
  }
  const double warm_within_ = catalog_.number("rule.warm_within"),
               cold_from_ = catalog_.number("rule.cold_from");

  // Guards against pushing over a cold member: in a millisecond this instance sends it at most the rule's
  // multiple of its share of what a warm member of its size answered this instance of late, which is less
  // than such a member can do. That may be far under one op; the sum over all instances keeps the rule.
  // What a cold member shows of itself outweighs that: while credit holds ops back it gets a tenth more with
  // each sample below half in use, up to four times, three tenths less above 0.7. Guards groups whose members
  // are all new. Harm: samples are old by one or two; where credit holds nothing back it is taken away again.
  void credit_more(Member& member) {
    const bool over = warmth(member) >= 1 || member.busy > 0.7, spare = !over && accrue(member) >= 1;
    if (over || spare || member.busy < 0.5)
      member.more = std::clamp(member.more * (over ? 0.7 : spare ? 0.9 : 1.1), 1.0, 4.0);
  }
  double more(const Member& member) const { return now_ - member.busy_at < kSampleAge / 2 ? member.more : 1; }
  double accrue(Member& member) {
    const Millis since = std::max(std::exchange(member.credit_at, now_), member.cold_since);
    return member.credit = std::min(1.0, member.credit + (now_ - since) * cold_rate(member) * more(member));
  }

  double cold_rate(const Member& member) {
    while (!acked_.empty() && acked_.front() < now_ - kCarried) acked_.pop_front();
    const double warm = warm_capacity_.sum(now_, probes_count());
    if (warm <= 0) return 0;
    return warmth(member) * fall_multiple_ * static_cast<double>(acked_.size()) / kCarried *
           member.entry.size / warm;
  }
  static constexpr Millis kCarried = 5000;  // long enough for some ops of an idle instance
  std::deque<Millis> acked_;                // when warm members last acked
  const double fall_multiple_ = catalog_.number("rule.fall_multiple", 2);

  bool has_room(Member& member, const Op& op, bool long_work, double part) {
    const double share = std::min(1.0, warmth(member) * more(member));
    // With no answer at all a member is back in 100 s.
    const double limit = member.limit * part * share, regained = (now_ - member.yielded) / 100000;
    if (member.out + 0.5 > std::max(1.0, limit) || op.chance > limit + regained) return false;
    return warmth(member) >= 1 || (!long_work && accrue(member) >= 1);
  }

  // Who claimed it last and was not seen as a replica since; the list counts where no member has spoken.
  static Member* primary_of(const Group& group) {
    Member *best = nullptr, *by_list = nullptr;
    for (Member* member : group.members) {
      const bool claims = member->primary_at != kNever && member->primary_at > member->replica_at;
      if (claims && (!best || member->primary_at > best->primary_at)) best = member;
      if (member->entry.state != MemberState::gone && member->entry.primary && member->replica_at == kNever)
        by_list = member;
    }
    return best ? best : by_list;
  }

  // The design's three tests.
  bool passes(const Member& member, const Op& op, const OpType& type) const {
    if (member.samples.empty()) return false;
    const Millis threshold = type.needs == Needs::bounded ? type.bound : kLagThreshold;
    return now_ < passes_until(member, threshold) && member.proven >= op.token;
  }
  static Millis passes_until(const Member& member, Millis threshold) {  // 1 ms to the cautious side
    return std::min(member.samples.back().second + kSampleAge, member.proven + threshold - 1);
  }

  // How far behind a replica may be at a time to do for an op.
  static Millis wanted_lag(const Op& op, const OpType& type, Millis at) {
    if (type.needs == Needs::any) return kForever;
    return type.needs == Needs::bounded ? type.bound : at - op.token;
  }

  // Where stores check reads themselves, a replica is tried when it would pass if it now lags as it did in
  // the best of its last samples (reports are old), of any age: the store's own word costs no probe.
  bool likely(const Member& member, const Op& op, const OpType& type) const {
    if (!stores_check_ || op.turned_away > 1) return false;
    Millis lag = member.samples.empty() ? 0 : kForever;
    for (const auto& [position, seen] : member.samples) lag = std::min(lag, seen - position);
    return lag <= wanted_lag(op, type, now_);
  }

  const bool stores_check_ = catalog_.word("checks", "none") != "none";
  const double zone_ = catalog_.number("zone"), zone_price_ = catalog_.number("price.cross_zone");

  Member* choose(const Op& op, const OpType& type) {
    Group& group = touch(op.group);
    Member* primary = primary_of(group);
    if (!primary) group.asked = true;
    const bool primary_usable = primary && usable(*primary);
    if (type.primary_only())
      return primary_usable && has_room(*primary, op, type.long_work, 1) ? primary : nullptr;
    Member* best = nullptr;
    std::tuple<int, bool, long> best_rank;
    // While no primary is known every replica may name it.
    const bool enough_connections = primary && !more_connections_wanted(group, primary);
    const double members = static_cast<double>(group.members.size());
    long kept = std::max(std::lround(long_part_ * members), type.long_work ? 1L : 0L);
    for (Member* member : group.members) {
      if (member == primary) continue;
      const bool keeps = sendable(*member) && !down(*member) && kept-- > 0;
      if (!usable(*member) || !has_room(*member, op, type.long_work, 1)) continue;
      const bool fits = passes(*member, op, type) || likely(*member, op, type);
      // Beyond the threshold, but proven all the same: better than asking a busy primary.
      const bool will_do =
          type.needs == Needs::any || (type.needs == Needs::session && member->proven >= op.token);
      if (!fits && !will_do) continue;
      int tier = (!fits || keeps) + 4 * down(*member);
      if (zone_price_ > 0 && member->entry.zone.number != zone_) tier += 2;
      const std::tuple<int, bool, long> rank{type.long_work ? tier / 4 * 4 + !keeps : tier,
                                             enough_connections && !connected(*member), member->turn};
      if (!best || rank < best_rank) best = member, best_rank = rank;
    }
    if (best && std::get<0>(best_rank) < 4) return best;
    group.asked = group.asked || (!best && !stores_check_);
    // A primary takes reads into half its limit, up to 0.8 of it as they come to be of as much value for
    // their time as what only it can do. Guards the primary when replicas fall behind.
    const double part = 0.5 + 0.3 * std::min(1.0, type.density() / primary_density_);
    return primary_usable && has_room(*primary, op, type.long_work, part) ? primary : best;
  }

  // A connection that stands idle is closed before the server would close it, at nine tenths of the stated
  // time.
  bool connected(const Member& member) const {
    return member.answered_at > member.cold_since && now_ - member.answered_at < 0.9 * connection_idle_;
  }
  // Guards against a new connection for nearly every request where a front has few requests for each of many
  // groups: in a group as many replicas are used as have some requests each in the time that a connection may
  // stand idle.
  bool more_connections_wanted(const Group& group, const Member* primary) const {
    if (connection_idle_ <= 0) return true;
    const auto open = std::ranges::count_if(
        group.members, [&](const Member* member) { return member != primary && connected(*member); });
    return static_cast<double>(open) < std::max(1.0, requests_of_late(group) / kRequestsOfConnection);
  }
  // A handshake costs a server about a tenth of a request's work: with three requests to a connection that is
  // lost in what the work itself varies by.
  static constexpr double kRequestsOfConnection = 3;

  // Long work blocks the log where it runs, so it is kept together: on the first replicas in the order of
  // their marks, which all instances know without a word, and on as many as is its part of all work.
  double part_of_long_work() const {
    Millis all = 1, of_long = 0;
    for (const auto& [is_long, took] : work_) all += took, of_long += is_long ? took : 0;
    return std::min(0.5, of_long / all);
  }

  void decide_ops() {
    std::vector<std::pair<Millis, OpId>> held;
    for (auto& [id, op] : ops_) {
      op.want = Want::hold;
      if (op.out > 0) continue;
      const OpType& type = type_of(op.type);
      // The earliest latency target first, nearer for ops of more value for their time; late ones last.
      const Millis left = op.wanted_by - now_;
      held.emplace_back(left > 0 ? left * std::sqrt(primary_density_ / type.density()) : 1e9 - left, id);
    }
    std::sort(held.begin(), held.end());
    if (!held.empty()) long_part_ = part_of_long_work();
    for (const auto& [by, id] : held) decide(ops_[id]);
  }

  void decide(Op& op) {
    const OpType& type = type_of(op.type);
    const bool ran = op.may_have_run != kNever;
    const Millis useful_until = type.late_value > 0 ? op.end : std::min(op.end, op.wanted_by);
    const bool remembered = type.effect == Effect::tokened && memory_left(op) > 0;
    const bool cut_off = among_ && !(type.primary_only() ? among_->writes : among_->reads);
    const bool again = op.sends > op.turned_away;  // untouched sends cost the store nothing
    const bool may_send = op.sends < most_sends_ && !cut_off && !(again && resends_ < 1) &&
                          (!ran || type.effect == Effect::retryable || remembered);
    // What can't be answered in time by the usual latency (its upper quartile) is ended. Never by over 0.6 of
    // the latency target: samples of a bad time would lock everything out.
    const Millis expected = std::min(usual_[op.type], type.target * 0.6);
    if (!may_send || now_ + std::max(expected, 2 * tick_) > useful_until) {
      const bool harmless =
          !ran || type.effect == Effect::retryable || (type.effect == Effect::tokened && !type.group_tokens);
      return void(op.want = harmless ? Want::busy_reply : Want::error_reply);
    }
    Member* to = op.to = choose(op, type);
    // Guards against sitting on an op its client could ask for again: unsent at half its patience, it ends.
    if (!to) return void(op.want = op.sends == 0 && now_ + 3 * tick_ > op.half ? Want::busy_reply : op.want);
    op.want = Want::send;
    // Guards stores that fail for all against being asked again by all: first sends fill a bucket for resends
    // (as in gRPC's A6 and Finagle's RetryBudget), so over the fleet they are at most that share, and a
    // burst.
    if (resend_share_ > 0) resends_ = again ? resends_ - 1 : std::min(resends_ + resend_share_, burst_);
    ++to->out;
    if (warmth(*to) < 1) to->credit -= 1;
    to->turn = ++turn_;
  }
  // For how long stores still know a repeat of what may have run. It may be on its way for 50 ms.
  Millis memory_left(const Op& op) const {
    return op.may_have_run + type_of(op.type).token_memory - 50 - now_;
  }
  const double resend_share_ = catalog_.number("resends.share"),
               burst_ = std::max(1.0, catalog_.number("resends.burst", 100) / all_);
  double resends_ = burst_;  // that may be sent now
  const double most_sends_ = catalog_.number("allow.sends_per_op", 1), tick_ = catalog_.number("tick", 5);

  // When the next probe of a member is due. The pace is kept by the instance that was the last to tell of the
  // group, or by others when it is left untold; sooner when an op waits for a sample, failed or is overdue.
  Millis probe_at(const Group& group, const Member& member) const {
    if (!may_probe_ || member.probe_out != kNever || !sendable(member) || !in_use(group)) return kForever;
    // Guards against probing members for the sake of one slow op or one ended connection: of one that others
    // tell of, only the path can be at fault. It is given four times the time, by when the op is late anyway,
    // and a second failed op. One that is down by its ops is looked at once others tell of it.
    const bool told_of = hears() && now_ - member.told < 1.5 * kProbePeriod;
    if (overdue(member, told_of ? 12 : 3) && member.probe_bad < member.oldest_out)
      return std::max(now_, member.next_probe);
    const bool look = down(member) ? member.told > member.hurt : !told_of;
    if (look && member.hurt > std::max(member.last_good, member.probe_bad)) return member.next_probe;
    // Patience runs anew for a new member and for who hears again: else all would probe all at once.
    const Millis anew = std::max(member.since, heard_again_) - kProbePeriod;
    Millis at = std::max(group.mine ? member.told : member.heard, anew) + kProbePeriod;
    if (!group.mine) at += patience(group, member);
    if (group.asked) at = std::min(at, member.heard + kSampleAge / 2);
    return std::max(at, member.next_probe);
  }

  // When a member that others tell of, and that failed here, is to be judged without them.
  Millis others_silent_at(const Member& member) const {
    const Millis at = member.told + 1.5 * kProbePeriod;
    return member.hurt > std::max(member.last_good, member.probe_bad) && at > now_ ? at : kForever;
  }

  void decide_probes() {
    // What holds for all groups alike, and decides on when their probes are due.
    const std::pair common(hears(), probes_count());
    if (std::exchange(judged_with_, common) != common)
      for (auto& [id, group] : groups_) touch(id);
    for (const GroupId due : probes_due_.take_due(now_)) touch(due);
    for (Group* group : std::exchange(touched_, {})) judge_probes(*group);
  }

  void judge_probes(Group& group) {
    if (group.wait == 0) group.wait = roll();
    if (among_ && group.turn < 0 && now_ - grown_at_ > kSampleAge) {
      group.turn = accord::turn_of(group.id, rank_, among_->there, kReady);
      groups_kept_ += group.turn == 0;
    }
    group.mine = group.mine && hears();
    bool due = false;
    Millis next = kForever;
    for (Member* member : group.members) {
      const Millis at = probe_at(group, *member);
      if (at <= now_)
        due = true;
      else
        next = std::min({next, at, others_silent_at(*member)});
    }
    if (among_ && group.turn < 0) next = std::min(next, grown_at_ + kSampleAge + tick_);
    probes_due_.set(group.id, next < kForever ? std::optional(next) : std::nullopt);
    // What this instance tells of a group goes into one message.
    for (Member* member : group.members)
      if (due && probe_at(group, *member) - (group.mine ? kProbePeriod / 2 : 0) <= now_)
        want_probes_.push_back(member);
    group.touched = group.asked = false;
  }

  // Calls are spread, for the list is one service for all: 25 ms apart, at most over a quarter of the time in
  // which the rule wants one, so that a call that was lost, the wait and the next call fit into 6 s.
  void decide_list() {
    if (next_watch_ == kNever) next_watch_ = now_ + spread();
    want_watch_ = ask_ && now_ >= next_watch_;
  }
  Millis spread() { return roll() * std::min(25 * (instances_ - 1), ask_within_ / 4); }
  const bool ask_ = catalog_.word("list", "push") == "ask";
  const Millis ask_within_ = catalog_.number("rule.ask_within", 10000);

  std::vector<Decision> emit() {
    std::vector<Decision> out;
    for (const MemberId& member : std::exchange(want_forgets_, {})) out.push_back(Forget{member});
    if (std::exchange(want_watch_, false)) out.push_back(WatchList{}), next_watch_ = kForever;
    for (Member* member : std::exchange(want_probes_, {})) {
      out.push_back(Probe{member->entry.member, probe_wait_});
      member->probe_out = member->probed = now_, ++probes_out_;
      member->next_probe = now_ + kProbePeriod * 0.75;
    }
    tell(out);
    for (auto& [key, flight] : flights_) {
      if (!flight.want_call_off || flight.called_off) continue;
      out.push_back(CallOff{key.first, key.second});
      flight.called_off = true, flight.member->op_bad = flight.member->hurt = now_;
      recount(*flight.member);
    }
    for (auto& [id, op] : ops_) {
      if (op.want == Want::send) {
        // Guards against a repeat that waits for its connection until the first attempt is forgotten.
        const bool repeats = op.may_have_run != kNever && type_of(op.type).effect == Effect::tokened;
        out.push_back(Send{id, op.to->entry.member, op.end - now_,
                           repeats ? std::optional(memory_left(op)) : std::nullopt});
        flights_[{id, {op.sends}}] = {op.to, op, now_};
        ++op.sends, ++op.out;
      }
      if (op.want == Want::busy_reply) out.push_back(BusyReply{id, come_back_});
      if (op.want == Want::error_reply) out.push_back(ErrorReply{id});
    }
    std::erase_if(ops_, [](const auto& item) { return item.second.want > Want::send; });
    const Millis next_probe = probes_due_.next().value_or(kForever);
    Millis wake = ask_ ? std::min(next_probe, next_watch_) : next_probe;
    if (!ops_.empty()) wake = std::min(wake, now_ + 3 * tick_);
    if (!want_tells_.empty()) wake = std::min(wake, untold_since_ + kGather);
    wake = std::clamp(wake, now_ + tick_, now_ + 1000);
    if (armed_ == kNever || wake < armed_) out.push_back(Wake{{++armed_as_.number}, armed_ = wake});
    return out;
  }

  // What one pace finds out goes into one message, which waits for the answers to probes, but not for long.
  static constexpr Millis kGather = 25;
  void tell(std::vector<Decision>& out) {
    if (probes_out_ > 0 && now_ < untold_since_ + kGather) return;
    // While nobody is heard a word now and then will do, from which those who hear again learn of others.
    if (!hears() && now_ < spoke_at_ + kSampleAge) return want_tells_.clear();
    std::vector<ToldSample> samples;
    for (Member* member : std::exchange(want_tells_, {})) {
      if (!member->unanswered) member->told = now_;
      const bool shown = now_ - member->busy_at < kSampleAge;
      const Role role = member->primary_at > member->replica_at ? Role::primary : Role::replica;
      samples.push_back(
          {member->mark,
           {member->unanswered ? Role::unknown : role, member->proven, shown ? member->busy : -1}});
      if (samples.size() == kMostSamples) break;  // the rest is told when its turn comes again
    }
    if (!samples.empty()) out.push_back(TellPeers{text_of(now_, samples)}), spoke_at_ = now_;
  }

  const Millis come_back_ =
      catalog_.number("allow.longest_come_back") * (catalog_.number("allow.come_back") > 0);

  double primary_density_ = 1e-9, long_part_ = 0;
  Millis now_ = 0, born_ = kNever, peer_heard_ = kNever, heard_again_ = kNever, grown_at_ = kNever,
         armed_ = kNever, next_watch_ = kNever;
  TimerId armed_as_;
  bool want_watch_ = false;
  long turn_ = 0;
  std::vector<Member*> want_probes_, want_tells_;
  Millis untold_since_ = kNever, spoke_at_ = kNever;  // untold: of what is wanted to be told, the first
  int probes_out_ = 0;
  std::vector<MemberId> want_forgets_;
  std::vector<Group*> touched_;
  std::vector<Event> noted_;
  std::map<MemberId, Member> members_;
  std::map<GroupId, Group> groups_;
  routing::MarkIndex<Member> marks_;
  std::multimap<Millis, MemberId> gone_;  // by when they went
  routing::WarmCapacity warm_capacity_{warm_within_};
  routing::DueTimes<GroupId> probes_due_;
  std::optional<std::pair<bool, bool>> judged_with_;  // whether peers are heard, whether failed probes count
  std::map<OpId, Op> ops_;
  std::map<std::string, Millis> remembered_;
  Millis remembered_floor_ = kNever, doubted_ = kNever;  // doubted: when probes were last found wrong
  std::map<std::pair<OpId, SendNumber>, Flight> flights_;
  std::map<OpTypeId, std::deque<Millis>> patiences_;  // of the last ops, by op type
  std::map<OpTypeId, std::deque<Millis>> latencies_;  // of the last answers, by op type
  std::map<OpTypeId, Millis> usual_;                  // their upper quartile
  std::deque<Millis> short_latencies_;                // of the last answers of short work
  std::deque<std::pair<bool, Millis>> work_;          // of the last answers: whether long, latency
};

}  // namespace

std::unique_ptr<Router> make_router(const Values& values, std::uint64_t seed) {
  return std::make_unique<Steering>(values, seed);
}

}  // namespace reedspindle
