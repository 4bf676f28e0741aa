#ifndef DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_TCP_PROXY_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_TCP_PROXY_H_

#include <list>
#include <memory>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A TCP proxy in front of one endpoint, which simulates a network partition or
/// a network that silently drops all traffic.
class FaultyTcpProxy {
 public:
  /// @param to the endpoint to which connections are forwarded
  explicit FaultyTcpProxy(Endpoint to);
  ~FaultyTcpProxy();

  /// @return the endpoint at which the proxy accepts connections
  Endpoint Start();

  /// Simulates a partition: closes all connections and every new one. With
  /// false, forwards new connections again.
  void SetPartitioned(bool partitioned);

  /// Stops forwarding on the connections open now, which stay open. New
  /// connections work.
  void StallOpenConnections();

 private:
  struct Connection;

  void Accept();
  void Forward(const std::shared_ptr<Connection>& connection, int from, int to);

  const Endpoint to;
  int listener = -1;
  std::thread acceptor;
  absl::Mutex mutex;
  bool partitioned ABSL_GUARDED_BY(mutex) = false;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::list<std::shared_ptr<Connection>> connections ABSL_GUARDED_BY(mutex);
  int running_forwarders ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_TCP_PROXY_H_
