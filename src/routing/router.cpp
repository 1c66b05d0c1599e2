// reedspindle's decision module: every decision of the router is taken here. Interface: router.hpp.
// Note a batch's events, then call settle once; emit() alone turns what is wanted into decisions. See docs/.
#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "routing/due_times.hpp"
#include "routing/eligibility.hpp"
#include "routing/mark_index.hpp"
#include "routing/probe_leader.hpp"
#include "routing/recent_values.hpp"
#include "routing/replica_samples.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_options.hpp"
#include "routing/warm_capacity.hpp"

namespace reedspindle {
namespace {

constexpr Millis kProbePeriod = 200;  // the design's pace of probing
using routing::Consistency;
using routing::Group;
using routing::keep_last;
using routing::kForever;
using routing::kMaxSampleAge;
using routing::kNever;
using routing::quantile;
using routing::RequestClass;
using routing::RetrySafety;
using routing::RouterOptions;
using routing::Server;

enum class NextStep { wait, attempt, reject, fail };

struct Request {
  RequestClassId request_class;
  GroupId group;
  std::string session;
  Millis objective_deadline = 0;         // the end of its latency objective
  Millis half_deadline = 0;              // when half of the client's patience is over
  Millis deadline = 0;                   // the client's
  Millis session_token = kNever;         // the date of the session's last write
  double admission_draw = 0;             // 0 to 1: compared with concurrency limits below 1
  Millis possibly_executed_at = kNever;  // when the first attempt started that may have run
  int attempts = 0;                      // started
  int in_flight = 0;
  int not_executed = 0;  // refused by the server, without an effect
  NextStep next_step = NextStep::wait;
  Server* target = nullptr;  // of the next attempt
};

struct Attempt {
  Server* server = nullptr;
  Request request;
  Millis sent = 0;
  bool cancelled = false, want_cancel = false;
};

class Steering final : public Router {
 public:
  Steering(const Settings& values, std::uint64_t seed)
      : options_(routing::parse_router_options(values)),
        chance_(static_cast<std::minstd_rand::result_type>(seed)) {}

  void enqueue(Event event) override { noted_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    now_ = now, born_ = born_ == kNever ? now : born_;
    for (const Event& event : noted_) {
      std::visit([this](const auto& e) { learn(e); }, event);
    }
    noted_.clear();
    judge_flights();
    decide_ops();
    decide_probes();
    decide_list();
    return emit();
  }

  // The same tests as an op's, told with the time up to which they hold.
  [[nodiscard]] std::vector<ServerView> view() const override {
    std::set<Millis> bounds{routing::kDefaultStalenessBound};
    for (const RequestClass& request_class : options_.request_classes) {
      if (request_class.consistency == Consistency::bounded) {
        bounds.insert(request_class.staleness_bound);
      }
    }
    std::vector<ServerView> views;
    for (const auto& [id, server] : servers_) {
      ServerView& view = views.emplace_back(server.entry);
      const auto group = groups_.find(server.entry.group);
      view.primary = group != groups_.end() && routing::primary_of(group->second) == &server;
      view.unavailability = server.entry.state == ServerState::gone && options_.gone_is_excluded
                                ? Unavailability::gone
                            : !sendable(server) ? Unavailability::draining
                            : down(server)      ? Unavailability::down
                            : !usable(server)   ? Unavailability::backing_off
                                                : Unavailability::none;
      view.slow_start_fraction = slow_start_fraction(server);
      if (server.samples.empty()) {
        continue;
      }
      view.position = server.applied_position, view.sampled_at = server.samples.back().seen_at;
      for (const Millis bound : bounds) {
        if (const Millis until = routing::fresh_until(server, bound); now_ < until) {
          view.fresh.push_back({bound, until});
        }
      }
    }
    return views;
  }

 private:
  const RouterOptions options_;
  std::minstd_rand chance_;
  double instances_ = options_.instances;       // that share what is for all
  std::optional<FleetViewChanged> fleet_view_;  // none: nobody says who is there

  double roll() { return static_cast<double>(chance_() - 1) / static_cast<double>(chance_.max()); }

  // Work is done for the groups that something happened to.
  Group& touch(GroupId id) {
    Group& group = groups_[id];
    group.id = id;
    if (!std::exchange(group.changed, true)) {
      touched_.push_back(&group);
    }
    return group;
  }
  Group& touch(const Server& server) {
    if (!std::exchange(server.group->changed, true)) {
      touched_.push_back(server.group);
    }
    return *server.group;
  }

  void learn(const EndpointListReceived& read) {
    if (read.kind == EndpointListKind::failed) {
      return void(next_watch_ = now_ + 200 + spread());
    }
    const bool whole = read.kind != EndpointListKind::changes;
    if (whole) {
      for (auto& [id, server] : servers_) {
        server.was_gone = std::exchange(server.entry.state, ServerState::gone) == ServerState::gone;
      }
    }
    for (const ServerEntry& entry : read.servers) {
      learn(entry, whole);
    }
    if (whole) {
      for (auto& [id, server] : servers_) {
        judge_listing(server);
      }
    }
    forget_the_gone();
  }

  void learn(const ServerEntry& entry, bool whole) {
    const auto [at, is_new] = servers_.try_emplace(entry.id);
    Server& server = at->second;
    if (!whole) {
      server.was_gone = server.entry.state == ServerState::gone && !is_new;
    }
    server.entry = entry;
    Group& group = touch(entry.group);
    if (server.group != &group) {
      if (server.group) {
        std::erase(server.group->servers, &server);
      }
      server.group = &group;
      is_new ? add(server) : routing::insert_into_group(server);
    }
    if (entry.state != ServerState::gone) {
      server.draining = entry.state == ServerState::draining;
    }
    if (entry.started_at > server.cold_since && entry.started_at > 0) {
      server.cold_since = entry.started_at, server.next_probe_at = now_;
    }
    if (!whole) {
      judge_listing(server);
    }
  }

  void add(Server& server) {
    const ServerId& id = server.entry.id;
    server.listed_at = now_, server.mark = mark_of(id), std::erase(want_forgets_, id);
    marks_.add(server.mark, server);
    routing::insert_into_group(server);
    server.concurrency_limit = std::max(1.0, 8 / instances_);
    // By chance, so that instances don't all begin with the same member, nor spend all credit at once.
    server.slow_start_credit = roll(), server.credit_updated_at = now_;
    server.last_selected = turn_ - static_cast<long>(100 * roll());
  }

  // The list has said something of it, or has it no more.
  void judge_listing(Server& server) {
    recount(server);
    const bool gone = server.entry.state == ServerState::gone;
    if (!gone || std::exchange(server.was_gone, true) || !options_.gone_is_excluded) {
      return;
    }
    // One that was never there is forgotten at once.
    const bool was_there = server.listed_at < now_ || server.in_flight > 0;
    server.gone_since = was_there ? now_ : now_ - kForgetAfter;
    gone_.emplace(server.gone_since, server.entry.id);
  }

  // Guards against growing where stores are replaced all day. What has been gone for half a minute is
  // forgotten: no late word of the list, no answer and no excuse for a former primary is due by then. A few
  // at a time: where thousands go at once, the turn of the loop has to stay short.
  void forget_the_gone() {
    for (int forgotten = 0; forgotten < kForgottenAtOnce; ++forgotten) {
      if (gone_.empty() || now_ - gone_.begin()->first < kForgetAfter) {
        return;
      }
      const auto [since, id] = *gone_.begin();
      gone_.erase(gone_.begin());
      const auto found = servers_.find(id);
      if (found == servers_.end()) {
        continue;
      }
      Server& server = found->second;
      if (server.entry.state != ServerState::gone || server.gone_since != since) {
        continue;
      }
      if (server.in_flight > 0 || server.probe_sent_at != kNever) {
        server.gone_since = now_;
        gone_.emplace(now_, id);
        continue;
      }
      std::erase(touch(server).servers, &server), marks_.remove(server.mark, server);
      std::erase(want_tells_, &server);
      warm_capacity_.remove(server.capacity_slot);
      want_forgets_.push_back(id);
      servers_.erase(found);
    }
  }
  static constexpr Millis kForgetAfter = 30000;
  static constexpr int kForgottenAtOnce = 64;

  // Its part in the capacity of the warm replicas, after anything of it has changed that decides on that.
  void recount(Server& server) {
    warm_capacity_.update(
        server.capacity_slot,
        {server.entry.size, server.cold_since, sendable(server),
         server.request_failed_at > server.last_answer_at, server.probe_failed_at > server.last_answer_at},
        now_);
  }

  void learn(const RequestReceived& arrived) {
    Request& request = requests_[arrived.request] = {arrived.request_class, arrived.group, arrived.session};
    request.half_deadline = now_ + arrived.remaining / 2, request.deadline = now_ + arrived.remaining;
    request.objective_deadline = now_ + class_of(request.request_class).latency_objective - waited(arrived);
    // A millisecond to the cautious side: positions are rounded down, ages may be rounded either way.
    if (arrived.token_age != 0) {
      request.session_token = now_ - std::floor(arrived.token_age) + 1;
    }
    request.admission_draw = roll();
    count_request(request.group);
    request.session_token = std::max(request.session_token, remembered_floor_);
    if (const auto mine = remembered_.find(arrived.session); mine != remembered_.end()) {
      request.session_token = std::max(request.session_token, mine->second);
    }
  }

  void count_request(GroupId id) {
    const auto found = groups_.find(id);
    if (found == groups_.end() || options_.connection_idle <= 0) {
      return;
    }
    Group& group = found->second;
    group.recent_requests = 1 + requests_of_late(group);
    group.requests_counted_at = now_;
  }
  [[nodiscard]] double requests_of_late(const Group& group) const {
    return group.recent_requests *
           std::exp(-std::max(0.0, now_ - group.requests_counted_at) / options_.connection_idle);
  }
  // Guards against probing for nobody: a group costs what its requests cost, not that it is there. Which
  // front keeps the pace by the fleet's view does so for the others, too.
  [[nodiscard]] bool in_use(const Group& group) const {
    return options_.connection_idle <= 0 || group.leader_rank == 0 ||
           now_ - group.requests_counted_at < options_.connection_idle;
  }

  // How long the client has been asking already, the latency target running since its first try. First tries
  // share one patience; any other is what is left of the op timeout. Where no patience is common to a quarter
  // of the last ops, nothing is concluded. Guards against repeats crowding out first tries.
  static constexpr Millis kJitter = 10;  // the network varies them by a few milliseconds
  Millis waited(const RequestReceived& arrived) {
    const RequestClass& request_class = class_of(arrived.request_class);
    keep_last(deadlines_[arrived.request_class], arrived.remaining, 64);
    std::deque<Millis> sorted = deadlines_[arrived.request_class];
    std::sort(sorted.begin(), sorted.end());
    std::size_t common = 0;
    Millis usual = 0;
    for (std::size_t low = 0, high = 0; high < sorted.size(); ++high) {
      while (sorted[high] - sorted[low] > kJitter) {
        ++low;
      }
      if (high - low + 1 > common) {
        common = high - low + 1, usual = sorted[high];
      }
    }
    if (common < 3 || 4 * common < sorted.size()) {
      return 0;
    }
    if (std::abs(arrived.remaining - usual) > 3 * kJitter) {
      return std::max(0.0, request_class.request_timeout - arrived.remaining);
    }
    return arrived.is_retry
               ? std::clamp(request_class.request_timeout - usual, 0.0, request_class.latency_objective)
               : 0;
  }

  void learn(const AttemptCompleted& ended) {
    const auto attempt = attempts_.find({ended.request, ended.attempt});
    if (attempt == attempts_.end()) {
      return;
    }
    const Attempt was = attempts_.extract(attempt).mapped();
    Server& server = *was.server;
    touch(server);
    const RequestClass& request_class = class_of(was.request.request_class);
    if (--server.in_flight == 0) {
      server.oldest_attempt_sent_at = kNever;
    }
    const auto is = [&ended](auto... outcome) { return ((ended.outcome == outcome) || ...); };
    if (is(AttemptOutcome::acknowledged, AttemptOutcome::failed, AttemptOutcome::rejected_overloaded,
           AttemptOutcome::rejected_not_executed)) {
      good(server);
      const bool dated = ended.sample.role == Role::primary && ended.sample.position >= 0;
      see(server, ended.sample, dated ? ended.sample.position : now_, now_,
          is(AttemptOutcome::acknowledged) && request_class.consistency == Consistency::write);
    }
    server.connection_answered_at =
        is(AttemptOutcome::acknowledged, AttemptOutcome::failed, AttemptOutcome::rejected_not_executed)
            ? now_
            : kNever;
    if (is(AttemptOutcome::acknowledged)) {
      remember(was.request.session, ended, request_class);
      if (slow_start_fraction(server) >= 1) {
        keep_last(acked_, now_, 10000);
      }
    }
    // Guards against taking a member for down by the end of one connection: twice with no answer between.
    if (is(AttemptOutcome::reset, AttemptOutcome::connect_failed) &&
        std::exchange(server.last_error_at, now_) > server.last_answer_at) {
      server.request_failed_at = now_, recount(server);
    }
    if (is(AttemptOutcome::acknowledged, AttemptOutcome::timed_out)) {
      pace(server, was.request.request_class, ended.latency);
    }
    if (is(AttemptOutcome::rejected_overloaded)) {
      // Guards against a member that turns ops away faster than others work and so draws ever more of them.
      yield(server);
      server.concurrency_limit = std::max(floor(), server.concurrency_limit * 0.85),
      server.back_off_until = now_ + kProbePeriod / 2;
    }
    const auto found = requests_.find(ended.request);
    if (found == requests_.end()) {
      return;
    }
    Request& request = found->second;
    const bool untouched = is(AttemptOutcome::rejected_not_executed);
    if (untouched && request_class.consistency == Consistency::write) {
      server.replica_claimed_at = now_;
    }
    if (untouched && request_class.consistency != Consistency::write) {
      // The store's word replaces what was thought of its lag: where it stands, or that it is too far behind.
      const Millis at = server.samples.empty() ? now_ : server.samples.back().seen_at;
      server.samples = {
          {ended.sample.position >= 0
               ? server.applied_position
               : at - routing::allowed_lag(request_class, was.request.session_token, was.sent) - 1,
           at}};
    }
    --request.in_flight, request.not_executed += untouched;
    const bool ran = !untouched && !is(AttemptOutcome::rejected_overloaded, AttemptOutcome::connect_failed,
                                       AttemptOutcome::not_sent);
    if (ran && request.possibly_executed_at == kNever) {
      request.possibly_executed_at = was.sent;
    }
    if (ended.request_completed) {
      requests_.erase(found);
    }
  }

  void learn(const ProbeCompleted& ended) {
    Server& server = servers_[ended.server];
    server.probe_sent_at = kNever;
    Group& group = touch(server);
    if (!hears()) {
      group.probe_delay_share = roll();
    }
    // All instances together go on probing a failing member as one would; where others tell, rarer still.
    const double sharing = std::min(instances_, options_.may_gossip ? 64.0 : 16.0);
    if (!ended.answered) {
      server.next_probe_at = now_ + kProbePeriod * sharing * (0.9 + 0.2 * roll());
    }
    server.probe_failed_at = ended.answered ? kNever : now_;
    recount(server);
    --probes_out_;
    // Probes that were sent for another reason than the pace tell the others nothing they need. A keeper's
    // own answers don't, either: others would take its silence for its death.
    const bool due = now_ - (group.leads_probing ? server.gossiped_at : server.sample_seen_at) >
                     kProbePeriod * (group.leads_probing ? 0.5 : 1);
    const bool first =
        !std::exchange(server.probe_unanswered, !ended.answered);  // told of it once, others know
    if (options_.may_gossip && due && (ended.answered ? ended.sample.position >= 0 : first)) {
      if (want_tells_.empty()) {
        untold_since_ = now_;
      }
      want_tells_.push_back(&server);
      group.leads_probing = hears() && (group.leads_probing || ended.answered);
    }
    if (!ended.answered) {
      return;
    }
    server.connection_answered_at = now_;
    good(server);
    see(server, ended.sample, ended.sample.position, now_);
  }

  void learn(const RequestAbandoned& gone) { requests_.erase(gone.request); }
  void learn(const TimerExpired& due) { armed_ = due.timer == armed_as_ ? kNever : armed_; }

  // Guards against all that come at once, or meet again: while it knows few, each would hold itself first.
  void learn(const FleetViewChanged& among) {
    if (!fleet_view_ || !std::ranges::includes(fleet_view_->alive_peers, among.alive_peers)) {
      grown_at_ = now_;
    }
    for (auto& [id, group] : groups_) {
      touch(id).leader_rank = -1;
    }
    groups_kept_ = 0;
    fleet_view_ = among, instances_ = std::max(1.0, options_.instances * among.fleet_share);
  }

  // A position once shown holds whoever saw it, so samples are shared; health is not, it is of the path.
  // Guards against words over a second late, from the future, or on members that are unknown or share a mark.
  void learn(const PeerMessageReceived& spoke) {
    const auto told = decode_samples(spoke.text, now_);
    if (!told || now_ - told->then > kMaxSampleAge) {
      return;
    }
    if (!hears()) {
      heard_again_ = now_;
    }
    peer_heard_ = now_;
    for (const auto& [mark, sample] : told->samples) {
      Server* const found = marks_.find(mark);
      if (!found) {
        continue;
      }
      Server& server = *found;
      Group& group = in_use(*server.group) ? touch(server) : *server.group;
      const bool answered = sample.role != Role::unknown;
      // Of two that keep the pace one goes on.
      group.leads_probing = group.leads_probing && (!answered || keeps_before(group, spoke.peer));
      if (answered) {
        server.gossiped_at = std::max(server.gossiped_at, told->then);
      }
      if (told->then <= server.sample_seen_at || (server.probe_unanswered = !answered)) {
        continue;
      }
      // What another saw outweighs a failed probe of one's own, but not failed ops: those make it look again.
      server.probe_failed_at = kNever, recount(server);
      if (down(server)) {
        server.next_probe_at =
            std::max(now_, server.last_probe_at + kProbePeriod * std::min(5.0, instances_));
      }
      group.probe_delay_share = roll();
      see(server, sample, sample.position, told->then);
    }
  }

  // How much longer than the usual pace others are given to tell first: by their turn where the fleet says
  // who is there, else (and behind those) drawn, so that few speak at once: messages take up to 50 ms, 10 ms
  // set two apart. Where none can tell, and for a member that did not answer who looked first, all keep the
  // pace of one together.
  [[nodiscard]] Millis patience(const Group& group, const Server& server) const {
    if (!hears() || server.probe_unanswered) {
      return 2 * kProbePeriod * (instances_ - 1) * group.probe_delay_share;
    }
    const Millis drawn = 50 + 10 * instances_ * group.probe_delay_share;
    return group.leader_rank < 0        ? drawn
           : group.leader_rank < kReady ? 50 * group.leader_rank
                                        : 50 * (kReady - 1) + drawn;
  }
  [[nodiscard]] bool keeps_before(const Group& group, int peer) const {
    return fleet_view_ ? consistency::precedes(group.id, options_.rank, peer) : options_.rank < peer;
  }
  static constexpr int kReady = 2;  // who keeps and who is ready to: two that die in one pace are rare

  // Guards against instances that don't hear each other: each would keep the pace for all groups and tell all
  // others of it. Not a word of any group for two paces and the way of a message: what goes on elsewhere is
  // not known here, nor whether anyone listens. One whose turn it is everywhere need not hear anybody.
  [[nodiscard]] bool hears() const {
    return options_.may_gossip &&
           (now_ - std::max(peer_heard_, born_) < 2 * kProbePeriod + 50 ||
            (fleet_view_ && !fleet_view_->alive_peers.empty() && groups_kept_ == groups_.size()));
  }
  std::size_t groups_kept_ = 0;  // those in which it is this instance's turn

  // A primary's position is the present, so the position it claims dates the claim.
  void see(Server& server, const ReplicaSample& sample, Millis date, Millis at, bool commit = false) {
    routing::record_sample(server, sample, date, at, commit);
    if (sample.utilization >= 0) {
      credit_more(server);
    }
  }

  // The design leaves open how long tokens are kept. All are; when there are many, they are folded into one
  // that binds every session: replicas will soon have applied it.
  void remember(const std::string& session, const AttemptCompleted& ended,
                const RequestClass& request_class) {
    if (request_class.consistency != Consistency::write || ended.sample.position < 0 ||
        !options_.remember_tokens) {
      return;
    }
    Millis& mine = remembered_.try_emplace(session, kNever).first->second;
    mine = std::max(mine, ended.sample.position);
    if (remembered_.size() > 10000) {
      remembered_floor_ = now_, remembered_.clear();
    }
  }

  // Guards against pushing over a member that restarted before the list told of it: one that answers after
  // its ops failed and nobody heard of it for two seconds is taken for cold. Harm: one cut off is, too.
  void good(Server& server) {
    if (server.probe_failed_at > server.last_answer_at) {
      doubted_ = now_;
    }
    if (server.request_failed_at > server.last_answer_at &&
        now_ - std::max(server.last_answer_at, server.sample_seen_at) > 2000) {
      server.cold_since = now_;
    }
    server.last_answer_at = now_;
    recount(server);
  }

  // The limit on what is out at a member follows the latency of its own answers: over 0.35 of their latency
  // target on average it shrinks, under 0.25 it grows (with 0.45 and 0.35 more came late everywhere). Guards
  // against full queues, slow members and fallbacks onto a primary; the floor keeps work going when all are
  // slow. Harm: op types whose latency target says little of their work.
  void pace(Server& server, RequestClassId id, Millis took) {
    const RequestClass& request_class = class_of(id);
    keep_last(latencies_[id], took, 32), usual_latency_[id] = quantile(latencies_[id], 0.75, 0);
    keep_last(work_, {request_class.long_running, took}, 256);
    if (!request_class.long_running) {
      keep_last(server.recent_latencies, took, 16);
      keep_last(short_latencies_, took, 32);
      // Guards against taking one op's own slowness for its member's: a first late answer of one that shows
      // processors free says nothing, a second in a row does. Of members that show 0.7 or more in use, every
      // fifth op and more came late, below that far fewer (whole fleet, join).
      const bool has_free = now_ - server.utilization_seen_at < kMaxSampleAge && server.utilization < 0.7;
      const bool late = took > request_class.latency_objective;
      const bool again = std::exchange(server.last_answer_late, late);
      if (late && (again || !has_free)) {
        yield(server);
      }
      if (took < 0.5 * request_class.latency_objective && server.concurrency_limit < 1) {
        server.concurrency_limit = std::min(1.0, server.concurrency_limit + 0.3);
      }
    }
    server.latency_ratios.push_back(took / std::max(1.0, request_class.latency_objective));
    if (server.latency_ratios.size() < 10) {
      return;
    }
    const double mean = std::accumulate(server.latency_ratios.begin(), server.latency_ratios.end(), 0.0) / 10;
    if (mean > 0.35) {
      server.concurrency_limit = std::max(floor(), server.concurrency_limit * 0.85);
    }
    if (mean < 0.25 && server.in_flight + 1 >= server.concurrency_limit * 0.7) {
      server.concurrency_limit += 1;
    }
    server.latency_ratios.clear();
  }

  // Where instances are many, each has too few ops at a member to limit by their number. A limit under one is
  // the chance that an op may go there, and follows single answers. Guards against slow, full or overloaded
  // members, be it for this instance only, and against reads falling back onto primaries: the sum over all
  // instances goes by what the member can do. Harm: after one slow answer by chance a member is spared.
  void yield(Server& server) {
    if (floor() >= 1) {
      return;
    }
    server.concurrency_limit = std::max(floor(), std::min(server.concurrency_limit, 1.0) * 0.3);
    server.backed_off_at = now_;
  }

  [[nodiscard]] double floor() const { return 4 / instances_; }  // what any server runs at once, shared

  [[nodiscard]] const RequestClass& class_of(RequestClassId request_class) const {
    return options_.request_classes.at(static_cast<std::size_t>(request_class.number));
  }

  void judge_flights() {
    for (const auto& [key, attempt] : attempts_) {
      attempt.server->oldest_attempt_sent_at = kNever;
    }
    for (const auto& [key, attempt] : attempts_) {
      Server& server = *attempt.server;
      touch(server);
      if (class_of(attempt.request.request_class).long_running || attempt.cancelled) {
        continue;
      }
      if (server.oldest_attempt_sent_at == kNever || attempt.sent < server.oldest_attempt_sent_at) {
        server.oldest_attempt_sent_at = attempt.sent;
      }
    }
    for (auto& [key, attempt] : attempts_) {
      attempt.want_cancel = !attempt.cancelled && options_.may_cancel &&
                            class_of(attempt.request.request_class).retry_safety == RetrySafety::idempotent &&
                            silent(*attempt.server);
    }
  }

  // No answer of any kind for longer than its answers usually take, with an op out all that time.
  [[nodiscard]] bool overdue(const Server& server, double times = 3) const {
    const Millis mute = now_ - std::max(server.last_answer_at, server.oldest_attempt_sent_at);
    if (server.oldest_attempt_sent_at == kNever || mute <= 60) {
      return false;
    }
    return mute >
           times * quantile(server.recent_latencies.empty() ? short_latencies_ : server.recent_latencies,
                            0.75, 100);
  }

  // Guards against members that hang, vanish or are cut off. A probe is answered beside the queue: an overdue
  // member whose probe failed or is out for 50 ms is silent; with probes in doubt, one overdue five times.
  [[nodiscard]] bool silent(const Server& server) const {
    const bool probe_late = server.probe_sent_at > server.last_answer_at && now_ - server.probe_sent_at > 50;
    return probes_count() ? overdue(server) && (down(server) || probe_late) : overdue(server, 5);
  }

  // Guards against probes that fail while ops are answered: an answer from a member after its probe failed
  // shows that failed probes say nothing for now (for 5 s: several such answers come in that time).
  [[nodiscard]] bool probes_count() const { return now_ - doubted_ > 5000; }

  [[nodiscard]] bool down(const Server& server) const {
    return server.request_failed_at > server.last_answer_at ||
           (server.probe_failed_at > server.last_answer_at && probes_count());
  }

  [[nodiscard]] bool sendable(const Server& server) const {
    return !server.draining && (server.entry.state != ServerState::gone || !options_.gone_is_excluded);
  }

  // Guards against trusting failed probes over answered ops: where only probes say that a member is down, or
  // its ops failed a second ago, one op at a time may find out where nothing better is left.
  [[nodiscard]] bool usable(const Server& server) const {
    return sendable(server) && now_ >= server.back_off_until && !overdue(server) &&
           (!down(server) || (server.in_flight == 0 && now_ - server.request_failed_at > 1000));
  }

  // The share of its capacity that a cold member has at least.
  [[nodiscard]] double slow_start_fraction(const Server& server) const {
    const Millis age = now_ - server.cold_since;
    if (age >= options_.slow_start_window || options_.slow_start_window <= 0) {
      return 1;
    }
    return options_.slow_start_minimum +
           (1 - options_.slow_start_minimum) * std::max(0.0, age) / options_.slow_start_window;
  }

  // Guards against pushing over a cold member: in a millisecond this instance sends it at most the rule's
  // multiple of its share of what a warm member of its size answered this instance of late, which is less
  // than such a member can do. That may be far under one op; the sum over all instances keeps the rule.
  // What a cold member shows of itself outweighs that: while credit holds ops back it gets a tenth more with
  // each sample below half in use, up to four times, three tenths less above 0.7. Guards groups whose members
  // are all new. Harm: samples are old by one or two; where credit holds nothing back it is taken away again.
  void credit_more(Server& server) {
    const bool over = slow_start_fraction(server) >= 1 || server.utilization > 0.7;
    const bool spare = !over && accrue(server) >= 1;
    if (over || spare || server.utilization < 0.5) {
      server.credit_multiplier = std::clamp(server.credit_multiplier * (over    ? 0.7
                                                                        : spare ? 0.9
                                                                                : 1.1),
                                            1.0, 4.0);
    }
  }
  [[nodiscard]] double more(const Server& server) const {
    return now_ - server.utilization_seen_at < kMaxSampleAge / 2 ? server.credit_multiplier : 1;
  }
  double accrue(Server& server) {
    const Millis since = std::max(std::exchange(server.credit_updated_at, now_), server.cold_since);
    return server.slow_start_credit =
               std::min(1.0, server.slow_start_credit + (now_ - since) * cold_rate(server) * more(server));
  }

  double cold_rate(const Server& server) {
    while (!acked_.empty() && acked_.front() < now_ - kCarried) {
      acked_.pop_front();
    }
    const double warm = warm_capacity_.sum(now_, probes_count());
    if (warm <= 0) {
      return 0;
    }
    return slow_start_fraction(server) * options_.slow_start_multiple * static_cast<double>(acked_.size()) /
           kCarried * server.entry.size / warm;
  }
  static constexpr Millis kCarried = 5000;  // long enough for some ops of an idle instance
  std::deque<Millis> acked_;                // when warm members last acked

  bool has_room(Server& server, const Request& request, bool long_work, double part) {
    const double share = std::min(1.0, slow_start_fraction(server) * more(server));
    // With no answer at all a member is back in 100 s.
    const double limit = server.concurrency_limit * part * share;
    const double regained = (now_ - server.backed_off_at) / 100000;
    if (server.in_flight + 0.5 > std::max(1.0, limit) || request.admission_draw > limit + regained) {
      return false;
    }
    return slow_start_fraction(server) >= 1 || (!long_work && accrue(server) >= 1);
  }

  // Where stores check reads themselves, a replica is tried when it would pass if it now lags as it did in
  // the best of its last samples (reports are old), of any age: the store's own word costs no probe.
  [[nodiscard]] bool likely(const Server& server, const Request& request,
                            const RequestClass& request_class) const {
    if (!options_.servers_check || request.not_executed > 1) {
      return false;
    }
    return routing::smallest_sampled_lag(server) <=
           routing::allowed_lag(request_class, request.session_token, now_);
  }

  Server* choose(const Request& request, const RequestClass& request_class) {
    Group& group = touch(request.group);
    Server* primary = routing::primary_of(group);
    if (!primary) {
      group.sample_wanted = true;
    }
    const bool primary_usable = primary && usable(*primary);
    if (request_class.primary_only()) {
      return primary_usable && has_room(*primary, request, request_class.long_running, 1) ? primary : nullptr;
    }
    Server* best = nullptr;
    std::tuple<int, bool, long> best_rank;
    // While no primary is known every replica may name it.
    const bool enough_connections = primary && !more_connections_wanted(group, primary);
    const double servers = static_cast<double>(group.servers.size());
    long kept = std::max(std::lround(long_part_ * servers), request_class.long_running ? 1L : 0L);
    for (Server* server : group.servers) {
      if (server == primary) {
        continue;
      }
      const bool keeps = sendable(*server) && !down(*server) && kept-- > 0;
      if (!usable(*server) || !has_room(*server, request, request_class.long_running, 1)) {
        continue;
      }
      const bool fits = routing::is_fresh(*server, request_class, request.session_token, now_) ||
                        likely(*server, request, request_class);
      // Beyond the threshold, but proven all the same: better than asking a busy primary.
      const bool will_do = request_class.consistency == Consistency::any ||
                           (request_class.consistency == Consistency::session &&
                            server->applied_position >= request.session_token);
      if (!fits && !will_do) {
        continue;
      }
      int tier = (!fits || keeps) + 4 * down(*server);
      if (options_.cross_zone_price > 0 && server->entry.zone.number != options_.zone_number) {
        tier += 2;
      }
      const std::tuple<int, bool, long> rank{request_class.long_running ? tier / 4 * 4 + !keeps : tier,
                                             enough_connections && !connected(*server),
                                             server->last_selected};
      if (!best || rank < best_rank) {
        best = server, best_rank = rank;
      }
    }
    if (best && std::get<0>(best_rank) < 4) {
      return best;
    }
    group.sample_wanted = group.sample_wanted || (!best && !options_.servers_check);
    // A primary takes reads into half its limit, up to 0.8 of it as they come to be of as much value for
    // their time as what only it can do. Guards the primary when replicas fall behind.
    const double part =
        0.5 + 0.3 * std::min(1.0, request_class.value_density() / options_.highest_primary_density);
    return primary_usable && has_room(*primary, request, request_class.long_running, part) ? primary : best;
  }

  // A connection that stands idle is closed before the server would close it, at nine tenths of the stated
  // time.
  [[nodiscard]] bool connected(const Server& server) const {
    return server.connection_answered_at > server.cold_since &&
           now_ - server.connection_answered_at < 0.9 * options_.connection_idle;
  }
  // Guards against a new connection for nearly every request where a front has few requests for each of many
  // groups: in a group as many replicas are used as have some requests each in the time that a connection may
  // stand idle.
  bool more_connections_wanted(const Group& group, const Server* primary) const {
    if (options_.connection_idle <= 0) {
      return true;
    }
    const auto open = std::ranges::count_if(
        group.servers, [&](const Server* server) { return server != primary && connected(*server); });
    return static_cast<double>(open) < std::max(1.0, requests_of_late(group) / kRequestsOfConnection);
  }
  // A handshake costs a server about a tenth of a request's work: with three requests to a connection that is
  // lost in what the work itself varies by.
  static constexpr double kRequestsOfConnection = 3;

  // Long work blocks the log where it runs, so it is kept together: on the first replicas in the order of
  // their marks, which all instances know without a word, and on as many as is its part of all work.
  [[nodiscard]] double part_of_long_work() const {
    Millis all = 1;
    Millis of_long = 0;
    for (const auto& [is_long, took] : work_) {
      all += took, of_long += is_long ? took : 0;
    }
    return std::min(0.5, of_long / all);
  }

  void decide_ops() {
    std::vector<std::pair<Millis, RequestId>> held;
    for (auto& [id, request] : requests_) {
      request.next_step = NextStep::wait;
      if (request.in_flight > 0) {
        continue;
      }
      const RequestClass& request_class = class_of(request.request_class);
      // The earliest latency target first, nearer for ops of more value for their time; late ones last.
      const Millis left = request.objective_deadline - now_;
      held.emplace_back(
          left > 0 ? left * std::sqrt(options_.highest_primary_density / request_class.value_density())
                   : 1e9 - left,
          id);
    }
    std::sort(held.begin(), held.end());
    if (!held.empty()) {
      long_part_ = part_of_long_work();
    }
    for (const auto& [by, id] : held) {
      decide(requests_[id]);
    }
  }

  void decide(Request& request) {
    const RequestClass& request_class = class_of(request.request_class);
    const bool ran = request.possibly_executed_at != kNever;
    const Millis useful_until = request_class.late_value > 0
                                    ? request.deadline
                                    : std::min(request.deadline, request.objective_deadline);
    const bool remembered =
        request_class.retry_safety == RetrySafety::deduplicated && memory_left(request) > 0;
    const bool cut_off = fleet_view_ && !(request_class.primary_only() ? fleet_view_->primary_only_allowed
                                                                       : fleet_view_->reads_allowed);
    const bool again = request.attempts > request.not_executed;  // untouched sends cost the store nothing
    const bool may_send = request.attempts < options_.max_attempts && !cut_off && !(again && resends_ < 1) &&
                          (!ran || request_class.retry_safety == RetrySafety::idempotent || remembered);
    // What can't be answered in time by the usual latency (its upper quartile) is ended. Never by over 0.6 of
    // the latency target: samples of a bad time would lock everything out.
    const Millis expected =
        std::min(usual_latency_[request.request_class], request_class.latency_objective * 0.6);
    if (!may_send || now_ + std::max(expected, 2 * options_.tick) > useful_until) {
      const bool harmless = !ran || request_class.retry_safety == RetrySafety::idempotent ||
                            (request_class.retry_safety == RetrySafety::deduplicated &&
                             !request_class.token_valid_in_group_only);
      return void(request.next_step = harmless ? NextStep::reject : NextStep::fail);
    }
    Server* to = request.target = choose(request, request_class);
    // Guards against sitting on an op its client could ask for again: unsent at half its patience, it ends.
    if (!to) {
      return void(request.next_step =
                      request.attempts == 0 && now_ + 3 * options_.tick > request.half_deadline
                          ? NextStep::reject
                          : request.next_step);
    }
    request.next_step = NextStep::attempt;
    // Guards stores that fail for all against being asked again by all: first sends fill a bucket for resends
    // (as in gRPC's A6 and Finagle's RetryBudget), so over the fleet they are at most that share, and a
    // burst.
    if (options_.retry_budget_ratio > 0) {
      resends_ = again ? resends_ - 1
                       : std::min(resends_ + options_.retry_budget_ratio, options_.retry_budget_burst);
    }
    ++to->in_flight;
    if (slow_start_fraction(*to) < 1) {
      to->slow_start_credit -= 1;
    }
    to->last_selected = ++turn_;
  }
  // For how long stores still know a repeat of what may have run. It may be on its way for 50 ms.
  [[nodiscard]] Millis memory_left(const Request& request) const {
    return request.possibly_executed_at + class_of(request.request_class).idempotency_window - 50 - now_;
  }
  double resends_ = options_.retry_budget_burst;  // that may be sent now

  // When the next probe of a member is due. The pace is kept by the instance that was the last to tell of the
  // group, or by others when it is left untold; sooner when an op waits for a sample, failed or is overdue.
  [[nodiscard]] Millis probe_at(const Group& group, const Server& server) const {
    if (!options_.may_probe || server.probe_sent_at != kNever || !sendable(server) || !in_use(group)) {
      return kForever;
    }
    // Guards against probing members for the sake of one slow op or one ended connection: of one that others
    // tell of, only the path can be at fault. It is given four times the time, by when the op is late anyway,
    // and a second failed op. One that is down by its ops is looked at once others tell of it.
    const bool told_of = hears() && now_ - server.gossiped_at < 1.5 * kProbePeriod;
    if (overdue(server, told_of ? 12 : 3) && server.probe_failed_at < server.oldest_attempt_sent_at) {
      return std::max(now_, server.next_probe_at);
    }
    const bool look = down(server) ? server.gossiped_at > server.last_error_at : !told_of;
    if (look && server.last_error_at > std::max(server.last_answer_at, server.probe_failed_at)) {
      return server.next_probe_at;
    }
    // Patience runs anew for a new member and for who hears again: else all would probe all at once.
    const Millis anew = std::max(server.listed_at, heard_again_) - kProbePeriod;
    Millis at =
        std::max(group.leads_probing ? server.gossiped_at : server.sample_seen_at, anew) + kProbePeriod;
    if (!group.leads_probing) {
      at += patience(group, server);
    }
    if (group.sample_wanted) {
      at = std::min(at, server.sample_seen_at + kMaxSampleAge / 2);
    }
    return std::max(at, server.next_probe_at);
  }

  // When a member that others tell of, and that failed here, is to be judged without them.
  [[nodiscard]] Millis others_silent_at(const Server& server) const {
    const Millis at = server.gossiped_at + 1.5 * kProbePeriod;
    return server.last_error_at > std::max(server.last_answer_at, server.probe_failed_at) && at > now_
               ? at
               : kForever;
  }

  void decide_probes() {
    // What holds for all groups alike, and decides on when their probes are due.
    const std::pair common(hears(), probes_count());
    if (std::exchange(judged_with_, common) != common) {
      for (auto& [id, group] : groups_) {
        touch(id);
      }
    }
    for (const GroupId due : probes_due_.take_due(now_)) {
      touch(due);
    }
    for (Group* group : std::exchange(touched_, {})) {
      judge_probes(*group);
    }
  }

  void judge_probes(Group& group) {
    if (group.probe_delay_share == 0) {
      group.probe_delay_share = roll();
    }
    if (fleet_view_ && group.leader_rank < 0 && now_ - grown_at_ > kMaxSampleAge) {
      group.leader_rank = consistency::turn_of(group.id, options_.rank, fleet_view_->alive_peers, kReady);
      groups_kept_ += group.leader_rank == 0;
    }
    group.leads_probing = group.leads_probing && hears();
    bool due = false;
    Millis next = kForever;
    for (Server* server : group.servers) {
      const Millis at = probe_at(group, *server);
      if (at <= now_) {
        due = true;
      } else {
        next = std::min({next, at, others_silent_at(*server)});
      }
    }
    if (fleet_view_ && group.leader_rank < 0) {
      next = std::min(next, grown_at_ + kMaxSampleAge + options_.tick);
    }
    probes_due_.set(group.id, next < kForever ? std::optional(next) : std::nullopt);
    // What this instance tells of a group goes into one message.
    for (Server* server : group.servers) {
      if (due && probe_at(group, *server) - (group.leads_probing ? kProbePeriod / 2 : 0) <= now_) {
        want_probes_.push_back(server);
      }
    }
    group.changed = group.sample_wanted = false;
  }

  // Calls are spread, for the list is one service for all: 25 ms apart, at most over a quarter of the time in
  // which the rule wants one, so that a call that was lost, the wait and the next call fit into 6 s.
  void decide_list() {
    if (next_watch_ == kNever) {
      next_watch_ = now_ + spread();
    }
    want_watch_ = options_.poll_endpoints && now_ >= next_watch_;
  }
  Millis spread() { return roll() * std::min(25 * (instances_ - 1), options_.poll_within / 4); }

  std::vector<Decision> emit() {
    std::vector<Decision> out;
    for (const ServerId& server : std::exchange(want_forgets_, {})) {
      out.push_back(ForgetServer{server});
    }
    if (std::exchange(want_watch_, false)) {
      out.push_back(WatchEndpoints{}), next_watch_ = kForever;
    }
    for (Server* server : std::exchange(want_probes_, {})) {
      out.push_back(StartProbe{server->entry.id, options_.probe_timeout});
      server->probe_sent_at = server->last_probe_at = now_, ++probes_out_;
      server->next_probe_at = now_ + kProbePeriod * 0.75;
    }
    tell(out);
    for (auto& [key, attempt] : attempts_) {
      if (!attempt.want_cancel || attempt.cancelled) {
        continue;
      }
      out.push_back(CancelAttempt{key.first, key.second});
      attempt.cancelled = true, attempt.server->request_failed_at = attempt.server->last_error_at = now_;
      recount(*attempt.server);
    }
    for (auto& [id, request] : requests_) {
      if (request.next_step == NextStep::attempt) {
        // Guards against a repeat that waits for its connection until the first attempt is forgotten.
        const bool repeats = request.possibly_executed_at != kNever &&
                             class_of(request.request_class).retry_safety == RetrySafety::deduplicated;
        out.push_back(StartAttempt{id, request.target->entry.id, request.deadline - now_,
                                   repeats ? std::optional(memory_left(request)) : std::nullopt});
        attempts_[{id, {request.attempts}}] = {request.target, request, now_};
        ++request.attempts, ++request.in_flight;
      }
      if (request.next_step == NextStep::reject) {
        out.push_back(RejectRequest{id, options_.retry_after});
      }
      if (request.next_step == NextStep::fail) {
        out.push_back(FailRequest{id});
      }
    }
    std::erase_if(requests_, [](const auto& item) { return item.second.next_step > NextStep::attempt; });
    const Millis next_probe = probes_due_.next().value_or(kForever);
    Millis wake = options_.poll_endpoints ? std::min(next_probe, next_watch_) : next_probe;
    if (!requests_.empty()) {
      wake = std::min(wake, now_ + 3 * options_.tick);
    }
    if (!want_tells_.empty()) {
      wake = std::min(wake, untold_since_ + kGather);
    }
    wake = std::clamp(wake, now_ + options_.tick, now_ + 1000);
    if (armed_ == kNever || wake < armed_) {
      out.push_back(SetTimer{{++armed_as_.number}, armed_ = wake});
    }
    return out;
  }

  // What one pace finds out goes into one message, which waits for the answers to probes, but not for long.
  static constexpr Millis kGather = 25;
  void tell(std::vector<Decision>& out) {
    if (probes_out_ > 0 && now_ < untold_since_ + kGather) {
      return;
    }
    // While nobody is heard a word now and then will do, from which those who hear again learn of others.
    if (!hears() && now_ < spoke_at_ + kMaxSampleAge) {
      return want_tells_.clear();
    }
    std::vector<GossipedSample> samples;
    for (Server* server : std::exchange(want_tells_, {})) {
      if (!server->probe_unanswered) {
        server->gossiped_at = now_;
      }
      const bool shown = now_ - server->utilization_seen_at < kMaxSampleAge;
      const Role role =
          server->primary_claimed_at > server->replica_claimed_at ? Role::primary : Role::replica;
      samples.push_back({server->mark,
                         {server->probe_unanswered ? Role::unknown : role, server->applied_position,
                          shown ? server->utilization : -1}});
      if (samples.size() == kMostSamples) {
        break;  // the rest is told when its turn comes again
      }
    }
    if (!samples.empty()) {
      out.push_back(BroadcastToPeers{text_of(now_, samples)}), spoke_at_ = now_;
    }
  }

  double long_part_ = 0;
  Millis now_ = 0, born_ = kNever, peer_heard_ = kNever, heard_again_ = kNever, grown_at_ = kNever,
         armed_ = kNever, next_watch_ = kNever;
  TimerId armed_as_;
  bool want_watch_ = false;
  long turn_ = 0;
  std::vector<Server*> want_probes_, want_tells_;
  Millis untold_since_ = kNever, spoke_at_ = kNever;  // untold: of what is wanted to be told, the first
  int probes_out_ = 0;
  std::vector<ServerId> want_forgets_;
  std::vector<Group*> touched_;
  std::vector<Event> noted_;
  std::map<ServerId, Server> servers_;
  std::map<GroupId, Group> groups_;
  routing::MarkIndex<Server> marks_;
  std::multimap<Millis, ServerId> gone_;  // by when they went
  routing::WarmCapacity warm_capacity_{options_.slow_start_window};
  routing::DueTimes<GroupId> probes_due_;
  std::optional<std::pair<bool, bool>> judged_with_;  // whether peers are heard, whether failed probes count
  std::map<RequestId, Request> requests_;
  std::map<std::string, Millis> remembered_;
  Millis remembered_floor_ = kNever, doubted_ = kNever;  // doubted: when probes were last found wrong
  std::map<std::pair<RequestId, AttemptNumber>, Attempt> attempts_;
  std::map<RequestClassId, std::deque<Millis>> deadlines_;  // of the last ops, by op type
  std::map<RequestClassId, std::deque<Millis>> latencies_;  // of the last answers, by op type
  std::map<RequestClassId, Millis> usual_latency_;          // their upper quartile
  std::deque<Millis> short_latencies_;                      // of the last answers of short work
  std::deque<std::pair<bool, Millis>> work_;                // of the last answers: whether long, latency
};

}  // namespace

std::unique_ptr<Router> make_router(const Settings& values, std::uint64_t seed) {
  return std::make_unique<Steering>(values, seed);
}

}  // namespace reedspindle
