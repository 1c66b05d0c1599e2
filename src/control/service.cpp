#include "control/service.hpp"

#include <csignal>
#include <utility>

#include "control/registry_state.hpp"
#include "settings/settings.hpp"

namespace reedspindle::control {
namespace {

constexpr int kMaxCallbacksPerTurn = 64;        // run before the router is called, as in the proxy
constexpr Millis kPersistRetryDelay = 1000;     // after a disk fault
constexpr Millis kSnapshotInterval = 20;        // between snapshots; a tenth of the probe interval
constexpr Millis kStateLogInterval = 60000;     // between log lines with the service's state
constexpr std::size_t kMaxLoggedNodeName = 64;  // bytes

RegistryUpdate registry_update(const net::EndpointList& list) {
  RegistryUpdate update{list.kind, list.revision, {}};
  for (const net::ListedEndpoint& server : list.servers) {
    update.members.push_back({server.entry, config::format_endpoint(server.endpoint), server.zone});
  }
  return update;
}

const char* describe(UpdateVerdict verdict) {
  constexpr const char* words[] = {"none", "list is empty", "list removes too many servers at once",
                                   "list revision is older"};
  return words[static_cast<int>(verdict)];
}

}  // namespace

Service::Service(Options options)
    : options_(std::move(options)),
      log_(clock_),
      io_(1),
      timers_(io_, clock_),
      signals_(io_, SIGTERM, SIGINT),
      disk_(options_.keep),
      store_(disk_),
      registry_(options_.registry),
      epoch_(restore_registry()),
      router_(make_router(options_.config.router_settings, options_.config.seed)),
      snapshot_builder_(options_.request_classes, options_.leases, options_.startup_timeout),
      subscriptions_(options_.streams, options_.name, epoch_),
      server_connections_(
          io_, timers_, clock_, log_, options_.config, [](RequestId, AttemptNumber) { return false; },
          [](AttemptCompleted, std::optional<net::ChargedText>) {},
          [this](ProbeCompleted result) {
            router_->enqueue(std::move(result));
            work_pending_ = router_pending_ = true;
          }),
      discovery_client_(io_, timers_, clock_, log_, options_.config, discovery::Client::Delivery::per_list,
                        [this](net::EndpointList list) { on_endpoint_list(std::move(list)); }),
      snapshot_writer_(
          store_, [this](std::string error) { asio::post(io_, [this, error] { on_persisted(error); }); }),
      server_(io_, options_, epoch_, *this) {}

// Restores the saved registry and saves it again at once. Returns the number of the new generation, which is
// the epoch of this start: the store never uses a generation's number twice, not even that of a damaged one,
// so the versions of resources never go back.
std::uint64_t Service::restore_registry() {
  log_.set_options(options_.log);
  const snapshot::LoadResult loaded = store_.load();
  for (const snapshot::DamagedFile& damage : loaded.damaged) {
    log_.error("snapshot", "snapshot file damaged", {{"file", damage.name}, {"error", damage.why}});
  }
  if (loaded.state) {
    try {
      registry_.restore(registry_state_in(*loaded.state));
      log_.info("snapshot", "registry restored",
                {{"generation", loaded.generation},
                 {"revision", registry_.revision()},
                 {"servers", registry_.members().size()}});
    } catch (const InvalidInput& error) {
      log_.error("snapshot", "saved registry unreadable",
                 {{"generation", loaded.generation}, {"error", error.what()}});
    }
  } else if (loaded.damaged.empty()) {
    log_.info("snapshot", "no snapshot found, starting with an empty registry",
              {{"directory", options_.keep}});
  }
  persisted_state_ = text_of(registry_.persisted_state());
  return store_.save(persisted_state_);
}

void Service::run() {
  wait_for_signals();
  if (registry_.known()) {
    notify_router();
  }
  if (!options_.config.polls_endpoints) {
    discovery_client_.start();
  }
  log_.info(
      "control", "listening",
      {{"name", options_.name}, {"address", options_.listen}, {"port", server_.port()}, {"epoch", epoch_}});
  log_state();
  while (!server_.stopped()) {
    if (!work_pending_) {
      io_.run_one();
    }
    int callbacks = 0;
    while (callbacks < kMaxCallbacksPerTurn && io_.poll_one() > 0) {
      ++callbacks;
    }
    if (std::exchange(work_pending_, false) && !stopping_) {
      process_events();
    }
    server_connections_.send_ready();
    log_.flush();
  }
  log_.info("control", "stopped", {{"name", options_.name}});
  discovery_client_.stop();
  server_connections_.stop();
}

void Service::on_endpoint_list(net::EndpointList list) {
  if (list.kind == EndpointListKind::failed) {
    router_->enqueue(EndpointListReceived{EndpointListKind::failed, {}});
    work_pending_ = router_pending_ = true;
    return;
  }
  const auto removed = registry_.apply_update(registry_update(list), clock_.now());
  for (const ServerId& server : removed) {
    log_.info("draining", "server draining or removed",
              {{"server", server.address}, {"revision", list.revision}});
  }
  if (const UpdateVerdict verdict = registry_.verdict(); verdict != logged_verdict_) {
    logged_verdict_ = verdict;
    if (verdict != UpdateVerdict::accepted) {
      log_.warn("registry", "endpoint list suspect, keeping known servers",
                {{"reason", describe(verdict)},
                 {"revision", list.revision},
                 {"listed_servers", list.servers.size()},
                 {"known_servers", registry_.members().size()}});
    } else {
      log_.info("registry", "endpoint list accepted",
                {{"revision", list.revision}, {"servers", registry_.members().size()}});
    }
  }
  notify_router();
}

// Passes the registry's servers to the router and to the server connections. Neither is given the list from
// discovery itself, which may be suspect.
void Service::notify_router() {
  net::EndpointList list{EndpointListKind::complete, registry_.revision(), {}};
  for (const auto& [id, entry] : registry_.members()) {
    if (const auto endpoint = config::parse_endpoint(entry.endpoint)) {
      list.servers.push_back({entry.listed, entry.zone, *endpoint});
    }
  }
  server_connections_.apply_endpoint_list(list);
  router_->enqueue(registry_.endpoint_list());
  work_pending_ = router_pending_ = registry_changed_ = true;
}

void Service::process_events() {
  const Millis now = clock_.now();
  if (const auto poll_at = registry_.poll_at(); poll_at && now >= *poll_at) {
    registry_.on_poll_sent(now);
    discovery_client_.request_full_list();
  }
  if (std::exchange(router_pending_, false)) {
    for (const Decision& decision : router_->process(now)) {
      std::visit([this](const auto& one) { execute(one); }, decision);
    }
  }
  const bool save_registry = registry_changed_;
  send_responses(now);
  // The registry is saved after the responses, which are urgent. A crash in between does not bring a draining
  // server back: a client with a newer list than the service's keeps the resources that it has.
  if (save_registry) {
    persist_registry();
  }
}

void Service::send_responses(Millis now) {
  // Snapshots are built at once after an endpoint list, since draining servers must be announced without
  // delay. Otherwise they are built at an interval, so that the probes of hundreds of servers don't cause as
  // many snapshots.
  const std::set<ClientCapabilities> capabilities = subscriptions_.capabilities();
  if (registry_changed_ || capabilities != snapshot_capabilities_ ||
      now - snapshot_built_at_ >= kSnapshotInterval) {
    registry_changed_ = false;
    snapshot_built_at_ = now;
    snapshot_capabilities_ = capabilities;
    subscriptions_.update_snapshots(snapshot_builder_.build(router_->view(), registry_, capabilities, now));
  }
  wake_at(snapshot_built_at_ + kSnapshotInterval);
  if (!was_ready_ && snapshot_builder_.ready()) {
    was_ready_ = true;
    log_.info("control", "ready, sending resources",
              {{"servers", registry_.members().size()}, {"revision", registry_.revision()}});
  }
  for (const StreamAction& action : subscriptions_.collect_actions(now)) {
    std::visit([this](const auto& one) { execute(one); }, action);
  }
  // Lease renewals and polls of discovery depend on time alone, so the loop has to wake up for them. The
  // router sets its own timers.
  if (const auto deadline = subscriptions_.next_deadline()) {
    wake_at(*deadline);
  }
  if (const auto poll_at = registry_.poll_at()) {
    wake_at(*poll_at);
  }
}

// Calls process_events at that time at the latest; an earlier wake-up stays.
void Service::wake_at(Millis at) {
  if (wake_ && wake_time_ <= at) {
    return;
  }
  timers_.cancel(wake_);
  wake_time_ = at;
  wake_ = timers_.set(at, [this] {
    wake_.reset();
    work_pending_ = true;
  });
}

// Saves the registry if its state has changed since the last save.
void Service::persist_registry() {
  std::string text = text_of(registry_.persisted_state());
  if (text == persisted_state_) {
    return;
  }
  persisted_state_ = text;
  snapshot_writer_.save(std::move(text));
}

// An empty error stands for success.
void Service::on_persisted(const std::string& error) {
  if (error.empty()) {
    return;
  }
  log_.error("snapshot", "registry save failed, will retry", {{"error", error}});
  timers_.set(clock_.now() + kPersistRetryDelay, [this] { snapshot_writer_.save(persisted_state_); });
}

void Service::wait_for_signals() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) {
      return;
    }
    log_.info("control", "shutdown started", {{"signal", signal}});
    if (!std::exchange(stopping_, true)) {
      server_.stop();
    }
    wait_for_signals();
  });
}

void Service::log_state() {
  const Subscriptions::Counts& counts = subscriptions_.counts();
  log_.info("control", "state",
            {{"streams", subscriptions_.size()},
             {"servers", registry_.members().size()},
             {"revision", registry_.revision()},
             {"responses", counts.responses},
             {"urgent_responses", counts.urgent},
             {"acknowledged", counts.acknowledged},
             {"rejected", counts.rejected},
             {"stale_nonces", counts.stale_nonces},
             {"closed_streams", counts.ended}});
  timers_.set(clock_.now() + kStateLogInterval, [this] { log_state(); });
}

bool Service::on_stream_opened(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                               const std::string& node) {
  if (stopping_ || !subscriptions_.open_stream(id, variant, capabilities, clock_.now())) {
    log_.warn("streams", "stream rejected",
              {{"node", node.substr(0, kMaxLoggedNodeName)}, {"open_streams", subscriptions_.size()}});
    return false;
  }
  open_streams_[id] = {variant, node.substr(0, kMaxLoggedNodeName)};
  log_.debug("streams", "stream opened", {{"node", open_streams_[id].node}, {"stream", id.number}});
  work_pending_ = true;
  return true;
}

void Service::on_request(StreamId id, SubscriptionRequest request) {
  subscriptions_.on_request(id, request, clock_.now());
  work_pending_ = true;
}

void Service::on_response_sent(StreamId id) {
  subscriptions_.on_response_sent(id);
  work_pending_ = true;
}

void Service::on_stream_closed(StreamId id) {
  subscriptions_.close_stream(id);
  open_streams_.erase(id);
  work_pending_ = true;
}

void Service::execute(const StartProbe& decision) {
  server_connections_.probe(decision.server, decision.timeout);
}
void Service::execute(const SetTimer& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] {
    router_->enqueue(TimerExpired{timer});
    work_pending_ = router_pending_ = true;
  });
}
void Service::execute(const WatchEndpoints& /*unused*/) { discovery_client_.start(); }
void Service::execute(const ForgetServer& decision) { server_connections_.forget(decision.server); }
void Service::execute(const LogMessage& decision) { log_.info("routing", decision.text); }

void Service::execute(const ResponseToSend& response) {
  const auto client_stream = open_streams_.find(response.stream);
  if (client_stream == open_streams_.end()) {
    return;
  }
  server_.write(client_stream->second.variant, response);
}

void Service::execute(const StreamToClose& closure) {
  log_.warn("streams", "stream closed",
            {{"node", open_streams_[closure.stream].node}, {"reason", closure.why}});
  server_.end(closure.stream, closure.why);
}

void Service::execute(const OperatorNotice& notice) {
  const auto client_stream = open_streams_.find(notice.stream);
  log_.warn("streams", notice.event,
            {{"node", client_stream == open_streams_.end() ? "" : client_stream->second.node},
             {"detail", notice.detail}});
}

}  // namespace reedspindle::control
