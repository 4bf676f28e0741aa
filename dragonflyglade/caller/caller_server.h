#ifndef DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_
#define DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_

#include <memory>

#include "dragonflyglade/caller/request_handler.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// The HTTP server towards callers.
class CallerServer {
 public:
  /// @param threads the most connections that are served at once
  CallerServer(Endpoint listen, RequestHandler& handler, const Metrics& metrics,
               int threads);
  ~CallerServer();

  /// Binds and begins to answer.
  /// @return the port, which the system chose if the settings say 0
  Result<int> Start();

  /// Takes no new connections; those open are asked to close.
  void CloseIdle();

  /// Stops once the requests under way have their answers.
  void Stop();

  /// Requests and streams under way.
  int Active() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_CALLER_SERVER_H_
