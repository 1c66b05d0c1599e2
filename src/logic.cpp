// reedspindle's decision module: every decision of the router is taken here. Interface: logic.hpp.
//
// A caller makes one Router an instance, notes the events of a batch in order and calls settle once. settle
// brings the record up to date, works out what is wanted of every op, member and timer, and emit() alone
// turns the difference between that and what stands into decisions. Design: docs/design.md, after "Read/Write
// Splitting in .NET".
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

namespace reedspindle {
namespace {

constexpr Millis kNever = -1e18;
constexpr Millis kSampleAge = 1000;     // the design's limit on the age of a replica's sample
constexpr Millis kProbePeriod = 200;    // the design's pace of probing
constexpr Millis kLagThreshold = 2000;  // for reads without a bound: the figure the design's source uses

enum class Effect { retryable, tokened, non_retryable };
enum class Needs { any, bounded, session, current, write };

struct OpType {
  Effect effect = Effect::non_retryable;
  Needs needs = Needs::write;
  bool group_tokens = true;
  bool long_work = false;
  Millis target = 0, op_timeout = 0, bound = 0, token_memory = 0;
  double value = 1, late_value = 0;

  bool primary_only() const { return needs == Needs::write || needs == Needs::current; }
  // Value for the time it takes, for which the latency target stands: both are known before anything has run.
  double density() const { return value / std::max(1.0, target); }
};

// What the deployment states at start.
struct Catalog {
  explicit Catalog(const Values& values) : values_(values) {
    for (int i = 0; i < static_cast<int>(number("op_types", 0)); ++i) {
      const std::string at = "op_type." + std::to_string(i) + ".";
      OpType type;
      const std::string effect = word(at + "effect", "non-retryable"), needs = word(at + "needs", "write");
      if (effect == "retryable") type.effect = Effect::retryable;
      if (effect == "tokened") type.effect = Effect::tokened;
      if (needs == "any") type.needs = Needs::any;
      if (needs == "bounded") type.needs = Needs::bounded;
      if (needs == "session") type.needs = Needs::session;
      if (needs == "current") type.needs = Needs::current;
      type.group_tokens = word(at + "token_scope", "group") != "all";
      type.target = number(at + "latency_target", 1000);
      type.op_timeout = number(at + "op_timeout", 0);
      type.bound = number(at + "bound", 0);
      type.token_memory = number(at + "token_memory", 0);
      type.value = number(at + "value", 1);
      type.late_value = number(at + "late_value", 0);
      op_types.push_back(type);
    }
    std::vector<Millis> targets;
    for (const OpType& type : op_types) targets.push_back(type.target);
    std::sort(targets.begin(), targets.end());
    // Long work: wanted far later than the usual op. Five times the median target sets reports apart from
    // look-ups.
    for (OpType& type : op_types) type.long_work = type.target > 5 * targets[targets.size() / 2];
  }
  double number(const std::string& name, double other) const {
    const auto found = values_.find(name);
    const double* value = found == values_.end() ? nullptr : std::get_if<double>(&found->second);
    return value ? *value : other;
  }
  std::string word(const std::string& name, const std::string& other) const {
    const auto found = values_.find(name);
    const std::string* value = found == values_.end() ? nullptr : std::get_if<std::string>(&found->second);
    return value ? *value : other;
  }
  std::vector<OpType> op_types;

 private:
  Values values_;
};

struct Sample {
  Millis position = 0, seen = 0;
};

// Measurements are kept as the last few samples themselves.
template <typename T>
void keep(std::deque<T>& last, const T& sample, std::size_t most) {
  last.push_back(sample);
  if (last.size() > most) last.pop_front();
}

struct Member {
  ListedMember entry;
  bool listed = false, drained = false;
  std::deque<Sample> samples;  // the last few, newest last
  std::deque<double> paces;    // latency over latency target of the last answers, since the limit last moved
  std::deque<Millis> latencies;  // of the last answers of short work
  std::deque<Millis> sent, acked;
  std::deque<Millis> ghosts;  // until when sends given up on may still be running there
  Millis proven = kNever;     // a position once shown holds
  Millis primary_at = kNever, replica_at = kNever;
  Millis last_good = kNever, last_bad = kNever, down_since = kNever, cold_since = kNever;
  Millis probe_out = kNever, next_probe = kNever;
  Millis turned_away_need = std::numeric_limits<double>::infinity(), turned_away_at = kNever;
  Millis oldest_out = kNever;  // sending time of the oldest short op that is out
  Millis rest = 0, rest_until = kNever;
  double limit = 0;
  int out = 0, long_out = 0;
  long turn = 0;
  bool want_probe = false;
};

struct Flight {
  MemberId member;
  OpTypeId type;
  std::string session;
  Millis sent = 0;
  bool called_off = false, want_call_off = false;
};

enum class Want { hold, send, busy_reply, error_reply };

struct Op {
  OpTypeId type;
  GroupId group;
  std::string session;
  Millis wanted_by = 0, end = 0, token = kNever;
  Millis may_have_run = kNever;  // when the first send went out that may have run
  int sends = 0, out = 0;
  Want want = Want::hold;
  MemberId to;
};

class Steering final : public Router {
 public:
  Steering(const Values& values, std::uint64_t seed)
      : catalog_(values), chance_(static_cast<std::minstd_rand::result_type>(seed)) {
    instances_ = std::max(1.0, catalog_.number("instances", 1));
    stores_check_ = catalog_.word("checks", "none") != "none";
    for (const OpType& type : catalog_.op_types)
      if (type.primary_only()) primary_density_ = std::max(primary_density_, type.density());
    may_probe_ = catalog_.number("allow.probes", 0) > 0;
  }

  void note(const Event& event) override { noted_.push_back(event); }

  std::vector<Decision> settle(Millis now) override {
    now_ = now;
    for (const Event& event : noted_) std::visit([this](const auto& e) { learn(e); }, event);
    noted_.clear();
    judge_members();
    decide_ops();
    decide_list();
    return emit();
  }

 private:
  // ---- what is learned from events ----

  void learn(const ListRead& read) {
    if (read.kind == ListKind::failed) {
      // Ask again soon, then ever more rarely: the list is one service for all instances.
      watch_pause_ = std::clamp(watch_pause_ * 2, 200.0, 2000.0);
      next_watch_ = now_ + watch_pause_ * (0.75 + 0.5 * roll());
      return;
    }
    if (read.kind != ListKind::saved) watch_pause_ = 0;
    if (read.kind != ListKind::changes)
      for (auto& [id, member] : members_) member.listed = false;
    for (const ListedMember& entry : read.members) {
      Member& member = members_[entry.member];
      if (member.limit == 0) member.limit = std::max(1.0, 8 / instances_);
      member.entry = entry;
      member.listed = entry.state != MemberState::gone;
      if (entry.state == MemberState::draining) member.drained = true;
      if (entry.state == MemberState::ready) member.drained = false;
      if (entry.up_since > 0) member.cold_since = std::max(member.cold_since, entry.up_since);
    }
  }

  void learn(const OpArrived& arrived) {
    Op op;
    op.type = arrived.type;
    op.group = arrived.group;
    op.end = now_ + arrived.patience;
    op.wanted_by = now_ + type_of(op.type).target - waited(arrived);
    // A millisecond to the cautious side: positions are rounded down, ages may be rounded either way.
    if (arrived.token_age > 0) op.token = now_ - std::floor(arrived.token_age) + 1;
    op.session = arrived.session;
    op.token = std::max(op.token, remembered_floor_);
    if (const auto mine = remembered_.find(arrived.session); mine != remembered_.end())
      op.token = std::max(op.token, mine->second);
    ops_[arrived.op] = op;
  }

  // How long the client has been asking already, the latency target running since its first try. A first try
  // is given up after a fixed part of the op timeout, so first tries share one patience; any other patience
  // is what is left of the op timeout. Where no patience is common to a quarter of the last ops, or hardly
  // any has come, nothing is concluded. Guards against repeats crowding out first tries. Harm: clients whose
  // patience differs by itself.
  Millis waited(const OpArrived& arrived) {
    const OpType& type = type_of(arrived.type);
    std::deque<Millis>& last = patiences_[arrived.type];
    keep(last, arrived.patience, 64);
    std::deque<Millis> sorted = last;
    std::sort(sorted.begin(), sorted.end());
    std::size_t common = 0;
    Millis usual = 0;
    for (std::size_t low = 0, high = 0; high < sorted.size(); ++high) {
      while (sorted[high] - sorted[low] > 10) ++low;  // the network varies them by a few milliseconds
      if (high - low + 1 > common) common = high - low + 1, usual = sorted[high];
    }
    if (common < 3 || 4 * common < sorted.size()) return 0;
    // 30 is well above what the network varies and well below any latency target.
    if (std::abs(arrived.patience - usual) > 30) return std::max(0.0, type.op_timeout - arrived.patience);
    return arrived.repeat ? std::clamp(type.op_timeout - usual, 0.0, type.target) : 0;
  }

  void learn(const SendEnded& ended) {
    Member& member = members_[ended.member];
    const auto flight = flights_.find({ended.op, ended.send});
    if (flight == flights_.end()) return;
    const OpTypeId type_id = flight->second.type;
    const OpType& type = type_of(type_id);
    const Millis sent = flight->second.sent;
    if (ended.ending == Ending::acked) remember(flight->second.session, ended, type);
    flights_.erase(flight);
    --member.out;
    if (type.long_work) --member.long_out;
    const bool answered = ended.ending == Ending::acked || ended.ending == Ending::errored ||
                          ended.ending == Ending::turned_away_full ||
                          ended.ending == Ending::turned_away_untouched;
    const auto found = ops_.find(ended.op);
    if (answered) {
      good(member);
      const bool commit = ended.ending == Ending::acked && type.needs == Needs::write;
      const bool dated = ended.seen.role == Role::primary && ended.seen.position >= 0;
      see(member, ended.seen, dated ? ended.seen.position : now_, commit);
    }
    if (ended.ending == Ending::reset || ended.ending == Ending::connect_failed) bad(member);
    if (ended.ending == Ending::acked || ended.ending == Ending::timed_out) pace(member, type_id, ended.took);
    if (ended.ending == Ending::acked) member.acked.push_back(now_);
    // Guards against taking a member for free whose work goes on after a time-out or call-off: what was given
    // up on counts as out for as long again as such ops usually take.
    if (ended.ending == Ending::timed_out || ended.ending == Ending::called_off)
      member.ghosts.push_back(now_ + quantile(latencies_[type_id], 0.5, type.target / 4));
    if (ended.ending == Ending::acked) member.rest = 0;
    if (ended.ending == Ending::turned_away_full || ended.ending == Ending::errored) {
      // Guards against a member that turns ops away faster than others work and so draws ever more of them:
      // it rests, longer each time (25 ms is a few batches, 800 ms four probes), until it acks again.
      member.limit = std::max(floor(), member.limit * 0.85);
      if (now_ >= member.rest_until) member.rest = std::clamp(member.rest * 2, 25.0, 800.0);
      member.rest_until = now_ + member.rest;
    }
    if (ended.ending == Ending::turned_away_untouched && found != ops_.end()) {
      if (type.needs == Needs::write) member.replica_at = now_;
      member.turned_away_need = std::min(need(found->second, type), member.turned_away_need);
      member.turned_away_at = now_;
    }
    if (found == ops_.end()) return;
    Op& op = found->second;
    --op.out;
    if (ended.op_ended) {
      ops_.erase(found);
      return;
    }
    const bool proven_not_run =
        ended.ending == Ending::turned_away_full || ended.ending == Ending::connect_failed ||
        ended.ending == Ending::never_sent || ended.ending == Ending::turned_away_untouched;
    if (!proven_not_run && op.may_have_run == kNever) op.may_have_run = sent;
  }

  void learn(const ProbeEnded& ended) {
    Member& member = members_[ended.member];
    member.probe_out = kNever;
    if (!ended.answered) return bad(member);
    good(member);
    see(member, ended.seen, ended.seen.position, false);
  }

  void learn(const OpGone& gone) { ops_.erase(gone.op); }
  void learn(const TimerDue&) { armed_ = kNever; }
  void learn(const PeerSpoke&) {}

  // A primary stands at the present, so the position it claims dates the claim.
  void see(Member& member, const Sighting& seen, Millis date, bool commit) {
    if (seen.role == Role::primary) member.primary_at = std::max(member.primary_at, date);
    if (seen.role == Role::replica) member.replica_at = std::max(member.replica_at, date);
    if (seen.position < 0) return;
    const Millis position = seen.position - (commit ? 1 : 0);  // a commit's time is rounded up
    member.proven = std::max(member.proven, position);
    keep(member.samples, {member.proven, now_}, 3);
    if (member.proven >= member.turned_away_need)
      member.turned_away_need = std::numeric_limits<double>::infinity();
  }

  // The design leaves open how long tokens are kept. All are, but when there are many the old half is folded
  // into one token that binds every session: replicas have long applied it, unless they are far behind and
  // not to be read.
  void remember(const std::string& session, const SendEnded& ended, const OpType& type) {
    if (type.needs != Needs::write || ended.seen.position < 0 || catalog_.word("tokens", "") != "remembered")
      return;
    Millis& mine = remembered_.try_emplace(session, kNever).first->second;
    mine = std::max(mine, ended.seen.position);
    if (remembered_.size() < 10000) return;
    std::deque<Millis> all;
    for (const auto& [name, token] : remembered_) all.push_back(token);
    remembered_floor_ = std::max(remembered_floor_, quantile(all, 0.5, kNever));
    std::erase_if(remembered_, [this](const auto& item) { return item.second <= remembered_floor_; });
  }

  void good(Member& member) {
    // Guards against pushing over a member that restarted before the list told of it: one that comes back
    // after failing for two seconds is taken for cold. Harm: a member that was only cut off is used sparingly
    // for a while.
    if (member.down_since != kNever && now_ - member.down_since > 2000) member.cold_since = now_;
    member.down_since = kNever;
    member.last_good = now_;
  }

  void bad(Member& member) {
    if (member.down_since == kNever) member.down_since = now_;
    member.last_bad = now_;
  }

  // The limit on what is out at a member follows the latency of its own answers: over 0.35 of their latency
  // target on average it shrinks, under 0.25 it grows. Tried with 0.45 and 0.35: more came late everywhere,
  // for work varies so much that a mean of half the target leaves a quarter of answers over it. Guards
  // against full queues, neighbours, slow members and fallbacks onto a primary; when all are slow the floor
  // keeps work going. Harm: op types whose latency target says little of their work.
  void pace(Member& member, OpTypeId id, Millis took) {
    const OpType& type = type_of(id);
    keep(latencies_[id], took, 32);
    if (!type.long_work) keep(member.latencies, took, 16);
    member.paces.push_back(took / std::max(1.0, type.target));
    if (member.paces.size() < 10) return;
    double mean = 0;
    for (double pace : member.paces) mean += pace / static_cast<double>(member.paces.size());
    if (mean > 0.35) member.limit = std::max(floor(), member.limit * 0.85);
    if (mean < 0.25 && member.out + 1 >= member.limit * 0.7) member.limit += 1;
    member.paces.clear();
  }

  // Any server runs a few ops at once; the instances share it.
  double floor() const { return std::max(1.0, 4 / instances_); }

  // ---- members ----

  const OpType& type_of(OpTypeId type) const {
    return catalog_.op_types.at(static_cast<std::size_t>(type.number));
  }

  static double quantile(std::deque<Millis> samples, double share, double other) {
    if (samples.empty()) return other;
    std::sort(samples.begin(), samples.end());
    return samples[static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1))];
  }

  void judge_members() {
    for (auto& [id, member] : members_) member.oldest_out = kNever;
    for (const auto& [key, flight] : flights_) {
      Member& member = members_[flight.member];
      if (type_of(flight.type).long_work || flight.called_off) continue;
      if (member.oldest_out == kNever || flight.sent < member.oldest_out) member.oldest_out = flight.sent;
    }
    for (auto& [id, member] : members_) {
      const Millis fall = catalog_.number("rule.fall", 1000);
      while (!member.sent.empty() && member.sent.front() < now_ - fall) member.sent.pop_front();
      std::erase_if(member.ghosts, [this](Millis until) { return until <= now_; });
      while (!member.acked.empty() && member.acked.front() < now_ - fall) member.acked.pop_front();
      const bool known_fresh = !member.samples.empty() && now_ - member.samples.back().seen < kProbePeriod;
      member.want_probe = may_probe_ && member.listed && member.probe_out == kNever &&
                          now_ >= member.next_probe && (!known_fresh || down(member));
      if (may_probe_ && member.probe_out == kNever && overdue(member) && member.last_bad < member.oldest_out)
        member.want_probe = true;
    }
    for (auto& [key, flight] : flights_)
      flight.want_call_off = !flight.called_off && catalog_.number("allow.call_off", 0) > 0 &&
                             type_of(flight.type).effect == Effect::retryable &&
                             silent(members_[flight.member]);
  }

  // No answer of any kind for longer than its answers usually take, with an op out all that time.
  bool overdue(const Member& member) const {
    if (member.oldest_out == kNever) return false;
    const Millis usual = quantile(member.latencies, 0.75, 100);
    return now_ - std::max(member.last_good, member.oldest_out) > std::max(60.0, 2 * usual);
  }

  // Guards against members that hang, vanish or are cut off: a probe is answered beside the queue within a
  // few milliseconds, so a member whose probe stays out for 50 ms with no answer since is silent, not busy.
  bool silent(const Member& member) const {
    return down(member) || (member.probe_out > member.last_good && now_ - member.probe_out > 50);
  }

  bool down(const Member& member) const { return member.last_bad > member.last_good; }

  bool sendable(const Member& member) const {
    const bool bound_by_gone = catalog_.number("rule.only_draining_binds", 0) <= 0;
    if (member.drained || member.entry.state == MemberState::draining) return false;
    return member.listed || !bound_by_gone;
  }

  bool usable(const Member& member) const {
    return sendable(member) && now_ >= member.rest_until && !silent(member) && !overdue(member);
  }

  // The share of its capacity that a cold member has at least.
  double warmth(const Member& member) const {
    const Millis within = catalog_.number("rule.warm_within", 0), age = now_ - member.cold_since;
    if (age >= within || within <= 0) return 1;
    const double from = catalog_.number("rule.cold_from", 1);
    return from + (1 - from) * std::max(0.0, age) / within;
  }

  // Guards against pushing over a cold member: what is out at it is held to its share of the limit, and what
  // is sent within the rule's window to half the rule's multiple of its share of what a warm member of its
  // size answered us.
  bool has_room(const Member& member, bool long_work, double part) const {
    const double share = warmth(member);
    const double out = member.out + static_cast<double>(member.ghosts.size());
    if (out + 0.5 > std::max(1.0, member.limit * part * share)) return false;
    if (share >= 1) return true;
    if (long_work) return false;
    std::size_t carried = 0;
    for (const auto& [id, other] : members_)
      if (other.entry.kind == member.entry.kind && warmth(other) >= 1)
        carried = std::max(carried, other.acked.size());
    const double budget = share * catalog_.number("rule.fall_multiple", 2) / 2 * static_cast<double>(carried);
    return static_cast<double>(member.sent.size()) < std::max(2.0, budget);
  }

  const Member* primary_of(GroupId group) const {
    const Member* best = nullptr;
    for (const auto& [id, member] : members_) {
      if (member.entry.group != group || member.primary_at == kNever ||
          member.primary_at <= member.replica_at)
        continue;
      if (!best || member.primary_at > best->primary_at) best = &member;
    }
    if (best) return best;
    for (const auto& [id, member] : members_)
      if (member.entry.group == group && member.listed && member.entry.primary && member.replica_at == kNever)
        return &member;
    return nullptr;
  }

  // ---- ops ----

  // The position that an op asks of a replica.
  Millis need(const Op& op, const OpType& type) const {
    if (type.needs == Needs::bounded) return now_ - type.bound;
    if (type.needs == Needs::session) return op.token;
    return type.needs == Needs::any ? kNever : now_;
  }

  // The design's three tests.
  bool passes(const Member& member, const Op& op, const OpType& type) const {
    if (member.samples.empty() || now_ - member.samples.back().seen > kSampleAge) return false;
    const Millis threshold = type.needs == Needs::bounded ? type.bound : kLagThreshold;
    if (now_ - member.proven > threshold) return false;
    return member.proven >= op.token;
  }

  // Where stores check reads themselves, a replica is tried when it would pass if it now lags as it did in
  // the best of its last samples: a report is itself old, so the least lag seen comes nearest to the truth.
  bool likely(const Member& member, const Op& op, const OpType& type) const {
    if (!stores_check_ || member.samples.empty() || now_ - member.samples.back().seen > kSampleAge)
      return false;
    Millis lag = std::numeric_limits<double>::infinity();
    for (const Sample& sample : member.samples) lag = std::min(lag, sample.seen - sample.position);
    const Millis wanted = need(op, type);
    if (now_ - member.turned_away_at < kProbePeriod && wanted >= member.turned_away_need) return false;
    return now_ - lag >= wanted;
  }

  const Member* choose(const Op& op, const OpType& type) const {
    const Member* primary = primary_of(op.group);
    const bool primary_usable = primary && usable(*primary);
    // An op past its latency target is of little value: it goes only where half the limit is free.
    const double spare = now_ > op.wanted_by ? 0.5 : 1;
    if (type.primary_only())
      return primary_usable && has_room(*primary, type.long_work, spare) ? primary : nullptr;
    const bool zones_matter = catalog_.number("price.cross_zone", 0) > 0;
    const double zone = catalog_.number("zone", 0);
    const Member* best = nullptr;
    std::pair<int, long> best_rank;
    for (const auto& [id, member] : members_) {
      if (member.entry.group != op.group || &member == primary || !usable(member)) continue;
      if (!has_room(member, type.long_work, spare)) continue;
      int tier = passes(member, op, type) || likely(member, op, type) ? 0 : 2;
      // Beyond the threshold, but proven all the same: before a busy primary is asked, data that the op
      // allows will do.
      if (tier && (type.needs == Needs::any || (type.needs == Needs::session && member.proven >= op.token)))
        tier = 1;
      if (tier == 2) continue;
      if (zones_matter && member.entry.zone.number != zone) tier += 2;
      std::pair<int, long> rank{tier, member.turn};
      // Long work blocks the log where it runs: keep it together, on the member that holds most of it
      // already.
      if (type.long_work) rank = {-member.long_out, 0};
      if (!best || rank < best_rank) best = &member, best_rank = rank;
    }
    if (best) return best;
    // A primary takes reads into half its limit, and up to 0.8 of it as they come to be of as much value for
    // their time as what only it can do: the rest is kept for that. Guards the primary when replicas fall
    // behind.
    const double part = 0.5 + 0.3 * std::min(1.0, type.density() / primary_density_);
    return primary_usable && has_room(*primary, type.long_work, part * spare) ? primary : nullptr;
  }

  // Until when an answer is of use.
  static Millis useful_until(const Op& op, const OpType& type) {
    return type.late_value > 0 ? op.end : std::min(op.end, op.wanted_by);
  }

  void decide_ops() {
    std::vector<std::tuple<Millis, OpId>> held;
    for (auto& [id, op] : ops_) {
      op.want = Want::hold;
      if (op.out > 0) continue;
      const OpType& type = type_of(op.type);
      // The earliest latency target first, brought nearer for ops of more value for their time; late ones
      // last.
      const Millis left = op.wanted_by - now_;
      held.emplace_back(left > 0 ? left * std::sqrt(primary_density_ / type.density()) : 1e9 - left, id);
    }
    std::sort(held.begin(), held.end());
    for (const auto& [by, id] : held) decide(ops_[id]);
  }

  void decide(Op& op) {
    const OpType& type = type_of(op.type);
    const bool ran = op.may_have_run != kNever;
    const bool may_send =
        op.sends < catalog_.number("allow.sends_per_op", 1) &&
        (!ran || type.effect == Effect::retryable ||
         (type.effect == Effect::tokened && now_ < op.may_have_run + type.token_memory - 50));
    // What can't be answered in time by the usual latency is ended: by the upper quartile, for where ops wait
    // for room, another makes better use of it. Never by more than 0.6 of the latency target: samples of a
    // bad time would end every op, and with none sent no better sample could come. Guards against sends that
    // come to nothing, and against locking itself out after a slow spell.
    const Millis expected = std::min(quantile(latencies_[op.type], 0.75, 0), type.target * 0.6);
    const Millis slack = 2 * catalog_.number("tick", 5);
    if (!may_send || now_ + std::max(expected, slack) > useful_until(op, type)) {
      const bool harmless =
          !ran || type.effect == Effect::retryable || (type.effect == Effect::tokened && !type.group_tokens);
      op.want = harmless ? Want::busy_reply : Want::error_reply;
      return;
    }
    const Member* to = choose(op, type);
    if (!to) return;
    op.want = Want::send;
    op.to = to->entry.member;
    Member& member = members_[op.to];
    ++member.out;
    if (type.long_work) ++member.long_out;
    member.sent.push_back(now_);
    member.turn = ++turn_;
  }

  // ---- the list ----

  void decide_list() {
    if (catalog_.word("list", "push") != "ask") return;
    want_watch_ = now_ >= next_watch_;
  }

  double roll() {
    return static_cast<double>(chance_() - chance_.min()) / static_cast<double>(chance_.max());
  }

  // ---- from wanted to done ----

  std::vector<Decision> emit() {
    std::vector<Decision> out;
    if (std::exchange(want_watch_, false)) {
      out.push_back(WatchList{});
      next_watch_ = std::numeric_limits<double>::infinity();
    }
    for (auto& [id, member] : members_) {
      if (!member.want_probe) continue;
      out.push_back(Probe{id});
      member.probe_out = now_;
      member.next_probe = now_ + kProbePeriod * (0.9 + 0.2 * roll());
    }
    for (auto& [key, flight] : flights_) {
      if (!flight.want_call_off || flight.called_off) continue;
      out.push_back(CallOff{key.first, key.second});
      flight.called_off = true;
    }
    std::vector<OpId> ended;
    for (auto& [id, op] : ops_) {
      if (op.want == Want::send) {
        out.push_back(Send{id, op.to, op.end - now_});
        flights_[{id, {op.sends}}] = {op.to, op.type, op.session, now_, false, false};
        ++op.sends;
        ++op.out;
      } else if (op.want != Want::hold) {
        if (op.want == Want::busy_reply)
          out.push_back(BusyReply{id, catalog_.number("allow.come_back", 0) > 0 ? come_back() : 0});
        else
          out.push_back(ErrorReply{id});
        ended.push_back(id);
      }
    }
    for (const OpId id : ended) ops_.erase(id);
    const Millis wake = now_ + (ops_.empty() ? 50 : 10);
    if (armed_ == kNever || wake < armed_) {
      out.push_back(Wake{{0}, wake});
      armed_ = wake;
    }
    return out;
  }

  Millis come_back() const { return catalog_.number("allow.longest_come_back", 0); }

  Catalog catalog_;
  std::minstd_rand chance_;
  double instances_ = 1, primary_density_ = 1e-9;
  bool stores_check_ = false, may_probe_ = false;
  Millis now_ = 0, armed_ = kNever;
  Millis next_watch_ = kNever, watch_pause_ = 0;
  bool want_watch_ = false;
  long turn_ = 0;
  std::vector<Event> noted_;
  std::map<MemberId, Member> members_;
  std::map<OpId, Op> ops_;
  std::map<std::string, Millis> remembered_;
  Millis remembered_floor_ = kNever;
  std::map<std::pair<OpId, SendNumber>, Flight> flights_;
  std::map<OpTypeId, std::deque<Millis>> patiences_;  // of the last ops, by op type
  std::map<OpTypeId, std::deque<Millis>> latencies_;  // of the last answers, by op type
};

}  // namespace

std::unique_ptr<Router> make_router(const Values& values, std::uint64_t seed) {
  return std::make_unique<Steering>(values, seed);
}

}  // namespace reedspindle
