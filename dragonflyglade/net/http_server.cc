#include "dragonflyglade/net/http_server.h"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>
#include <utility>

#include "absl/time/time.h"
#include "dragonflyglade/net/bounded_stream.h"
#include "dragonflyglade/net/socket_options.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kMaxRequestsPerConnection = 10'000;
constexpr int kKeepAliveSeconds = 5;
constexpr int kReadTimeoutSeconds = 10;
constexpr int kWriteTimeoutSeconds = 30;

// The library's server, with bounds on what it reads of a request.
//
// Failure: the library keeps the lines of a request until they end, and its
// fields without a limit on their number; a few callers take all memory.
class BoundedServer : public httplib::Server {
 private:
  bool process_and_close_socket(socket_t socket) override {
    BoundedStream stream(socket, absl::Seconds(this->read_timeout_sec_),
                         absl::Seconds(this->write_timeout_sec_));
    const bool served = this->ServeRequests(stream);
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return served;
  }

  bool ServeRequests(BoundedStream& stream) {
    bool served = false;
    for (std::size_t left = this->keep_alive_max_count_; left > 0; --left) {
      const bool is_stopping = this->svr_sock_ == INVALID_SOCKET;
      const absl::Duration idle = absl::Seconds(this->keep_alive_timeout_sec_);
      if (is_stopping || !stream.AwaitRequest(idle)) return served;
      stream.BeginRequest();
      bool closed = false;
      served = this->process_request(stream, left == 1, closed, nullptr);
      if (!served || closed) return served;
    }
    return served;
  }
};

}  // namespace

struct HttpServer::Impl {
  Endpoint listen;
  BoundedServer server;
  std::thread thread;
};

HttpServer::HttpServer(Endpoint listen, int threads)
    : impl(std::make_unique<Impl>()) {
  this->impl->listen = std::move(listen);
  httplib::Server& server = this->impl->server;
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(static_cast<std::size_t>(threads));
  };
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_read_timeout(kReadTimeoutSeconds);
  server.set_write_timeout(kWriteTimeoutSeconds);
  server.set_tcp_nodelay(true);
  server.set_socket_options([](int socket) { ConfigureListenSocket(socket); });
}

HttpServer::~HttpServer() { this->Stop(); }

httplib::Server& HttpServer::HttplibServer() { return this->impl->server; }

Result<int> HttpServer::Start(std::string_view step) {
  Impl& state = *this->impl;
  int port = state.listen.port;
  const bool bound =
      port == 0
          ? (port = state.server.bind_to_any_port(state.listen.address)) > 0
          : state.server.bind_to_port(state.listen.address, port);
  if (!bound) {
    return MakeFailure(Errc::kUnavailable, step, state.listen.ToString(),
                       "the address cannot be bound");
  }
  state.thread = std::thread([&state] { state.server.listen_after_bind(); });
  while (!state.server.is_running()) std::this_thread::yield();
  return port;
}

void HttpServer::Stop() {
  Impl& state = *this->impl;
  if (!state.thread.joinable()) return;
  state.server.stop();
  state.thread.join();
}

}  // namespace dragonflyglade
