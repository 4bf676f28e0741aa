#ifndef DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_
#define DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// Shows operators what an instance sees: GET /status, as JSON.
class StatusServer {
 public:
  using Read = std::function<nlohmann::json()>;

  StatusServer(Endpoint listen, Read read);
  ~StatusServer();

  /// @return the port, which the system chose if the settings say 0
  Result<int> Start();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Asks an instance for its status. Errors: kUnavailable, kMalformedResponse.
Result<nlohmann::json> FetchStatus(const Endpoint& instance);

/// The status in lines for people.
std::string StatusText(const nlohmann::json& status);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_STATUS_SERVER_H_
