#include "control/service.hpp"

#include <csignal>
#include <utility>

#include "control/registry_state.hpp"
#include "settings/settings.hpp"

namespace reedspindle::control {
namespace {

constexpr int kMaxCallbacksPerTurn = 64;        // callbacks before the router is asked, as in the proxy
constexpr Millis kPersistRetryDelay = 1000;     // after the disk has reported a fault
constexpr Millis kSnapshotInterval = 20;        // between snapshots; a tenth of the health checks' interval
constexpr Millis kStateLogInterval = 60000;     // between log lines of the service's state
constexpr std::size_t kMaxLoggedNodeName = 64;  // bytes

RegistryUpdate registry_update(const net::EndpointList& list) {
  RegistryUpdate told{list.kind, list.revision, {}};
  for (const net::ListedEndpoint& store : list.servers) {
    told.members.push_back({store.entry, config::format_endpoint(store.endpoint), store.zone});
  }
  return told;
}

const char* describe(UpdateVerdict verdict) {
  constexpr const char* words[] = {"none", "it is empty", "it has lost much at once",
                                   "its revision is older"};
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
      members_(
          io_, timers_, clock_, log_, options_.config, [](AttemptCompleted, std::string) {},
          [this](ProbeCompleted ended) {
            router_->enqueue(std::move(ended));
            due_ = router_pending_ = true;
          }),
      endpoint_watch_(io_, timers_, clock_, log_, options_.config, discovery::Client::Delivery::per_list,
                      [this](net::EndpointList list) { on_endpoint_list(std::move(list)); }),
      snapshot_writer_(
          store_, [this](std::string fault) { asio::post(io_, [this, fault] { on_persisted(fault); }); }),
      server_(io_, options_, epoch_, *this) {}

// Restores the persisted registry and saves it again at once; returns the new generation as this start's
// epoch. A generation's number is never used twice, even where its content is damaged, so versions never go
// back.
std::uint64_t Service::restore_registry() {
  log_.set_options(options_.log);
  const snapshot::LoadResult loaded = store_.load();
  for (const snapshot::DamagedFile& damage : loaded.damaged) {
    log_.error("keep", "damaged", {{"file", damage.name}, {"why", damage.why}});
  }
  if (loaded.state) {
    try {
      registry_.restore(registry_state_in(*loaded.state));
      log_.info("keep", "roster found",
                {{"generation", loaded.generation},
                 {"revision", registry_.revision()},
                 {"members", registry_.members().size()}});
    } catch (const InvalidInput& fault) {
      log_.error("keep", "roster unreadable", {{"generation", loaded.generation}, {"why", fault.what()}});
    }
  } else if (loaded.damaged.empty()) {
    log_.info("keep", "first start", {{"folder", options_.keep}});
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
    endpoint_watch_.start();
  }
  log_.info("control", "listens",
            {{"name", options_.name}, {"at", options_.listen}, {"port", server_.port()}, {"epoch", epoch_}});
  log_state();
  while (!server_.stopped()) {
    if (!due_) {
      io_.run_one();
    }
    int callbacks = 0;
    while (callbacks < kMaxCallbacksPerTurn && io_.poll_one() > 0) {
      ++callbacks;
    }
    if (std::exchange(due_, false) && !stopping_) {
      process_events();
    }
    log_.flush();
  }
  log_.info("control", "stops", {{"name", options_.name}});
  endpoint_watch_.stop();
  members_.stop();
}

void Service::on_endpoint_list(net::EndpointList list) {
  if (list.kind == EndpointListKind::failed) {
    router_->enqueue(EndpointListReceived{EndpointListKind::failed, {}});
    due_ = router_pending_ = true;
    return;
  }
  const auto out = registry_.apply_update(registry_update(list), clock_.now());
  for (const ServerId& member : out) {
    log_.info("drains", "drains or is gone", {{"member", member.address}, {"revision", list.revision}});
  }
  if (const UpdateVerdict verdict = registry_.verdict(); verdict != logged_verdict_) {
    logged_verdict_ = verdict;
    if (verdict != UpdateVerdict::accepted) {
      log_.warn("roster", "list in doubt, the roster is held",
                {{"why", describe(verdict)},
                 {"revision", list.revision},
                 {"listed", list.servers.size()},
                 {"held", registry_.members().size()}});
    } else {
      log_.info("roster", "list believed",
                {{"revision", list.revision}, {"members", registry_.members().size()}});
    }
  }
  notify_router();
}

// The router and the connections to stores follow the registry, never a suspect list.
void Service::notify_router() {
  net::EndpointList list{EndpointListKind::complete, registry_.revision(), {}};
  for (const auto& [id, entry] : registry_.members()) {
    if (const auto endpoint = config::parse_endpoint(entry.endpoint)) {
      list.servers.push_back({entry.listed, entry.zone, *endpoint});
    }
  }
  members_.apply_endpoint_list(list);
  router_->enqueue(registry_.endpoint_list());
  due_ = router_pending_ = registry_changed_ = true;
}

void Service::process_events() {
  const Millis now = clock_.now();
  if (const auto ask = registry_.poll_at(); ask && now >= *ask) {
    registry_.on_poll_sent(now);
    endpoint_watch_.request_full_list();
  }
  if (std::exchange(router_pending_, false)) {
    for (const Decision& decision : router_->process(now)) {
      std::visit([this](const auto& taken) { execute(taken); }, decision);
    }
  }
  const bool listed = registry_changed_;
  send_responses(now);
  // After the responses: clients with a newer list than a service has keep what they have, so a crash in
  // between does not bring a draining server back.
  if (listed) {
    persist_registry();
  }
}

void Service::send_responses(Millis now) {
  // At once after a list, since draining can't wait; else at an interval, so that the health checks of
  // hundreds of servers don't cause as many snapshots.
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
    log_.info("control", "hands out",
              {{"members", registry_.members().size()}, {"revision", registry_.revision()}});
  }
  for (const StreamAction& act : subscriptions_.collect_actions(now)) {
    std::visit([this](const auto& taken) { execute(taken); }, act);
  }
  // Leases expire and lists are polled by time alone; the router's own timers are more frequent.
  if (const auto deadline = subscriptions_.next_deadline()) {
    wake_at(*deadline);
  }
  if (const auto ask = registry_.poll_at()) {
    wake_at(*ask);
  }
}

void Service::wake_at(Millis at) {
  if (wake_ && wake_time_ <= at) {
    return;
  }
  timers_.cancel(wake_);
  wake_time_ = at;
  wake_ = timers_.set(at, [this] {
    wake_.reset();
    due_ = true;
  });
}

void Service::persist_registry() {
  std::string text = text_of(registry_.persisted_state());
  if (text == persisted_state_) {
    return;
  }
  persisted_state_ = text;
  snapshot_writer_.save(std::move(text));
}

void Service::on_persisted(const std::string& fault) {
  if (fault.empty()) {
    return;
  }
  log_.error("keep", "not kept, tried again", {{"why", fault}});
  timers_.set(clock_.now() + kPersistRetryDelay, [this] { snapshot_writer_.save(persisted_state_); });
}

void Service::wait_for_signals() {
  signals_.async_wait([this](const asio::error_code& fault, int signal) {
    if (fault) {
      return;
    }
    log_.info("control", "told to stop", {{"signal", signal}});
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
             {"members", registry_.members().size()},
             {"revision", registry_.revision()},
             {"responses", counts.responses},
             {"urgent", counts.urgent},
             {"taken", counts.acknowledged},
             {"turned_down", counts.rejected},
             {"stale_nonces", counts.stale_nonces},
             {"ended", counts.ended}});
  timers_.set(clock_.now() + kStateLogInterval, [this] { log_state(); });
}

bool Service::on_stream_opened(StreamId id, ProtocolVariant variant, ClientCapabilities capabilities,
                               const std::string& node) {
  if (stopping_ || !subscriptions_.open_stream(id, variant, capabilities, clock_.now())) {
    log_.warn("proxies", "not taken",
              {{"node", node.substr(0, kMaxLoggedNodeName)}, {"open", subscriptions_.size()}});
    return false;
  }
  proxies_[id] = {variant, node.substr(0, kMaxLoggedNodeName)};
  log_.debug("proxies", "opened", {{"node", proxies_[id].node}, {"stream", id.number}});
  due_ = true;
  return true;
}

void Service::on_request(StreamId id, SubscriptionRequest request) {
  subscriptions_.on_request(id, request, clock_.now());
  due_ = true;
}

void Service::on_response_sent(StreamId id) {
  subscriptions_.on_response_sent(id);
  due_ = true;
}

void Service::on_stream_closed(StreamId id) {
  subscriptions_.close_stream(id);
  proxies_.erase(id);
  due_ = true;
}

void Service::execute(const StartProbe& decision) { members_.probe(decision.server, decision.timeout); }
void Service::execute(const SetTimer& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] {
    router_->enqueue(TimerExpired{timer});
    due_ = router_pending_ = true;
  });
}
void Service::execute(const WatchEndpoints& /*unused*/) { endpoint_watch_.start(); }
void Service::execute(const ForgetServer& decision) { members_.forget(decision.server); }
void Service::execute(const LogMessage& decision) { log_.info("decisions", decision.text); }

void Service::execute(const ResponseToSend& response) {
  const auto proxy = proxies_.find(response.stream);
  if (proxy == proxies_.end()) {
    return;
  }
  server_.write(proxy->second.variant, response);
}

void Service::execute(const StreamToClose& end) {
  log_.warn("proxies", "let go", {{"node", proxies_[end.stream].node}, {"why", end.why}});
  server_.end(end.stream, end.why);
}

void Service::execute(const OperatorNotice& notice) {
  const auto proxy = proxies_.find(notice.stream);
  log_.warn("proxies", notice.event,
            {{"node", proxy == proxies_.end() ? "" : proxy->second.node}, {"why", notice.detail}});
}

}  // namespace reedspindle::control
