#include <fmt/format.h>
#include <http_parser.h>

#include <array>
#include <utility>

#include "discovery/client.hpp"
#include "settings/settings.hpp"

namespace reedspindle::discovery {
namespace {

using Tcp = asio::ip::tcp;

// Read at once, so that a turn of the loop stays short: some two hundred servers.
constexpr std::size_t kReadAtOnce = 32 * 1024;
// Servers of a list that has been read, handed on in one turn of the loop.
constexpr std::size_t kRowsOfPart = 256;
// What a known server takes here, in the links to servers and in the decision module, and the part of the
// memory that all of them may take.
constexpr std::size_t kBytesOfServer = 1024, kPartOfMemory = 2;
}  // namespace

struct Client::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  Tcp::socket socket;
  http_parser parser;
  std::string request;
  std::array<char, kReadAtOnce> bytes;
  std::size_t body_bytes = 0;
  std::string fault;  // of the list that is being read, empty: none
  bool whole = false, closed = false;
  ListReader* reader = nullptr;  // while an answer is read

  // Bytes of the body go straight into the list's reader.
  static const http_parser_settings& settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        return static_cast<Connection*>(parser->data)->take({at, length});
      };
      made.on_message_complete = [](http_parser* parser) {
        static_cast<Connection*>(parser->data)->whole = true;
        http_parser_pause(parser, 1);
        return 0;
      };
      return made;
    }();
    return settings;
  }

  int take(std::string_view body) {
    body_bytes += body.size();
    if (parser.status_code != 200) {
      return 0;
    }
    try {
      reader->read(body);
    } catch (const InvalidInput& malformed) {
      fault = malformed.what();
      return 1;
    }
    return 0;
  }
};

Client::Client(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
               const config::InstanceConfig& config, Delivery delivery, ListCallback told)
    : io_(io),
      timers_(timers),
      clock_(clock),
      log_(log),
      config_(config),
      delivery_(delivery),
      told_(std::move(told)),
      discovery_(config.discovery),
      poller_(config.seed),
      table_(config.memory_bytes / kPartOfMemory / kBytesOfServer) {}

Client::~Client() = default;

void Client::start() {
  watch_wanted_ = handing_on_ == EndpointListKind::saved && table_.has_changes();
  if (watch_wanted_) {
    return;
  }
  poller_.enqueue(StartPolling{});
  settle();
}

void Client::load_saved(net::EndpointList saved) {
  table_.begin_list();
  for (net::ListedEndpoint& row : saved.servers) {
    table_.add(std::move(row));
  }
  table_.end_list(true);
  taken_ = {saved.revision, true};
  handing_on_ = EndpointListKind::saved;
  hand_on_part();
}

void Client::set_address(const Tcp::endpoint& discovery) {
  if (discovery == discovery_) {
    return;
  }
  discovery_ = discovery;
  poller_.enqueue(AddressChanged{});
  settle();
}

void Client::request_full_list() {
  poller_.enqueue(FullListRequested{});
  settle();
}

void Client::stop() {
  poller_.enqueue(StopPolling{});
  settle();
  timers_.cancel(wake_);
}

void Client::settle() {
  for (const PollDecision& decision : poller_.process(clock_.now())) {
    std::visit([this](const auto& one) { carry_out(one); }, decision);
  }
}

void Client::carry_out(const RequestWakeup& wake) {
  timers_.cancel(wake_);
  wake_ = timers_.set(wake.at, [this] {
    wake_.reset();
    // Guards against calling a discovery silent whose bytes wait in the kernel, where the process was held
    // up.
    asio::error_code fault;
    if (poller_.poll_in_flight() && connection_ && connection_->socket.is_open() &&
        connection_->socket.available(fault) > 0) {
      poller_.enqueue(BytesReceived{});
    }
    settle();
  });
}

void Client::carry_out(const AbortPoll& /*unused*/) { close(); }

void Client::carry_out(const ReportFailure& failure) {
  log_.warn("list", "no answer, what is known stays",
            {{"why", failure.why},
             {"consecutive_failures", failure.consecutive_failures},
             {"next_in_ms", failure.retry_in}});
  told_({EndpointListKind::failed, poller_.revision(), {}, true});
}

void Client::carry_out(const SendPoll& call) {
  const std::string path =
      call.since ? fmt::format("/discovery/hosts?since={}&timeout_ms={:.0f}", *call.since, call.wait)
                 : "/discovery/hosts";
  log_.debug("list", "call", {{"path", path}, {"connection", connection_ ? "kept" : "new"}});
  const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                                          path, config::format_endpoint(discovery_));
  begin_list();
  if (connection_) {
    connection_->request = request;
    return write(connection_);
  }
  connection_ = std::make_shared<Connection>(io_);
  connection_->request = request;
  connection_->socket.async_connect(discovery_, [this, held = connection_](const asio::error_code& fault) {
    if (held->closed) {
      return;
    }
    if (fault) {
      return fail(fault.message(), false);
    }
    write(held);
  });
}

void Client::begin_list() {
  table_.begin_list();
  as_read_ = {};
  reader_ = std::make_unique<ListReader>(
      config_.names,
      [this](net::ListedEndpoint row, const ListReader::Head& head) { take_row(std::move(row), head); });
}

void Client::take_row(net::ListedEndpoint row, const ListReader::Head& /*unused*/) {
  if (delivery_ == Delivery::per_list) {
    return as_read_.servers.push_back(std::move(row));
  }
  if (std::optional<net::ListedEndpoint> now = table_.add(std::move(row))) {
    at_once_.push_back(std::move(*now));
  }
}

void Client::write(const Connected& connection) {
  connection->whole = false;
  connection->body_bytes = 0;
  connection->fault.clear();
  connection->reader = reader_.get();
  http_parser_init(&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection.get();
  asio::async_write(connection->socket, asio::buffer(connection->request),
                    [this, connection](const asio::error_code& fault, std::size_t) {
                      if (!connection->closed && fault) {
                        fail(fault.message(), false);
                      }
                    });
  read(connection);
}

void Client::read(const Connected& connection) {
  connection->socket.async_read_some(asio::buffer(connection->bytes),
                                     [this, connection](const asio::error_code& fault, std::size_t count) {
                                       if (!connection->closed) {
                                         received(connection, fault, count);
                                       }
                                     });
}

void Client::received(const Connected& connection, const asio::error_code& fault, std::size_t count) {
  // An answer without a length ends with its connection, which the parser is told as no bytes.
  if (fault && fault != asio::error::eof) {
    return fail(fault.message(), false);
  }
  poller_.enqueue(BytesReceived{count});
  const std::size_t parsed = http_parser_execute(&connection->parser, &Connection::settings(),
                                                 connection->bytes.data(), fault ? 0 : count);
  if (!at_once_.empty()) {
    told_({EndpointListKind::changes, poller_.revision(), std::exchange(at_once_, {}), false});
  }
  if (connection->closed) {
    return;
  }
  if (!connection->fault.empty()) {
    return fail(connection->fault, true);
  }
  if (connection->whole) {
    // What stands behind the answer belongs to none that was asked for: it must not be taken for the next
    // one.
    if (fault || parsed < count || !http_should_keep_alive(&connection->parser)) {
      asio::error_code ignored;
      connection->socket.close(ignored);
    }
    return answered(connection);
  }
  if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
    return fail(http_errno_description(HTTP_PARSER_ERRNO(&connection->parser)), false);
  }
  if (fault) {
    return fail("discovery ended the connection", false);
  }
  settle();
  if (!connection->closed) {
    read(connection);
  }
}

void Client::answered(const Connected& connection) {
  if (connection->parser.status_code != 200) {
    return fail(fmt::format("status {}", static_cast<int>(connection->parser.status_code)), false);
  }
  try {
    const ListReader::Head head = reader_->finish();
    taken_ = {*head.revision, *head.whole};
  } catch (const InvalidInput& malformed) {
    return fail(malformed.what(), true);
  }
  http_parser_pause(&connection->parser, 0);
  if (!connection->socket.is_open()) {
    close();
  }
  log_.debug("list", "answer",
             {{"revision", taken_.revision}, {"whole", taken_.whole}, {"bytes", connection->body_bytes}});
  // Of changes to another list than the one that is held nothing counts but what drains.
  if (!taken_.whole && taken_.revision < poller_.revision()) {
    poller_.enqueue(taken_);
    return settle();
  }
  if (delivery_ == Delivery::per_list) {
    as_read_.kind = taken_.whole ? EndpointListKind::complete : EndpointListKind::changes;
    as_read_.revision = taken_.revision;
    poller_.enqueue(taken_);
    told_(std::exchange(as_read_, {}));
    return settle();
  }
  poller_.enqueue(ResponseCompleted{});
  table_.end_list(taken_.whole);
  if (table_.skipped() > 0) {
    log_.warn("list", "servers left out for want of memory",
              {{"servers", table_.skipped()}, {"kept", table_.size()}});
  }
  handing_on_ = EndpointListKind::changes;
  hand_on_part();
}

// A part of what the list has changed each turn of the loop; then the next call.
void Client::hand_on_part() {
  std::vector<net::ListedEndpoint> rows = table_.next_changes(kRowsOfPart);
  const bool last = !table_.has_changes();
  told_({handing_on_, last ? taken_.revision : poller_.revision(), std::move(rows), last});
  if (!last) {
    asio::post(io_, [this] { hand_on_part(); });
    return;
  }
  if (handing_on_ == EndpointListKind::saved) {
    if (std::exchange(watch_wanted_, false)) {
      start();
    }
    return;
  }
  poller_.enqueue(taken_);
  settle();
}

void Client::fail(std::string why, bool spoilt) {
  poller_.enqueue(PollFailed{std::move(why), spoilt});
  settle();
}

// The connection to discovery is given back here and nowhere else.
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
