#include "proxy/proxy_server.hpp"

#include <csignal>
#include <ctime>
#include <utility>

#include "proxy/signal_mask.hpp"

namespace reedspindle::proxy {
namespace {
// The maximum number of callbacks in one turn (iteration) of the event loop before the router runs. Without
// the limit, a client that sends continuously would delay the requests of other connections, the timers and
// the answers.
constexpr int kMaxCallbacksPerTurn = 64;
// The time in run_callbacks() after which a turn starts no further callback, in milliseconds.
constexpr Millis kMaxTurnTime = 2;
// How long peer messages are collected before the router runs, in milliseconds, unless another event makes it
// run earlier. Equal to the default of the router's setting `tick`, the shortest time that the router sets
// its timer to.
constexpr Millis kPeerMessageDelay = 5;
// Passed to the router, in milliseconds, instead of a token age of 0, which would mean that there is no
// token.
constexpr Millis kNonzeroTokenAge = 0.001;
// All open requests together may use 1/kMemoryDivisor of the memory limit of the process.
constexpr std::size_t kMemoryDivisor = 8;
// What one open request takes up besides its text, in bytes: its records in all parts of the program.
constexpr std::size_t kRequestRecordBytes = 1024;
// The id of one ended request is kept for so many bytes of the memory limit: ids take up some 100 bytes each.
constexpr std::size_t kMemoryPerEndedId = 4096;
// What the open requests of one client connection may hold. The reserve is enough for a short first request
// on each connection that a process of the smallest size has descriptors for.
constexpr net::FairShare kRequestShare = {.divisor = 16, .reserve_divisor = 2};

postgres::Fault too_many_open() { return {"53300", "too many ops are open"}; }
}  // namespace

ProxyServer::ProxyServer(config::Environment environment, const ProxyOptions& options)
    : environment_(std::move(environment)),
      config_([&] {
        config::InstanceConfig config = config::read_instance_config(environment_);
        config.router_settings.insert(options.values.begin(), options.values.end());
        saved_endpoint_list_ = std::exchange(config.saved_list, {});
        return config;
      }()),
      clock_(options.clock_offset),
      log_(clock_),
      io_(1),
      timers_(io_, clock_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      router_(make_router(config_.router_settings, config_.seed)),
      request_ids_(config_.memory_bytes / kMemoryPerEndedId),
      request_budget_(config_.memory_bytes / kMemoryDivisor),
      connection_pool_(
          io_, timers_, clock_, log_, config_,
          [this](RequestId request, AttemptNumber attempt) { return may_send(request, attempt); },
          [this](AttemptCompleted completed, std::optional<net::ChargedText> row) {
            handle_attempt_completed(std::move(completed), std::move(row));
          },
          [this](ProbeCompleted completed) { enqueue(std::move(completed)); }),
      client_connections_(io_, timers_, clock_, log_, config_, *this),
      discovery_client_(io_, timers_, clock_, log_, config_, discovery::Client::Delivery::changes,
                        [this](net::EndpointList list) { handle_endpoint_list(std::move(list)); }),
      peer_socket_(io_, log_, config_,
                   [this](int peer, std::string text) { handle_peer_message(peer, std::move(text)); }) {
  log_.set_options(options.log);
  if (options.fleet) {
    fleet_.emplace(
        timers_, clock_, log_, config_, *options.fleet, peer_socket_, connection_pool_,
        [this](FleetViewChanged view) { enqueue(std::move(view)); },
        [this](EndpointListReceived list) { enqueue(std::move(list)); }, [this] { return router_->view(); });
  }
}

void ProxyServer::run() {
  client_connections_.listen();
  wait_for_signal();
  unblock_signals();
  restore_endpoint_list();
  if (!config_.polls_endpoints) {
    discovery_client_.start();
  }
  log_.info("proxy", "listening",
            {{"name", config_.name}, {"address", config::format_endpoint(config_.listen)}});
  while (!client_connections_.finished()) {
    run_turn();
  }
  log_.info("proxy", "stopping, all accepted requests are answered", {{"name", config_.name}});
  client_connections_.stop();
  connection_pool_.stop();
  if (fleet_) {
    fleet_->stop();
  }
  peer_socket_.stop();
  discovery_client_.stop();
}

void ProxyServer::restore_endpoint_list() {
  if (saved_endpoint_list_.empty()) {
    return;
  }
  try {
    discovery_client_.load_saved(
        discovery::parse_endpoint_list(std::exchange(saved_endpoint_list_, {}), config_.names));
  } catch (const std::exception& error) {
    log_.warn("discovery", "saved endpoint list rejected", {{"error", error.what()}});
  }
}

void ProxyServer::run_turn() {
  turn_gauge_.begin(clock_.now());
  if (!router_run_needed_) {
    wait_for_event();
  }
  run_callbacks();
  if (router_run_needed_) {
    run_router();
  }
  connection_pool_.send_ready();
  log_.flush();
  log_turn();
}

// Waits until a callback is ready, and runs it. The turn starts when the loop wakes. This time is not known:
// it is estimated as the end of the callback minus the CPU time that the callback used.
void ProxyServer::wait_for_event() {
  const Millis wait_started = clock_.now();
  arrival_bound_.sleeps(wait_started, timers_.next_due().value_or(wait_started));
  const std::clock_t cpu_started = std::clock();
  io_.run_one();
  const Millis now = clock_.now();
  arrival_bound_.wakes(now);
  const Millis callback_cpu_time = 1000.0 * static_cast<double>(std::clock() - cpu_started) / CLOCKS_PER_SEC;
  turn_gauge_.begin(std::max(wait_started, now - callback_cpu_time));
  turn_gauge_.callback_ended(now);
}

void ProxyServer::run_callbacks() {
  if (turn_full_) {
    return;
  }
  Millis now = clock_.now();
  const Millis deadline = now + kMaxTurnTime;
  if (arrival_bound_.marker_wanted()) {
    arrival_bound_.marker_sent(now);
    asio::post(io_, [this] { arrival_bound_.marker_returned(); });
  }
  for (int callbacks = 0; callbacks < kMaxCallbacksPerTurn && now < deadline && !turn_full_; ++callbacks) {
    const Millis poll_started = now;
    if (io_.poll_one() == 0) {
      return arrival_bound_.none_ready(poll_started);
    }
    now = clock_.now();
    turn_gauge_.callback_ended(now);
  }
}

void ProxyServer::enqueue(Event event) {
  queued_events_.push_back({std::move(event)});
  router_run_needed_ = true;
}

void ProxyServer::log_turn() {
  const bool is_new_longest = turn_gauge_.end(clock_.now());
  const TurnGauge::Turn& turn = turn_gauge_.turn();
  if (turn.took >= TurnGauge::kSlowTurn) {
    log_.warn(
        "event_loop", "slow event loop turn",
        {{"duration_ms", turn.took}, {"part", turn.part}, {"longest_callback_ms", turn.longest_callback}});
  }
  if (is_new_longest) {
    log_.info(
        "event_loop", "longest event loop turn",
        {{"duration_ms", turn.took}, {"part", turn.part}, {"longest_callback_ms", turn.longest_callback}});
  }
}

// Passes the queued events to the router and executes its decisions.
void ProxyServer::run_router() {
  router_run_needed_ = false;
  turn_full_ = false;
  timers_.cancel(peer_message_timer_);
  turn_gauge_.set_part("fleet coordination");
  if (fleet_) {
    fleet_->check_allocation();
  }
  last_run_ = clock_.now();
  pass_events_to_router(last_run_);
  turn_gauge_.set_part("router");
  const std::vector<Decision> decisions = router_->process(last_run_);
  turn_gauge_.callback_ended(clock_.now());
  turn_gauge_.set_part("decision execution");
  for (const Decision& decision : decisions) {
    std::visit([this](const auto& chosen) { execute(chosen); }, decision);
  }
  turn_gauge_.callback_ended(clock_.now());
}

void ProxyServer::pass_events_to_router(Millis now) {
  for (QueuedEvent& queued : std::exchange(queued_events_, {})) {
    if (auto* received = std::get_if<RequestReceived>(&queued.event)) {
      received->remaining -= now - queued.arrived;
      // If this machine's clock is behind the server's, a token's position can be equal to or later than the
      // current time, so that its age is 0 or negative. The token still applies, so an age of 0, which would
      // mean that there is no token, is replaced.
      if (queued.token_position > 0) {
        received->token_age = now == queued.token_position ? kNonzeroTokenAge : now - queued.token_position;
      }
    }
    router_->enqueue(queued.event);
  }
}

void ProxyServer::handle_peer_message(int peer, std::string text) {
  queued_events_.push_back({PeerMessageReceived{peer, std::move(text)}});
  if (peer_message_timer_) {
    return;
  }
  peer_message_timer_ = timers_.set(clock_.now() + kPeerMessageDelay, [this] {
    peer_message_timer_.reset();
    router_run_needed_ = true;
  });
}

// Returns the reason why the request can't be passed to the router, memory aside.
std::optional<postgres::Fault> ProxyServer::reject_reason(const postgres::Statement& statement) {
  const auto found_class = config_.names.request_classes.find(statement.request_class);
  if (found_class == config_.names.request_classes.end()) {
    return postgres::Fault{"22023", "c names no op type: " + std::string(statement.request_class)};
  }
  if (found_class->second.writes != statement.writes) {
    return postgres::Fault{"22023", "c does not go with that kind of statement"};
  }
  if (found_class->second.tokened == statement.token.empty()) {
    return postgres::Fault{"22023", found_class->second.tokened ? "k is missing" : "k does not go with c"};
  }
  if (groups_.empty()) {
    return postgres::Fault{"57P03", "no store is known yet"};
  }
  if (!groups_.contains(GroupId{statement.group})) {
    return postgres::Fault{"22023", "cluster names no group"};
  }
  if (request_ids_.is_open(statement.id)) {
    return postgres::Fault{"22023", "id is that of an open op"};
  }
  if (request_ids_.has_ended(statement.id, clock_.now())) {
    return postgres::Fault{"22023", "id is that of an earlier op"};
  }
  if (requests_.size() >= config_.max_open_requests) {
    return too_many_open();
  }
  return std::nullopt;
}

std::optional<postgres::Fault> ProxyServer::request_arrived(RequestId request, std::string_view text,
                                                            const postgres::Statement& statement) {
  if (auto fault = reject_reason(statement)) {
    return fault;
  }
  net::MemoryCharge record(request_budget_);
  auto kept_text = std::make_shared<net::ChargedText>(request_budget_);
  if (!record.take(kRequestRecordBytes) || !kept_text->append(text)) {
    return too_many_open();
  }
  const config::NamedRequestClass& named =
      config_.names.request_classes.find(statement.request_class)->second;
  RequestReceived received;
  received.request = request;
  received.request_class = named.id;
  received.group = {statement.group};
  received.session = statement.key;
  received.remaining = statement.remaining;
  received.is_retry = statement.is_retry;
  // The remaining time counts from the estimated arrival. The time for which the request waited in the
  // kernel, while this process was busy or suspended, is thus deducted from it when the router runs.
  const Millis arrived = arrival_bound_.earliest(clock_.now());
  queued_events_.push_back({std::move(received), arrived, statement.position});
  router_run_needed_ = true;
  requests_[request] = {.text = std::move(kept_text),
                        .record = std::move(record),
                        .id = std::string(statement.id),
                        .remaining_span = statement.remaining_span,
                        .retryable = named.retryable,
                        .arrived = arrived,
                        .deadline = arrived + statement.remaining};
  request_ids_.add(statement.id);
  return std::nullopt;
}

bool ProxyServer::may_open_more(std::size_t requests, std::size_t text_bytes) const {
  return requests == 0 || request_budget_.is_fair(requests * kRequestRecordBytes + text_bytes, kRequestShare);
}

void ProxyServer::request_abandoned(RequestId request) {
  enqueue(RequestAbandoned{request});
  complete_request(request, {}, "abandoned by client");
}

// This is the only function that removes a request from requests_. Attempts of the request that are still
// queued are never sent.
void ProxyServer::complete_request(RequestId request, net::ChargedText answer, std::string_view reason,
                                   Effect effect) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  if (log_.enabled(logging::LogLevel::debug)) {
    log_.debug("requests", "request completed",
               {{"request_id", found->second.id},
                {"result", reason},
                {"attempts", found->second.attempts},
                {"elapsed_ms", clock_.now() - found->second.arrived}});
  }
  const Request& ended = found->second;
  if (effect == Effect::possible && ended.attempts > 0 && !ended.retryable) {
    request_ids_.remove(ended.id, clock_.now(), ended.deadline);
  } else {
    request_ids_.remove(ended.id);
  }
  requests_.erase(found);
  if (!answer.text().empty()) {
    client_connections_.answer(request, std::move(answer));
  }
  connection_pool_.forget(request);
}

void ProxyServer::handle_endpoint_list(net::EndpointList list) {
  turn_gauge_.set_part("endpoint list");
  turn_full_ = !list.servers.empty();
  connection_pool_.apply_endpoint_list(list);
  if (fleet_) {
    fleet_->handle_endpoint_list(list);
  }
  // Every list, including a saved one, is delivered in parts. The router receives each part as a list of
  // changes, unless the list has failed.
  const bool failed = list.kind == EndpointListKind::failed;
  EndpointListReceived received{failed ? EndpointListKind::failed : EndpointListKind::changes, {}};
  for (net::ListedEndpoint& server : list.servers) {
    groups_.insert(server.entry.group);
    received.servers.push_back(std::move(server.entry));
  }
  const bool complete = !failed && list.last && !groups_.empty();
  enqueue(std::move(received));
  if (complete) {
    client_connections_.set_ready();
  }
}

bool ProxyServer::may_send(RequestId request, AttemptNumber attempt) {
  const bool allowed =
      client_connections_.is_client_present(request) && router_->may_send(request, attempt, clock_.now());
  const auto found = requests_.find(request);
  if (!allowed && found != requests_.end() && log_.enabled(logging::LogLevel::debug)) {
    log_.debug("requests", "attempt withdrawn",
               {{"request_id", found->second.id},
                {"attempt", attempt.number},
                {"elapsed_ms", clock_.now() - found->second.arrived}});
  }
  return allowed;
}

void ProxyServer::handle_attempt_completed(AttemptCompleted completed, std::optional<net::ChargedText> row) {
  if (completed.outcome == AttemptOutcome::acknowledged && row && row->append(postgres::ready_for_query())) {
    complete_request(completed.request, std::move(*row), "served");
  } else if (completed.outcome == AttemptOutcome::acknowledged) {
    complete_request(completed.request,
                     net::ChargedText(postgres::error_reply({"53200", "no memory for the answer"})),
                     "answer without memory");
  }
  completed.request_completed = !requests_.contains(completed.request);
  enqueue(std::move(completed));
}

void ProxyServer::wait_for_signal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reload_configuration();
    } else {
      start_draining(signal);
    }
    wait_for_signal();
  });
}

void ProxyServer::start_draining(int signal) {
  log_.info("proxy", "drain started", {{"signal", signal}});
  if (fleet_) {
    fleet_->start_leaving();
  }
  client_connections_.start_draining();
}

// Reloads the configuration on SIGHUP. If it is not valid, nothing changes. Otherwise the discovery address
// is applied, and also the list of peers if fleet coordination is enabled. Other changes require a restart;
// a warning is logged for each.
void ProxyServer::reload_configuration() {
  try {
    config::InstanceConfig new_config = config::read_instance_config(environment_, config::ReadMode::reload);
    log_.info("proxy", "configuration reloaded",
              {{"discovery", config::format_endpoint(new_config.discovery)}});
    if (fleet_) {
      peer_socket_.set_peers(new_config.peers);
      fleet_->set_fleet_size(static_cast<int>(new_config.peers.size()));
      new_config.peers = config_.peers;
    }
    for (const std::string& key : config::keys_requiring_restart(config_, new_config)) {
      log_.warn("configuration", "change requires a restart", {{"key", key}});
    }
    discovery_client_.set_address(new_config.discovery);
  } catch (const std::exception& error) {
    log_.warn("configuration", "reload failed, keeping the current configuration", {{"error", error.what()}});
  }
}

}  // namespace reedspindle::proxy
