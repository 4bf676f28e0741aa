#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_TRIALS_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_TRIALS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_verdicts.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/refused_suspects.h"
#include "dragonflyglade/gateway/store_client.h"

namespace dragonflyglade::gateway {

/// Lets one instance of all send a request once more that is held back, to find
/// out whether it is sound. The store decides which one. Used by one event
/// loop.
class RequestTrials {
 public:
  RequestTrials(boost::asio::io_context& context,
                const RefusedSuspects& refused, StoreClient& store,
                std::string self, EventLog& log, Clock clock);

  /// Whether the request is held back.
  bool IsHeld(const std::string& digest) const;

  /// Whether a trial of the held request may be claimed, as far as known.
  bool MayClaim(const std::string& digest) const;

  /// When the caller of the held request should return.
  absl::Duration RetryAfter(const std::string& digest) const;

  /// Whether it is certain that targets crash on the held request.
  bool IsCertain(const std::string& digest) const;

  /// Claims the trial of the held request.
  /// @return false if it was claimed before, or the store did not say so
  boost::asio::awaitable<bool> Claim(std::string digest);

  /// Gives a claimed trial back: no target crashed, and none answered. Retries
  /// until the store has the outcome.
  boost::asio::awaitable<void> Release(std::string digest);

 private:
  struct Trial {
    Instant again_at;            ///< before that it is not claimed again here
    std::uint64_t revision = 0;  ///< of the key if it was claimed here
  };

  HeldRequest StateOf(const std::string& digest) const;

  boost::asio::io_context& context;
  const RefusedSuspects& refused;
  StoreClient& store;
  const std::string self;
  EventLog& log;
  const Clock clock;
  std::map<std::string, Trial> known;  ///< by digest
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_TRIALS_H_
