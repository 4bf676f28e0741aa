#include "dragonflyglade/net/http_server.h"

#include <httplib.h>

#include <thread>
#include <utility>

#include "dragonflyglade/net/socket_options.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kMaxRequestsPerConnection = 10'000;
constexpr int kKeepAliveSeconds = 5;
constexpr int kReadTimeoutSeconds = 10;
constexpr int kWriteTimeoutSeconds = 30;

}  // namespace

struct HttpServer::Impl {
  Endpoint listen;
  httplib::Server server;
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
