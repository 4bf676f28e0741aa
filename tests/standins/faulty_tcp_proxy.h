#ifndef DRAGONFLYGLADE_TESTS_STANDINS_RELAY_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_RELAY_STAND_IN_H_

#include <list>
#include <memory>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A stretch of network between two ends, which can be cut or go silent.
class FaultyTcpProxy {
 public:
  /// @param to where connections lead
  explicit FaultyTcpProxy(Endpoint to);
  ~FaultyTcpProxy();

  /// @return where to connect to
  Endpoint Start();

  /// Ends all connections and refuses new ones, or lets them through again.
  void SetPartitioned(bool cut);

  /// Connections open now carry nothing more, but stay open; new ones work.
  void StallOpenConnections();

 private:
  struct Link;

  void Accept();
  void Carry(const std::shared_ptr<Link>& link, int from, int to);

  const Endpoint to;
  int listener = -1;
  std::thread acceptor;
  absl::Mutex mutex;
  bool cut ABSL_GUARDED_BY(mutex) = false;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::list<std::shared_ptr<Link>> links ABSL_GUARDED_BY(mutex);
  int carriers ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_RELAY_STAND_IN_H_
