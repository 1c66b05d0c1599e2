// reedspindle's decision module: every decision of the router is taken here. Interface: router.hpp.
// Note a batch's events, then call settle once; emit() alone turns what is wanted into decisions. See docs/.
#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "routing/concurrency_limit.hpp"
#include "routing/due_times.hpp"
#include "routing/eligibility.hpp"
#include "routing/latency_stats.hpp"
#include "routing/mark_index.hpp"
#include "routing/probe_leader.hpp"
#include "routing/recent_values.hpp"
#include "routing/replica_samples.hpp"
#include "routing/replica_state.hpp"
#include "routing/router_context.hpp"
#include "routing/router_options.hpp"
#include "routing/server_health.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle {
namespace {

constexpr Millis kProbePeriod = 200;  // the design's pace of probing
using routing::Consistency;
using routing::Group;
using routing::keep_last;
using routing::kForever;
using routing::kMaxSampleAge;
using routing::kNever;
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
  Steering(const Settings& values, std::uint64_t seed) : context_(values, seed) {}

  void enqueue(Event event) override { noted_.push_back(std::move(event)); }

  std::vector<Decision> process(Millis now) override {
    context_.now = now;
    if (context_.started_at == kNever) {
      context_.started_at = now;
    }
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
      view.unavailability = health_.unavailability(server);
      view.slow_start_fraction = slow_start_.fraction(server);
      if (server.samples.empty()) {
        continue;
      }
      view.position = server.applied_position, view.sampled_at = server.samples.back().seen_at;
      for (const Millis bound : bounds) {
        if (const Millis until = routing::fresh_until(server, bound); context_.now < until) {
          view.fresh.push_back({bound, until});
        }
      }
    }
    return views;
  }

 private:
  routing::RouterContext context_;
  const RouterOptions& options_ = context_.options;
  routing::LatencyStats latencies_;
  routing::ServerHealth health_{context_, latencies_};
  routing::SlowStart slow_start_{context_, health_};
  routing::ConcurrencyLimits limits_{context_, slow_start_};
  std::optional<FleetViewChanged> fleet_view_;  // none: nobody says who is there

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
      return void(next_watch_ = context_.now + 200 + spread());
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
      server.cold_since = entry.started_at, server.next_probe_at = context_.now;
    }
    if (!whole) {
      judge_listing(server);
    }
  }

  void add(Server& server) {
    const ServerId& id = server.entry.id;
    server.listed_at = context_.now, server.mark = mark_of(id), std::erase(want_forgets_, id);
    marks_.add(server.mark, server);
    routing::insert_into_group(server);
    server.concurrency_limit = limits_.initial_limit();
    // By chance, so that instances don't all begin with the same member, nor spend all credit at once.
    slow_start_.add(server, context_.draw());
    server.last_selected = turn_ - static_cast<long>(100 * context_.draw());
  }

  // The list has said something of it, or has it no more.
  void judge_listing(Server& server) {
    slow_start_.update_capacity(server);
    const bool gone = server.entry.state == ServerState::gone;
    if (!gone || std::exchange(server.was_gone, true) || !options_.gone_is_excluded) {
      return;
    }
    // One that was never there is forgotten at once.
    const bool was_there = server.listed_at < context_.now || server.in_flight > 0;
    server.gone_since = was_there ? context_.now : context_.now - kForgetAfter;
    gone_.emplace(server.gone_since, server.entry.id);
  }

  // Guards against growing where stores are replaced all day. What has been gone for half a minute is
  // forgotten: no late word of the list, no answer and no excuse for a former primary is due by then. A few
  // at a time: where thousands go at once, the turn of the loop has to stay short.
  void forget_the_gone() {
    for (int forgotten = 0; forgotten < kForgottenAtOnce; ++forgotten) {
      if (gone_.empty() || context_.now - gone_.begin()->first < kForgetAfter) {
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
        server.gone_since = context_.now;
        gone_.emplace(context_.now, id);
        continue;
      }
      std::erase(touch(server).servers, &server), marks_.remove(server.mark, server);
      std::erase(want_tells_, &server);
      slow_start_.remove(server);
      want_forgets_.push_back(id);
      servers_.erase(found);
    }
  }
  static constexpr Millis kForgetAfter = 30000;
  static constexpr int kForgottenAtOnce = 64;

  void learn(const RequestReceived& arrived) {
    Request& request = requests_[arrived.request] = {arrived.request_class, arrived.group, arrived.session};
    request.half_deadline = context_.now + arrived.remaining / 2,
    request.deadline = context_.now + arrived.remaining;
    request.objective_deadline =
        context_.now + context_.class_of(request.request_class).latency_objective - waited(arrived);
    // A millisecond to the cautious side: positions are rounded down, ages may be rounded either way.
    if (arrived.token_age != 0) {
      request.session_token = context_.now - std::floor(arrived.token_age) + 1;
    }
    request.admission_draw = context_.draw();
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
    group.requests_counted_at = context_.now;
  }
  [[nodiscard]] double requests_of_late(const Group& group) const {
    return group.recent_requests *
           std::exp(-std::max(0.0, context_.now - group.requests_counted_at) / options_.connection_idle);
  }
  // Guards against probing for nobody: a group costs what its requests cost, not that it is there. Which
  // front keeps the pace by the fleet's view does so for the others, too.
  [[nodiscard]] bool in_use(const Group& group) const {
    return options_.connection_idle <= 0 || group.leader_rank == 0 ||
           context_.now - group.requests_counted_at < options_.connection_idle;
  }

  // How long the client has been asking already, the latency target running since its first try. First tries
  // share one patience; any other is what is left of the op timeout. Where no patience is common to a quarter
  // of the last ops, nothing is concluded. Guards against repeats crowding out first tries.
  static constexpr Millis kJitter = 10;  // the network varies them by a few milliseconds
  Millis waited(const RequestReceived& arrived) {
    const RequestClass& request_class = context_.class_of(arrived.request_class);
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
    const RequestClass& request_class = context_.class_of(was.request.request_class);
    if (--server.in_flight == 0) {
      server.oldest_attempt_sent_at = kNever;
    }
    const auto is = [&ended](auto... outcome) { return ((ended.outcome == outcome) || ...); };
    if (is(AttemptOutcome::acknowledged, AttemptOutcome::failed, AttemptOutcome::rejected_overloaded,
           AttemptOutcome::rejected_not_executed)) {
      health_.record_answer(server);
      slow_start_.update_capacity(server);
      const bool dated = ended.sample.role == Role::primary && ended.sample.position >= 0;
      see(server, ended.sample, dated ? ended.sample.position : context_.now, context_.now,
          is(AttemptOutcome::acknowledged) && request_class.consistency == Consistency::write);
    }
    server.connection_answered_at =
        is(AttemptOutcome::acknowledged, AttemptOutcome::failed, AttemptOutcome::rejected_not_executed)
            ? context_.now
            : kNever;
    if (is(AttemptOutcome::acknowledged)) {
      remember(was.request.session, ended, request_class);
      slow_start_.record_acknowledged(server);
    }
    // Guards against taking a member for down by the end of one connection: twice with no answer between.
    if (is(AttemptOutcome::reset, AttemptOutcome::connect_failed) &&
        std::exchange(server.last_error_at, context_.now) > server.last_answer_at) {
      server.request_failed_at = context_.now, slow_start_.update_capacity(server);
    }
    if (is(AttemptOutcome::acknowledged, AttemptOutcome::timed_out)) {
      latencies_.record(server, was.request.request_class, request_class, ended.latency);
      limits_.record_latency(server, request_class, ended.latency);
    }
    if (is(AttemptOutcome::rejected_overloaded)) {
      limits_.record_shed(server);
    }
    const auto found = requests_.find(ended.request);
    if (found == requests_.end()) {
      return;
    }
    Request& request = found->second;
    const bool untouched = is(AttemptOutcome::rejected_not_executed);
    if (untouched && request_class.consistency == Consistency::write) {
      server.replica_claimed_at = context_.now;
    }
    if (untouched && request_class.consistency != Consistency::write) {
      // The store's word replaces what was thought of its lag: where it stands, or that it is too far behind.
      const Millis at = server.samples.empty() ? context_.now : server.samples.back().seen_at;
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
      group.probe_delay_share = context_.draw();
    }
    // All instances together go on probing a failing member as one would; where others tell, rarer still.
    const double sharing = std::min(context_.instances, options_.may_gossip ? 64.0 : 16.0);
    if (!ended.answered) {
      server.next_probe_at = context_.now + kProbePeriod * sharing * (0.9 + 0.2 * context_.draw());
    }
    server.probe_failed_at = ended.answered ? kNever : context_.now;
    slow_start_.update_capacity(server);
    --probes_out_;
    // Probes that were sent for another reason than the pace tell the others nothing they need. A keeper's
    // own answers don't, either: others would take its silence for its death.
    const bool due = context_.now - (group.leads_probing ? server.gossiped_at : server.sample_seen_at) >
                     kProbePeriod * (group.leads_probing ? 0.5 : 1);
    const bool first =
        !std::exchange(server.probe_unanswered, !ended.answered);  // told of it once, others know
    if (options_.may_gossip && due && (ended.answered ? ended.sample.position >= 0 : first)) {
      if (want_tells_.empty()) {
        untold_since_ = context_.now;
      }
      want_tells_.push_back(&server);
      group.leads_probing = hears() && (group.leads_probing || ended.answered);
    }
    if (!ended.answered) {
      return;
    }
    server.connection_answered_at = context_.now;
    health_.record_answer(server);
    slow_start_.update_capacity(server);
    see(server, ended.sample, ended.sample.position, context_.now);
  }

  void learn(const RequestAbandoned& gone) { requests_.erase(gone.request); }
  void learn(const TimerExpired& due) { armed_ = due.timer == armed_as_ ? kNever : armed_; }

  // Guards against all that come at once, or meet again: while it knows few, each would hold itself first.
  void learn(const FleetViewChanged& among) {
    if (!fleet_view_ || !std::ranges::includes(fleet_view_->alive_peers, among.alive_peers)) {
      grown_at_ = context_.now;
    }
    for (auto& [id, group] : groups_) {
      touch(id).leader_rank = -1;
    }
    groups_kept_ = 0;
    fleet_view_ = among, context_.instances = std::max(1.0, options_.instances * among.fleet_share);
  }

  // A position once shown holds whoever saw it, so samples are shared; health is not, it is of the path.
  // Guards against words over a second late, from the future, or on members that are unknown or share a mark.
  void learn(const PeerMessageReceived& spoke) {
    const auto told = decode_samples(spoke.text, context_.now);
    if (!told || context_.now - told->then > kMaxSampleAge) {
      return;
    }
    if (!hears()) {
      heard_again_ = context_.now;
    }
    peer_heard_ = context_.now;
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
      server.probe_failed_at = kNever, slow_start_.update_capacity(server);
      if (health_.is_down(server)) {
        server.next_probe_at =
            std::max(context_.now, server.last_probe_at + kProbePeriod * std::min(5.0, context_.instances));
      }
      group.probe_delay_share = context_.draw();
      see(server, sample, sample.position, told->then);
    }
  }

  // How much longer than the usual pace others are given to tell first: by their turn where the fleet says
  // who is there, else (and behind those) drawn, so that few speak at once: messages take up to 50 ms, 10 ms
  // set two apart. Where none can tell, and for a member that did not answer who looked first, all keep the
  // pace of one together.
  [[nodiscard]] Millis patience(const Group& group, const Server& server) const {
    if (!hears() || server.probe_unanswered) {
      return 2 * kProbePeriod * (context_.instances - 1) * group.probe_delay_share;
    }
    const Millis drawn = 50 + 10 * context_.instances * group.probe_delay_share;
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
           (context_.now - std::max(peer_heard_, context_.started_at) < 2 * kProbePeriod + 50 ||
            (fleet_view_ && !fleet_view_->alive_peers.empty() && groups_kept_ == groups_.size()));
  }
  std::size_t groups_kept_ = 0;  // those in which it is this instance's turn

  // A primary's position is the present, so the position it claims dates the claim.
  void see(Server& server, const ReplicaSample& sample, Millis date, Millis at, bool commit = false) {
    routing::record_sample(server, sample, date, at, commit);
    if (sample.utilization >= 0) {
      slow_start_.record_utilization(server);
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
      remembered_floor_ = context_.now, remembered_.clear();
    }
  }

  void judge_flights() {
    for (const auto& [key, attempt] : attempts_) {
      attempt.server->oldest_attempt_sent_at = kNever;
    }
    for (const auto& [key, attempt] : attempts_) {
      Server& server = *attempt.server;
      touch(server);
      if (context_.class_of(attempt.request.request_class).long_running || attempt.cancelled) {
        continue;
      }
      if (server.oldest_attempt_sent_at == kNever || attempt.sent < server.oldest_attempt_sent_at) {
        server.oldest_attempt_sent_at = attempt.sent;
      }
    }
    for (auto& [key, attempt] : attempts_) {
      attempt.want_cancel =
          !attempt.cancelled && options_.may_cancel &&
          context_.class_of(attempt.request.request_class).retry_safety == RetrySafety::idempotent &&
          health_.is_unresponsive(*attempt.server);
    }
  }

  // Where stores check reads themselves, a replica is tried when it would pass if it now lags as it did in
  // the best of its last samples (reports are old), of any age: the store's own word costs no probe.
  [[nodiscard]] bool likely(const Server& server, const Request& request,
                            const RequestClass& request_class) const {
    if (!options_.servers_check || request.not_executed > 1) {
      return false;
    }
    return routing::smallest_sampled_lag(server) <=
           routing::allowed_lag(request_class, request.session_token, context_.now);
  }

  Server* choose(const Request& request, const RequestClass& request_class) {
    Group& group = touch(request.group);
    Server* primary = routing::primary_of(group);
    if (!primary) {
      group.sample_wanted = true;
    }
    const bool primary_usable = primary && health_.is_available(*primary);
    if (request_class.primary_only()) {
      return primary_usable && limits_.has_room(*primary, request_class, request.admission_draw) ? primary
                                                                                                 : nullptr;
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
      const bool keeps = health_.is_in_service(*server) && !health_.is_down(*server) && kept-- > 0;
      if (!health_.is_available(*server) ||
          !limits_.has_room(*server, request_class, request.admission_draw)) {
        continue;
      }
      const bool fits = routing::is_fresh(*server, request_class, request.session_token, context_.now) ||
                        likely(*server, request, request_class);
      // Beyond the threshold, but proven all the same: better than asking a busy primary.
      const bool will_do = request_class.consistency == Consistency::any ||
                           (request_class.consistency == Consistency::session &&
                            server->applied_position >= request.session_token);
      if (!fits && !will_do) {
        continue;
      }
      int tier = (!fits || keeps) + 4 * health_.is_down(*server);
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
    return primary_usable && limits_.has_room(*primary, request_class, request.admission_draw, part) ? primary
                                                                                                     : best;
  }

  // A connection that stands idle is closed before the server would close it, at nine tenths of the stated
  // time.
  [[nodiscard]] bool connected(const Server& server) const {
    return server.connection_answered_at > server.cold_since &&
           context_.now - server.connection_answered_at < 0.9 * options_.connection_idle;
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

  void decide_ops() {
    std::vector<std::pair<Millis, RequestId>> held;
    for (auto& [id, request] : requests_) {
      request.next_step = NextStep::wait;
      if (request.in_flight > 0) {
        continue;
      }
      const RequestClass& request_class = context_.class_of(request.request_class);
      // The earliest latency target first, nearer for ops of more value for their time; late ones last.
      const Millis left = request.objective_deadline - context_.now;
      held.emplace_back(
          left > 0 ? left * std::sqrt(options_.highest_primary_density / request_class.value_density())
                   : 1e9 - left,
          id);
    }
    std::sort(held.begin(), held.end());
    if (!held.empty()) {
      long_part_ = latencies_.long_running_share();
    }
    for (const auto& [by, id] : held) {
      decide(requests_[id]);
    }
  }

  void decide(Request& request) {
    const RequestClass& request_class = context_.class_of(request.request_class);
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
        std::min(latencies_.upper_quartile(request.request_class), request_class.latency_objective * 0.6);
    if (!may_send || context_.now + std::max(expected, 2 * options_.tick) > useful_until) {
      const bool harmless = !ran || request_class.retry_safety == RetrySafety::idempotent ||
                            (request_class.retry_safety == RetrySafety::deduplicated &&
                             !request_class.token_valid_in_group_only);
      return void(request.next_step = harmless ? NextStep::reject : NextStep::fail);
    }
    Server* to = request.target = choose(request, request_class);
    // Guards against sitting on an op its client could ask for again: unsent at half its patience, it ends.
    if (!to) {
      return void(request.next_step =
                      request.attempts == 0 && context_.now + 3 * options_.tick > request.half_deadline
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
    slow_start_.charge_attempt(*to);
    to->last_selected = ++turn_;
  }
  // For how long stores still know a repeat of what may have run. It may be on its way for 50 ms.
  [[nodiscard]] Millis memory_left(const Request& request) const {
    return request.possibly_executed_at + context_.class_of(request.request_class).idempotency_window - 50 -
           context_.now;
  }
  double resends_ = options_.retry_budget_burst;  // that may be sent now

  // When the next probe of a member is due. The pace is kept by the instance that was the last to tell of the
  // group, or by others when it is left untold; sooner when an op waits for a sample, failed or is overdue.
  [[nodiscard]] Millis probe_at(const Group& group, const Server& server) const {
    if (!options_.may_probe || server.probe_sent_at != kNever || !health_.is_in_service(server) ||
        !in_use(group)) {
      return kForever;
    }
    // Guards against probing members for the sake of one slow op or one ended connection: of one that others
    // tell of, only the path can be at fault. It is given four times the time, by when the op is late anyway,
    // and a second failed op. One that is down by its ops is looked at once others tell of it.
    const bool told_of = hears() && context_.now - server.gossiped_at < 1.5 * kProbePeriod;
    if (health_.is_overdue(server, told_of ? 12 : 3) &&
        server.probe_failed_at < server.oldest_attempt_sent_at) {
      return std::max(context_.now, server.next_probe_at);
    }
    const bool look = health_.is_down(server) ? server.gossiped_at > server.last_error_at : !told_of;
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
    return server.last_error_at > std::max(server.last_answer_at, server.probe_failed_at) && at > context_.now
               ? at
               : kForever;
  }

  void decide_probes() {
    // What holds for all groups alike, and decides on when their probes are due.
    const std::pair common(hears(), health_.probes_trusted());
    if (std::exchange(judged_with_, common) != common) {
      for (auto& [id, group] : groups_) {
        touch(id);
      }
    }
    for (const GroupId due : probes_due_.take_due(context_.now)) {
      touch(due);
    }
    for (Group* group : std::exchange(touched_, {})) {
      judge_probes(*group);
    }
  }

  void judge_probes(Group& group) {
    if (group.probe_delay_share == 0) {
      group.probe_delay_share = context_.draw();
    }
    if (fleet_view_ && group.leader_rank < 0 && context_.now - grown_at_ > kMaxSampleAge) {
      group.leader_rank = consistency::turn_of(group.id, options_.rank, fleet_view_->alive_peers, kReady);
      groups_kept_ += group.leader_rank == 0;
    }
    group.leads_probing = group.leads_probing && hears();
    bool due = false;
    Millis next = kForever;
    for (Server* server : group.servers) {
      const Millis at = probe_at(group, *server);
      if (at <= context_.now) {
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
      if (due && probe_at(group, *server) - (group.leads_probing ? kProbePeriod / 2 : 0) <= context_.now) {
        want_probes_.push_back(server);
      }
    }
    group.changed = group.sample_wanted = false;
  }

  // Calls are spread, for the list is one service for all: 25 ms apart, at most over a quarter of the time in
  // which the rule wants one, so that a call that was lost, the wait and the next call fit into 6 s.
  void decide_list() {
    if (next_watch_ == kNever) {
      next_watch_ = context_.now + spread();
    }
    want_watch_ = options_.poll_endpoints && context_.now >= next_watch_;
  }
  Millis spread() {
    return context_.draw() * std::min(25 * (context_.instances - 1), options_.poll_within / 4);
  }

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
      server->probe_sent_at = server->last_probe_at = context_.now, ++probes_out_;
      server->next_probe_at = context_.now + kProbePeriod * 0.75;
    }
    tell(out);
    for (auto& [key, attempt] : attempts_) {
      if (!attempt.want_cancel || attempt.cancelled) {
        continue;
      }
      out.push_back(CancelAttempt{key.first, key.second});
      attempt.cancelled = true,
      attempt.server->request_failed_at = attempt.server->last_error_at = context_.now;
      slow_start_.update_capacity(*attempt.server);
    }
    for (auto& [id, request] : requests_) {
      if (request.next_step == NextStep::attempt) {
        // Guards against a repeat that waits for its connection until the first attempt is forgotten.
        const bool repeats =
            request.possibly_executed_at != kNever &&
            context_.class_of(request.request_class).retry_safety == RetrySafety::deduplicated;
        out.push_back(StartAttempt{id, request.target->entry.id, request.deadline - context_.now,
                                   repeats ? std::optional(memory_left(request)) : std::nullopt});
        attempts_[{id, {request.attempts}}] = {request.target, request, context_.now};
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
      wake = std::min(wake, context_.now + 3 * options_.tick);
    }
    if (!want_tells_.empty()) {
      wake = std::min(wake, untold_since_ + kGather);
    }
    wake = std::clamp(wake, context_.now + options_.tick, context_.now + 1000);
    if (armed_ == kNever || wake < armed_) {
      out.push_back(SetTimer{{++armed_as_.number}, armed_ = wake});
    }
    return out;
  }

  // What one pace finds out goes into one message, which waits for the answers to probes, but not for long.
  static constexpr Millis kGather = 25;
  void tell(std::vector<Decision>& out) {
    if (probes_out_ > 0 && context_.now < untold_since_ + kGather) {
      return;
    }
    // While nobody is heard a word now and then will do, from which those who hear again learn of others.
    if (!hears() && context_.now < spoke_at_ + kMaxSampleAge) {
      return want_tells_.clear();
    }
    std::vector<GossipedSample> samples;
    for (Server* server : std::exchange(want_tells_, {})) {
      if (!server->probe_unanswered) {
        server->gossiped_at = context_.now;
      }
      const bool shown = context_.now - server->utilization_seen_at < kMaxSampleAge;
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
      out.push_back(BroadcastToPeers{text_of(context_.now, samples)}), spoke_at_ = context_.now;
    }
  }

  double long_part_ = 0;
  Millis peer_heard_ = kNever, heard_again_ = kNever, grown_at_ = kNever, armed_ = kNever,
         next_watch_ = kNever;
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
  routing::DueTimes<GroupId> probes_due_;
  std::optional<std::pair<bool, bool>> judged_with_;  // whether peers are heard, whether failed probes count
  std::map<RequestId, Request> requests_;
  std::map<std::string, Millis> remembered_;
  Millis remembered_floor_ = kNever;
  std::map<std::pair<RequestId, AttemptNumber>, Attempt> attempts_;
  std::map<RequestClassId, std::deque<Millis>> deadlines_;  // of the last ops, by op type
};

}  // namespace

std::unique_ptr<Router> make_router(const Settings& values, std::uint64_t seed) {
  return std::make_unique<Steering>(values, seed);
}

}  // namespace reedspindle
