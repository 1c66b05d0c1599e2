#include "proxy_test/discovery.hpp"

#include <fmt/format.h>
#include <poll.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace proxy_test {
namespace {
using Json = nlohmann::json;

std::string remainder(std::istringstream& line) {
  std::string rest;
  std::getline(line >> std::ws, rest);
  return rest;
}
}  // namespace

// If the proxy has closed the connection because its long poll timed out, accepts the new request: the next
// response is sent there.
void TestDiscovery::accept_renewed_request() {
  pollfd at{connection_.fd, POLLIN, 0};
  if (connection_.fd < 0 || poll(&at, 1, 0) != 1 || read_available(connection_)) {
    return;
  }
  close(std::exchange(connection_.fd, -1));
  wait_for_("the renewed request", [&] { return request_received(); });
  connection_.received.clear();
}

// Polls on a new connection replace the one on the current connection, which stays open.
void TestDiscovery::accept_newer_connection() {
  pollfd at{listener_, POLLIN, 0};
  if (poll(&at, 1, 0) != 1) {
    return;
  }
  if (connection_.fd >= 0) {
    replaced_.push_back(connection_);
  }
  connection_ = {};
  connection_.fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
}

// Polls on a replaced connection make it the current one again.
void TestDiscovery::find_poll_on_replaced_connection() {
  for (Connection& connection : replaced_) {
    pollfd at{connection.fd, POLLIN, 0};
    if (connection.fd < 0 || poll(&at, 1, 0) != 1) {
      continue;
    }
    if (!read_available(connection)) {
      close(std::exchange(connection.fd, -1));
    } else {
      std::swap(connection, connection_);
    }
  }
  std::erase_if(replaced_, [](const Connection& connection) { return connection.fd < 0; });
}

bool TestDiscovery::request_received() {
  accept_newer_connection();
  find_poll_on_replaced_connection();
  pollfd at{connection_.fd, POLLIN, 0};
  const bool readable = connection_.fd >= 0 && poll(&at, 1, 0) == 1;
  if (readable && !read_available(connection_)) {
    close(std::exchange(connection_.fd, -1));
  }
  return connection_.received.find("\r\n\r\n") != std::string::npos;
}

// "fails-polls half 6": that many polls fail in this way.
void TestDiscovery::fail_polls(const std::string& rest) {
  std::istringstream line(rest);
  std::string how;
  int count = 0;
  line >> how >> count;
  for (int failed = 0; failed < count; ++failed) {
    wait_for_("a poll", [&] { return request_received(); });
    connection_.received.clear();
    if (how == "half") {
      write_all(connection_.fd, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":");
    } else if (how == "trickles") {
      write_all(connection_.fd, "HTTP/1.1 200 OK\r\n");
      trickling_.push_back(connection_.fd);
    } else if (how == "status") {
      write_all(connection_.fd, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    } else if (how == "resets") {
      const linger reset{1, 0};
      setsockopt(connection_.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close(std::exchange(connection_.fd, -1));
    }
  }
}

// "returns-within 500 43 changes b leaving": answers each new poll at once, until the proxy has the list.
void TestDiscovery::return_within(const std::string& rest) {
  std::istringstream line(rest);
  int limit = 0;
  std::string revision;
  line >> limit >> revision;
  const std::string answer = revision + " " + remainder(line);
  const auto began = std::chrono::steady_clock::now();
  const std::string next_poll = "since=" + revision + "&";
  wait_for_("the list to be received", [&] {
    for (const int fd : trickling_) {
      send(fd, "X", 1, MSG_NOSIGNAL);
    }
    if (!request_received()) {
      return false;
    }
    if (connection_.received.find(next_poll) != std::string::npos) {
      return true;
    }
    connection_.received.clear();
    run("responds-here", answer);
    return false;
  });
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
  trickling_.clear();
  std::cout << (took.count() <= limit ? "  in time\n" : fmt::format("  after {} ms\n", took.count()));
}

// Sends a complete list in parts, with `extra_servers` servers of other groups besides the test's own.
// "truncated" leaves out the last two bytes and keeps the connection open.
void TestDiscovery::send_long_list(const std::string& rest) {
  std::istringstream line(rest);
  int rev = 0;
  int extra_servers = 0;
  int duration_ms = 0;
  std::string name;
  std::string state;
  std::string ending;
  line >> rev >> extra_servers >> duration_ms >> name >> state >> ending;
  if (!name.empty()) {
    endpoints_.at(name)["state"] = state;
  }
  Json targets = Json::array();
  for (const auto& [own_name, row] : endpoints_) {
    targets.push_back(row);
  }
  for (int index = 0; index < extra_servers; ++index) {
    Json row = endpoints_.begin()->second;
    row["uid"] = fmt::format("long-{:08x}", index);
    row["pod_group"] = 1000 + index / 6;
    targets.push_back(row);
  }
  const std::string body = Json{{"rev", rev}, {"all", true}, {"targets", targets}}.dump(4);
  write_all(connection_.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  constexpr int kParts = 20;
  const std::size_t until = ending == "truncated" ? body.size() - 2 : body.size();
  const auto began = std::chrono::steady_clock::now();
  for (int part = 0; part < kParts; ++part) {
    const std::size_t from = until * static_cast<std::size_t>(part) / kParts;
    const std::size_t to = until * static_cast<std::size_t>(part + 1) / kParts;
    write_all(connection_.fd, body.substr(from, to - from));
    wait_for_("the time of the next part", [&] {
      return std::chrono::steady_clock::now() >=
             began + std::chrono::milliseconds(duration_ms) * part / kParts;
    });
  }
}

void TestDiscovery::run(const std::string& verb, const std::string& rest) {
  if (verb == "appends") {
    return void(after_list_ = unescaped(rest));  // sent with the next response, in one segment
  }
  if (verb == "responds" || verb == "sends-bytes") {
    accept_renewed_request();
  }
  if (verb == "oldest-responds") {  // as "responds", to the oldest poll that has been replaced
    std::swap(connection_, replaced_.front());
    run("responds-here", rest);
    return std::swap(connection_, replaced_.front());
  }
  if (verb == "fails-polls") {
    return fail_polls(rest);
  }
  if (verb == "returns-within") {
    return return_within(rest);
  }
  if (verb == "receives") {
    wait_for_("a request to discovery", [&] { return request_received(); });
    std::cout << "  " << connection_.received.substr(0, connection_.received.find("\r\n")) << '\n';
    connection_.received.clear();
  } else if (verb == "responds" || verb == "responds-here") {  // "responds 43 changes b leaving"
    std::istringstream line(rest);
    int rev = 0;
    std::string kind;
    std::string name;
    std::string state;
    line >> rev >> kind >> name >> state;
    if (!state.empty()) {
      endpoints_.at(name)["state"] = state;
    }
    const std::string body = list_(rev, kind == "complete", name);
    write_all(connection_.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                  "\r\n\r\n" + body + std::exchange(after_list_, ""));
  } else if (verb == "responds-long") {  // "responds-long 44 4000 0 b leaving": 4000 more
                                         // servers, indented, sent over 0 ms
    send_long_list(rest);
  } else if (verb == "sends-bytes") {
    write_all(connection_.fd, unescaped(rest));
  } else if (verb == "moves") {  // the old address stops listening, its connection stays
    previous_ = std::exchange(connection_, {});
    close(listener_);
    std::string address = new_address_();
    listener_ = listen_at(address);
    address_ = address;
  } else if (verb == "connection-closed") {
    wait_for_("the proxy to close the old connection", [&] {
      pollfd at{previous_.fd, POLLIN, 0};
      return poll(&at, 1, 0) == 1 && !read_available(previous_);
    });
  } else {
    close(std::exchange(connection_.fd, -1));
  }
}

}  // namespace proxy_test
