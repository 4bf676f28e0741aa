#include "dragonflyglade/net/bounded_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace dragonflyglade {
namespace {

void TellAddress(const sockaddr_storage& address, std::string& ip, int& port) {
  std::array<char, INET6_ADDRSTRLEN> text = {};
  if (address.ss_family == AF_INET) {
    const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(address);
    inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
    port = ntohs(ipv4.sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(address);
    inet_ntop(AF_INET6, &ipv6.sin6_addr, text.data(), text.size());
    port = ntohs(ipv6.sin6_port);
  }
  ip = text.data();
}

}  // namespace

BoundedStream::BoundedStream(int fd, absl::Duration read_timeout,
                             absl::Duration write_timeout)
    : fd(fd), read_timeout(read_timeout), write_timeout(write_timeout) {}

bool BoundedStream::Wait(short events, absl::Duration time) const {
  pollfd waiting = {this->fd, events, 0};
  int ready = -1;
  do {
    ready =
        poll(&waiting, 1, static_cast<int>(absl::ToInt64Milliseconds(time)));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

bool BoundedStream::AwaitRequest(absl::Duration time) const {
  return !this->unread.empty() || this->Wait(POLLIN, time);
}

void BoundedStream::BeginRequest() {
  this->in_head = true;
  this->head_bytes = 0;
  this->line_bytes = 0;
}

bool BoundedStream::is_readable() const {
  return this->AwaitRequest(this->read_timeout);
}

bool BoundedStream::is_writable() const {
  return this->Wait(POLLOUT, this->write_timeout);
}

bool BoundedStream::Receive() {
  if (!this->Wait(POLLIN, this->read_timeout)) return false;
  ssize_t received = -1;
  do {
    received = recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
  } while (received < 0 && errno == EINTR);
  if (received <= 0) return false;
  this->unread = {this->buffer.data(), static_cast<std::size_t>(received)};
  return true;
}

// The library reads lines byte by byte, and bodies in larger pieces.
ssize_t BoundedStream::read(char* bytes, std::size_t size) {
  if (this->unread.empty() && !this->Receive()) return -1;
  const std::size_t count = std::min(size, this->unread.size());
  std::memcpy(bytes, this->unread.data(), count);
  this->unread.remove_prefix(count);
  if (size == 1 && !this->CountByteOfLine(bytes[0])) return -1;
  return static_cast<ssize_t>(count);
}

bool BoundedStream::CountByteOfLine(char byte) {
  constexpr std::size_t kLineEndBytes = 2;
  this->line_bytes += 1;
  if (this->in_head) this->head_bytes += 1;
  const bool fits =
      this->line_bytes <= kMaxLineBytes && this->head_bytes <= kMaxHeadBytes;
  if (byte == '\n') {
    const bool is_empty = this->line_bytes <= kLineEndBytes;
    if (is_empty) this->in_head = false;
    this->line_bytes = 0;
  }
  return fits;
}

ssize_t BoundedStream::write(const char* bytes, std::size_t size) {
  if (!this->is_writable()) return -1;
  ssize_t sent = -1;
  do {
    sent = send(this->fd, bytes, size, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (getpeername(this->fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    TellAddress(address, ip, port);
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    TellAddress(address, ip, port);
}

}  // namespace dragonflyglade
