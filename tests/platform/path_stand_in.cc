#include "tests/platform/path_stand_in.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "absl/synchronization/notification.h"
#include "dragonflyglade/net/connection_end.h"

namespace dragonflyglade {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 128;
// With a queue of length 0 the kernel holds one connection and drops the
// packets that would open another one.
constexpr int kQueueFillers = 3;

tcp::endpoint EndpointOf(const std::string& address) {
  const Endpoint endpoint = ParseEndpoint(address).Value();
  return {asio::ip::make_address(endpoint.address),
          static_cast<unsigned short>(endpoint.port)};
}

}  // namespace

struct PathStandIn::Connection {
  explicit Connection(Socket accepted)
      : near(std::move(accepted)), far(this->near.get_executor()) {}

  void Reset() {
    for (Socket* socket : {&this->near, &this->far}) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  Socket near;
  Socket far;
  std::array<char, 16384> from_near{};
  std::array<char, 16384> from_far{};
};

PathStandIn::PathStandIn(const std::string& target)
    : acceptor(this->context), target(EndpointOf(target)) {
  this->Listen();
  this->thread = std::thread([this] {
    const auto work = asio::make_work_guard(this->context);
    this->context.run();
  });
}

PathStandIn::~PathStandIn() {
  this->context.stop();
  this->thread.join();
}

std::string PathStandIn::Address() const {
  return Endpoint{"127.0.0.1", this->port}.ToString();
}

template <typename T>
T PathStandIn::RunOnLoop(const std::function<T()>& action) const {
  std::optional<T> result;
  absl::Notification done;
  asio::post(this->context, [&] {
    result = action();
    done.Notify();
  });
  done.WaitForNotification();
  return *result;
}

void PathStandIn::Set(PathState state) {
  this->RunOnLoop<bool>([this, state] {
    this->Apply(state);
    return true;
  });
}

int PathStandIn::Connections() const {
  return this->RunOnLoop<int>([this] { return this->forwarded; });
}

void PathStandIn::Listen() {
  const tcp::endpoint local(asio::ip::address_v4::loopback(), this->port);
  this->acceptor.open(local.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(local);
  this->acceptor.listen(kBacklog);
  this->port = this->acceptor.local_endpoint().port();
  this->Accept();
}

void PathStandIn::Accept() {
  this->acceptor.async_accept([this](const error_code& error, Socket accepted) {
    if (error) return;
    this->Forward(std::move(accepted));
    this->Accept();
  });
}

void PathStandIn::Forward(Socket accepted) {
  auto connection = std::make_shared<Connection>(std::move(accepted));
  error_code error;
  connection->far.connect(this->target, error);
  if (error) return;
  this->forwarded += 1;
  this->connections.push_back(connection);
  this->Pump(connection, connection->near, connection->far);
  this->Pump(connection, connection->far, connection->near);
}

// A path that hangs goes on reading and loses the bytes.
void PathStandIn::Pump(std::shared_ptr<Connection> connection, Socket& from,
                       Socket& to) {
  auto& bytes =
      &from == &connection->near ? connection->from_near : connection->from_far;
  from.async_read_some(
      asio::buffer(bytes), [this, connection, &from, &to, &bytes](
                               const error_code& error, std::size_t count) {
        if (this->state == PathState::kHangs) {
          if (!error) this->Pump(connection, from, to);
          return;
        }
        if (error) {
          HandleEnd(*connection, from, to);
          return;
        }
        asio::async_write(to, asio::buffer(bytes, count),
                          [this, connection, &from, &to](
                              const error_code& failure, std::size_t) {
                            if (failure) {
                              connection->Reset();
                              return;
                            }
                            this->Pump(connection, from, to);
                          });
      });
}

// A path passes on how a connection ended, also if a write took the error.
void PathStandIn::HandleEnd(Connection& connection, Socket& from, Socket& to) {
  if (EndOfConnection(from) != ConnectionEnd::kOrderly) {
    connection.Reset();
    return;
  }
  error_code ignored;
  to.shutdown(Socket::shutdown_send, ignored);
}

void PathStandIn::Apply(PathState state) {
  this->state = state;
  error_code ignored;
  this->acceptor.close(ignored);
  this->queue_fillers.clear();
  if (state == PathState::kResets) this->ResetConnections();
  if (state == PathState::kResets || state == PathState::kRefusesNew) return;
  this->Listen();
  if (state != PathState::kOpen) this->DropNewConnections();
}

void PathStandIn::DropNewConnections() {
  this->acceptor.cancel();
  this->acceptor.listen(0);
  for (int i = 0; i < kQueueFillers; ++i) {
    auto socket = std::make_unique<Socket>(this->context);
    socket->async_connect(this->acceptor.local_endpoint(),
                          [](const error_code&) {});
    this->queue_fillers.push_back(std::move(socket));
  }
}

void PathStandIn::ResetConnections() {
  for (const auto& connection : this->connections) connection->Reset();
  this->connections.clear();
}

}  // namespace dragonflyglade
