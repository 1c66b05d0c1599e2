#include "proxy/peer_socket.hpp"

#include <linux/errqueue.h>
#include <netinet/in.h>
#include <netinet/ip_icmp.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace reedspindle::proxy {

constexpr std::size_t kLongest = 256;  // the protocol's limit on a datagram
constexpr int kTakenAtOnce = 32;

PeerSocket::PeerSocket(asio::io_context& io, logging::Log& log, const config::InstanceConfig& config,
                       DatagramHandler heard)
    : log_(log), config_(config), heard_(std::move(heard)), socket_(io) {
  set_peers(config.peers);
  if (!config_.peers_enabled) {
    return;
  }
  socket_.open(config_.peer_listen.protocol());
  socket_.bind(config_.peer_listen);
  socket_.non_blocking(true);
  listen();
}

void PeerSocket::set_peers(std::vector<asio::ip::udp::endpoint> peers) {
  peers_ = std::move(peers);
  numbers_.clear();
  for (std::size_t number = 0; number < peers_.size(); ++number) {
    numbers_.emplace(peers_[number], static_cast<int>(number));
  }
}

void PeerSocket::tell(const std::string& text) {
  if (!socket_.is_open()) {
    return;
  }
  if (text.size() > kLongest) {
    return log_.warn("peers", "text too long", {{"bytes", text.size()}});
  }
  asio::error_code lost;  // datagrams may be lost anyway
  socket_.send_to(asio::buffer(text), config_.peers_all, 0, lost);
}

void PeerSocket::tell(int peer, const std::string& bytes) {
  if (!socket_.is_open() || static_cast<std::size_t>(peer) >= peers_.size()) {
    return;
  }
  asio::error_code lost;
  socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, lost);
  // An error of an earlier datagram stops this one, once.
  if (lost && refused_) {
    hear_refusals();
    socket_.send_to(asio::buffer(bytes), peers_[static_cast<std::size_t>(peer)], 0, lost);
  }
}

void PeerSocket::on_refusals(DatagramHandler refused) {
  refused_ = std::move(refused);
  if (!socket_.is_open()) {
    return;
  }
  const int on = 1;
  setsockopt(socket_.native_handle(), IPPROTO_IP, IP_RECVERR, &on, sizeof on);
}

// The machine at the other end says that nobody has that port (ICMP, RFC 1122 4.1.3.1); Linux keeps the
// datagram and where it went in the socket's queue of errors (ip(7), IP_RECVERR). Other errors say nothing of
// who is there.
void PeerSocket::hear_refusals() {
  for (int taken = 0; taken < 64 && socket_.is_open(); ++taken) {
    std::array<char, 512> bytes;
    alignas(cmsghdr) std::array<char, 512> more;
    sockaddr_in to{};
    iovec part{bytes.data(), bytes.size()};
    msghdr message{};
    message.msg_name = &to, message.msg_namelen = sizeof to;
    message.msg_iov = &part, message.msg_iovlen = 1;
    message.msg_control = more.data(), message.msg_controllen = more.size();
    const ssize_t count = recvmsg(socket_.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    for (cmsghdr* head = CMSG_FIRSTHDR(&message); head; head = CMSG_NXTHDR(&message, head)) {
      if (head->cmsg_level != IPPROTO_IP || head->cmsg_type != IP_RECVERR) {
        continue;
      }
      sock_extended_err fault;
      std::copy_n(CMSG_DATA(head), sizeof fault, reinterpret_cast<unsigned char*>(&fault));
      if (fault.ee_origin != SO_EE_ORIGIN_ICMP || fault.ee_type != ICMP_DEST_UNREACH ||
          fault.ee_code != ICMP_PORT_UNREACH) {
        continue;
      }
      const asio::ip::udp::endpoint at(asio::ip::address_v4(ntohl(to.sin_addr.s_addr)), ntohs(to.sin_port));
      const auto peer = std::ranges::find(peers_, at);
      if (peer != peers_.end()) {
        refused_(static_cast<int>(peer - peers_.begin()),
                 std::string(bytes.data(), static_cast<std::size_t>(count)));
      }
    }
  }
}

void PeerSocket::stop() {
  asio::error_code ignored;
  socket_.close(ignored);
}

// Takes what is there, up to so many datagrams in one callback: many fronts speak in one moment.
void PeerSocket::listen() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& fault) {
    if (fault == asio::error::operation_aborted || !socket_.is_open()) {
      return;
    }
    if (refused_) {
      hear_refusals();
    }
    for (int taken = 0; taken < kTakenAtOnce && socket_.is_open(); ++taken) {
      asio::error_code none;
      asio::ip::udp::endpoint sender;
      const std::size_t count = socket_.receive_from(asio::buffer(bytes_), sender, 0, none);
      if (none == asio::error::would_block) {
        break;
      }
      if (!none && count <= kLongest) {
        heard({bytes_.data(), count}, sender);
      }
    }
    if (socket_.is_open()) {
      listen();
    }
  });
}

void PeerSocket::heard(std::string_view bytes, const asio::ip::udp::endpoint& sender) {
  const auto peer = numbers_.find(sender);
  if (peer == numbers_.end()) {
    return;
  }
  std::string text(bytes);
  const auto taker =
      std::ranges::find_if(handed_over_, [&text](const auto& item) { return item.first(text); });
  (taker == handed_over_.end() ? heard_ : taker->second)(peer->second, std::move(text));
}

}  // namespace reedspindle::proxy
