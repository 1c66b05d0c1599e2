#include "discovery/client.hpp"

#include <fmt/format.h>
#include <http_parser.h>

#include <array>
#include <utility>

#include "settings/settings.hpp"

namespace reedspindle::discovery {
namespace {

using Tcp = asio::ip::tcp;

// Bytes read at once, about two hundred servers: it bounds the duration of a turn of the event loop.
constexpr std::size_t kReadBytes = 32 * 1024;
// Maximum number of servers delivered in one turn of the event loop.
constexpr std::size_t kRowsPerPart = 256;
// Memory per known server, counting this table, the connections to servers and the router; and the divisor
// that gives the part of the memory limit that all servers may take.
constexpr std::size_t kBytesPerServer = 1024, kMemoryDivisor = 2;
}  // namespace

struct Client::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  Tcp::socket socket;
  http_parser parser;
  std::string request;
  std::array<char, kReadBytes> bytes;
  std::size_t body_bytes = 0;
  std::string list_error;  // in the list that is being read; empty if none
  bool complete = false, closed = false;
  ListReader* reader = nullptr;  // while a response is being read

  // Passes the bytes of the body on to the list reader.
  static const http_parser_settings& settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        return static_cast<Connection*>(parser->data)->on_body({at, length});
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->complete = true;
        http_parser_pause(parser, 1);
        return 0;
      };
      return made;
    }();
    return settings;
  }

  int on_body(std::string_view body) {
    body_bytes += body.size();
    if (parser.status_code != 200) {
      return 0;
    }
    try {
      reader->read(body);
    } catch (const InvalidInput& error) {
      list_error = error.what();
      return 1;
    }
    return 0;
  }
};

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
      poller_(config.seed),
      table_(config.memory_bytes / kMemoryDivisor / kBytesPerServer) {}

Client::~Client() = default;

void Client::start() {
  start_wanted_ = delivered_kind_ == EndpointListKind::saved && table_.has_changes();
  if (start_wanted_) {
    return;
  }
  poller_.enqueue(StartPolling{});
  run_poller();
}

void Client::load_saved(net::EndpointList saved) {
  table_.begin_list();
  for (net::ListedEndpoint& row : saved.servers) {
    table_.add(std::move(row));
  }
  table_.end_list(true);
  applied_ = {saved.revision, true};
  delivered_kind_ = EndpointListKind::saved;
  deliver_part();
}

void Client::set_address(const Tcp::endpoint& discovery) {
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
  for (const PollDecision& decision : poller_.process(clock_.now())) {
    std::visit([this](const auto& each) { execute(each); }, decision);
  }
}

void Client::execute(const RequestWakeup& wakeup) {
  timers_.cancel(wakeup_);
  wakeup_ = timers_.set(wakeup.at, [this] {
    wakeup_.reset();
    // If the process was stalled, bytes from discovery may still wait in the kernel: the poll must not time
    // out then.
    asio::error_code error;
    if (poller_.poll_in_flight() && connection_ && connection_->socket.is_open() &&
        connection_->socket.available(error) > 0) {
      poller_.enqueue(BytesReceived{});
    }
    run_poller();
  });
}

void Client::execute(const AbortPoll& /*unused*/) { close(); }

void Client::execute(const ReportFailure& failure) {
  log_.warn("discovery", "endpoint list fetch failed, keeping known servers",
            {{"error", failure.error},
             {"consecutive_failures", failure.consecutive_failures},
             {"retry_in_ms", failure.retry_in}});
  on_list_({EndpointListKind::failed, poller_.revision(), {}, true});
}

void Client::execute(const SendPoll& poll) {
  const std::string path =
      poll.since ? fmt::format("/discovery/hosts?since={}&timeout_ms={:.0f}", *poll.since, poll.wait)
                 : "/discovery/hosts";
  log_.debug("discovery", "request sent", {{"path", path}, {"connection", connection_ ? "reused" : "new"}});
  const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                                          path, config::format_endpoint(discovery_));
  begin_list();
  if (connection_) {
    connection_->request = request;
    return write(connection_);
  }
  connection_ = std::make_shared<Connection>(io_);
  connection_->request = request;
  connection_->socket.async_connect(discovery_,
                                    [this, connection = connection_](const asio::error_code& error) {
                                      if (connection->closed) {
                                        return;
                                      }
                                      if (error) {
                                        return fail(error.message(), false);
                                      }
                                      write(connection);
                                    });
}

void Client::begin_list() {
  table_.begin_list();
  unmodified_list_ = {};
  reader_ = std::make_unique<ListReader>(
      config_.names,
      [this](net::ListedEndpoint row, const ListReader::Head& head) { add_row(std::move(row), head); });
}

void Client::add_row(net::ListedEndpoint row, const ListReader::Head& /*unused*/) {
  if (delivery_ == Delivery::per_list) {
    return unmodified_list_.servers.push_back(std::move(row));
  }
  if (std::optional<net::ListedEndpoint> change = table_.add(std::move(row))) {
    immediate_changes_.push_back(std::move(*change));
  }
}

void Client::write(const ConnectionPtr& connection) {
  connection->complete = false;
  connection->body_bytes = 0;
  connection->list_error.clear();
  connection->reader = reader_.get();
  http_parser_init(&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection.get();
  asio::async_write(connection->socket, asio::buffer(connection->request),
                    [this, connection](const asio::error_code& error, std::size_t) {
                      if (!connection->closed && error) {
                        fail(error.message(), false);
                      }
                    });
  read(connection);
}

void Client::read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(asio::buffer(connection->bytes),
                                     [this, connection](const asio::error_code& error, std::size_t count) {
                                       if (!connection->closed) {
                                         received(connection, error, count);
                                       }
                                     });
}

void Client::received(const ConnectionPtr& connection, const asio::error_code& error, std::size_t count) {
  // A response without a length ends with its connection; the parser is called with 0 bytes for that.
  if (error && error != asio::error::eof) {
    return fail(error.message(), false);
  }
  poller_.enqueue(BytesReceived{count});
  const std::size_t parsed = http_parser_execute(&connection->parser, &Connection::settings(),
                                                 connection->bytes.data(), error ? 0 : count);
  if (!immediate_changes_.empty()) {
    on_list_({EndpointListKind::changes, poller_.revision(), std::exchange(immediate_changes_, {}), false});
  }
  if (connection->closed) {
    return;
  }
  if (!connection->list_error.empty()) {
    return fail(connection->list_error, true);
  }
  if (connection->complete) {
    // Bytes behind the response belong to no request: the connection is closed so that they are not parsed as
    // the next response.
    if (error || parsed < count || !http_should_keep_alive(&connection->parser)) {
      asio::error_code ignored;
      connection->socket.close(ignored);
    }
    return response_completed(connection);
  }
  if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
    return fail(http_errno_description(HTTP_PARSER_ERRNO(&connection->parser)), false);
  }
  if (error) {
    return fail("discovery closed the connection", false);
  }
  run_poller();
  if (!connection->closed) {
    read(connection);
  }
}

void Client::response_completed(const ConnectionPtr& connection) {
  if (connection->parser.status_code != 200) {
    return fail(fmt::format("HTTP status {}, expected 200", static_cast<int>(connection->parser.status_code)),
                false);
  }
  try {
    const ListReader::Head head = reader_->finish();
    applied_ = {*head.revision, *head.complete};
  } catch (const InvalidInput& error) {
    return fail(error.what(), true);
  }
  http_parser_pause(&connection->parser, 0);
  if (!connection->socket.is_open()) {
    close();
  }
  log_.debug(
      "discovery", "endpoint list received",
      {{"revision", applied_.revision}, {"complete", applied_.complete}, {"bytes", connection->body_bytes}});
  // The changes are relative to another list than the known one: only draining, gone or restarted servers,
  // which were delivered while reading, are used.
  if (!applied_.complete && applied_.revision < poller_.revision()) {
    poller_.enqueue(applied_);
    return run_poller();
  }
  if (delivery_ == Delivery::per_list) {
    unmodified_list_.kind = applied_.complete ? EndpointListKind::complete : EndpointListKind::changes;
    unmodified_list_.revision = applied_.revision;
    poller_.enqueue(applied_);
    on_list_(std::exchange(unmodified_list_, {}));
    return run_poller();
  }
  poller_.enqueue(ResponseCompleted{});
  table_.end_list(applied_.complete);
  if (table_.skipped() > 0) {
    log_.warn("discovery", "servers skipped, memory limit reached",
              {{"skipped", table_.skipped()}, {"kept", table_.size()}});
  }
  delivered_kind_ = EndpointListKind::changes;
  deliver_part();
}

// Delivers one part of the list's changes in each turn of the event loop. The next poll follows the last
// part.
void Client::deliver_part() {
  std::vector<net::ListedEndpoint> rows = table_.next_changes(kRowsPerPart);
  const bool last = !table_.has_changes();
  on_list_({delivered_kind_, last ? applied_.revision : poller_.revision(), std::move(rows), last});
  if (!last) {
    asio::post(io_, [this] { deliver_part(); });
    return;
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

void Client::fail(std::string error, bool invalid_list) {
  poller_.enqueue(PollFailed{std::move(error), invalid_list});
  run_poller();
}

// Closes the connection. No other function releases it.
void Client::close() {
  if (!connection_) {
    return;
  }
  asio::error_code ignored;
  connection_->closed = true;
  connection_->socket.close(ignored);
  connection_.reset();
}

}  // namespace reedspindle::discovery
