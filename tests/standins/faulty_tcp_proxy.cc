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
  pollfd poll_entry{socket, POLLIN, 0};
  return poll(&poll_entry, 1, kPollMilliseconds) > 0;
}

}  // namespace

// Both sockets of one forwarded connection. They are closed when neither
// direction uses them any more.
struct FaultyTcpProxy::Connection {
  Connection(int client_socket, int target_socket)
      : client_socket(client_socket), target_socket(target_socket) {}
  ~Connection() {
    close(this->client_socket);
    close(this->target_socket);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Break() {
    this->broken = true;
    shutdown(this->client_socket, SHUT_RDWR);
    shutdown(this->target_socket, SHUT_RDWR);
  }

  const int client_socket;
  const int target_socket;
  std::atomic<bool> stalled{false};
  std::atomic<bool> broken{false};
};

FaultyTcpProxy::FaultyTcpProxy(Endpoint to) : to(std::move(to)) {}

FaultyTcpProxy::~FaultyTcpProxy() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
    for (const auto& connection : this->connections) connection->Break();
  }
  if (this->acceptor.joinable()) this->acceptor.join();
  absl::MutexLock lock(&this->mutex);
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return this->running_forwarders == 0;
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
    const int client_socket = accept(this->listener, nullptr, nullptr);
    if (client_socket < 0) continue;
    absl::MutexLock lock(&this->mutex);
    const int target_socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = AddressOf(this->to);
    const bool is_connected =
        !this->partitioned &&
        connect(target_socket, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0;
    auto connection =
        std::make_shared<Connection>(client_socket, target_socket);
    if (!is_connected) continue;
    this->connections.push_back(connection);
    this->running_forwarders += 2;
    std::thread([this, connection] {
      this->Forward(connection, connection->client_socket,
                    connection->target_socket);
    }).detach();
    std::thread([this, connection] {
      this->Forward(connection, connection->target_socket,
                    connection->client_socket);
    }).detach();
  }
}

void FaultyTcpProxy::Forward(const std::shared_ptr<Connection>& connection,
                             int from, int to) {
  std::array<char, kBufferBytes> buffer;
  while (!connection->broken) {
    if (connection->stalled) {
      usleep(kPollMilliseconds * 1000);
      continue;
    }
    if (!WaitReadable(from)) continue;
    const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0) break;
    if (connection->stalled) continue;
    if (send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) !=
        size) {
      break;
    }
  }
  connection->Break();
  absl::MutexLock lock(&this->mutex);
  this->connections.remove(connection);
  --this->running_forwarders;
}

void FaultyTcpProxy::SetPartitioned(bool partitioned) {
  absl::MutexLock lock(&this->mutex);
  this->partitioned = partitioned;
  if (!partitioned) return;
  for (const auto& connection : this->connections) connection->Break();
}

void FaultyTcpProxy::StallOpenConnections() {
  absl::MutexLock lock(&this->mutex);
  for (const auto& connection : this->connections) connection->stalled = true;
}

}  // namespace dragonflyglade
