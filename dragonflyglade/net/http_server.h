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

/// An HTTP server with an accepting thread of its own.
class HttpServer {
 public:
  /// @param threads the number of connections that can be served at once
  HttpServer(Endpoint listen, int threads);
  ~HttpServer();

  /// The underlying server of the httplib library. Set its routes before Start.
  httplib::Server& HttplibServer();

  /// Binds the address and starts to serve requests.
  /// @param step the step that an error carries
  /// @return the port, which the system chose if it was 0
  /// Errors: kUnavailable if the address cannot be bound.
  Result<int> Start(std::string_view step);

  /// Stops accepting connections and waits for the requests in progress.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_HTTP_SERVER_H_
