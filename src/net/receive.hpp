// A read from a socket that does not wait.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <span>

#include "net/buffer.hpp"

namespace reedspindle::net {

enum class Received {
  bytes,      // they were added to the buffer
  nothing,    // nothing has arrived
  no_memory,  // the buffer gets no memory
  failed,     // the peer has closed the connection, or it is broken
  closed,     // the socket was closed to free memory
};

// Reads what has arrived into the buffer, at least `min_bytes` at once if there are so many. While the buffer
// gets no memory, calls `free_memory`, until that returns false.
template <typename FreeMemory>
Received receive(asio::ip::tcp::socket& socket, Buffer& buffer, std::size_t min_bytes,
                 FreeMemory free_memory) {
  std::span<char> space = buffer.prepare(min_bytes);
  while (space.empty() && free_memory()) {
    space = buffer.prepare(min_bytes);
  }
  if (!socket.is_open()) {
    return Received::closed;
  }
  if (space.empty()) {
    return Received::no_memory;
  }
  asio::error_code error;
  const std::size_t count = socket.read_some(asio::buffer(space.data(), space.size()), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    return Received::nothing;
  }
  if (error) {
    return Received::failed;
  }
  buffer.commit(count);
  return Received::bytes;
}

}  // namespace reedspindle::net
