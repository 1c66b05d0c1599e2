#include "discovery/http_connection.hpp"

#include <utility>

#include "settings/settings.hpp"

namespace reedspindle::discovery {

const http_parser_settings& HttpConnection::parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      return static_cast<HttpConnection*>(parser->data)->on_body({at, length});
    };
    made.on_message_complete = [](http_parser* parser) {
      static_cast<HttpConnection*>(parser->data)->complete_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return made;
  }();
  return settings;
}

int HttpConnection::on_body(std::string_view part) {
  body_bytes_ += part.size();
  if (parser_.status_code != kStatusOk) {
    return 0;
  }
  try {
    handler_.body_received(*this, part);
  } catch (const InvalidInput& error) {
    body_error_ = error.what();
    return 1;
  }
  return 0;
}

void HttpConnection::send(const asio::ip::tcp::endpoint& server, std::string request) {
  request_ = std::move(request);
  complete_ = false;
  body_bytes_ = 0;
  body_error_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  if (socket_.is_open()) {
    return write();
  }
  socket_.async_connect(server, [this, self = shared_from_this()](const asio::error_code& error) {
    if (closed_) {
      return;
    }
    if (error) {
      return handler_.request_failed(*this, error.message(), false);
    }
    asio::error_code ignored;  // if discovery has closed the connection, the read reports it
    socket_.non_blocking(true, ignored);
    write();
  });
}

void HttpConnection::write() {
  asio::async_write(socket_, asio::buffer(request_),
                    [this, self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (!closed_ && error) {
                        handler_.request_failed(*this, error.message(), false);
                      }
                    });
  wait_readable();
}

void HttpConnection::wait_readable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [this, self = shared_from_this()](const asio::error_code& error) {
                       if (closed_) {
                         return;
                       }
                       if (error) {
                         return handler_.request_failed(*this, error.message(), false);
                       }
                       readable_ = true;
                       if (!paused_) {
                         read();
                       }
                     });
}

void HttpConnection::resume_reading() {
  paused_ = false;
  if (readable_) {
    asio::post(socket_.get_executor(), [this, self = shared_from_this()] {
      if (!closed_ && !paused_ && readable_) {
        read();
      }
    });
  }
}

void HttpConnection::read() {
  readable_ = false;
  asio::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(bytes_), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    return wait_readable();
  }
  // A response without a length ends with its connection; the parser is called with 0 bytes for that.
  if (error && error != asio::error::eof) {
    return handler_.request_failed(*this, error.message(), false);
  }
  parse(error ? 0 : count, static_cast<bool>(error));
}

void HttpConnection::parse(std::size_t count, bool at_end) {
  const auto self = shared_from_this();
  handler_.bytes_received(*this, count);
  const std::size_t parsed = http_parser_execute(&parser_, &parser_settings(), bytes_.data(), count);
  if (complete_ && (at_end || parsed < count || !http_should_keep_alive(&parser_))) {
    // Bytes behind the response belong to no request: the connection is closed so that they are not parsed as
    // the next response.
    asio::error_code ignored;
    socket_.close(ignored);
  }
  const bool parser_failed = !complete_ && HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
  handler_.part_read(*this, body_error_.empty() && !complete_ && !parser_failed && !at_end);
  if (closed_) {
    return;
  }
  if (!body_error_.empty()) {
    return handler_.request_failed(*this, body_error_, true);
  }
  if (complete_) {
    return handler_.response_completed(*this, static_cast<int>(parser_.status_code));
  }
  if (parser_failed) {
    return handler_.request_failed(*this, http_errno_description(HTTP_PARSER_ERRNO(&parser_)), false);
  }
  if (at_end) {
    return handler_.request_failed(*this, "discovery closed the connection", false);
  }
  wait_readable();
}

bool HttpConnection::reusable() {
  if (!is_open()) {
    return false;
  }
  asio::error_code error;
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

bool HttpConnection::has_unread_bytes() const {
  asio::error_code error;
  return socket_.is_open() && socket_.available(error) > 0;
}

void HttpConnection::close() {
  asio::error_code ignored;
  closed_ = true;
  socket_.close(ignored);
}

}  // namespace reedspindle::discovery
