#include "proxy/proxy_server.hpp"

#include <csignal>
#include <ctime>
#include <utility>

#include "proxy/signal_mask.hpp"

namespace reedspindle::proxy {
namespace {
// Callbacks that one turn of the loop takes at most before the module is asked: what comes at full speed may
// not keep the other connections' ops, the timers or the answers waiting.
constexpr int kOfOneTurn = 64;
// For so long at the most, in milliseconds.
constexpr Millis kTurnTime = 2;
// What peers say is gathered for so long before the module is asked, unless something else makes it be asked:
// the module's own time between batches.
constexpr Millis kGatherWords = 5;
constexpr Millis kAtOnce = 0.001;  // an age that is one, and rounds to none
}  // namespace

ProxyServer::ProxyServer(config::Environment environment, const ProxyOptions& orders)
    : environment_(std::move(environment)),
      config_([&] {
        config::InstanceConfig config = config::read_instance_config(environment_);
        config.values.insert(orders.values.begin(), orders.values.end());
        saved_list_ = std::exchange(config.known, {});
        return config;
      }()),
      clock_(orders.clock_offset),
      log_(clock_),
      io_(1),
      timers_(io_, clock_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      router_(make_router(config_.values, config_.seed)),
      texts_(config_.memory / 8),
      members_(
          io_, timers_, clock_, log_, config_,
          [this](AttemptCompleted ended, std::string row) { send_ended(std::move(ended), std::move(row)); },
          [this](ProbeCompleted ended) { note(std::move(ended)); }),
      clients_(io_, timers_, clock_, log_, config_, *this),
      list_(io_, timers_, clock_, log_, config_, discovery::Client::Delivery::changes,
            [this](net::EndpointList list) { list_read(std::move(list)); }),
      peers_(io_, log_, config_, [this](int peer, std::string text) {
        noted_.push_back({PeerMessageReceived{peer, std::move(text)}});
        if (!gathered_) {
          gathered_ = timers_.set(clock_.now() + kGatherWords, [this] {
            gathered_.reset();
            settle_wanted_ = true;
          });
        }
      }) {
  log_.be(orders.log);
  if (orders.fleet) {
    tier_.emplace(
        timers_, clock_, log_, config_, *orders.fleet, peers_, members_,
        [this](FleetViewChanged among) { note(std::move(among)); },
        [this](EndpointListReceived read) { note(std::move(read)); }, [this] { return router_->view(); });
  }
}

void ProxyServer::run() {
  clients_.listen();
  hear_signals();
  release_signals();
  if (!saved_list_.empty()) {
    try {
      list_.start_with(discovery::read_list(std::exchange(saved_list_, {}), config_.names));
    } catch (const std::exception& fault) {
      log_.warn("list", "saved list does not count", {{"why", fault.what()}});
    }
  }
  if (!config_.polls_endpoints) {
    list_.watch();
  }
  log_.info("front", "listens", {{"name", config_.name}, {"at", config::text_of(config_.listen)}});
  while (!clients_.finished()) {
    turns_.begin(clock_.now());
    if (!settle_wanted_) {
      sleep();
    }
    run_callbacks();
    if (settle_wanted_) {
      settle();
    }
    log_.flush();
    tell_turn();
  }
  log_.info("front", "stops, all it took is answered", {{"name", config_.name}});
  clients_.stop();
  members_.stop();
  if (tier_) {
    tier_->stop();
  }
  peers_.stop();
  list_.stop();
}

// Until something comes, which is handled. The turn begins as the loop wakes, of which nothing tells but the
// processor time that the first callback takes.
void ProxyServer::sleep() {
  const Millis before = clock_.now();
  arrivals_.sleeps(before, timers_.next_due().value_or(before));
  const std::clock_t used = std::clock();
  io_.run_one();
  const Millis now = clock_.now();
  arrivals_.wakes(now);
  const Millis callback = 1000.0 * static_cast<double>(std::clock() - used) / CLOCKS_PER_SEC;
  turns_.begin(std::max(before, now - callback));
  turns_.callback_ended(now);
}

void ProxyServer::run_callbacks() {
  if (turn_is_full_) {
    return;
  }
  Millis now = clock_.now();
  const Millis until = now + kTurnTime;
  if (arrivals_.marker_wanted()) {
    arrivals_.marker_sent(now);
    asio::post(io_, [this] { arrivals_.marker_returned(); });
  }
  for (int taken = 0; taken < kOfOneTurn && now < until && !turn_is_full_; ++taken) {
    const Millis before = now;
    if (io_.poll_one() == 0) {
      return arrivals_.none_ready(before);
    }
    now = clock_.now();
    turns_.callback_ended(now);
  }
}

// What is noted goes to the module at the end of the turn.
void ProxyServer::note(Event event) {
  noted_.push_back({std::move(event)});
  settle_wanted_ = true;
}

void ProxyServer::tell_turn() {
  const bool longest = turns_.end(clock_.now());
  const TurnGauge::Turn& turn = turns_.turn();
  if (turn.took >= TurnGauge::kHeldUp) {
    log_.warn("turns", "turn held up",
              {{"ms", turn.took}, {"part", turn.part}, {"callback_ms", turn.longest_callback}});
  }
  if (longest) {
    log_.info("turns", "longest turn",
              {{"ms", turn.took}, {"part", turn.part}, {"callback_ms", turn.longest_callback}});
  }
}

void ProxyServer::settle() {
  settle_wanted_ = turn_is_full_ = false;
  timers_.drop(gathered_);
  turns_.doing("tier");
  if (tier_) {
    tier_->look();
  }
  const Millis now = settled_ = clock_.now();
  for (Noted& noted : std::exchange(noted_, {})) {
    if (auto* arrived = std::get_if<RequestReceived>(&noted.event)) {
      arrived->remaining -= now - noted.arrived;
      // Guards against a clock that is behind the store's: a commit beyond it, or at it, is a token all the
      // same.
      if (noted.position > 0) {
        arrived->token_age = now == noted.position ? kAtOnce : now - noted.position;
      }
    }
    router_->enqueue(noted.event);
  }
  turns_.doing("decisions");
  const std::vector<Decision> decisions = router_->process(now);
  turns_.callback_ended(clock_.now());
  turns_.doing("carrying out");
  for (const Decision& decision : decisions) {
    std::visit([this](const auto& taken) { carry_out(taken); }, decision);
  }
  turns_.callback_ended(clock_.now());
}

std::optional<postgres::Fault> ProxyServer::request_arrived(RequestId id, std::string_view text,
                                                            const postgres::Statement& statement) {
  const auto type = config_.names.request_classes.find(statement.request_class);
  if (type == config_.names.request_classes.end()) {
    return postgres::Fault{"22023", "c names no op type: " + std::string(statement.request_class)};
  }
  if (type->second.writes != statement.writes) {
    return postgres::Fault{"22023", "c does not go with that kind of statement"};
  }
  if (type->second.tokened == statement.token.empty()) {
    return postgres::Fault{"22023", type->second.tokened ? "k is missing" : "k does not go with c"};
  }
  if (groups_.empty()) {
    return postgres::Fault{"57P03", "no store is known yet"};
  }
  if (!groups_.contains(GroupId{statement.group})) {
    return postgres::Fault{"22023", "cluster names no group"};
  }
  if (ids_.contains(statement.id)) {
    return postgres::Fault{"22023", "id is that of an open op"};
  }
  if (ops_.size() >= config_.open_requests || !texts_.take(text.size())) {
    return postgres::Fault{"53300", "too many ops are open"};
  }
  RequestReceived arrived;
  arrived.request = id;
  arrived.request_class = type->second.id;
  arrived.group = {statement.group};
  arrived.session = statement.key;
  arrived.remaining = statement.remaining;
  arrived.is_retry = statement.repeat;
  // A request that waited in the kernel while the front was busy or held up has that much less time left.
  const Millis came = arrivals_.earliest(clock_.now());
  noted_.push_back({std::move(arrived), came, statement.position});
  settle_wanted_ = true;
  ops_[id] = {std::make_shared<const std::string>(text), std::string(statement.id), statement.patience_place,
              0, came};
  ids_.emplace(statement.id);
  return std::nullopt;
}

void ProxyServer::request_abandoned(RequestId id) {
  note(RequestAbandoned{id});
  end_op(id, "", "its client left");
}

// Ops are given back here and nowhere else. What is not written of one yet never will be.
void ProxyServer::end_op(RequestId id, std::string answer, std::string_view why) {
  const auto found = ops_.find(id);
  if (found == ops_.end()) {
    return;
  }
  if (log_.writes(logging::LogLevel::debug)) {
    log_.debug("request", "ended",
               {{"id", found->second.id},
                {"why", why},
                {"attempts", found->second.sends},
                {"ms", clock_.now() - found->second.arrived}});
  }
  ids_.erase(found->second.id);
  texts_.give(found->second.text->size());
  ops_.erase(found);
  if (!answer.empty()) {
    clients_.answer(id, std::move(answer));
  }
  members_.forget(id);
}

void ProxyServer::list_read(net::EndpointList list) {
  turns_.doing("list");
  turn_is_full_ = !list.servers.empty();
  members_.apply_endpoint_list(list);
  if (tier_) {
    tier_->list_read(list);
  }
  // What was saved is handed on in parts, like any other list: to the module they are changes.
  EndpointListReceived read{
      list.kind == EndpointListKind::failed ? EndpointListKind::failed : EndpointListKind::changes, {}};
  for (net::ListedEndpoint& server : list.servers) {
    groups_.insert(server.entry.group);
    read.servers.push_back(std::move(server.entry));
  }
  const bool in_hand = list.kind != EndpointListKind::failed && list.last && !groups_.empty();
  note(std::move(read));
  if (in_hand) {
    clients_.be_ready();
  }
}

void ProxyServer::send_ended(AttemptCompleted ended, std::string row) {
  if (ended.outcome == AttemptOutcome::acknowledged) {
    end_op(ended.request, std::move(row), "served");
  }
  ended.request_completed = !ops_.contains(ended.request);
  note(std::move(ended));
}

void ProxyServer::hear_signals() {
  signals_.async_wait([this](const asio::error_code& fault, int signal) {
    if (fault) {
      return;
    }
    if (signal == SIGHUP) {
      read_again();
    } else {
      log_.info("front", "drains", {{"signal", signal}});
      if (tier_) {
        tier_->leave();
      }
      clients_.drain();
    }
    hear_signals();
  });
}

// SIGHUP: the placement may have changed. A faulty one changes nothing; of a sound one, discovery's address.
void ProxyServer::read_again() {
  try {
    config::InstanceConfig read = config::read_instance_config(environment_, config::Reading::again);
    log_.info("front", "placement read again", {{"discovery", config::text_of(read.discovery)}});
    if (tier_) {
      peers_.learn(read.peers);
      tier_->listed(static_cast<int>(read.peers.size()));
      read.peers = config_.peers;
    }
    for (const std::string& key : config::keys_that_need_restart(config_, read)) {
      log_.warn("placement", "change waits for the next start", {{"key", key}});
    }
    list_.move(read.discovery);
  } catch (const std::exception& fault) {
    log_.warn("placement", "faulty, the old one stays", {{"why", fault.what()}});
  }
}

void ProxyServer::carry_out(const StartAttempt& decision) {
  const auto found = ops_.find(decision.request);
  if (found == ops_.end()) {
    return;  // noted as gone
  }
  Op& op = found->second;
  if (log_.writes(logging::LogLevel::debug)) {
    log_.debug("request", "attempt",
               {{"id", op.id},
                {"attempt", op.sends},
                {"member", decision.server.address},
                {"ms", clock_.now() - op.arrived}});
  }
  members_.start_attempt(decision.request, decision, settled_, {op.sends++}, op.text, op.remaining);
}
void ProxyServer::carry_out(const CancelAttempt& decision) {
  members_.cancel_attempt(decision.request, decision.attempt);
}
void ProxyServer::carry_out(const RejectRequest& decision) {
  const std::string come_back = decision.retry_after > 0 ? fmt::format("{:.0f}", decision.retry_after) : "";
  end_op(decision.request, postgres::error(postgres::Severity::error, "53300", "busy, try again", come_back),
         "refused");
}
void ProxyServer::carry_out(const FailRequest& decision) {
  end_op(decision.request,
         postgres::error(postgres::Severity::error, "58000", "no store has answered in time"),
         "no answer in time");
}
void ProxyServer::carry_out(const SetTimer& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] { note(TimerExpired{timer}); });
}
void ProxyServer::carry_out(const StartProbe& decision) { members_.probe(decision.server, decision.timeout); }
void ProxyServer::carry_out(const WatchEndpoints& /*unused*/) { list_.watch(); }
void ProxyServer::carry_out(const ForgetServer& decision) { members_.forget(decision.server); }
void ProxyServer::carry_out(const BroadcastToPeers& decision) { peers_.tell(decision.text); }
void ProxyServer::carry_out(const LogMessage& decision) { log_.info("decisions", decision.text); }

}  // namespace reedspindle::proxy
