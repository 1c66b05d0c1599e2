// Many clients of the proxy that do the same at once.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <sstream>
#include <string>

#include "proxy_test/peers.hpp"

namespace proxy_test {

// Owns the connections of the crowd. Its verbs, after "crowd" in a trace:
//   connects N              N clients connect, send a first command and get its reply
//   is-silent N             N clients connect and send nothing
//   stops-reading           none reads on
//   sends-numbered N TEXT   each sends N statements at once; NUMBER becomes 0-0, 0-1, ... for the first
//   sends-part BYTES TEXT   each sends the beginning of a statement, in which LONG stands for 64 KiB
//   long-responses N        servers answer attempts, but each client's first, with 64 KiB, N in all
//   all-responses           from now on, servers answer every attempt so
//   receives N              waits until each client has N replies more
//   closes                  all close their connections, the last one first
class Crowd {
 public:
  using WaitFor = std::function<void(const std::string& description, const std::function<bool()>& condition)>;

  // `connect` opens a connection to the proxy, `wait_for` serves all connections until the condition holds.
  Crowd(std::map<std::string, TestServer>& servers, std::function<int()> connect, WaitFor wait_for)
      : servers_(servers), connect_(std::move(connect)), wait_for_(std::move(wait_for)) {}

  void run(const std::string& verb, std::istringstream& line);
  // Reads what the clients have been sent, and answers attempts if the servers answer all, without waiting.
  // Called while any condition is waited for.
  void serve();

 private:
  struct Client {
    Connection connection;
    int replies = 0;  // ReadyForQuery messages
  };

  void connect(int count, const std::string& first_bytes);
  void send_numbered(int count, const std::string& text);
  void send_part(std::size_t bytes, const std::string& text);
  int respond_to_attempts();
  void stop_reading();
  void read_replies();
  void wait_for_replies(int count);

  std::map<std::string, TestServer>& servers_;
  std::function<int()> connect_;
  WaitFor wait_for_;
  std::deque<Client> clients_;
  bool respond_to_all_ = false;
  bool reads_ = true;
};

}  // namespace proxy_test
