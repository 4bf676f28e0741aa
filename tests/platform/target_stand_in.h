#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_TARGET_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_TARGET_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A request as it stood on the wire.
struct RawRequest {
  std::string head;
  std::string body;

  std::string Field(const std::string& name) const;
  std::string Line() const {
    return this->head.substr(0, this->head.find('\r'));
  }
};

/// A target that answers with the bytes it is told to, also wrong ones.
/// A thread a connection.
class PlatformTargetStandIn {
 public:
  /// The bytes to answer with, and whether to close after them.
  struct Script {
    std::string bytes;
    bool close = false;
    bool hang = false;  ///< answer nothing, wait until the caller closes
  };
  using Answer = std::function<Script(const RawRequest&)>;

  explicit PlatformTargetStandIn(Answer answer);
  ~PlatformTargetStandIn();

  std::string Address() const;

  /// The next requests are answered by these, later ones as ever.
  void Next(Answer answer);

  std::vector<RawRequest> Requests() const;
  /// Connections that the other end closed while the target was hanging.
  int ConnectionsClosedByPeer() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept();
  void Serve(std::shared_ptr<Socket> socket);
  Script ScriptFor(const RawRequest& request);

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  const Answer usual;
  mutable absl::Mutex mutex;
  std::deque<Answer> next ABSL_GUARDED_BY(mutex);
  std::vector<RawRequest> requests ABSL_GUARDED_BY(mutex);
  int hangups ABSL_GUARDED_BY(mutex) = 0;
  std::vector<std::shared_ptr<Socket>> sockets ABSL_GUARDED_BY(mutex);
  std::vector<std::thread> threads ABSL_GUARDED_BY(mutex);
  std::thread accepting;
};

/// Reads one message with a Content-Length body, or none.
bool ReadRawRequest(boost::asio::ip::tcp::socket& socket, std::string& buffer,
                    RawRequest& request);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_TARGET_STAND_IN_H_
