#ifndef DRAGONFLYGLADE_TESTS_SOAK_CONNECTION_H_
#define DRAGONFLYGLADE_TESTS_SOAK_CONNECTION_H_

#include <string>

#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "tests/soak/guarantee_checker.h"

namespace dragonflyglade::soak {

/// A caller's connection to an instance, which sends one request after the
/// other until one side closes it.
class Connection {
 public:
  explicit Connection(const Endpoint& endpoint);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open() const { return this->fd >= 0; }

  /// Sends a request and reads the response. Closes the connection if the
  /// response is incomplete or says `Connection: close`.
  /// @param pause time to wait in the middle of the request head
  Outcome Call(const std::string& id, RequestKind kind, const std::string& key,
               absl::Duration pause = absl::ZeroDuration());

 private:
  bool Send(const std::string& text, absl::Duration pause, Outcome& outcome);
  bool ReadHead(Outcome& outcome, std::string& head);
  void ReadResponse(Outcome& outcome);
  bool Receive();
  bool ReadBody(const std::string& head, Outcome& outcome);
  void Close();

  int fd = -1;
  absl::Time last_used;  ///< when the connect or the last request began
  absl::Duration
      keep_alive_timeout;  ///< Keep-Alive timeout of the last response
  std::string buffer;
};

/// The request path that is routed as this kind of request.
std::string PathOf(RequestKind kind);

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_CONNECTION_H_
