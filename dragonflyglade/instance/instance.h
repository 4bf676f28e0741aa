#ifndef DRAGONFLYGLADE_INSTANCE_INSTANCE_H_
#define DRAGONFLYGLADE_INSTANCE_INSTANCE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/instance/settings.h"

namespace dragonflyglade {

/// The ports on which an instance listens.
struct BoundPorts {
  int caller = 0;
  int peer = 0;
  int operators = 0;
};

/// One instance of the service. Constructs and connects all its components.
class Instance {
 public:
  explicit Instance(Settings settings);
  /// Stops without finishing open requests, unless the instance was drained.
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Binds the listening sockets and starts serving.
  Result<BoundPorts> Start();

  /// Announces that the instance is leaving, accepts requests until callers no
  /// longer use a previous selection of this instance, finishes open requests,
  /// waits until its shares are reassigned, and stops. Blocks until done; the
  /// drain timeout bounds each of these waits.
  void Drain();

  /// Stops without finishing open requests.
  void Stop();

  /// The instance's status: its configuration, members, targets, workspaces.
  nlohmann::json StatusJson() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_INSTANCE_H_
