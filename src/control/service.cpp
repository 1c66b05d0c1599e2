#include "control/service.hpp"

#include <csignal>
#include <utility>

#include "control/registry_state.hpp"
#include "settings/settings.hpp"

namespace reedspindle::control {
namespace {

constexpr int kOfOneTurn = 64;            // callbacks before the module is asked, as in the front
constexpr Millis kKeepAgain = 1000;       // after the disk has reported a fault
constexpr Millis kPace = 20;              // between offers; a tenth of the pace of probes
constexpr Millis kReport = 60000;         // between lines that tell how it goes
constexpr std::size_t kShownOfNode = 64;  // of what a proxy calls itself

RegistryUpdate roster_list(const net::EndpointList& list) {
  RegistryUpdate told{list.kind, list.revision, {}};
  for (const net::ListedEndpoint& store : list.servers) {
    told.members.push_back({store.entry, config::text_of(store.endpoint), store.zone});
  }
  return told;
}

const char* word_of(UpdateDoubt doubt) {
  constexpr const char* words[] = {"none", "it is empty", "it has lost much at once",
                                   "its revision is older"};
  return words[static_cast<int>(doubt)];
}

}  // namespace

Service::Service(Options charge)
    : charge_(std::move(charge)),
      log_(clock_),
      io_(1),
      timers_(io_, clock_),
      signals_(io_, SIGTERM, SIGINT),
      disk_(charge_.keep),
      store_(disk_),
      roster_(charge_.roster),
      epoch_(start_roster()),
      router_(make_router(charge_.config.values, charge_.config.seed)),
      offering_(charge_.types, charge_.leases, charge_.first_answer),
      streams_(charge_.streams, charge_.name, epoch_),
      members_(
          io_, timers_, clock_, log_, charge_.config, [](AttemptCompleted, std::string) {},
          [this](ProbeCompleted ended) {
            router_->enqueue(std::move(ended));
            due_ = noted_ = true;
          }),
      list_(io_, timers_, clock_, log_, charge_.config, discovery::Client::Delivery::as_read,
            [this](net::EndpointList list) { list_read(std::move(list)); }),
      keeper_(store_, [this](std::string fault) { asio::post(io_, [this, fault] { kept(fault); }); }),
      server_(io_, charge_, epoch_, *this) {}

// The roster as the store held it, kept again at once under the number of this start. Guards against versions
// that go back: a generation's number is never given twice, whatever of its content is damaged.
std::uint64_t Service::start_roster() {
  log_.be(charge_.log);
  const snapshot::Loaded loaded = store_.load();
  for (const snapshot::Damage& damage : loaded.damaged) {
    log_.error("keep", "damaged", {{"file", damage.name}, {"why", damage.why}});
  }
  if (loaded.state) {
    try {
      roster_.restore(registry_state_in(*loaded.state));
      log_.info("keep", "roster found",
                {{"generation", loaded.generation},
                 {"revision", roster_.revision()},
                 {"members", roster_.members().size()}});
    } catch (const InvalidInput& fault) {
      log_.error("keep", "roster unreadable", {{"generation", loaded.generation}, {"why", fault.what()}});
    }
  } else if (loaded.damaged.empty()) {
    log_.info("keep", "first start", {{"folder", charge_.keep}});
  }
  kept_ = text_of(roster_.kept());
  return store_.save(kept_);
}

void Service::run() {
  hear_signals();
  if (roster_.known()) {
    tell_module();
  }
  if (!charge_.config.polls_endpoints) {
    list_.watch();
  }
  log_.info("control", "listens",
            {{"name", charge_.name}, {"at", charge_.listen}, {"port", server_.port()}, {"epoch", epoch_}});
  report();
  while (!server_.stopped()) {
    if (!due_) {
      io_.run_one();
    }
    for (int taken = 0; taken < kOfOneTurn && io_.poll_one() > 0; ++taken) {
      continue;
    }
    if (std::exchange(due_, false) && !stopping_) {
      settle();
    }
    log_.flush();
  }
  log_.info("control", "stops", {{"name", charge_.name}});
  list_.stop();
  members_.stop();
}

void Service::list_read(net::EndpointList list) {
  if (list.kind == EndpointListKind::failed) {
    router_->enqueue(EndpointListReceived{EndpointListKind::failed, {}});
    due_ = noted_ = true;
    return;
  }
  const auto out = roster_.take(roster_list(list), clock_.now());
  for (const ServerId& member : out) {
    log_.info("drains", "drains or is gone", {{"member", member.address}, {"revision", list.revision}});
  }
  if (const UpdateDoubt doubt = roster_.doubt(); doubt != told_doubt_) {
    told_doubt_ = doubt;
    if (doubt != UpdateDoubt::none) {
      log_.warn("roster", "list in doubt, the roster is held",
                {{"why", word_of(doubt)},
                 {"revision", list.revision},
                 {"listed", list.servers.size()},
                 {"held", roster_.members().size()}});
    } else {
      log_.info("roster", "list believed",
                {{"revision", list.revision}, {"members", roster_.members().size()}});
    }
  }
  tell_module();
}

// The module and the links to stores go by the roster, never by a list that is in doubt.
void Service::tell_module() {
  net::EndpointList list{EndpointListKind::complete, roster_.revision(), {}};
  for (const auto& [id, entry] : roster_.members()) {
    if (const auto endpoint = config::endpoint_in(entry.endpoint)) {
      list.servers.push_back({entry.listed, entry.zone, *endpoint});
    }
  }
  members_.apply_endpoint_list(list);
  router_->enqueue(roster_.read());
  due_ = noted_ = listed_ = true;
}

void Service::settle() {
  const Millis now = clock_.now();
  if (const auto ask = roster_.ask_at(); ask && now >= *ask) {
    roster_.asked(now);
    list_.ask_whole();
  }
  if (std::exchange(noted_, false)) {
    for (const Decision& decision : router_->process(now)) {
      std::visit([this](const auto& taken) { carry_out(taken); }, decision);
    }
  }
  const bool listed = listed_;
  hand_out(now);
  // After what was handed out: proxies that know a newer list than a service does are left with it, so a
  // crash in between brings nothing back.
  if (listed) {
    keep_roster();
  }
}

void Service::hand_out(Millis now) {
  // At once after a list, for what drains can't wait; else at a pace, so that the probes of hundreds of
  // members are not as many offers.
  const std::set<Abilities> abilities = streams_.abilities();
  if (listed_ || abilities != offered_ || now - made_at_ >= kPace) {
    listed_ = false, made_at_ = now, offered_ = abilities;
    streams_.offer(offering_.make(router_->view(), roster_, abilities, now));
  }
  wake_at(made_at_ + kPace);
  if (!was_ready_ && offering_.ready()) {
    was_ready_ = true;
    log_.info("control", "hands out",
              {{"members", roster_.members().size()}, {"revision", roster_.revision()}});
  }
  for (const Act& act : streams_.settle(now)) {
    std::visit([this](const auto& taken) { carry_out(taken); }, act);
  }
  // Leases run out and rosters are asked for by time alone; the module wakes for its probes, which is
  // oftener.
  if (const Millis due = streams_.due(); due >= 0) {
    wake_at(due);
  }
  if (const auto ask = roster_.ask_at()) {
    wake_at(*ask);
  }
}

void Service::wake_at(Millis at) {
  if (wake_ && wake_time_ <= at) {
    return;
  }
  timers_.drop(wake_);
  wake_time_ = at;
  wake_ = timers_.set(at, [this] {
    wake_.reset();
    due_ = true;
  });
}

void Service::keep_roster() {
  std::string text = text_of(roster_.kept());
  if (text == kept_) {
    return;
  }
  kept_ = text;
  keeper_.keep(std::move(text));
}

void Service::kept(const std::string& fault) {
  if (fault.empty()) {
    return;
  }
  log_.error("keep", "not kept, tried again", {{"why", fault}});
  timers_.set(clock_.now() + kKeepAgain, [this] { keeper_.keep(kept_); });
}

void Service::hear_signals() {
  signals_.async_wait([this](const asio::error_code& fault, int signal) {
    if (fault) {
      return;
    }
    log_.info("control", "told to stop", {{"signal", signal}});
    if (!std::exchange(stopping_, true)) {
      server_.stop();
    }
    hear_signals();
  });
}

void Service::report() {
  const Subscriptions::Counts& counts = streams_.counts();
  log_.info("control", "state",
            {{"streams", streams_.size()},
             {"members", roster_.members().size()},
             {"revision", roster_.revision()},
             {"responses", counts.responses},
             {"urgent", counts.urgent},
             {"taken", counts.taken},
             {"turned_down", counts.turned_down},
             {"stale_nonces", counts.stale_nonces},
             {"ended", counts.ended}});
  timers_.set(clock_.now() + kReport, [this] { report(); });
}

bool Service::opened(StreamId id, Form form, Abilities abilities, const std::string& node) {
  if (stopping_ || !streams_.open(id, form, abilities, clock_.now())) {
    log_.warn("proxies", "not taken", {{"node", node.substr(0, kShownOfNode)}, {"open", streams_.size()}});
    return false;
  }
  proxies_[id] = {form, node.substr(0, kShownOfNode)};
  log_.debug("proxies", "opened", {{"node", proxies_[id].node}, {"stream", id.number}});
  due_ = true;
  return true;
}

void Service::heard(StreamId id, SubscriptionRequest heard) {
  streams_.hear(id, std::move(heard), clock_.now());
  due_ = true;
}

void Service::written(StreamId id) {
  streams_.written(id);
  due_ = true;
}

void Service::closed(StreamId id) {
  streams_.close(id);
  proxies_.erase(id);
  due_ = true;
}

void Service::carry_out(const StartProbe& decision) { members_.probe(decision.server, decision.timeout); }
void Service::carry_out(const SetTimer& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] {
    router_->enqueue(TimerExpired{timer});
    due_ = noted_ = true;
  });
}
void Service::carry_out(const WatchEndpoints& /*unused*/) { list_.watch(); }
void Service::carry_out(const ForgetServer& decision) { members_.forget(decision.server); }
void Service::carry_out(const LogMessage& decision) { log_.info("decisions", decision.text); }

void Service::carry_out(const Write& write) {
  const auto proxy = proxies_.find(write.stream);
  if (proxy == proxies_.end()) {
    return;
  }
  server_.write(proxy->second.form, write);
}

void Service::carry_out(const End& end) {
  log_.warn("proxies", "let go", {{"node", proxies_[end.stream].node}, {"why", end.why}});
  server_.end(end.stream, end.why);
}

void Service::carry_out(const Notice& notice) {
  const auto proxy = proxies_.find(notice.stream);
  log_.warn("proxies", notice.event,
            {{"node", proxy == proxies_.end() ? "" : proxy->second.node}, {"why", notice.detail}});
}

}  // namespace reedspindle::control
