#ifndef DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_
#define DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// Serves an instance's status to operators, as JSON at GET /status.
class StatusServer {
 public:
  using Read = std::function<nlohmann::json()>;

  StatusServer(Endpoint listen, Read read);
  ~StatusServer();

  /// @return the port, which the system chose if the given one is 0
  Result<int> Start();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Fetches an instance's status. Errors: those of HttpCall; kMalformedResponse
/// for a malformed response.
Result<nlohmann::json> FetchStatus(const Endpoint& instance);

/// Formats a status as lines of text.
std::string StatusText(const nlohmann::json& status);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_
