#include "tests/standins/faulty_tcp_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <stdexcept>
#include <utility>

namespace dragonflyglade {
namespace {

constexpr int kPollMilliseconds = 20;
constexpr std::size_t kBufferBytes = 16u << 10;

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

bool WaitReadable(int socket) {
  pollfd waited{socket, POLLIN, 0};
  return poll(&waited, 1, kPollMilliseconds) > 0;
}

}  // namespace

// Both directions of one connection; the sockets close with the last user.
struct FaultyTcpProxy::Link {
  Link(int near, int far) : near(near), far(far) {}
  ~Link() {
    close(this->near);
    close(this->far);
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Break() {
    this->broken = true;
    shutdown(this->near, SHUT_RDWR);
    shutdown(this->far, SHUT_RDWR);
  }

  const int near;
  const int far;
  std::atomic<bool> silent{false};
  std::atomic<bool> broken{false};
};

FaultyTcpProxy::FaultyTcpProxy(Endpoint to) : to(std::move(to)) {}

FaultyTcpProxy::~FaultyTcpProxy() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
    for (const auto& link : this->links) link->Break();
  }
  if (this->acceptor.joinable()) this->acceptor.join();
  absl::MutexLock lock(&this->mutex);
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return this->carriers == 0;
  };
  this->mutex.Await(absl::Condition(&idle));
  if (this->listener >= 0) close(this->listener);
}

Endpoint FaultyTcpProxy::Start() {
  this->listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = AddressOf(Endpoint{"127.0.0.1", 0});
  socklen_t size = sizeof(address);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    throw std::runtime_error("cannot bind");
  }
  listen(this->listener, SOMAXCONN);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->acceptor = std::thread([this] { this->Accept(); });
  return Endpoint{"127.0.0.1", ntohs(address.sin_port)};
}

void FaultyTcpProxy::Accept() {
  while (true) {
    {
      absl::MutexLock lock(&this->mutex);
      if (this->stopping) return;
    }
    if (!WaitReadable(this->listener)) continue;
    const int near = accept(this->listener, nullptr, nullptr);
    if (near < 0) continue;
    absl::MutexLock lock(&this->mutex);
    const int far = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = AddressOf(this->to);
    const bool connected =
        !this->cut && connect(far, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    auto link = std::make_shared<Link>(near, far);
    if (!connected) continue;
    this->links.push_back(link);
    this->carriers += 2;
    std::thread([this, link] {
      this->Carry(link, link->near, link->far);
    }).detach();
    std::thread([this, link] {
      this->Carry(link, link->far, link->near);
    }).detach();
  }
}

void FaultyTcpProxy::Carry(const std::shared_ptr<Link>& link, int from,
                           int to) {
  std::array<char, kBufferBytes> buffer;
  while (!link->broken) {
    if (link->silent) {
      usleep(kPollMilliseconds * 1000);
      continue;
    }
    if (!WaitReadable(from)) continue;
    const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0) break;
    if (link->silent) continue;
    if (send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) !=
        size) {
      break;
    }
  }
  link->Break();
  absl::MutexLock lock(&this->mutex);
  this->links.remove(link);
  --this->carriers;
}

void FaultyTcpProxy::SetPartitioned(bool cut) {
  absl::MutexLock lock(&this->mutex);
  this->cut = cut;
  if (!cut) return;
  for (const auto& link : this->links) link->Break();
}

void FaultyTcpProxy::StallOpenConnections() {
  absl::MutexLock lock(&this->mutex);
  for (const auto& link : this->links) link->silent = true;
}

}  // namespace dragonflyglade
