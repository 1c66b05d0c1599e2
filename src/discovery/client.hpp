// Polls discovery over HTTP/1.1 and delivers what its endpoint lists say. Poller decides when to poll and
// when to abort a poll; ServerTable determines what a list changes. While discovery does not answer, all
// known servers are kept.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "config/instance_config.hpp"
#include "discovery/list_reader.hpp"
#include "discovery/poller.hpp"
#include "discovery/server_table.hpp"
#include "logging/log.hpp"
#include "net/clock.hpp"

namespace reedspindle::discovery {

class Client {
 public:
  // How lists are delivered. changes: as what each list changes, in short parts, and servers that are
  // draining, gone or restarted at once. per_list: each list unmodified, in one piece.
  enum class Delivery { changes, per_list };
  // Called for each delivery; also, with kind failed and no servers, after each failed poll.
  using ListCallback = std::function<void(net::EndpointList)>;

  Client(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
         const config::InstanceConfig& config, Delivery delivery, ListCallback on_list);
  ~Client();

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
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void run_poller();
  void execute(const SendPoll& poll);
  void execute(const AbortPoll& decision);
  void execute(const ReportFailure& failure);
  void execute(const RequestWakeup& wakeup);

  void write(const ConnectionPtr& connection);
  void read(const ConnectionPtr& connection);
  void received(const ConnectionPtr& connection, const asio::error_code& error, std::size_t count);
  void begin_list();
  void add_row(net::ListedEndpoint row, const ListReader::Head& head);
  void response_completed(const ConnectionPtr& connection);
  void deliver_part();
  void fail(std::string error, bool invalid_list);
  void close();

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
  std::unique_ptr<ListReader> reader_;
  net::EndpointList unmodified_list_;  // with Delivery::per_list
  // Changes in the bytes read last that are delivered before the list ends.
  std::vector<net::ListedEndpoint> immediate_changes_;
  ListApplied applied_;  // the list whose changes are being delivered
  EndpointListKind delivered_kind_ = EndpointListKind::changes;
  bool start_wanted_ = false;  // polling starts once the saved list has been delivered
  ConnectionPtr connection_;   // the only owner of the connection to discovery
  std::optional<net::Timers::Handle> wakeup_;
};

}  // namespace reedspindle::discovery
