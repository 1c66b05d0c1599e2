#include "proxy_test/crowd.hpp"

#include <fmt/format.h>
#include <poll.h>

#include <algorithm>

namespace proxy_test {
namespace {

constexpr std::size_t kLongValueBytes = 65536;

std::string remainder(std::istringstream& line) {
  std::string rest;
  std::getline(line >> std::ws, rest);
  return rest;
}

std::string long_row_response() {
  using namespace std::string_literals;
  // The whole row is shorter than what is asked for.
  return partial_row_response(2 * kLongValueBytes) + encode_message('C', "SELECT 1\0"s);
}

// Whether the query is the first of its client: its id ends with -0.
bool is_first(const std::string& query) { return query.find("-0,") != std::string::npos; }

}  // namespace

void Crowd::run(const std::string& verb, std::istringstream& line) {
  if (verb == "closes") {
    for (; !clients_.empty(); clients_.pop_back()) {
      close(clients_.back().connection.fd);
    }
    return;
  }
  if (verb == "stops-reading") {
    return stop_reading();
  }
  int count = 0;
  line >> count;
  if (verb == "connects") {
    connect(count, postgres::startup("svc", "main") + postgres::query("SET a"));
    wait_for_replies(2);
  } else if (verb == "is-silent") {
    connect(count, "");
  } else if (verb == "sends-numbered") {
    send_numbered(count, remainder(line));
  } else if (verb == "sends-part") {
    send_part(static_cast<std::size_t>(count), remainder(line));
  } else if (verb == "long-responses") {
    int responses = 0;
    wait_for_("the attempts", [&] { return (responses += respond_to_attempts()) >= count; });
  } else if (verb == "all-responses") {
    respond_to_all_ = true;
  } else if (verb == "receives") {
    wait_for_replies(count);
  } else {
    fail("unknown verb of a crowd");
  }
}

void Crowd::connect(int count, const std::string& first_bytes) {
  for (int i = 0; i < count; ++i) {
    Client& client = clients_.emplace_back();
    client.connection.fd = connect_();
    if (client.connection.fd < 0) {
      fail("cannot connect to the proxy");
    }
    write_all(client.connection.fd, first_bytes);
  }
}

void Crowd::send_numbered(int count, const std::string& text) {
  const std::size_t at = text.find("NUMBER");
  for (std::size_t number = 0; number < clients_.size(); ++number) {
    std::string batch;
    for (int i = 0; i < count; ++i) {
      batch += postgres::query(std::string(text).replace(at, 6, fmt::format("{}-{}", number, i)));
    }
    write_all(clients_[number].connection.fd, batch);
  }
}

void Crowd::send_part(std::size_t bytes, const std::string& text) {
  const std::string part = postgres::query(with_long_value(text)).substr(0, bytes);
  for (const Client& client : clients_) {
    write_all(client.connection.fd, part);
  }
}

int Crowd::respond_to_attempts() {
  static const std::string kResponse = long_row_response() + postgres::ready_for_query();
  int responses = 0;
  for (auto& [name, server] : servers_) {
    for (Connection& connection : server.connections) {
      if (connection.closed || connection.pending_query.empty() ||
          (is_first(connection.pending_query) && !respond_to_all_)) {
        continue;
      }
      connection.pending_query.clear();
      write_all(connection.fd, kResponse);
      ++responses;
    }
  }
  return responses;
}

void Crowd::wait_for_replies(int count) {
  wait_for_("the replies to the crowd", [&] {
    return std::ranges::all_of(clients_, [&](const Client& client) { return client.replies >= count; });
  });
  for (Client& client : clients_) {
    client.replies -= count;
  }
}

void Crowd::serve() {
  if (respond_to_all_) {
    respond_to_attempts();
  }
  read_replies();
}

// Lets the kernel take as little as it can for the clients.
void Crowd::stop_reading() {
  const int bytes = 1;
  for (const Client& client : clients_) {
    setsockopt(client.connection.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  reads_ = false;
}

void Crowd::read_replies() {
  if (!reads_) {
    return;
  }
  for (Client& client : clients_) {
    Connection& connection = client.connection;
    pollfd readable{connection.fd, POLLIN, 0};
    if (connection.closed || poll(&readable, 1, 0) != 1) {
      continue;
    }
    connection.closed = !read_available(connection);
    for (;;) {
      const postgres::ReadResult read = read_from_proxy(connection.received);
      const auto* message = std::get_if<postgres::Message>(&read);
      if (!message) {
        break;
      }
      client.replies += message->type == 'Z' ? 1 : 0;
      connection.received.erase(0, message->bytes.size());
    }
  }
}

}  // namespace proxy_test
