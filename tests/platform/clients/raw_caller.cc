#include "tests/platform/clients/raw_caller.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "tests/fleet/tcp_connect.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {
namespace {

// The deadline of ordinary callers. What they ask for takes milliseconds.
constexpr timeval kReceiveTimeout = {6, 0};
// The gateway need not read what a client sends that does not behave.
constexpr timeval kSendTimeout = {2, 0};

}  // namespace

RawCaller::RawCaller(const Endpoint& endpoint)
    : fd(ConnectTcp(endpoint, {kReceiveTimeout, kSendTimeout})) {}

RawCaller::~RawCaller() { this->Close(); }

void RawCaller::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

bool RawCaller::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void RawCaller::SendRepeatedly(std::string_view bytes, std::size_t total) {
  constexpr std::size_t kBlockBytes = 64u << 10;
  std::string block;
  while (block.size() < kBlockBytes) block += bytes;
  for (std::size_t sent = 0; sent < total; sent += block.size()) {
    if (!this->Send(block)) return;
  }
}

std::size_t RawCaller::SendWithoutWaiting(std::string_view bytes) {
  std::size_t total = 0;
  while (total < bytes.size()) {
    const ssize_t sent =
        send(this->fd, bytes.data() + total, bytes.size() - total,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) break;
    total += static_cast<std::size_t>(sent);
  }
  return total;
}

std::size_t RawCaller::UnsentBytes() const {
  int bytes = 0;
  ioctl(this->fd, SIOCOUTQ, &bytes);
  return static_cast<std::size_t>(bytes);
}

bool RawCaller::Receive() {
  char bytes[4096];
  const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  this->received.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::string RawCaller::ReadResponse() {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  while (this->received.find(kHeadEnd) == std::string::npos) {
    if (!this->Receive()) return "";
  }
  const std::size_t head = this->received.find(kHeadEnd) + kHeadEnd.size();
  const std::string length =
      RawRequest{this->received.substr(0, head), ""}.Field("Content-Length");
  const std::size_t size = head + (length.empty() ? 0 : std::stoul(length));
  while (this->received.size() < size) {
    if (!this->Receive()) return "";
  }
  std::string response = this->received.substr(0, size);
  this->received.erase(0, size);
  return response;
}

std::string RawCaller::ReadToEnd() {
  while (this->Receive()) {
  }
  return std::move(this->received);
}

void RawCaller::CloseSending() { shutdown(this->fd, SHUT_WR); }

void RawCaller::Reset() {
  const linger at_once = {1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  this->Close();
}

int StatusOf(const std::string& response) {
  constexpr std::size_t kStatusAt = 9;  // after "HTTP/1.1 "
  if (response.size() < kStatusAt + 3) return 0;
  return std::stoi(response.substr(kStatusAt, 3));
}

}  // namespace dragonflyglade
