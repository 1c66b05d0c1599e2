// A message that is being sent to a server.
#pragma once

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "net/memory_budget.hpp"
#include "postgres/codec.hpp"

namespace reedspindle::upstream {

// Holds what is to be sent. The statement of a request is shared with the request, not copied: it may be
// long, and a connection would keep the copy's storage.
class OutgoingMessage {
 public:
  using Buffers = std::array<asio::const_buffer, 3>;

  // Takes a short message.
  void set(std::string message) {
    clear();
    parts_.head = std::move(message);
  }
  // Takes a statement, with its remaining time replaced.
  void set(std::shared_ptr<const net::ChargedText> text, postgres::TextSpan remaining_span,
           double remaining) {
    parts_ = postgres::query_parts(text->text(), remaining_span, remaining);
    text_ = std::move(text);
  }
  // Releases the message.
  void clear() {
    parts_ = {};
    text_.reset();
  }

  [[nodiscard]] std::size_t size() const {
    return parts_.head.size() + parts_.statement.size() + parts_.tail.size();
  }
  // Returns what follows the first `sent` bytes. Valid until the message changes.
  [[nodiscard]] Buffers after(std::size_t sent) const {
    Buffers buffers{asio::buffer(parts_.head), asio::buffer(parts_.statement), asio::buffer(parts_.tail)};
    for (asio::const_buffer& buffer : buffers) {
      const std::size_t skipped = std::min(sent, buffer.size());
      buffer += skipped;
      sent -= skipped;
    }
    return buffers;
  }

 private:
  postgres::QueryParts parts_;
  std::shared_ptr<const net::ChargedText> text_;  // keeps the statement in memory
};

}  // namespace reedspindle::upstream
