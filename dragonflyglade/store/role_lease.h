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

/// A lease on a role that only one instance may hold at a time.
///
/// This instance measures the lease time on its own clock, from before each
/// renewal was sent, so it gives up the role before the service can grant it
/// to another instance. A process that pauses between checking the lease and
/// acting on it may still act too late. Actions under the role are therefore
/// also guarded by compare-and-swap and by the fencing token.
/// Not thread-safe.
class RoleLease {
 public:
  RoleLease(const KvClient& kv, std::string_view role, std::string_view owner,
            absl::Duration ttl, Clock clock);

  /// Acquires the role or renews its lease.
  /// @return the fencing token, which grows with every new owner of the role;
  ///   nothing if another instance has the role or the service failed
  std::optional<std::int64_t> AcquireOrRenew();

  /// Whether the lease is still valid on this instance's clock.
  bool IsHeld() const;

  /// Revokes the lease, so that another instance can acquire the role.
  void Release();

 private:
  bool TryRenew();
  bool TryAcquire();

  const KvClient& kv;
  const std::string key;
  const std::string owner;
  const absl::Duration ttl;
  const Clock clock;
  std::int64_t lease = 0;
  std::int64_t fence_token = 0;
  Instant valid_until = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_ROLE_LEASE_H_
