#include "discovery/client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <utility>
#include <variant>

#include "routing/settings_reader.hpp"
#include "settings/settings.hpp"

namespace reedspindle::discovery {
namespace {

// Maximum number of servers delivered in one turn of the event loop.
constexpr std::size_t kRowsPerPart = 256;
// Memory per known server, counting this table, the connections to servers and the router; and the divisor
// that gives the part of the memory limit that all servers may take.
constexpr std::size_t kBytesPerServer = 1024, kMemoryDivisor = 2;

Millis drain_grace_of(const Settings& settings) {
  return SettingsReader(settings).number("rule.drain_grace", kDefaultDrainGrace);
}

PollTiming timing_of(const config::InstanceConfig& config) {
  return config.polls_endpoints ? polled_timing() : pushed_timing(drain_grace_of(config.router_settings));
}

// Each poll in flight has a list that is being read.
static_assert(kMaxPolls <= ServerTable::kMaxDrafts);

}  // namespace

Client::Client(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
               const config::InstanceConfig& config, Delivery delivery, ListCallback on_list)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      config_(config),
      delivery_(delivery),
      on_list_(std::move(on_list)),
      discovery_(config.discovery),
      poller_(config.seed, timing_of(config)),
      table_(config.memory_bytes / kMemoryDivisor / kBytesPerServer) {}

Client::~Client() = default;

void Client::start() {
  start_wanted_ = delivered_kind_ == EndpointListKind::saved && table_.has_changes();
  if (start_wanted_) {
    return;
  }
  if (!poller_.timing().meets_budget) {
    log_.warn("discovery", "grace for draining servers too short, drains may be known too late",
              {{"drain_grace_ms", drain_grace_of(config_.router_settings)}});
  }
  poller_.enqueue(StartPolling{});
  run_poller();
}

void Client::load_saved(net::EndpointList saved) {
  const DraftId draft = table_.begin_list();
  for (net::ListedEndpoint& row : saved.servers) {
    table_.add(draft, std::move(row));
  }
  table_.end_list(draft, true);
  begin_delivery({{}, saved.revision, true}, EndpointListKind::saved);
}

void Client::set_address(const asio::ip::tcp::endpoint& discovery) {
  if (discovery == discovery_) {
    return;
  }
  discovery_ = discovery;
  poller_.enqueue(AddressChanged{});
  run_poller();
}

void Client::request_full_list() {
  poller_.enqueue(FullListRequested{});
  run_poller();
}

void Client::stop() {
  poller_.enqueue(StopPolling{});
  run_poller();
  timers_.cancel(wakeup_);
}

void Client::run_poller() {
  note_unread_bytes();
  for (const PollDecision& decision : poller_.process(clock_.now())) {
    std::visit([this](const auto& each) { execute(each); }, decision);
  }
}

void Client::execute(const RequestWakeup& wakeup) {
  timers_.cancel(wakeup_);
  wakeup_ = timers_.set(wakeup.at, [this] {
    wakeup_.reset();
    run_poller();
  });
}

// If the process was stalled, bytes from discovery may still wait in the kernel: the poll must not time out
// then.
void Client::note_unread_bytes() {
  for (const auto& poll : polls_) {
    if (poll->connection->has_unread_bytes()) {
      poller_.enqueue(BytesReceived{poll->id});
    }
  }
}

void Client::execute(const AbortPoll& decision) { remove_poll(decision.id); }

void Client::execute(const AbortAllPolls& /*unused*/) {
  while (!polls_.empty()) {
    remove_poll(polls_.front()->id);
  }
  if (idle_connection_) {
    std::exchange(idle_connection_, nullptr)->close();
  }
}

// Each failure of a long outage would be a line: only those whose number is a power of two are.
void Client::execute(const ReportFailure& failure) {
  if (std::has_single_bit(static_cast<unsigned>(failure.consecutive_failures))) {
    log_.warn("discovery", "endpoint list fetch failed, keeping known servers",
              {{"error", failure.error},
               {"consecutive_failures", failure.consecutive_failures},
               {"retry_in_ms", failure.retry_in},
               {"unanswered_for_ms", failure.unanswered_for}});
  }
  on_list_({EndpointListKind::failed, poller_.revision(), {}, true});
}

void Client::execute(const ReportRecovery& recovery) {
  log_.info("discovery_outage", "discovery answers again",
            {{"failures", recovery.failures}, {"unanswered_for_ms", recovery.unanswered_for}});
}

void Client::execute(const SendPoll& poll) {
  const std::string path =
      poll.since ? fmt::format("/discovery/hosts?since={}&timeout_ms={:.0f}", *poll.since, poll.wait)
                 : "/discovery/hosts";
  if (idle_connection_ && !idle_connection_->reusable()) {
    std::exchange(idle_connection_, nullptr)->close();
  }
  log_.debug("discovery", "request sent",
             {{"path", path}, {"connection", idle_connection_ ? "reused" : "new"}});
  auto active = std::make_unique<ActivePoll>();
  active->id = poll.id;
  active->sent_at = clock_.now();
  active->draft = table_.begin_list();
  active->reader = std::make_unique<ListReader>(
      config_.names, [this, added = active.get()](net::ListedEndpoint row, const ListReader::Head& head) {
        add_row(*added, std::move(row), head);
      });
  active->connection = idle_connection_ ? std::exchange(idle_connection_, nullptr)
                                        : std::make_shared<HttpConnection>(io_, *this);
  polls_.push_back(std::move(active));
  polls_.back()->connection->send(
      discovery_, fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path,
                              config::format_endpoint(discovery_)));
}

Client::ActivePoll* Client::find_poll(const HttpConnection& connection) {
  const auto found =
      std::ranges::find(polls_, &connection, [](const auto& poll) { return poll->connection.get(); });
  return found == polls_.end() ? nullptr : found->get();
}

void Client::add_row(ActivePoll& poll, net::ListedEndpoint row, const ListReader::Head& head) {
  if (delivery_ == Delivery::per_list) {
    return poll.unmodified_list.servers.push_back(std::move(row));
  }
  const bool early = poller_.may_apply_early(poll.id, head.revision);
  if (auto change =
          table_.add(poll.draft, std::move(row), early ? EarlyChanges::allowed : EarlyChanges::forbidden)) {
    poll.early_changes.push_back(std::move(*change));
    poll.early_revision = head.revision.value_or(poller_.revision());
  }
}

void Client::bytes_received(HttpConnection& connection, std::size_t bytes) {
  poller_.enqueue(BytesReceived{find_poll(connection)->id, bytes});
}

void Client::body_received(HttpConnection& connection, std::string_view part) {
  find_poll(connection)->reader->read(part);
}

void Client::part_read(HttpConnection& connection, bool goes_on) {
  ActivePoll& poll = *find_poll(connection);
  if (!poll.early_changes.empty()) {
    poller_.enqueue(EarlyChangesApplied{poll.id, poll.early_revision});
    on_list_({EndpointListKind::changes, poller_.revision(), std::exchange(poll.early_changes, {}), false,
              poll.early_revision});
  }
  if (goes_on) {
    run_poller();
  }
}

void Client::response_completed(HttpConnection& connection, int status) {
  if (status != HttpConnection::kStatusOk) {
    return request_failed(connection, fmt::format("HTTP status {}, expected 200", status), false);
  }
  ActivePoll& poll = *find_poll(connection);
  ListReader::Head head;
  try {
    head = poll.reader->finish();
  } catch (const InvalidInput& error) {
    return request_failed(connection, error.what(), true);
  }
  use_list(poll, head);
}

void Client::use_list(ActivePoll& poll, const ListReader::Head& head) {
  const ListApplied list{poll.id, *head.revision, *head.complete};
  log_list(poll, head);
  if (poller_.is_outdated(poll.id, list.revision)) {
    end_poll(poll);
    poller_.enqueue(ListDiscarded{list.poll});
    return run_poller();
  }
  // The changes are relative to another list than the known one: only draining, gone or restarted servers,
  // which were delivered while reading, are used.
  if (!list.complete && list.revision < poller_.revision()) {
    end_poll(poll);
    poller_.enqueue(list);
    return run_poller();
  }
  if (delivery_ == Delivery::per_list) {
    net::EndpointList unmodified = std::move(poll.unmodified_list);
    unmodified.kind = list.complete ? EndpointListKind::complete : EndpointListKind::changes;
    unmodified.revision = list.revision;
    end_poll(poll);
    poller_.enqueue(list);
    on_list_(std::move(unmodified));
    return run_poller();
  }
  poller_.enqueue(ResponseCompleted{list.poll});
  table_.end_list(poll.draft, list.complete);
  if (const std::size_t skipped = table_.skipped(poll.draft); skipped > 0) {
    log_.warn("discovery", "servers skipped, memory limit reached",
              {{"skipped", skipped}, {"kept", table_.size()}});
  }
  end_poll(poll);
  begin_delivery(list, EndpointListKind::changes);
}

void Client::log_list(const ActivePoll& poll, const ListReader::Head& head) {
  const bool news = *head.complete || *head.revision != poller_.revision();
  if (!news && !log_.enabled(logging::LogLevel::debug)) {
    return;
  }
  const logging::Log::Fields fields{{"revision", *head.revision},
                                    {"complete", *head.complete},
                                    {"bytes", poll.connection->body_bytes()},
                                    {"polled_for_ms", clock_.now() - poll.sent_at}};
  if (news) {
    log_.info("endpoint_list", "endpoint list received", fields);
  } else {
    log_.debug("endpoint_list", "endpoint list received", fields);
  }
}

// Ends a poll whose response is complete. Its connection serves the next poll.
void Client::end_poll(const ActivePoll& poll) {
  const ConnectionPtr connection = poll.connection;
  table_.discard(poll.draft);
  std::erase_if(polls_, [&poll](const auto& each) { return each.get() == &poll; });
  if (connection->is_open() && !idle_connection_) {
    idle_connection_ = connection;
  } else {
    connection->close();
  }
}

void Client::remove_poll(PollId id) {
  const auto found = std::ranges::find(polls_, id, [](const auto& poll) { return poll->id; });
  if (found == polls_.end()) {
    return;
  }
  (*found)->connection->close();
  table_.discard((*found)->draft);
  polls_.erase(found);
}

void Client::request_failed(HttpConnection& connection, const std::string& error, bool invalid_body) {
  // An idle connection may fail, too.
  if (const ActivePoll* poll = find_poll(connection)) {
    poller_.enqueue(PollFailed{poll->id, error, invalid_body});
    run_poller();
  }
}

// Another list that arrives meanwhile waits in the kernel.
void Client::begin_delivery(const ListApplied& list, EndpointListKind kind) {
  applied_ = list;
  delivered_kind_ = kind;
  for (const auto& poll : polls_) {
    poll->connection->pause_reading();
  }
  deliver_part();
}

// Delivers one part of the list's changes in each turn of the event loop. The next poll follows the last
// part.
void Client::deliver_part() {
  std::vector<net::ListedEndpoint> rows = table_.next_changes(kRowsPerPart);
  const bool last = !table_.has_changes();
  on_list_({delivered_kind_, last ? applied_.revision : poller_.revision(), std::move(rows), last,
            applied_.revision});
  if (last) {
    end_delivery();
  } else {
    asio::post(io_, [this] { deliver_part(); });
  }
}

void Client::end_delivery() {
  for (const auto& poll : polls_) {
    poll->connection->resume_reading();
  }
  if (delivered_kind_ == EndpointListKind::saved) {
    if (std::exchange(start_wanted_, false)) {
      start();
    }
    return;
  }
  poller_.enqueue(applied_);
  run_poller();
}

}  // namespace reedspindle::discovery
