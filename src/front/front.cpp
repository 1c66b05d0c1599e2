#include "front/front.hpp"

#include <csignal>
#include <ctime>
#include <utility>

#include "front/held_signals.hpp"

namespace reedspindle::front {
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

Front::Front(Environment environment, const Orders& orders)
    : environment_(std::move(environment)),
      placement_([&] {
        Placement placement = read_placement(environment_);
        placement.values.insert(orders.values.begin(), orders.values.end());
        saved_list_ = std::exchange(placement.known, {});
        return placement;
      }()),
      clock_(orders.clock_offset),
      log_(clock_),
      io_(1),
      timers_(io_, clock_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      router_(make_router(placement_.values, placement_.seed)),
      texts_(placement_.memory / 8),
      members_(
          io_, timers_, clock_, log_, placement_,
          [this](SendEnded ended, std::string row) { send_ended(std::move(ended), std::move(row)); },
          [this](ProbeEnded ended) { note(std::move(ended)); }),
      clients_(io_, timers_, clock_, log_, placement_, *this),
      list_(io_, timers_, clock_, log_, placement_, discovery::Client::Delivery::changes,
            [this](ServerList list) { list_read(std::move(list)); }),
      peers_(io_, log_, placement_, [this](int peer, std::string text) {
        noted_.push_back({PeerSpoke{peer, std::move(text)}});
        if (!gathered_)
          gathered_ = timers_.set(clock_.now() + kGatherWords, [this] {
            gathered_.reset();
            settle_wanted_ = true;
          });
      }) {
  log_.be(orders.log);
  if (orders.fleet)
    tier_.emplace(
        timers_, clock_, log_, placement_, *orders.fleet, peers_, members_,
        [this](AmongPeers among) { note(std::move(among)); },
        [this](ListRead read) { note(std::move(read)); }, [this] { return router_->view(); });
}

void Front::run() {
  clients_.listen();
  hear_signals();
  release_signals();
  if (!saved_list_.empty()) {
    try {
      list_.start_with(discovery::read_list(std::exchange(saved_list_, {}), placement_.catalogue));
    } catch (const std::exception& fault) {
      log_.warn("list", "saved list does not count", {{"why", fault.what()}});
    }
  }
  if (!placement_.list_is_asked) list_.watch();
  log_.info("front", "listens", {{"name", placement_.name}, {"at", text_of(placement_.listen)}});
  while (!clients_.finished()) {
    turns_.begin(clock_.now());
    if (!settle_wanted_) sleep();
    run_callbacks();
    if (settle_wanted_) settle();
    log_.flush();
    tell_turn();
  }
  log_.info("front", "stops, all it took is answered", {{"name", placement_.name}});
  clients_.stop();
  members_.stop();
  if (tier_) tier_->stop();
  peers_.stop();
  list_.stop();
}

// Until something comes, which is handled. The turn begins as the loop wakes, of which nothing tells but the
// processor time that the first callback takes.
void Front::sleep() {
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

void Front::run_callbacks() {
  if (turn_is_full_) return;
  Millis now = clock_.now();
  const Millis until = now + kTurnTime;
  if (arrivals_.marker_wanted()) {
    arrivals_.marker_sent(now);
    asio::post(io_, [this] { arrivals_.marker_returned(); });
  }
  for (int taken = 0; taken < kOfOneTurn && now < until && !turn_is_full_; ++taken) {
    const Millis before = now;
    if (io_.poll_one() == 0) return arrivals_.none_ready(before);
    now = clock_.now();
    turns_.callback_ended(now);
  }
}

// What is noted goes to the module at the end of the turn.
void Front::note(Event event) {
  noted_.push_back({std::move(event)});
  settle_wanted_ = true;
}

void Front::tell_turn() {
  const bool longest = turns_.end(clock_.now());
  const TurnGauge::Turn& turn = turns_.turn();
  if (turn.took >= TurnGauge::kHeldUp)
    log_.warn("turns", "turn held up",
              {{"ms", turn.took}, {"part", turn.part}, {"callback_ms", turn.longest_callback}});
  if (longest)
    log_.info("turns", "longest turn",
              {{"ms", turn.took}, {"part", turn.part}, {"callback_ms", turn.longest_callback}});
}

void Front::settle() {
  settle_wanted_ = turn_is_full_ = false;
  timers_.drop(gathered_);
  turns_.doing("tier");
  if (tier_) tier_->look();
  const Millis now = settled_ = clock_.now();
  for (Noted& noted : std::exchange(noted_, {})) {
    if (auto* arrived = std::get_if<OpArrived>(&noted.event)) {
      arrived->patience -= now - noted.arrived;
      // Guards against a clock that is behind the store's: a commit beyond it, or at it, is a token all the
      // same.
      if (noted.position > 0) arrived->token_age = now == noted.position ? kAtOnce : now - noted.position;
    }
    router_->note(noted.event);
  }
  turns_.doing("decisions");
  const std::vector<Decision> decisions = router_->settle(now);
  turns_.callback_ended(clock_.now());
  turns_.doing("carrying out");
  for (const Decision& decision : decisions)
    std::visit([this](const auto& taken) { carry_out(taken); }, decision);
  turns_.callback_ended(clock_.now());
}

std::optional<pgwire::Fault> Front::request_arrived(OpId id, std::string_view text,
                                                    const pgwire::Statement& statement) {
  const auto type = placement_.catalogue.op_types.find(statement.op_type);
  if (type == placement_.catalogue.op_types.end())
    return pgwire::Fault{"22023", "c names no op type: " + std::string(statement.op_type)};
  if (type->second.writes != statement.writes)
    return pgwire::Fault{"22023", "c does not go with that kind of statement"};
  if (type->second.tokened == statement.token.empty())
    return pgwire::Fault{"22023", type->second.tokened ? "k is missing" : "k does not go with c"};
  if (groups_.empty()) return pgwire::Fault{"57P03", "no store is known yet"};
  if (!groups_.contains(GroupId{statement.group})) return pgwire::Fault{"22023", "cluster names no group"};
  if (ids_.contains(statement.id)) return pgwire::Fault{"22023", "id is that of an open op"};
  if (ops_.size() >= placement_.open_ops || !texts_.take(text.size()))
    return pgwire::Fault{"53300", "too many ops are open"};
  OpArrived arrived;
  arrived.op = id;
  arrived.type = type->second.id;
  arrived.group = {statement.group};
  arrived.session = statement.key;
  arrived.patience = statement.patience;
  arrived.repeat = statement.repeat;
  // A request that waited in the kernel while the front was busy or held up has that much less time left.
  const Millis came = arrivals_.earliest(clock_.now());
  noted_.push_back({std::move(arrived), came, statement.position});
  settle_wanted_ = true;
  ops_[id] = {std::make_shared<const std::string>(text), std::string(statement.id), statement.patience_place,
              0, came};
  ids_.emplace(statement.id);
  return std::nullopt;
}

void Front::request_abandoned(OpId id) {
  note(OpGone{id});
  end_op(id, "", "its client left");
}

// Ops are given back here and nowhere else. What is not written of one yet never will be.
void Front::end_op(OpId id, std::string answer, std::string_view why) {
  const auto found = ops_.find(id);
  if (found == ops_.end()) return;
  if (log_.writes(LogLevel::debug))
    log_.debug("request", "ended",
               {{"id", found->second.id},
                {"why", why},
                {"attempts", found->second.sends},
                {"ms", clock_.now() - found->second.arrived}});
  ids_.erase(found->second.id);
  texts_.give(found->second.text->size());
  ops_.erase(found);
  if (!answer.empty()) clients_.answer(id, std::move(answer));
  members_.forget(id);
}

void Front::list_read(ServerList list) {
  turns_.doing("list");
  turn_is_full_ = !list.servers.empty();
  members_.learn(list);
  if (tier_) tier_->list_read(list);
  // What was saved is handed on in parts, like any other list: to the module they are changes.
  ListRead read{list.kind == ListKind::failed ? ListKind::failed : ListKind::changes, {}};
  for (ListedServer& server : list.servers) {
    groups_.insert(server.entry.group);
    read.members.push_back(std::move(server.entry));
  }
  const bool in_hand = list.kind != ListKind::failed && list.last && !groups_.empty();
  note(std::move(read));
  if (in_hand) clients_.be_ready();
}

void Front::send_ended(SendEnded ended, std::string row) {
  if (ended.ending == Ending::acked) end_op(ended.op, std::move(row), "served");
  ended.op_ended = !ops_.contains(ended.op);
  note(std::move(ended));
}

void Front::hear_signals() {
  signals_.async_wait([this](const asio::error_code& fault, int signal) {
    if (fault) return;
    if (signal == SIGHUP) {
      read_again();
    } else {
      log_.info("front", "drains", {{"signal", signal}});
      if (tier_) tier_->leave();
      clients_.drain();
    }
    hear_signals();
  });
}

// SIGHUP: the placement may have changed. A faulty one changes nothing; of a sound one, discovery's address.
void Front::read_again() {
  try {
    Placement read = read_placement(environment_, Reading::again);
    log_.info("front", "placement read again", {{"discovery", text_of(read.discovery)}});
    if (tier_) {
      peers_.learn(read.peers);
      tier_->listed(static_cast<int>(read.peers.size()));
      read.peers = placement_.peers;
    }
    for (const std::string& key : kept_until_restart(placement_, read))
      log_.warn("placement", "change waits for the next start", {{"key", key}});
    list_.move(read.discovery);
  } catch (const std::exception& fault) {
    log_.warn("placement", "faulty, the old one stays", {{"why", fault.what()}});
  }
}

void Front::carry_out(const Send& decision) {
  const auto found = ops_.find(decision.op);
  if (found == ops_.end()) return;  // noted as gone
  Op& op = found->second;
  if (log_.writes(LogLevel::debug))
    log_.debug("request", "attempt",
               {{"id", op.id},
                {"attempt", op.sends},
                {"member", decision.member.address},
                {"ms", clock_.now() - op.arrived}});
  members_.send(decision.op, decision, settled_, {op.sends++}, op.text, op.patience);
}
void Front::carry_out(const CallOff& decision) { members_.call_off(decision.op, decision.send); }
void Front::carry_out(const BusyReply& decision) {
  const std::string come_back = decision.come_back > 0 ? fmt::format("{:.0f}", decision.come_back) : "";
  end_op(decision.op, pgwire::error(pgwire::Severity::error, "53300", "busy, try again", come_back),
         "refused");
}
void Front::carry_out(const ErrorReply& decision) {
  end_op(decision.op, pgwire::error(pgwire::Severity::error, "58000", "no store has answered in time"),
         "no answer in time");
}
void Front::carry_out(const Wake& decision) {
  timers_.set(decision.at, [this, timer = decision.timer] { note(TimerDue{timer}); });
}
void Front::carry_out(const Probe& decision) { members_.probe(decision.member, decision.time_out); }
void Front::carry_out(const WatchList&) { list_.watch(); }
void Front::carry_out(const Forget& decision) { members_.forget(decision.member); }
void Front::carry_out(const TellPeers& decision) { peers_.tell(decision.text); }
void Front::carry_out(const LogLine& decision) { log_.info("decisions", decision.text); }

}  // namespace reedspindle::front
