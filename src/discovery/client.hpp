// Carries calls to discovery over HTTP/1.1 and hands on what its lists say. When to call, and when to give a
// call up, is decided by Poller; what a list changes, by ServerTable. Silence takes nothing away from what is
// known.
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
  // How lists are handed on: as what they change, in short parts, what drains at once; or each list as it was
  // read, whole at a time.
  enum class Delivery { changes, per_list };
  using ListCallback = std::function<void(net::EndpointList)>;

  Client(asio::io_context& io, net::Timers& timers, const net::Clock& clock, logging::Log& log,
         const config::InstanceConfig& config, Delivery delivery, ListCallback told);
  ~Client();

  // Calls begin, and go on by themselves.
  void start();
  // What was known before the start is handed on like a list, of the kind saved.
  void load_saved(net::EndpointList saved);
  // TestDiscovery is at another address from now on. What is known stays until its whole list comes.
  void set_address(const asio::ip::tcp::endpoint& discovery);
  // What is known is in doubt: the whole list, now.
  void request_full_list();
  void stop();

 private:
  struct Connection;
  using Connected = std::shared_ptr<Connection>;

  void settle();
  void carry_out(const SendPoll& call);
  void carry_out(const AbortPoll& decision);
  void carry_out(const ReportFailure& failure);
  void carry_out(const RequestWakeup& wake);

  void write(const Connected& connection);
  void read(const Connected& connection);
  void received(const Connected& connection, const asio::error_code& fault, std::size_t count);
  void begin_list();
  void take_row(net::ListedEndpoint row, const ListReader::Head& head);
  void answered(const Connected& connection);
  void hand_on_part();
  void fail(std::string why, bool spoilt);
  void close();

  asio::io_context& io_;
  net::Timers& timers_;
  const net::Clock& clock_;
  logging::Log& log_;
  const config::InstanceConfig& config_;
  const Delivery delivery_;
  const ListCallback told_;
  asio::ip::tcp::endpoint discovery_;
  Poller poller_;
  ServerTable table_;
  std::unique_ptr<ListReader> reader_;
  net::EndpointList as_read_;  // with that delivery
  std::vector<net::ListedEndpoint>
      at_once_;        // rows of the bytes read last that count before their list has ended
  ListApplied taken_;  // of the list whose changes are being handed on
  EndpointListKind handing_on_ = EndpointListKind::changes;
  bool watch_wanted_ = false;  // once the saved list has been handed on
  Connected connection_;       // the one owner of the connection to discovery
  std::optional<net::Timers::Handle> wake_;
};

}  // namespace reedspindle::discovery
