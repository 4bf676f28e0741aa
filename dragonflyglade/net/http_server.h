#ifndef DRAGONFLYGLADE_NET_HTTP_SERVER_H_
#define DRAGONFLYGLADE_NET_HTTP_SERVER_H_

#include <memory>
#include <string_view>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"

namespace httplib {
class Server;
}

namespace dragonflyglade {

/// An HTTP server with its thread.
class HttpServer {
 public:
  /// @param threads the most connections that are served at once
  HttpServer(Endpoint listen, int threads);
  ~HttpServer();

  /// The library's server, to set routes on before Start.
  httplib::Server& HttplibServer();

  /// Binds and begins to answer.
  /// @return the port, which the system chose if it was 0
  Result<int> Start(std::string_view step);

  /// Takes no new connections and waits for the requests under way.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_HTTP_SERVER_H_
