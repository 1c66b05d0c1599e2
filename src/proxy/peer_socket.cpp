#include "proxy/peer_socket.hpp"

#include <linux/errqueue.h>
#include <netinet/in.h>
#include <netinet/ip_icmp.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace reedspindle::proxy {

constexpr std::size_t kMaxDatagramBytes = 256;  // the protocol's limit on a datagram
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
  asio::error_code error;  // ignored: datagrams may be lost anyway
  socket_.send_to(asio::buffer(text), config_.peers_all, 0, error);
}

void PeerSocket::send(int peer, const std::string& bytes) {
  if (!socket_.is_open() || static_cast<std::size_t>(peer) >= peers_.size()) {
    return;
  }
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, error);
  // Linux reports the error of an earlier datagram here, once, instead of sending this one. Read it, and send
  // again.
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

// Reads reports that no process has the port that a datagram was sent to (ICMP port unreachable, RFC 1122
// 4.1.3.1). Linux keeps the datagram and its destination in the error queue of the socket (ip(7),
// IP_RECVERR). Other errors do not show whether the peer is running, and are ignored.
void PeerSocket::read_error_queue() {
  for (int count_read = 0; count_read < 64 && socket_.is_open(); ++count_read) {
    std::array<char, 512> bytes;
    alignas(cmsghdr) std::array<char, 512> control;
    sockaddr_in to{};
    iovec part{bytes.data(), bytes.size()};
    msghdr message{};
    message.msg_name = &to, message.msg_namelen = sizeof to;
    message.msg_iov = &part, message.msg_iovlen = 1;
    message.msg_control = control.data(), message.msg_controllen = control.size();
    const ssize_t count = recvmsg(socket_.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
      if (header->cmsg_level != IPPROTO_IP || header->cmsg_type != IP_RECVERR) {
        continue;
      }
      sock_extended_err report;
      std::copy_n(CMSG_DATA(header), sizeof report, reinterpret_cast<unsigned char*>(&report));
      if (report.ee_origin != SO_EE_ORIGIN_ICMP || report.ee_type != ICMP_DEST_UNREACH ||
          report.ee_code != ICMP_PORT_UNREACH) {
        continue;
      }
      const asio::ip::udp::endpoint at(asio::ip::address_v4(ntohl(to.sin_addr.s_addr)), ntohs(to.sin_port));
      const auto peer = std::ranges::find(peers_, at);
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

// Waits for datagrams and handles those that have arrived, up to kMaxDatagramsPerCallback in one callback,
// since many peers may send at the same moment.
void PeerSocket::wait_for_datagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& wait_error) {
    if (wait_error == asio::error::operation_aborted || !socket_.is_open()) {
      return;
    }
    if (port_unreachable_) {
      read_error_queue();
    }
    for (int count_read = 0; count_read < kMaxDatagramsPerCallback && socket_.is_open(); ++count_read) {
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
