#include "proxy/peer_socket.hpp"

#include <linux/errqueue.h>
#include <netinet/in.h>
#include <netinet/ip_icmp.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace reedspindle::proxy {

constexpr std::size_t kMaxDatagramBytes = 256;  // the protocol's maximum datagram size
constexpr int kMaxDatagramsPerCallback = 32;

PeerSocket::PeerSocket(asio::io_context& io, logging::Log& log, const config::InstanceConfig& config,
                       DatagramHandler handler)
    : log_(log), config_(config), default_handler_(std::move(handler)), socket_(io) {
  set_peers(config.peers);
  if (!config_.peers_enabled) {
    return;
  }
  socket_.open(config_.peer_listen.protocol());
  socket_.bind(config_.peer_listen);
  socket_.non_blocking(true);
  wait_for_datagrams();
}

void PeerSocket::set_peers(std::vector<asio::ip::udp::endpoint> peers) {
  peers_ = std::move(peers);
  peer_numbers_.clear();
  for (std::size_t number = 0; number < peers_.size(); ++number) {
    peer_numbers_.emplace(peers_[number], static_cast<int>(number));
  }
}

void PeerSocket::broadcast(const std::string& text) {
  if (!socket_.is_open()) {
    return;
  }
  if (text.size() > kMaxDatagramBytes) {
    return log_.warn("peers", "datagram too long to send", {{"bytes", text.size()}});
  }
  asio::error_code error;  // ignored: UDP may lose datagrams in any case
  socket_.send_to(asio::buffer(text), config_.peers_all, 0, error);
}

void PeerSocket::send(int peer, const std::string& bytes) {
  if (!socket_.is_open() || static_cast<std::size_t>(peer) >= peers_.size()) {
    return;
  }
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, error);
  // If an error of an earlier datagram is pending, Linux returns it from send_to, once, and does not send
  // this datagram. If the errors are handled, the error queue is read and the datagram is sent again.
  if (error && port_unreachable_) {
    read_error_queue();
    socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, error);
  }
}

void PeerSocket::on_port_unreachable(DatagramHandler handler) {
  port_unreachable_ = std::move(handler);
  if (!socket_.is_open()) {
    return;
  }
  const int on = 1;
  setsockopt(socket_.native_handle(), IPPROTO_IP, IP_RECVERR, &on, sizeof on);
}

// Reads the socket's error queue and calls the handler for each ICMP port unreachable error of a peer, which
// shows that no process is bound to the port that the datagram was sent to (RFC 1122, 4.1.3.1). Linux keeps
// the datagram and its destination in the error queue (ip(7), IP_RECVERR). Other errors do not show whether
// the peer is running, and are ignored.
void PeerSocket::read_error_queue() {
  for (int errors_read = 0; errors_read < 64 && socket_.is_open(); ++errors_read) {
    std::array<char, 512> bytes;
    alignas(cmsghdr) std::array<char, 512> control;
    sockaddr_in destination{};
    iovec payload{bytes.data(), bytes.size()};
    msghdr message{};
    message.msg_name = &destination, message.msg_namelen = sizeof destination;
    message.msg_iov = &payload, message.msg_iovlen = 1;
    message.msg_control = control.data(), message.msg_controllen = control.size();
    const ssize_t count = recvmsg(socket_.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
      if (header->cmsg_level != IPPROTO_IP || header->cmsg_type != IP_RECVERR) {
        continue;
      }
      sock_extended_err socket_error;
      std::copy_n(CMSG_DATA(header), sizeof socket_error, reinterpret_cast<unsigned char*>(&socket_error));
      if (socket_error.ee_origin != SO_EE_ORIGIN_ICMP || socket_error.ee_type != ICMP_DEST_UNREACH ||
          socket_error.ee_code != ICMP_PORT_UNREACH) {
        continue;
      }
      const asio::ip::udp::endpoint destination_endpoint(
          asio::ip::address_v4(ntohl(destination.sin_addr.s_addr)), ntohs(destination.sin_port));
      const auto peer = std::ranges::find(peers_, destination_endpoint);
      if (peer != peers_.end()) {
        port_unreachable_(static_cast<int>(peer - peers_.begin()),
                          std::string(bytes.data(), static_cast<std::size_t>(count)));
      }
    }
  }
}

void PeerSocket::stop() {
  asio::error_code ignored;
  socket_.close(ignored);
}

// Waits until the socket is readable, then handles the datagrams that have arrived. Many peers may send at
// the same moment, so one callback handles more than one datagram, up to kMaxDatagramsPerCallback.
void PeerSocket::wait_for_datagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& wait_error) {
    if (wait_error == asio::error::operation_aborted || !socket_.is_open()) {
      return;
    }
    if (port_unreachable_) {
      read_error_queue();
    }
    for (int datagrams_read = 0; datagrams_read < kMaxDatagramsPerCallback && socket_.is_open();
         ++datagrams_read) {
      asio::error_code error;
      asio::ip::udp::endpoint sender;
      const std::size_t count = socket_.receive_from(asio::buffer(bytes_), sender, 0, error);
      if (error == asio::error::would_block) {
        break;
      }
      if (!error && count <= kMaxDatagramBytes) {
        handle_datagram({bytes_.data(), count}, sender);
      }
    }
    if (socket_.is_open()) {
      wait_for_datagrams();
    }
  });
}

void PeerSocket::handle_datagram(std::string_view bytes, const asio::ip::udp::endpoint& sender) {
  const auto peer = peer_numbers_.find(sender);
  if (peer == peer_numbers_.end()) {
    return;
  }
  std::string text(bytes);
  const auto handler =
      std::ranges::find_if(handlers_, [&text](const auto& item) { return item.first(text); });
  (handler == handlers_.end() ? default_handler_ : handler->second)(peer->second, std::move(text));
}

}  // namespace reedspindle::proxy
