#ifndef DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_
#define DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_

#include <memory>

#include "dragonflyglade/caller/request_handler.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// The HTTP server for callers.
class CallerServer {
 public:
  /// @param threads the number of connections that can be served at once
  CallerServer(Endpoint listen, RequestHandler& handler, const Metrics& metrics,
               int threads);
  ~CallerServer();

  /// Binds the address and starts to serve requests.
  /// @return the port, which the system chose if the given one is 0
  /// Errors: kUnavailable if the address cannot be bound.
  Result<int> Start();

  /// Makes every response from now on ask the caller to close its connection.
  void CloseAfterResponses();

  /// Stops accepting connections and waits for the requests in progress.
  void Stop();

  /// The number of requests and streams in progress.
  int Active() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_
