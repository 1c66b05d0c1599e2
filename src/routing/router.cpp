// The routing decision module: handles the events of a batch, then decides once and returns the decisions.
#include "routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "routing/attempts.hpp"
#include "routing/concurrency_limit.hpp"
#include "routing/eligibility.hpp"
#include "routing/endpoint_list.hpp"
#include "routing/endpoint_polling.hpp"
#include "routing/first_try_estimate.hpp"
#include "routing/group_usage.hpp"
#include "routing/latency_stats.hpp"
#include "routing/probe_leadership.hpp"
#include "routing/probing.hpp"
#include "routing/replica_state.hpp"
#include "routing/request_decisions.hpp"
#include "routing/request_state.hpp"
#include "routing/router_context.hpp"
#include "routing/sample_exchange.hpp"
#include "routing/server_health.hpp"
#include "routing/server_registry.hpp"
#include "routing/server_selection.hpp"
#include "routing/server_views.hpp"
#include "routing/session_tokens.hpp"
#include "routing/slow_start.hpp"

namespace reedspindle::routing {
namespace {

// Milliseconds by which session tokens are rounded up: positions are rounded down, and token ages may be
// rounded either way.
constexpr Millis kTokenRounding = 1;
// The longest time between two batches, in milliseconds.
constexpr Millis kMaxTimer = 1000;

bool is_any_of(AttemptOutcome outcome, std::initializer_list<AttemptOutcome> outcomes) {
  return std::ranges::find(outcomes, outcome) != outcomes.end();
}

class RouterImpl final : public Router {
 public:
  RouterImpl(const Settings& settings, std::uint64_t seed) : context_(settings, seed) {}

  void enqueue(Event event) override { events_.push_back(std::move(event)); }
  std::vector<Decision> process(Millis now) override;
  [[nodiscard]] std::vector<ServerView> view() const override {
    return describe_servers(context_, registry_, health_, slow_start_);
  }
  [[nodiscard]] bool may_send(RequestId id, AttemptNumber number, Millis now) const override;

 private:
  void handle(const EndpointListReceived& event) { handle_endpoint_list(event); }
  void handle(const RequestReceived& event) { handle_request(event); }
  void handle(const AttemptCompleted& event) { handle_attempt_completed(event); }
  void handle(const ProbeCompleted& event) { probing_.handle_probe_completed(event); }
  void handle(const RequestAbandoned& event) { requests_.erase(event.request); }
  void handle(const TimerExpired& event) { handle_timer(event); }
  void handle(const PeerMessageReceived& event) { exchange_.handle_peer_message(event); }
  void handle(const FleetViewChanged& event) { handle_fleet_view(event); }

  void handle_endpoint_list(const EndpointListReceived& event);
  void handle_request(const RequestReceived& event);
  void handle_attempt_completed(const AttemptCompleted& event);
  void handle_timer(const TimerExpired& event);
  void handle_fleet_view(const FleetViewChanged& event);

  void record_answer(const Attempt& attempt, const AttemptCompleted& event);
  void record_outcome(const Attempt& attempt, const AttemptCompleted& event);
  void record_refusal(const Attempt& attempt, const AttemptCompleted& event);
  void update_request(const Attempt& attempt, const AttemptCompleted& event);

  std::vector<Decision> take_decisions();
  void take_request_decisions(std::vector<Decision>& decisions);
  void set_timer(std::vector<Decision>& decisions);

  RouterContext context_;
  ServerRegistry registry_;
  LatencyStats latencies_;
  ServerHealth health_{context_, latencies_};
  SlowStart slow_start_{context_, health_};
  ConcurrencyLimits limits_{context_, slow_start_};
  ProbeLeadership leadership_{context_, registry_};
  SampleExchange exchange_{context_, registry_, health_, slow_start_, leadership_};
  Probing probing_{context_, registry_, health_, slow_start_, leadership_, exchange_};
  EndpointLists endpoint_lists_{context_, registry_, slow_start_, limits_, exchange_};
  EndpointPolling endpoint_polling_{context_};
  SessionTokens session_tokens_{context_};
  FirstTryEstimate first_try_estimate_;
  Attempts attempts_{context_, registry_, health_, slow_start_};
  ServerSelection selection_{context_, registry_, health_, limits_};
  RequestDecisions request_decisions_{context_, registry_, latencies_, slow_start_, selection_};

  std::vector<Event> events_;  // of the current batch
  std::map<RequestId, Request> requests_;
  bool poll_due_ = false;
  Millis timer_at_ = kNever;  // kNever: no timer is set
  TimerId timer_;             // the timer set last
};

std::vector<Decision> RouterImpl::process(Millis now) {
  context_.now = now;
  if (context_.started_at == kNever) {
    context_.started_at = now;
  }
  for (const Event& event : events_) {
    std::visit([this](const auto& alternative) { handle(alternative); }, event);
  }
  events_.clear();
  attempts_.check_servers();
  request_decisions_.decide(requests_);
  probing_.decide();
  poll_due_ = endpoint_polling_.take_due();
  return take_decisions();
}

bool RouterImpl::may_send(RequestId id, AttemptNumber number, Millis now) const {
  const auto request = requests_.find(id);
  const Attempt* const attempt = attempts_.find(id, number);
  if (request == requests_.end() || !attempt) {
    return false;
  }
  const RequestClass& request_class = context_.class_of(attempt->request_class);
  return fleet_permits(request_class, context_) &&
         selection_.may_serve(*attempt->server, request->second, request_class, now);
}

void RouterImpl::handle_endpoint_list(const EndpointListReceived& event) {
  if (event.kind == EndpointListKind::failed) {
    endpoint_polling_.handle_failure();
    return;
  }
  endpoint_lists_.handle_endpoint_list(event);
}

void RouterImpl::handle_request(const RequestReceived& event) {
  const Millis now = context_.now;
  const RequestClass& request_class = context_.class_of(event.request_class);
  Request& request = requests_[event.request];
  request = {.request_class = event.request_class, .group = event.group, .session = event.session};
  request.half_deadline = now + event.remaining / 2;
  request.deadline = now + event.remaining;
  request.objective_deadline =
      now + request_class.latency_objective - first_try_estimate_.elapsed(event, request_class);
  if (event.token_age != 0) {
    request.session_token = now - std::floor(event.token_age) + kTokenRounding;
  }
  request.session_token = std::max(request.session_token, session_tokens_.token_of(event.session));
  request.admission_draw = context_.draw();
  const auto group = registry_.groups().find(event.group);
  if (group != registry_.groups().end()) {
    record_request(group->second, context_);
  }
}

void RouterImpl::handle_attempt_completed(const AttemptCompleted& event) {
  const std::optional<Attempt> attempt = attempts_.take(event.request, event.attempt);
  if (!attempt) {
    return;
  }
  Server& server = *attempt->server;
  registry_.mark_changed(server);
  if (--server.in_flight == 0) {
    server.oldest_attempt_sent_at = kNever;
  }
  record_answer(*attempt, event);
  record_outcome(*attempt, event);
  update_request(*attempt, event);
}

// Records what any answer of the server shows, errors included.
void RouterImpl::record_answer(const Attempt& attempt, const AttemptCompleted& event) {
  using enum AttemptOutcome;
  Server& server = *attempt.server;
  const Millis now = context_.now;
  if (is_any_of(event.outcome, {acknowledged, failed, rejected_overloaded, rejected_not_executed})) {
    health_.record_answer(server);
    slow_start_.update_capacity(server);
    const ReplicaSample newest = newest_sample(event.sample, event.report);
    const bool is_write = context_.class_of(attempt.request_class).consistency == Consistency::write;
    record_sample(server, newest, role_claim_date(event.sample, event.report, now), now,
                  event.outcome == acknowledged && is_write);
    slow_start_.record_utilization(server, newest);
  }
  const bool connection_kept = is_any_of(event.outcome, {acknowledged, failed, rejected_not_executed});
  server.connection_answered_at = connection_kept ? now : kNever;
}

// Records what the outcome shows of the server's health and load.
void RouterImpl::record_outcome(const Attempt& attempt, const AttemptCompleted& event) {
  using enum AttemptOutcome;
  Server& server = *attempt.server;
  const RequestClass& request_class = context_.class_of(attempt.request_class);
  if (event.outcome == acknowledged) {
    session_tokens_.record_acknowledged(attempt.session, request_class, event.sample.position);
    slow_start_.record_acknowledged(server);
  }
  if (is_any_of(event.outcome, {reset, connect_failed})) {
    // A single connection may end for a reason unrelated to the server: only two errors without an answer
    // between them count as a failure.
    const Millis last_error_at = std::exchange(server.last_error_at, context_.now);
    if (last_error_at > server.last_answer_at) {
      server.request_failed_at = context_.now;
      slow_start_.update_capacity(server);
    }
  }
  if (is_any_of(event.outcome, {acknowledged, timed_out})) {
    latencies_.record(server, attempt.request_class, request_class, event.latency);
    limits_.record_latency(server, request_class, event.latency);
  }
  if (event.outcome == rejected_overloaded) {
    limits_.record_shed(server);
  }
}

// Handles a refusal that is due to the server's own state: it is not the primary, or it lags. The refusal
// replaces the lag that was known of the server.
void RouterImpl::record_refusal(const Attempt& attempt, const AttemptCompleted& event) {
  Server& server = *attempt.server;
  const RequestClass& request_class = context_.class_of(attempt.request_class);
  if (request_class.consistency == Consistency::write) {
    server.replica_claimed_at = context_.now;
    return;
  }
  const Millis seen_at = server.samples.empty() ? context_.now : server.samples.back().seen_at;
  Millis position = server.applied_position;
  if (newest_sample(event.sample, event.report).position < 0) {
    position = seen_at - allowed_lag(request_class, attempt.session_token, attempt.sent_at) - 1;
  }
  server.samples.assign(1, {position, seen_at});
}

void RouterImpl::update_request(const Attempt& attempt, const AttemptCompleted& event) {
  using enum AttemptOutcome;
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  --request.in_flight;
  if (event.outcome == rejected_not_executed) {
    record_refusal(attempt, event);
    ++request.not_executed;
  }
  if (event.outcome == not_sent) {
    ++request.not_sent;
  }
  const bool may_have_run =
      !is_any_of(event.outcome, {rejected_not_executed, rejected_overloaded, connect_failed, not_sent});
  if (may_have_run && request.possibly_executed_at == kNever) {
    request.possibly_executed_at = attempt.sent_at;
  }
  if (event.request_completed) {
    requests_.erase(found);
  }
}

void RouterImpl::handle_timer(const TimerExpired& event) {
  if (event.timer == timer_) {
    timer_at_ = kNever;
  }
}

void RouterImpl::handle_fleet_view(const FleetViewChanged& event) {
  leadership_.handle_fleet_view(event);
  context_.fleet_view = event;
  context_.instances = std::max(1.0, context_.options.instances * event.live_fraction);
}

std::vector<Decision> RouterImpl::take_decisions() {
  std::vector<Decision> decisions;
  for (const ServerId& id : endpoint_lists_.take_forgotten()) {
    decisions.emplace_back(ForgetServer{id});
  }
  if (poll_due_) {
    decisions.emplace_back(WatchEndpoints{});
  }
  probing_.start_due(decisions);
  if (auto message = exchange_.take_message(probing_.probes_in_flight())) {
    decisions.emplace_back(std::move(*message));
  }
  attempts_.cancel_due(decisions);
  take_request_decisions(decisions);
  set_timer(decisions);
  return decisions;
}

void RouterImpl::take_request_decisions(std::vector<Decision>& decisions) {
  for (auto& [id, request] : requests_) {
    switch (request.next_step) {
      case NextStep::wait:
        break;
      case NextStep::attempt:
        attempts_.start(id, request, decisions);
        break;
      case NextStep::reject:
        decisions.emplace_back(RejectRequest{id, context_.options.retry_after});
        break;
      case NextStep::fail:
        decisions.emplace_back(FailRequest{id});
        break;
    }
  }
  std::erase_if(requests_, [](const auto& item) {
    const NextStep step = item.second.next_step;
    return step == NextStep::reject || step == NextStep::fail;
  });
}

void RouterImpl::set_timer(std::vector<Decision>& decisions) {
  const Millis now = context_.now;
  const Millis tick = context_.options.tick;
  Millis at = std::min({probing_.next_at(), endpoint_polling_.next_at(), exchange_.next_at()});
  if (!requests_.empty()) {
    at = std::min(at, now + kRecheckTicks * tick);
  }
  at = std::clamp(at, now + tick, now + kMaxTimer);
  if (timer_at_ == kNever || at < timer_at_) {
    timer_at_ = at;
    ++timer_.number;
    decisions.emplace_back(SetTimer{timer_, at});
  }
}

}  // namespace
}  // namespace reedspindle::routing

namespace reedspindle {

std::unique_ptr<Router> make_router(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<routing::RouterImpl>(settings, seed);
}

}  // namespace reedspindle
