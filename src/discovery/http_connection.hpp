// One HTTP/1.1 connection to discovery, with at most one request at a time. The body of the response is
// passed on while it arrives.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace reedspindle::discovery {

class HttpConnection;

// The owner of a connection. It may close the connection in each of these functions.
class HttpResponseHandler {
 public:
  HttpResponseHandler() = default;
  HttpResponseHandler(const HttpResponseHandler&) = delete;
  virtual ~HttpResponseHandler() = default;

  // Bytes have arrived.
  virtual void bytes_received(HttpConnection& connection, std::size_t bytes) = 0;
  // A part of the body of a response with status 200. May throw InvalidInput, which ends the request.
  virtual void body_received(HttpConnection& connection, std::string_view part) = 0;
  // What has arrived has been read. The response goes on, or one of the next two functions follows.
  virtual void part_read(HttpConnection& connection, bool goes_on) = 0;
  virtual void response_completed(HttpConnection& connection, int status) = 0;
  virtual void request_failed(HttpConnection& connection, const std::string& error, bool invalid_body) = 0;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  static constexpr int kStatusOk = 200;

  // The handler has to outlive the connection's last callback, which comes before close() returns.
  HttpConnection(asio::io_context& io, HttpResponseHandler& handler) : socket_(io), handler_(handler) {}

  // Sends a request, on a connection that is opened first if there is none yet.
  void send(const asio::ip::tcp::endpoint& server, std::string request);
  // Closes the connection. The handler is not called any more.
  void close();
  // While reading is paused, what arrives stays in the kernel.
  void pause_reading() { paused_ = true; }
  void resume_reading();

  // After a complete response: whether the response allows another request, and whether the server has since
  // neither ended the connection nor sent more.
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  [[nodiscard]] bool reusable();
  [[nodiscard]] bool has_unread_bytes() const;
  [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }

 private:
  // Bytes read at once, about two hundred servers: it bounds the duration of a turn of the event loop.
  static constexpr std::size_t kReadBytes = 32 * 1024;

  static const http_parser_settings& parser_settings();
  int on_body(std::string_view part);
  void write();
  void wait_readable();
  void read();
  void parse(std::size_t count, bool at_end);

  asio::ip::tcp::socket socket_;
  HttpResponseHandler& handler_;
  http_parser parser_{};
  std::string request_;
  std::array<char, kReadBytes> bytes_{};
  std::size_t body_bytes_ = 0;
  std::string body_error_;  // empty if none
  bool complete_ = false, closed_ = false, paused_ = false, readable_ = false;
};

}  // namespace reedspindle::discovery
