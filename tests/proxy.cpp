// Runs the proxy on loopback addresses with small test clients, test servers and a test discovery service.
// Replays a trace file (tests/proxy/*.txt) line by line and prints each line, followed by what was observed.
// Expected output is part of the trace, as lines that start with two spaces: they are skipped on reading, and
// the caller compares the output with the trace file. No step sleeps for a fixed time: each waits for its
// condition and fails after 30 seconds. The verbs of a trace are those compared in ProxyTest::run_line,
// run_client, run_server and run_peer, in TestDiscovery::run and Crowd::run.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "proxy_test/crowd.hpp"
#include "proxy_test/discovery.hpp"
#include "proxy_test/peers.hpp"

namespace {
using Json = nlohmann::json;
using namespace proxy_test;

const char* const kPlacement = R"({"name": "n0", "seed": "5", "limits": {"sockets": 1024}, "settings": {
  "nInstances": 1, "quantum": 5000000,
  "ceilings": {"cancel": true, "connIdle": 30000000000, "connectTimeout": 250000000, "maxAttempts": 6,
               "maxRetryAfter": 1000000000, "probes": false, "retryAfter": true},
  "rules": {"stopSendingWithin": 500000000},
  "familyInfo": {"needsByClass": ["loose", "update", "own_writes"], "tokens": "client"},
  "requestClasses": [
    {"name": "look", "deadline": 9000000000, "goalTime": 9000000000, "effect": "repeatable"},
    {"name": "book", "deadline": 9000000000, "goalTime": 9000000000, "effect": "by_key", "keyScope": "cell",
     "dedupWindow": 9000000000},
    {"name": "mine", "deadline": 9000000000, "goalTime": 9000000000, "effect": "repeatable"}]}})";

class ProxyTest {
 public:
  explicit ProxyTest(std::string program) : program_(std::move(program)), config_(Json::parse(kPlacement)) {
    // Each participant has an address of its own, so the port chosen here for the proxy stays free until the
    // proxy binds it.
    std::string listen = loopback_address(64);
    close(listen_at(listen));
    config_["listen"] = proxy_address_ = listen;
    config_["discovery"] = discovery_.address();
    // The proxy's own datagram address is used by no other process. This test acts as the other proxy of the
    // tier.
    std::string other = loopback_address(192);
    close(listen_at(other));
    peer_socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(other);
    if (bind(peer_socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      fail("cannot bind a port");
    }
    config_["peer_listen"] = listen;
    config_["peers"] = {listen, other};
    config_["peers_all"] = other;
    // The placement file is in memory, so that no file is left behind however the test ends.
    placement_fd_ = memfd_create("placement", MFD_CLOEXEC);
    placement_path_ = "/proc/" + std::to_string(getpid()) + "/fd/" + std::to_string(placement_fd_);
  }
  ~ProxyTest() {
    if (child_ > 0) {
      kill(child_, SIGKILL);
    }
  }

  void run_line(const std::string& text) {
    std::istringstream line(text);
    std::string subject;
    std::string verb;
    std::string rest;
    line >> subject;
    if (subject == "config") {
      line >> verb;
      std::getline(line, rest);
      rest == " none" ? void(config_.erase(verb))
                      : void(config_[Json::json_pointer(verb)] = Json::parse(rest));
    } else if (subject == "servers") {
      while (line >> verb) {
        add_server(verb);
      }
      config_["known"] = Json::parse(endpoint_list(41, true));
    } else if (subject == "start") {
      start();
    } else if (subject == "start-with-sighup") {  // SIGHUP is pending before the program runs
      start_signal_ = SIGHUP;
      start();
    } else if (subject == "start-fails") {
      start_child();
      wait_exit();
    } else if (subject == "client") {
      line >> rest >> verb;
      run_client(rest, verb, remainder(line));
    } else if (subject == "server") {
      line >> rest >> verb;
      run_server(servers_.at(rest), verb, line);
    } else if (subject == "discovery") {
      line >> verb;
      discovery_.run(verb, remainder(line));
      if (verb == "moves") {
        config_["discovery"] = discovery_.address();
      }
    } else if (subject == "open-clients") {
      int count = 0;
      int expected_refused = 0;
      line >> count >> verb >> expected_refused;
      open_clients(count, verb, expected_refused);
    } else if (subject == "clients-stop") {
      stop_clients_in_mid_message(line);
    } else if (subject == "servers-stop") {
      stop_servers_in_mid_response(line);
    } else if (subject == "crowd") {
      line >> verb;
      crowd_.run(verb, line);
    } else if (subject == "memory-within-limit") {
      check_memory();
    } else if (subject == "any-server-responds") {
      line >> rest;
      write_all(connection_with_query(rest).fd, row_response(remainder(line)) + postgres::ready_for_query());
    } else if (subject == "peer") {
      line >> verb;
      run_peer(verb, remainder(line));
    } else if (subject == "stop") {
      kill(child_, SIGTERM);
    } else if (subject == "pause") {
      kill(child_, SIGSTOP);
    } else if (subject == "resume-after") {  // at least N ms after this line is read
      int milliseconds = 0;
      line >> milliseconds;
      const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
      wait_for("the time to resume", [&] { return std::chrono::steady_clock::now() >= due; });
      kill(child_, SIGCONT);
    } else if (subject == "reload") {
      write_placement(remainder(line));
      kill(child_, SIGHUP);
    } else if (subject == "logs") {
      const std::string wanted = remainder(line);
      wait_for("the log line", [&] { return read_log().find(wanted) != std::string::npos; });
      log_.erase(0, log_.find(wanted) + wanted.size());
    } else if (subject == "exits") {
      wait_exit();
    } else {
      fail("unknown verb");
    }
  }

 private:
  static std::string remainder(std::istringstream& line) {
    std::string rest;
    std::getline(line >> std::ws, rest);
    return rest;
  }

  static std::string loopback_address(int second_octet_base) {
    const int pid = getpid();
    return "127." + std::to_string(second_octet_base + pid / 65536 % 32) + "." +
           std::to_string(pid / 256 % 256) + "." + std::to_string(pid % 256) + ":0";
  }
  void add_server(const std::string& spec) {  // NAME:RANK, such as "a:source" or "b:copy"; the rank is that
                                              // of the endpoint list
    const std::string name = spec.substr(0, spec.find(':'));
    TestServer& server = servers_[name];
    server.address = loopback_address(128);
    server.listener = listen_at(server.address);
    endpoints_[name] = {{"uid", name},
                        {"endpoint", server.address},
                        {"az", "z"},
                        {"model", "m"},
                        {"pod_group", 3},
                        {"state", "active"},
                        {"capacity_hint", 1},
                        {"boot_ms", 0},
                        {"rank", spec.substr(spec.find(':') + 1)}};
  }
  std::string endpoint_list(int rev, bool complete, const std::string& only = "") {
    Json targets = Json::array();
    for (const auto& [name, row] : endpoints_) {
      if (complete || name == only) {
        targets.push_back(row);
      }
    }
    return Json{{"rev", rev}, {"all", complete}, {"targets", targets}}.dump();
  }

  void write_placement(const std::string& override_text = "") {
    const std::string text = override_text.empty() ? config_.dump() : override_text;
    if (ftruncate(placement_fd_, 0) != 0 || pwrite(placement_fd_, text.data(), text.size(), 0) < 0) {
      fail("cannot write the placement file");
    }
  }
  void start_child() {
    write_placement();
    int log_pipe[2];
    if (pipe(log_pipe) != 0) {
      fail("cannot create a pipe");
    }
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(log_pipe[1], STDOUT_FILENO);
      dup2(log_pipe[1], STDERR_FILENO);
      close(log_pipe[0]), close(log_pipe[1]);
      setenv("ROUTER_CONFIG", placement_path_.c_str(), 1);
      if (config_.contains("discovery")) {  // the environment keeps its value from the start of the process
        setenv("ROUTER_DISCOVERY", config_["discovery"].get<std::string>().c_str(), 1);
      }
      if (start_signal_) {  // blocked and pending, which execl preserves
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, start_signal_);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        raise(start_signal_);
      }
      execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(127);
    }
    close(log_pipe[1]);
    log_fd_ = log_pipe[0];
  }
  void start() {
    start_child();
    wait_for("the proxy to listen", [this] {
      const int fd = connect_to(proxy_address_);
      if (fd >= 0) {
        close(fd);
      }
      return fd >= 0;
    });
  }
  int connect_to(const std::string& text) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(text);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      return fd;
    }
    close(fd);
    return -1;
  }
  void wait_exit() {
    int status = 0;
    log_.clear();
    wait_for("the proxy to exit", [&] {
      read_log();
      return waitpid(child_, &status, WNOHANG) == child_;
    });
    read_log();
    child_ = 0;
    std::cout << "  exit code " << (WIFEXITED(status) ? WEXITSTATUS(status) : -1) << '\n';
    if (log_.starts_with("reedspindle: ")) {
      std::cout << "  " << log_;
    }
  }
  const std::string& read_log() {
    char bytes[4096];
    pollfd out{log_fd_, POLLIN, 0};
    while (poll(&out, 1, 0) == 1) {
      const ssize_t count = read(log_fd_, bytes, sizeof bytes);
      if (count <= 0) {
        break;
      }
      log_.append(bytes, static_cast<std::size_t>(count));
    }
    return log_;
  }

  // Prints whether the memory that the process holds for itself is within the configured limit. The
  // sanitizers' own memory is not the program's: under them it is not measured.
  void check_memory() {
    long held_kb = 0;
#ifndef __SANITIZE_ADDRESS__
    std::ifstream status(fmt::format("/proc/{}/status", child_));
    for (std::string name; status >> name;) {
      if (name == "RssAnon:") {
        status >> held_kb;
      }
    }
#endif
    const long limit_kb = config_["limits"]["memory_mb"].get<long>() * 1024;
    std::cout << (held_kb <= limit_kb ? "  true\n" : fmt::format("  but it holds {} kB\n", held_kb));
  }

  // Serves the connections of the test servers until the condition holds.
  void wait_for(const std::string& description, const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      for (const int fd : flooding_clients_) {
        for (int i = 0; i < 100; ++i) {
          send(fd, kFloodBytes.data(), kFloodBytes.size(), MSG_DONTWAIT);
        }
      }
      if (std::chrono::steady_clock::now() > deadline) {
        fail("waited for " + description);
      }
      crowd_.serve();
      poll_once();
    }
  }
  void poll_once() {
    std::vector<pollfd> fds;
    for (auto& [name, server] : servers_) {
      if (server.listener >= 0) {
        fds.push_back({server.listener, POLLIN, 0});
      }
      for (Connection& connection : server.connections) {
        if (!connection.closed) {
          fds.push_back({connection.fd, POLLIN, 0});
        }
      }
    }
    for (auto& [name, connection] : clients_) {
      if (!connection.closed) {
        fds.push_back({connection.fd, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), 5);
    const auto readable = [&](int fd) {
      for (const pollfd& at : fds) {
        if (at.fd == fd) {
          return at.revents != 0;
        }
      }
      return false;
    };
    for (auto& [name, connection] : clients_) {
      if (!connection.closed && readable(connection.fd)) {
        connection.closed = !read_available(connection);
      }
    }
    for (auto& [name, server] : servers_) {
      for (Connection& connection : server.connections) {
        if (!connection.closed && readable(connection.fd)) {
          serve_connection(server, connection);
        }
      }
      if (server.listener >= 0 && readable(server.listener)) {
        server.connections.push_back(
            {accept4(server.listener, nullptr, nullptr, SOCK_CLOEXEC), "", false, false, false, ""});
      }
    }
  }
  void serve_connection(TestServer& server, Connection& connection) {
    if (!read_available(connection) || connection.drop_on_next_read) {
      connection.closed = true;
      close(connection.fd);
      return;
    }
    for (;;) {
      const auto read = connection.startup_sent ? postgres::read_from_client(connection.received)
                                                : postgres::read_startup(connection.received);
      const auto* got = std::get_if<postgres::Message>(&read);
      if (!got) {
        return;
      }
      const std::string text(got->body.substr(0, got->body.find('\0')));
      const std::size_t size = got->bytes.size();
      if (!std::exchange(connection.startup_sent, true)) {
        connection.startup_done = server.startup_mode == "accepts";
        if (connection.startup_done) {
          write_all(connection.fd, postgres::startup_response());
        }
        if (server.startup_mode == "rejects-startup") {
          write_all(connection.fd,
                    postgres::error(postgres::Severity::fatal, "53300", "too many connections"));
        }
      } else if (text.empty()) {
        write_all(connection.fd,
                  postgres::empty_query_response() + std::exchange(server.after_empty_response, ""));
      } else if (text == "SHOW vitals") {
        write_all(connection.fd,
                  row_response(substitute_now(server.vitals, true)) + postgres::ready_for_query());
      } else {
        connection.pending_query = text;
        server.received_queries.push_back(text);
      }
      connection.received.erase(0, size);
    }
  }

  static long long now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  // Replaces NOW by the current time in milliseconds, or in seconds as vitals have it; NOW-400 by an earlier
  // one.
  static std::string substitute_now(std::string text, bool seconds = false) {
    const std::size_t at = text.find("NOW");
    if (at == std::string::npos) {
      return text;
    }
    std::size_t end = at + 3;
    long long time = now();
    if (end < text.size() && text[end] == '-') {
      std::size_t digits = 0;
      time -= std::stoll(text.substr(end + 1), &digits);
      end += 1 + digits;
    }
    const std::string value =
        seconds ? std::to_string(static_cast<double>(time) / 1000) : std::to_string(time);
    return text.replace(at, end - at, value);
  }

  void run_client(const std::string& name, const std::string& verb, const std::string& rest) {
    if (verb == "closes") {
      close(clients_.at(name).fd);
      clients_.erase(name);
      return;
    }
    if (verb == "receives") {
      return print_responses(clients_.at(name));
    }
    if (verb == "receives-within") {  // "receives-within 3000": at most that many milliseconds from now
      const auto began = std::chrono::steady_clock::now();
      print_responses(clients_.at(name));
      const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
      std::cout << (took.count() <= std::stod(rest) ? "  in time\n"
                                                    : fmt::format("  after {:.0f} ms\n", took.count()));
      return;
    }
    if (verb == "cancels") {  // cancels the request of client NAME, on a separate connection
      Connection connection;
      connection.fd = connect_to(proxy_address_);
      write_all(connection.fd, std::string("\0\0\0\x10\x04\xd2\x16\x2e", 8) + clients_.at(rest).cancel_key);
      wait_for("the cancel request to be processed", [&] {
        pollfd at{connection.fd, POLLIN, 0};
        return poll(&at, 1, 0) == 1 && !read_available(connection);
      });
      return void(close(connection.fd));
    }
    if (verb == "is-refused") {  // the proxy has stopped listening
      wait_for("the proxy to stop listening", [this] {
        const int fd = connect_to(proxy_address_);
        if (fd >= 0) {
          close(fd);
        }
        return fd < 0;
      });
      return;
    }
    if (!clients_.contains(name)) {
      Connection& connection = clients_[name];
      connection.fd = connect_to(proxy_address_);
      if (connection.fd < 0) {
        fail("cannot connect to the proxy");
      }
      if (verb != "connects") {
        write_all(connection.fd, postgres::startup("svc", "main")), connection.startup_sent = true;
      }
    }
    if (verb == "sends") {
      write_all(clients_[name].fd, postgres::query(substitute_now(rest)));
    }
    if (verb == "sends-long-value") {
      write_all(clients_[name].fd, postgres::query(with_long_value(rest)));
    }
    if (verb == "sends-bytes") {
      write_all(clients_[name].fd, unescaped(rest));
    }
    if (verb == "sends-numbered") {  // "sends-numbered 3 TEXT": NUMBER becomes 0, 1, 2
      const std::size_t space = rest.find(' ');
      std::string batch;
      for (int i = 0; i < std::stoi(rest); ++i) {
        std::string text = rest.substr(space + 1);
        batch += postgres::query(text.replace(text.find("NUMBER"), 6, std::to_string(i)));
      }
      write_all(clients_[name].fd, batch);
    }
    if (verb == "sends-until-blocked") {  // the statement again and again, until the kernel takes no more
      send_until_blocked(clients_[name].fd, postgres::query(with_long_value(rest)));
    }
    if (verb == "shuts-down-write") {
      shutdown(clients_[name].fd, SHUT_WR);
    }
    if (verb == "sends-long") {
      write_all(clients_[name].fd, postgres::query(std::string(std::stoul(rest), 'x')));
    }
    if (verb == "sends-repeated") {
      const std::size_t space = rest.find(' ');
      std::string batch;
      for (int i = 0; i < std::stoi(rest); ++i) {
        batch += postgres::query(rest.substr(space + 1));
      }
      write_all(clients_[name].fd, batch);
    }
    if (verb == "floods") {
      flooding_clients_.push_back(clients_[name].fd);
    }
    if (verb == "connection-closed") {
      wait_for("the connection to close", [&] { return clients_[name].closed; });
    }
    if (verb == "connects" && !rest.empty()) {
      write_all(clients_[name].fd, unescaped(rest));
    }
  }

  static void send_until_blocked(int fd, const std::string& bytes) {
    constexpr int kBlockedMs = 50;
    for (pollfd writable{fd, POLLOUT, 0}; poll(&writable, 1, kBlockedMs) == 1;) {
      if (send(fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL) < 0 && errno != EAGAIN) {
        fail("cannot send to the proxy");
      }
    }
  }

  // Prints messages up to the end of the next response: ReadyForQuery, or the end of the connection. The
  // ReadyForQuery that ends the startup does not count.
  void print_responses(Connection& connection) {
    for (bool complete = false; !complete;) {
      wait_for("a response", [&] { return !connection.received.empty() || connection.closed; });
      if (!connection.startup_sent && connection.received.starts_with("N")) {
        std::cout << "  encryption declined\n";
        connection.received.erase(0, 1);
        write_all(connection.fd, postgres::startup("svc", "main"));
        return void(connection.startup_sent = true);
      }
      postgres::ReadResult read = read_from_proxy(connection.received);
      wait_for("a response", [&] {
        return !std::holds_alternative<postgres::Partial>(read = read_from_proxy(connection.received)) ||
               connection.closed;
      });
      const auto* got = std::get_if<postgres::Message>(&read);
      if (!got) {
        return void(std::cout << "  connection closed\n");
      }
      if (got->type == 'K') {
        connection.cancel_key = got->body;
      }
      complete = got->type == 'Z' && connection.startup_done;
      if (got->type == 'Z') {
        connection.startup_done = true;
      }
      if (got->type == 'I') {
        std::cout << "  empty query response\n";
      }
      if (got->type == 'D') {
        std::cout << "  row " << *postgres::read_row(got->body) << '\n';
      }
      if (got->type == 'C') {
        std::cout << "  " << got->body.substr(0, got->body.find('\0')) << '\n';
      }
      if (got->type == 'E') {
        const auto error = *postgres::read_error(got->body);
        const std::size_t detail = got->body.find(std::string("\0D", 2));
        std::cout << "  " << got->body.substr(1, 5) << ' ' << error.code << ' ' << error.text;
        if (detail != std::string::npos) {
          std::cout << ", detail " << got->body.data() + detail + 2;
        }
        std::cout << '\n';
      }
      connection.received.erase(0, got->bytes.size());
    }
  }

  void run_server(TestServer& server, const std::string& verb, std::istringstream& line) {
    std::string id;
    std::string text;
    if (verb == "receives") {
      wait_for("an attempt", [&] { return !server.received_queries.empty(); });
      std::cout << "  " << normalize_query(server.received_queries.front()) << '\n';
      return server.received_queries.pop_front();
    }
    if (verb == "receives-in-any-order") {  // "receives-in-any-order 3": prints that many attempts sorted
      std::size_t count = 0;
      line >> count;
      wait_for("all attempts", [&] { return server.received_queries.size() >= count; });
      std::multiset<std::string> queries;
      for (; queries.size() < count; server.received_queries.pop_front()) {
        queries.insert(normalize_query(server.received_queries.front()));
      }
      for (const std::string& query : queries) {
        std::cout << "  " << query << '\n';
      }
      return;
    }
    if (verb == "receives-with-timeout") {  // "receives-with-timeout 1300": d is 1300 ms at most
      long limit = 0;
      line >> limit;
      wait_for("an attempt", [&] { return !server.received_queries.empty(); });
      const std::string& got = server.received_queries.front();
      const long timeout = std::stol(got.substr(got.find(",d=") + 3));
      std::cout << (timeout <= limit ? "  true\n"
                                     : "  but the timeout was " + std::to_string(timeout) + " ms\n");
      return server.received_queries.pop_front();
    }
    if (verb == "received-nothing") {  // checked once everything that could have been sent has arrived
      std::cout << (server.received_queries.empty() ? "  true\n"
                                                    : "  but " + server.received_queries.front() + "\n");
      return;
    }
    if (verb == "receives-many") {  // "receives-many 64": waits for that number of attempts
      std::size_t count = 0;
      line >> count;
      wait_for("all attempts", [&] { return server.received_queries.size() >= count; });
      server.received_queries.erase(server.received_queries.begin(),
                                    server.received_queries.begin() + static_cast<std::ptrdiff_t>(count));
      return;
    }
    if (verb == "appends") {
      return void(server.after_empty_response = unescaped(remainder(line)));
    }
    if (verb == "startup-pending" ||
        verb == "completes-startup") {  // connections with a delayed startup, at least one
      const auto startup_pending = [](const Connection& at) {
        return at.startup_sent && !at.closed && !at.startup_done;
      };
      wait_for("a connection with a delayed startup",
               [&] { return std::ranges::any_of(server.connections, startup_pending); });
      for (Connection& at : server.connections) {
        if (verb == "completes-startup" && startup_pending(at)) {
          write_all(at.fd, postgres::startup_response()), at.startup_done = true;
        }
      }
      return;
    }
    if (verb == "reports-vitals") {
      return void(server.vitals = remainder(line));
    }
    if (verb == "drops-connections") {  // every connection, silently until the proxy writes to it
      for (Connection& at : server.connections) {
        at.drop_on_next_read = true;
      }
      return;
    }
    if (verb == "refuses-connections") {
      return void(close(std::exchange(server.listener, -1)));
    }
    if (verb == "accepts" || verb == "rejects-startup" || verb == "delays-startup") {
      return void(server.startup_mode = verb);
    }
    const bool any_attempt = verb == "responds-to-any";  // as "responds", to an attempt of any id
    if (!any_attempt) {
      line >> id;
    }
    Connection* connection = nullptr;
    for (Connection& at : server.connections) {
      const std::string wanted = any_attempt ? "id=" : "id=" + id + ",";
      if (at.pending_query.find(wanted) != std::string::npos) {
        connection = &at;
      }
    }
    if (!connection) {
      fail("no attempt with that id");
    }
    // "responds 7 VALUE rank copy as_of NOW": name and value of each status
    if (verb == "responds" || any_attempt) {
      std::string response;
      std::string name;
      std::string value;
      line >> text;
      response = row_response(text);
      while (line >> name >> value) {
        response += encode_message('S', name + '\0' + substitute_now(value, name == "vitals") + '\0');
      }
      write_all(connection->fd, response + postgres::ready_for_query());
      connection->pending_query.clear();
    } else if (verb == "responds-error") {
      line >> text;
      write_all(connection->fd, postgres::error(postgres::Severity::error, text, "so the store says") +
                                    postgres::ready_for_query());
      connection->pending_query.clear();
    } else if (verb == "sends-bytes") {
      write_all(connection->fd, unescaped(remainder(line)));
    } else if (verb == "closes") {
      close(connection->fd);
      connection->closed = true;
      connection->pending_query.clear();
    } else if (verb == "connection-closed") {
      wait_for("the proxy to close that connection", [&] { return connection->closed; });
      connection->pending_query.clear();
    } else {
      fail("unknown server verb");
    }
  }
  // Replaces the values that vary from run to run. The forwarded time-out (d) is reduced by the elapsed time;
  // it is above zero and at most the 9000 ms that the traces use as their longest. A position (after) is a
  // time, and is checked to be less than a minute old.
  static std::string normalize_query(std::string text) {
    const std::size_t at = text.find(",d=") + 3;
    const std::size_t end = text.find_first_not_of("0123456789", at);
    const long timeout = std::stol(text.substr(at, end - at));
    text.replace(at, end - at, timeout > 0 && timeout <= 9000 ? "(remaining)" : "(too long)");
    const std::size_t after = text.find(",after=");
    if (after == std::string::npos) {
      return text;
    }
    const std::size_t digits = after + 7;
    const std::size_t digits_end = text.find_first_not_of("0123456789", digits);
    const long long age = now() - std::stoll(text.substr(digits, digits_end - digits));
    return age >= 0 && age < 60000 ? text.replace(digits, digits_end - digits, "(now)") : text;
  }

  // "clients-stop 20 100000 TEXT": that many clients send a first command, then as many bytes of a statement
  // with a long value, and stay. Waits until the proxy has rejected one of them: it has read the others.
  void stop_clients_in_mid_message(std::istringstream& line) {
    int count = 0;
    std::size_t bytes = 0;
    line >> count >> bytes;
    const std::string statement = postgres::query(with_long_value(remainder(line)));
    std::vector<Connection*> stopped;
    for (int i = 0; i < count; ++i) {
      Connection& connection = clients_[fmt::format("stopped-{}", i)];
      connection.fd = connect_to(proxy_address_);
      write_all(connection.fd, postgres::startup("svc", "main") + postgres::query("SET a"));
      stopped.push_back(&connection);
    }
    const auto received = [&](const char* text) {
      return std::ranges::count_if(stopped, [text](const Connection* connection) {
        return connection->received.find(text) != std::string::npos;
      });
    };
    wait_for("the responses to the first commands", [&] { return received("SET") == count; });
    for (const Connection* connection : stopped) {
      write_all(connection->fd, statement.substr(0, bytes));
    }
    wait_for("a rejected statement", [&] { return received("53300") > 0; });
  }
  // "servers-stop 32 62000": waits for that many attempts, and sends as many bytes of each response.
  void stop_servers_in_mid_response(std::istringstream& line) {
    std::size_t count = 0;
    std::size_t bytes = 0;
    line >> count >> bytes;
    std::vector<Connection*> pending;
    wait_for("all attempts", [&] {
      pending.clear();
      for (auto& [name, server] : servers_) {
        for (Connection& connection : server.connections) {
          if (!connection.closed && !connection.pending_query.empty()) {
            pending.push_back(&connection);
          }
        }
      }
      return pending.size() >= count;
    });
    for (const Connection* connection : pending) {
      write_all(connection->fd, partial_row_response(bytes));
    }
  }
  // Waits for the attempt with this id, at whichever server.
  Connection& connection_with_query(const std::string& id) {
    Connection* found = nullptr;
    wait_for("an attempt", [&] {
      for (auto& [name, server] : servers_) {
        for (Connection& connection : server.connections) {
          if (!connection.closed && connection.pending_query.find("id=" + id + ",") != std::string::npos) {
            found = &connection;
          }
        }
      }
      return found != nullptr;
    });
    return *found;
  }

  // Opens `count` clients at once that send only the startup message, or also a SET command ("idle") or a
  // request ("request"). If `expected_refused` is above zero, waits until that many are refused (closed, or
  // answered with 53300) and prints how many were; if it is zero, waits until all connections are closed.
  void open_clients(int count, const std::string& mode, int expected_refused) {
    std::vector<Connection> connections;
    for (int i = 0; i < count; ++i) {
      connections.push_back({connect_to(proxy_address_), "", true, false, false, ""});
      std::string text = postgres::startup("svc", "main");
      if (mode == "idle") {
        text += postgres::query("SET a");
      }
      if (mode == "request") {
        text += postgres::query(
            fmt::format("SELECT v FROM records WHERE k = 'k' /* id=c{},c=look,d=9000,cluster=3 */", i));
      }
      write_all(connections.back().fd, text);
    }
    const auto refused = [&] {
      return std::ranges::count_if(connections, [&](const Connection& connection) {
        return mode == "idle" ? connection.closed : connection.received.find("53300") != std::string::npos;
      });
    };
    if (expected_refused > 0) {
      wait_for("the expected number of refused clients", [&] {
        for (Connection& connection : connections) {
          if (pollfd at{connection.fd, POLLIN, 0}; !connection.closed && poll(&at, 1, 0) == 1) {
            connection.closed = !read_available(connection);
          }
        }
        return refused() >= expected_refused;
      });
      std::cout << "  " << refused() << " refused\n";
    }
    for (Connection& connection : connections) {
      while (expected_refused == 0 && read_available(connection)) {
        continue;
      }
      close(connection.fd);
    }
    if (expected_refused == 0) {
      std::cout << "  all closed\n";
    }
  }

  // The other proxy of the tier: "receives" prints the properties of a datagram, "sends" sends one.
  void run_peer(const std::string& verb, const std::string& rest) {
    if (verb == "sends") {
      const sockaddr_in to = address_of(proxy_address_);
      const std::string text = rest == "long" ? std::string(400, 'x') : rest;
      sendto(peer_socket_, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
      return;
    }
    char bytes[1024];
    ssize_t count = 0;
    wait_for("a datagram",
             [&] { return (count = recv(peer_socket_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0; });
    std::cout << "  " << std::string(bytes, 2) << (count <= 256 ? ", fits" : ", too long");
    bool load = false;  // the last of the 7 characters of a member is above '3' if its load is known
    for (ssize_t at = 13; at < count; at += 7) {
      load |= bytes[at] > '3';
    }
    std::cout << (load ? ", with load" : "") << '\n';
  }

  const std::string program_;
  Json config_;
  std::string proxy_address_, placement_path_, log_;
  int log_fd_ = -1, peer_socket_ = -1, placement_fd_ = -1;
  pid_t child_ = 0;
  int start_signal_ = 0;
  std::vector<int> flooding_clients_;
  const std::string kFloodBytes = postgres::query("SET a") + postgres::query("nonsense");
  std::map<std::string, TestServer> servers_;
  std::map<std::string, Json> endpoints_;
  std::map<std::string, Connection> clients_;
  TestDiscovery discovery_{
      endpoints_, [] { return loopback_address(96); },
      [this](int rev, bool complete, const std::string& only) { return endpoint_list(rev, complete, only); },
      [this](const std::string& description, const std::function<bool()>& condition) {
        wait_for(description, condition);
      }};
  Crowd crowd_{servers_, [this] { return connect_to(proxy_address_); },
               [this](const std::string& description, const std::function<bool()>& condition) {
                 wait_for(description, condition);
               }};
};
}  // namespace

int main(int /*unused*/, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::ifstream file(argv[2]);
  ProxyTest test(argv[1]);
  for (std::string text; std::getline(file, text);) {
    if (text.starts_with("  ")) {
      continue;
    }
    std::cout << text << std::endl;
    if (!text.empty() && text[0] != '#') {
      test.run_line(text);
    }
  }
}
