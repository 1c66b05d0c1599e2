// Polls discovery over HTTP/1.1 and delivers what its endpoint lists say. Poller decides when to poll, when
// to abort a poll and which list counts; ServerTable determines what a list changes. While discovery does not
// answer, all known servers are kept.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/instance_config.hpp"
#include "discovery/http_connection.hpp"
#include "discovery/list_reader.hpp"
#include "discovery/poller.hpp"
#include "discovery/server_table.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"

namespace reedspindle::discovery {

class Client : public HttpResponseHandler {
 public:
  // How lists are delivered. changes: as what each list changes, in short parts, and servers that are
  // draining, gone or restarted at once. per_list: each list unmodified, in one piece.
  enum class Delivery { changes, per_list };
  // Called for each delivery; also, with kind failed and no servers, after each failed poll.
  using ListCallback = std::function<void(net::EndpointList)>;

  Client(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
         const config::InstanceConfig& config, Delivery delivery, ListCallback on_list);
  ~Client() override;

  // Starts polling, which then continues by itself. If a saved list is still being delivered, polling starts
  // after it.
  void start();
  // Delivers a list that was saved before the start, with kind saved.
  void load_saved(net::EndpointList saved);
  // Sets the address of discovery. The known servers stay until the full list from there has been read.
  void set_address(const asio::ip::tcp::endpoint& discovery);
  // Requests the full list at once, since the known one may be wrong.
  void request_full_list();
  void stop();

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  // A poll in flight, and what has been read of its list.
  struct ActivePoll {
    PollId id;
    ConnectionPtr connection;
    Millis sent_at = 0;
    DraftId draft;
    std::unique_ptr<ListReader> reader;
    net::EndpointList unmodified_list;  // with Delivery::per_list
    // Changes in the bytes read last that are delivered before the list ends.
    std::vector<net::ListedEndpoint> early_changes;
    long long early_revision = 0;
  };

  void bytes_received(HttpConnection& connection, std::size_t bytes) override;
  void body_received(HttpConnection& connection, std::string_view part) override;
  void part_read(HttpConnection& connection, bool goes_on) override;
  void response_completed(HttpConnection& connection, int status) override;
  void request_failed(HttpConnection& connection, const std::string& error, bool invalid_body) override;

  void run_poller();
  void execute(const SendPoll& poll);
  void execute(const AbortPoll& decision);
  void execute(const AbortAllPolls& decision);
  void execute(const ReportFailure& failure);
  void execute(const ReportRecovery& recovery);
  void execute(const RequestWakeup& wakeup);
  void note_unread_bytes();

  void add_row(ActivePoll& poll, net::ListedEndpoint row, const ListReader::Head& head);
  void use_list(ActivePoll& poll, const ListReader::Head& head);
  void end_poll(const ActivePoll& poll);
  void log_list(const ActivePoll& poll, const ListReader::Head& head);
  void begin_delivery(const ListApplied& list, EndpointListKind kind);
  void deliver_part();
  void end_delivery();
  // Returns null if there is no poll on the connection.
  ActivePoll* find_poll(const HttpConnection& connection);
  void remove_poll(PollId id);

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  const Delivery delivery_;
  const ListCallback on_list_;
  asio::ip::tcp::endpoint discovery_;
  Poller poller_;
  ServerTable table_;
  std::vector<std::unique_ptr<ActivePoll>> polls_;  // at most kMaxPolls
  ConnectionPtr idle_connection_;
  ListApplied applied_;  // the list whose changes are being delivered
  EndpointListKind delivered_kind_ = EndpointListKind::changes;
  bool start_wanted_ = false;  // polling starts once the saved list has been delivered
  std::optional<net::Timers::Handle> wakeup_;
};

}  // namespace reedspindle::discovery
