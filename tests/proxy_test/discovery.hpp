// The discovery service that the test runs for the proxy.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "proxy_test/peers.hpp"

namespace proxy_test {

// Answers the proxy's polls as a trace tells it to. Its verbs are those compared in run().
class TestDiscovery {
 public:
  using Endpoints = std::map<std::string, nlohmann::json>;  // rows of the endpoint list by the servers' names
  using WaitFor = std::function<void(const std::string& description, const std::function<bool()>& condition)>;
  // Returns a list as JSON: with all servers, or with the changes of the one named `only`.
  using List = std::function<std::string(int rev, bool complete, const std::string& only)>;

  // `new_address` returns a loopback address of the test's own, with any port.
  TestDiscovery(Endpoints& endpoints, std::function<std::string()> new_address, List list, WaitFor wait_for)
      : endpoints_(endpoints),
        new_address_(std::move(new_address)),
        list_(std::move(list)),
        wait_for_(std::move(wait_for)),
        address_(new_address_()),
        listener_(listen_at(address_)) {}

  // Where it listens. Changes when it moves.
  [[nodiscard]] const std::string& address() const { return address_; }

  void run(const std::string& verb, const std::string& rest);

 private:
  void accept_renewed_request();
  void accept_newer_connection();
  void find_poll_on_replaced_connection();
  bool request_received();
  void fail_polls(const std::string& rest);
  void return_within(const std::string& rest);
  void send_long_list(const std::string& rest);

  Endpoints& endpoints_;
  const std::function<std::string()> new_address_;
  const List list_;
  const WaitFor wait_for_;
  std::string address_;
  int listener_;
  Connection connection_, previous_;
  std::vector<int> trickling_;
  std::deque<Connection> replaced_;  // older polls that are still open
  std::string after_list_;
};

}  // namespace proxy_test
