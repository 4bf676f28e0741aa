#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/gateway/caller_connection.h"
#include "dragonflyglade/gateway/event_splitter.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/target_state.h"

namespace dragonflyglade::gateway {

/// A request on its way through the pipeline.
struct RequestJob {
  CallerRequest request;
  CallerConnection& link;
  std::shared_ptr<const GatewayConfig> config;
  const Route* route = nullptr;
  const WorkspaceSpec* workspace = nullptr;
  const ServiceSpec* service = nullptr;
  double cost = 0;
  Instant started;
  Instant give_up;
  int attempts = 0;  ///< targets that it was sent to
  int runs = 0;      ///< targets where it may have run
  int not_sent = 0;  ///< targets that it could not be sent to
  std::set<std::string> tried;
  std::set<std::string> unreachable;  ///< targets that it could not reach
  std::string target;
  TargetExchange* exchange = nullptr;
  EventSplitter events;
  std::optional<Instant> first_output;
  absl::Duration expected_first_output_delay;
  absl::Duration admitted;  ///< until its quota was decided
  absl::Duration held;      ///< waiting for a target
  absl::Duration paced;     ///< held back so that streams at its target go on
  std::size_t candidates = 0;

  RequestJob(CallerRequest request, CallerConnection& link)
      : request(std::move(request)), link(link) {}

  bool IsEngineWork() const { return !this->request.use.model.empty(); }
  /// Whether it may run at another target after it may have run at one.
  bool MayReexecute() const {
    return this->route->MayReexecute() || this->route->resumable;
  }
  /// Prompt tokens that other requests share.
  double SharedTokens() const;
  /// Names the shared part; empty if there is none.
  std::string_view SharedId() const;
  /// The model or adapter that it needs; empty at plain services.
  std::string Resident() const {
    const ModelUse& use = this->request.use;
    return this->IsEngineWork() ? ResidentKey(use.model, use.adapter) : "";
  }
  /// Prompt tokens that the target is expected to read.
  double UnreadTokens() const;
};

/// When a caller should come back, by what has to happen until then.
inline constexpr absl::Duration kRetryBusy = absl::Milliseconds(500);
inline constexpr absl::Duration kRetryModel = absl::Seconds(2);
inline constexpr absl::Duration kRetryNotReady = absl::Seconds(1);
/// Another instance can be asked at once.
inline constexpr absl::Duration kRetryElsewhere = absl::Milliseconds(50);

/// A refusal with when to come back, for codes that say so.
Refusal MakeRefusal(RefusalCode code, std::string message,
                    absl::Duration retry_after = kRetryBusy);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_
