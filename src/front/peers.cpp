#include "front/peers.hpp"

#include <algorithm>
#include <utility>

#include "membership/message.hpp"

namespace reedspindle::front {

constexpr std::size_t kLongest = 256;  // the protocol's limit on a datagram

Peers::Peers(asio::io_context& io, Log& log, const Placement& placement, Heard heard)
    : log_(log), placement_(placement), heard_(std::move(heard)), peers_(placement.peers), socket_(io) {
  if (!placement_.hears_peers) return;
  socket_.open(placement_.peer_listen.protocol());
  socket_.bind(placement_.peer_listen);
  socket_.non_blocking(true);
  listen();
}

void Peers::tell(const std::string& text) {
  if (!socket_.is_open()) return;
  if (text.size() > kLongest) return log_.warn("peers", "text too long", {{"bytes", text.size()}});
  asio::error_code lost;  // datagrams may be lost anyway
  socket_.send_to(asio::buffer(text), placement_.peers_all, 0, lost);
}

void Peers::tell(int peer, const std::string& bytes) {
  if (!socket_.is_open() || static_cast<std::size_t>(peer) >= peers_.size()) return;
  asio::error_code lost;
  socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, lost);
}

void Peers::stop() {
  asio::error_code ignored;
  socket_.close(ignored);
}

void Peers::listen() {
  socket_.async_receive_from(
      asio::buffer(bytes_), sender_, [this](const asio::error_code& fault, std::size_t count) {
        if (fault == asio::error::operation_aborted || !socket_.is_open()) return;
        const auto peer = std::ranges::find(peers_, sender_);
        if (!fault && count <= kLongest && peer != peers_.end()) {
          std::string text(bytes_.data(), count);
          const bool membership = membership_ && membership::is_for_membership(text);
          (membership ? membership_ : heard_)(static_cast<int>(peer - peers_.begin()), std::move(text));
        }
        listen();
      });
}

}  // namespace reedspindle::front
