#ifndef DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_
#define DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/engine_model.h"
#include "dragonflyglade/decision/prompt_cache_index.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/caller_connection.h"
#include "dragonflyglade/gateway/event_splitter.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/target_connection.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/target_state.h"

namespace dragonflyglade::gateway {

/// The copy of a run that another engine was asked to keep.
struct RunCopy {
  std::string target;  ///< id of the engine that keeps it
  std::string address;
  std::int64_t born_ms = 0;  ///< of that engine's process
  double tokens = 0;
};

/// The state of one request in the pipeline.
struct RequestJob {
  CallerRequest request;
  CallerConnection& connection;
  std::string digest;  ///< see DigestOf; empty until the workspace is known
  std::shared_ptr<const GatewayConfig> config;
  const Route* route = nullptr;
  const WorkspaceSpec* workspace = nullptr;
  const ServiceSpec* service = nullptr;
  double cost = 0;
  /// Set once the quota has admitted the request, until it is refunded.
  std::optional<QuotaCharge> charge;
  Instant started;
  Instant deadline;
  int attempts = 0;             ///< times that the request was sent to a target
  int executions = 0;           ///< attempts that a target may have executed
  int not_sent = 0;             ///< attempts of which no byte was sent
  std::set<std::string> tried;  ///< ids of targets
  std::set<std::string> unreachable;  ///< ids of targets
  std::string target;                 ///< id of the last target
  SoftwareVersion target_version;     ///< of the last target
  std::int64_t target_born_ms = 0;    ///< of the last target's process
  /// Where the stream began that the caller takes up, or that the response has
  /// events of. It must go on at this version.
  std::optional<StreamOrigin> origin;
  std::optional<RunCopy> copy;  ///< of the current run
  /// Whether the current attempt continues the run from its copy.
  bool continues_copy = false;
  bool continued = false;  ///< an attempt has continued the run
  TargetExchange* exchange = nullptr;
  UsedConnections used_connections;
  CallerBuffers::Receipt* receipt = nullptr;  ///< of the current attempt
  EventSplitter events;
  Instant attempt_started;
  SentAs sent_as = SentAs::kUnsuspected;  ///< of the current attempt
  /// It was sent over a path of this instance while that counted as lost.
  bool tried_lost_path = false;
  bool uses_own_path = true;  ///< the current attempt, not through a tunnel
  /// When the current attempt was sent over the instance's own path.
  std::optional<Instant> sent_over_own_path;
  /// When the current attempt had its first output.
  std::optional<Instant> attempt_first_output;
  bool survival_recorded = false;  ///< of the current attempt
  /// The last target crashed, and the next one may as well.
  bool may_crash_next = false;
  bool was_answered = false;  ///< the last target answered the whole request
  /// This is the attempt that shows whether the request is sound; see
  /// RequestTrials.
  bool is_trial = false;
  std::optional<Instant> first_output;
  std::optional<Instant> last_output;
  absl::Duration longest_pause;  ///< between two events of the stream
  absl::Duration expected_first_output_delay;  ///< at the chosen target
  /// At the chosen target, if the engines of the service state how fast they
  /// are.
  std::optional<EnginePrediction> prediction;
  /// At the candidate where it is the least; zero if a candidate is idle.
  absl::Duration least_first_output_delay;
  absl::Duration admission_time;  ///< time until the quota decision
  absl::Duration target_wait;     ///< time spent waiting for a target
  absl::Duration pacing_time;     ///< time spent in pacing, see PacingDelay
  std::size_t candidates = 0;     ///< targets considered in the last choice
  /// The shared parts of the prompt, if what engines have cached is known; see
  /// PromptCaches.
  std::vector<SharedPromptPart> cacheable_parts;
  /// Tokens of these parts that the chosen target has cached.
  std::optional<double> cached_tokens;

  RequestJob(CallerRequest request, CallerConnection& connection)
      : request(std::move(request)), connection(connection) {}

  /// The process of the last target.
  TargetCrash TargetProcess() const {
    return {this->target, this->target_born_ms, this->target_version};
  }
  /// Empty on routes without keys.
  std::string WorkspaceName() const {
    return this->workspace == nullptr ? "" : this->workspace->name;
  }
  bool NeedsModel() const { return !this->request.use.model.empty(); }
  /// Whether it needs a model and adapter that the service's engines may load.
  /// Others are no demand: callers may name any, each time another one, and all
  /// that counts demand would keep their names.
  bool NeedsLoadableModel() const {
    return this->service->engine.has_value() &&
           this->service->engine->MayLoad(this->request.use.model,
                                          this->request.use.adapter);
  }
  /// Whether the request may be repeated at another target after a target may
  /// have executed it.
  bool MayReexecute() const {
    return this->route->MayReexecute() || this->route->resumable;
  }
  /// Whether the target has the version that the stream must go on at.
  bool MayUse(const TargetRecord& record) const {
    return !this->origin.has_value() || record.version == this->origin->version;
  }
  /// Tokens of the prompt prefix that other requests share.
  double SharedTokens() const;
  /// Id of the shared prompt prefix; empty if there is none.
  std::string_view SharedId() const;
  /// The parts of the prompt that other requests share.
  absl::Span<const PromptPart> SharedParts() const;
  /// The ids of these parts, separated by commas, for the log.
  std::string SharedPartIds() const;
  /// ResidentKey of the model or adapter that the request needs; empty if the
  /// service has no engines.
  std::string Resident() const {
    const ModelUse& use = this->request.use;
    return this->NeedsModel() ? ResidentKey(use.model, use.adapter) : "";
  }
  /// Records how many tokens of the shared parts the chosen target has cached.
  void RecordCached(double tokens);
  /// Records output of the target for the caller.
  void RecordOutput(Instant now);
  /// Time from the current attempt to its first output; zero if it has none.
  absl::Duration FirstOutputAtTarget() const;
  /// The longest gap between two events that was predicted; zero if none was.
  absl::Duration PredictedPause() const;
  /// Whether the target may be beginning its answer, or may have begun a moment
  /// ago.
  bool IsBeginning(Instant now) const;
  /// Prompt tokens that the target is expected to process, cached ones not
  /// counted.
  double UnreadTokens() const;
};

// Values of Retry-After by the cause of a refusal.

/// All targets are busy.
inline constexpr absl::Duration kRetryAfterBusy = absl::Milliseconds(500);
/// The model has to be loaded first.
inline constexpr absl::Duration kRetryAfterModelLoad = absl::Seconds(2);
/// The longest time until a target's limit allows another request: a copy of
/// the model can be loaded elsewhere by then.
inline constexpr absl::Duration kMaxRetryAfterLimit = absl::Seconds(2);
/// It is not known where the stream began; an instance that knows it may not
/// have answered.
inline constexpr absl::Duration kRetryAfterStreamOrigin = absl::Seconds(1);
/// No target of the version that began the stream serves.
inline constexpr absl::Duration kRetryAfterStreamVersion = absl::Seconds(2);
/// The part of the prompt goes on crashing targets.
inline constexpr absl::Duration kRetryAfterCrashingPart = absl::Seconds(60);
/// No engine has the memory for the prompt; a larger one may be added.
inline constexpr absl::Duration kRetryAfterTooLarge = absl::Seconds(60);
/// The operator has to end the evacuation of an availability zone first.
inline constexpr absl::Duration kRetryAfterEvacuation = absl::Seconds(2);
/// The instance holds too many request bodies; they are sent within moments.
inline constexpr absl::Duration kRetryAfterMemoryFull = absl::Seconds(1);
/// The instance has no configuration yet.
inline constexpr absl::Duration kRetryAfterNotReady = absl::Seconds(1);
/// Another instance can serve the request at once.
inline constexpr absl::Duration kRetryAtOtherInstance = absl::Milliseconds(50);

/// Makes a refusal. The retry delay is sent only with codes that allow a retry.
Refusal MakeRefusal(RefusalCode code, std::string message,
                    absl::Duration retry_after = kRetryAfterBusy);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REQUEST_JOB_H_
