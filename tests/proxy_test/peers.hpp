// The test's own ends of connections: clients of the proxy, test servers, and the messages they exchange.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <string>
#include <string_view>

#include "postgres/codec.hpp"

namespace proxy_test {
namespace postgres = reedspindle::postgres;

struct Connection {
  int fd = -1;
  std::string received;  // bytes read and not yet consumed
  // startup_sent: the client side has sent its startup message; startup_done: the server side has completed
  // the startup.
  bool startup_sent = false, closed = false, startup_done = false;
  std::string pending_query;       // query from the proxy that has not been answered
  std::string cancel_key = {};     // process ID and secret key that a cancel request names
  bool drop_on_next_read = false;  // the server closes it as soon as bytes arrive
};

struct TestServer {
  std::string address;
  int listener = -1;
  std::string startup_mode = "accepts", vitals;
  // Bytes sent with the next response to an empty query, in the same TCP segment.
  std::string after_empty_response;
  std::deque<Connection> connections;
  std::deque<std::string> received_queries;
};

[[noreturn]] inline void fail(const std::string& reason) {
  std::cout << "  gave up: " << reason << std::endl;
  std::exit(1);
}

inline sockaddr_in address_of(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.find(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

// Listens at an address that only this process uses, on a free port, which is written back to `text`.
inline int listen_at(std::string& text) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = address_of(text);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 64) != 0) {
    fail("cannot bind a port");
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  text = text.substr(0, text.find(':') + 1) + std::to_string(ntohs(address.sin_port));
  return fd;
}

inline void write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = write(fd, bytes.data() + done, bytes.size() - done);
    if (count <= 0) {
      return;
    }
    done += static_cast<std::size_t>(count);
  }
}

// Reads the available bytes. Returns false if the peer has closed the connection.
inline bool read_available(Connection& connection) {
  char bytes[65536];
  const ssize_t count = read(connection.fd, bytes, sizeof bytes);
  if (count <= 0) {
    return false;
  }
  connection.received.append(bytes, static_cast<std::size_t>(count));
  return true;
}

inline std::string encode_message(char type, std::string body) {
  const std::size_t length = body.size() + 4;
  std::string out(1, type);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>(length >> shift & 0xff);
  }
  return out + body;
}

inline std::string row_response(const std::string& value) {
  using namespace std::string_literals;
  const auto size = static_cast<char>(value.size());
  return encode_message('T', "\0\1v\0"s + std::string(18, '\0')) +
         encode_message('D', "\0\1\0\0\0"s + size + value) + encode_message('C', "SELECT 1\0"s);
}

// The beginning of a response whose value has 64 KiB.
inline std::string partial_row_response(std::size_t bytes) {
  using namespace std::string_literals;
  constexpr std::size_t kValueBytes = 65536;
  return (encode_message('T', "\0\1v\0"s + std::string(18, '\0')) +
          encode_message('D', "\0\1\0\1\0\0"s + std::string(kValueBytes, 'v')))
      .substr(0, bytes);
}

// An INSERT with a value of 64 KiB, the longest of the protocol, in the place of LONG.
inline std::string with_long_value(std::string text) {
  return text.replace(text.find("LONG"), 4, std::string(131072, 'f'));
}

inline std::string unescaped(const std::string& text) {  // replaces "\x00" and other hexadecimal escapes
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text.compare(at, 2, "\\x") == 0) {
      out += static_cast<char>(std::stoi(text.substr(at + 2, 2), nullptr, 16));
      at += 3;
    } else {
      out += text[at];
    }
  }
  return out;
}

// Reads the next message from the proxy. EmptyQueryResponse (I) is not among the messages that
// read_from_server accepts.
inline postgres::ReadResult read_from_proxy(std::string_view received) {
  return received.starts_with("I") && received.size() >= 5 ? postgres::Message{'I', "", received.substr(0, 5)}
                                                           : postgres::read_from_server(received);
}

}  // namespace proxy_test
