#ifndef DRAGONFLYGLADE_STORE_ROLE_LEASE_H_
#define DRAGONFLYGLADE_STORE_ROLE_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// A role that one instance holds at a time, by a lease.
///
/// Holding is counted on the own clock from before each renewal, so this side
/// gives the role up before the service can give it to another. It cannot
/// help a process that pauses between the check and the deed; what the role
/// does is therefore guarded by compare-and-swap and by the fence as well.
/// Not synchronised.
class RoleLease {
 public:
  RoleLease(const KvClient& kv, std::string_view role, std::string_view holder,
            absl::Duration ttl, Clock clock);

  /// Takes or renews the role.
  /// @return the fence while it is held: it grows with every new holder
  std::optional<std::int64_t> Hold();

  /// Whether the role is still held by the own clock.
  bool Held() const;

  /// Gives the role up.
  void Release();

 private:
  bool Renew();
  bool Take();

  const KvClient& kv;
  const std::string key;
  const std::string holder;
  const absl::Duration ttl;
  const Clock clock;
  std::int64_t lease = 0;
  std::int64_t fence = 0;
  Instant held_until = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_ROLE_LEASE_H_
