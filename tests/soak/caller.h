#ifndef DRAGONFLYGLADE_TESTS_SOAK_CALLER_H_
#define DRAGONFLYGLADE_TESTS_SOAK_CALLER_H_

#include <string>

#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "tests/soak/promises.h"

namespace dragonflyglade::soak {

/// A connection of a caller, used for request after request until it ends.
class Connection {
 public:
  explicit Connection(const Endpoint& to);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open() const { return this->fd >= 0; }

  /// Sends a request and reads its answer. Closes the connection if the answer
  /// is not whole or says so.
  /// @param pause in the middle of the head
  Outcome Ask(const std::string& id, Kind kind, const std::string& key,
              absl::Duration pause = absl::ZeroDuration());

 private:
  bool Send(const std::string& text, absl::Duration pause, Outcome& outcome);
  bool ReadHead(Outcome& outcome, std::string& head);
  void ReadAnswer(Outcome& outcome);
  bool Receive();
  bool ReadBody(const std::string& head, Outcome& outcome);
  void Close();

  int fd = -1;
  absl::Time used;        ///< when connecting, or the last request, began
  absl::Duration stated;  ///< for so long it stays, by the last answer
  std::string buffer;
};

/// The path of a kind of request.
std::string PathOf(Kind kind);

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_CALLER_H_
