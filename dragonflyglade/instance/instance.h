#ifndef DRAGONFLYGLADE_INSTANCE_INSTANCE_H_
#define DRAGONFLYGLADE_INSTANCE_INSTANCE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/instance/settings.h"

namespace dragonflyglade {

/// The ports on which an instance answers.
struct BoundPorts {
  int caller = 0;
  int peer = 0;
  int operators = 0;
};

/// One instance: all packages wired together.
class Instance {
 public:
  explicit Instance(Settings settings);
  /// Stops at once, if it was not drained before.
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Binds the listeners and begins to serve.
  Result<BoundPorts> Start();

  /// Leaves the fleet: takes work on until callers' answers have run out,
  /// finishes it, hands shares back, and stops. Returns when done.
  void Drain();

  /// Stops without finishing work.
  void Stop();

  /// What the instance sees.
  nlohmann::json StatusJson() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_INSTANCE_H_
