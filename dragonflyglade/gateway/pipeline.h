#ifndef DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
#define DRAGONFLYGLADE_GATEWAY_PIPELINE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/random/random.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/engine_learner.h"
#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/pacing_trial.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/decision/run_backup.h"
#include "dragonflyglade/decision/send_allowance.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/caller_connection.h"
#include "dragonflyglade/gateway/crash_suspects.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/prompt_caches.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/stream_origins.h"
#include "dragonflyglade/gateway/target_crash_detector.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

struct RequestJob;

/// Serves requests: finds the route and workspace of a request, checks the
/// quota, chooses targets, forwards the request and responds to the caller.
/// Runs on one event loop.
class Pipeline {
 public:
  Pipeline(boost::asio::io_context& context, const GatewaySettings& settings,
           const WireFormat& wire, FleetState& fleet, ModelDemand& demand,
           QuotaAdmission& quotas, FleetChannel& channel,
           StreamOrigins& stream_origins, CrashSuspects& crash_suspects,
           TargetCrashDetector& crash_detector, TargetPaths& paths,
           PromptCaches& prompt_caches, CallerBuffers& caller_buffers,
           const RequestMemory& request_bodies,
           const StoreSyncState& sync_state, Metrics& metrics, EventLog& log,
           Tasks& tasks, Clock clock);

  /// Serves the request and responds on the caller's connection.
  boost::asio::awaitable<void> Serve(CallerRequest request,
                                     CallerConnection& connection);

  /// Refuses a request whose body was not read, since this instance has no
  /// memory for it.
  /// @param body_bytes of the body, as far as known
  boost::asio::awaitable<void> RefuseBody(CallerRequest request,
                                          std::uint64_t body_bytes,
                                          CallerConnection& connection);

  /// Refuses a request whose head was not read whole, since this instance has
  /// no memory for it.
  boost::asio::awaitable<void> RefuseHead(CallerConnection& connection);

  /// Announces that the process ends at this time at the latest. After a short
  /// grace period the pipeline refuses requests whose timeout ends later.
  void BeginShutdown(Instant end);

  /// Number of requests in progress.
  int InFlight() const { return this->in_flight; }

 private:
  /// The next step after an attempt.
  enum class NextStep { kDone, kTryAnother };

  boost::asio::awaitable<void> ServeJob(RequestJob& job);
  boost::asio::awaitable<void> RespondToFailure(
      RequestJob& job, const std::exception_ptr& failure);
  boost::asio::awaitable<void> AwaitFirstConfig(RequestJob& job);
  boost::asio::awaitable<std::optional<Refusal>> Admit(RequestJob& job);
  /// The refusal of what the configuration in force does not contain.
  Refusal RefuseByConfig(RefusalCode code, std::string message) const;
  std::optional<Refusal> FindRoute(RequestJob& job);
  std::optional<Refusal> FindWorkspace(RequestJob& job);
  /// The refusal of a request that may crash a target, or that has a part which
  /// may.
  std::optional<Refusal> CheckSuspects(const RequestJob& job);
  std::optional<Refusal> CheckParts(const RequestJob& job);
  /// Whether the request must not be sent, since targets have crashed under it.
  bool IsHeldBack(const RequestJob& job) const;
  Refusal RefuseHeldBack(const RequestJob& job) const;
  /// Claims the trial of a request that is held back and may be tried.
  boost::asio::awaitable<std::optional<Refusal>> ClaimTrial(RequestJob& job);
  void EndTrial(const RequestJob& job);
  boost::asio::awaitable<void> SettleTrial(TargetCrash process,
                                           std::string digest,
                                           bool was_answered);
  boost::asio::awaitable<std::optional<Refusal>> AdmitToQuota(RequestJob& job);
  boost::asio::awaitable<std::optional<Refusal>> FindStreamOrigin(
      RequestJob& job);
  void RecordStreamSent(RequestJob& job);
  /// Whether a target of the version that began the stream serves.
  bool HasTargetOfStreamVersion(const RequestJob& job) const;
  bool OutlastsShutdown(const RequestJob& job) const;
  std::optional<Refusal> CheckShutdown(const RequestJob& job) const;
  boost::asio::awaitable<void> Forward(RequestJob& job);
  boost::asio::awaitable<std::shared_ptr<TargetState>> FindTarget(
      RequestJob& job);
  boost::asio::awaitable<std::shared_ptr<TargetState>> DelayForPacing(
      RequestJob& job, std::shared_ptr<TargetState> target);
  int MaxInFlightAtTarget(const ServiceSpec& service) const;
  SendAllowance SlowStartAllowanceOf(const ServiceSpec& service) const;
  /// How long the slow start and the limit of the target allow this instance no
  /// further request; zero if they allow one now.
  absl::Duration UntilTargetAllows(const ServiceSpec& service,
                                   TargetState& target, Instant now) const;
  /// The time until UntilTargetAllows() allows the request at some target.
  /// @return nothing if no such target could serve it
  std::optional<absl::Duration> UntilSomeTargetAllows(
      const RequestJob& job) const;
  /// Whether the target can serve the request, now or when it has a place.
  bool CanServe(const RequestJob& job, TargetState& target, Instant now) const;
  void RecordResponseHead(TargetState& target, const ResponseHead& head);
  void RecordBrittleness(TargetState& target, const ResponseHead& head);
  /// Whether this instance may send the brittle target another request now. A
  /// target that is not brittle has no room of this kind to keep to.
  bool HasBrittleRoom(const ServiceSpec& service, const TargetState& target,
                      Instant now) const;
  /// Whether the target has room for another request if it rested lately.
  bool HasRoomAfterRest(const TargetState& target, Instant now) const;
  std::vector<std::string> ListedNames() const;
  boost::asio::awaitable<std::shared_ptr<TargetState>> AwaitBrittleRoom(
      RequestJob& job);
  std::shared_ptr<TargetState> Choose(RequestJob& job);
  /// @param last_resort whether to consider avoided and tried targets, too
  std::shared_ptr<TargetState> ChooseAmong(RequestJob& job, bool last_resort);
  /// Whether an engine of the service ever stated how fast it is. Only then do
  /// the model of engines and what follows from it apply.
  bool IsSpeedAware(std::string_view service);
  /// The refusal of a request that needs more memory than an engine has.
  std::optional<Refusal> CheckSize(const RequestJob& job);
  /// The refusal of a request whose first output would be after its deadline at
  /// every candidate of the last choice.
  std::optional<Refusal> CheckEngines(const RequestJob& job);
  /// Whether a delay of a prompt for the target makes a difference.
  bool MayPace(const RequestJob& job, const TargetState& target);
  EngineRequest EngineRequestOf(const RequestJob& job) const;
  std::optional<TargetChoice> ChooseTargetFor(
      const RequestJob& job, absl::Span<const TargetCandidate> candidates);
  bool MayTryOwnPath(const RequestJob& job) const;
  TargetPath ChoosePath(RequestJob& job, const TargetState& target);
  /// Compares the prediction for an answered request with its outcome, and
  /// learns from it.
  void RecordEngineOutcome(const RequestJob& job);
  std::string TargetRequestHead(const CallerRequest& request,
                                const ForwardingContext& stamp) const;
  boost::asio::awaitable<NextStep> Attempt(RequestJob& job,
                                           std::shared_ptr<TargetState> target);
  boost::asio::awaitable<NextStep> RelayStream(RequestJob& job,
                                               TargetState& target,
                                               TargetExchange& exchange,
                                               const ResponseHead& head);
  void RecordSurvival(RequestJob& job, const CompleteResponse& response);
  void RecordStreamSurvival(RequestJob& job, const StreamReadResult& result);
  boost::asio::awaitable<bool> RelayEvents(RequestJob& job,
                                           const ResponseHead& head,
                                           std::string_view events, bool ended);
  boost::asio::awaitable<NextStep> AfterNotSent(RequestJob& job,
                                                TargetState& target,
                                                const TargetPath& path,
                                                const NotSent& not_sent);
  void RetryOnOtherPaths(std::string_view service);
  void RecordAttemptEnded(RequestJob& job);
  void RecordUnreachable(RequestJob& job, TargetState& target,
                         const TargetPath& path, const NotSent& not_sent);
  boost::asio::awaitable<NextStep> AfterDeclined(RequestJob& job,
                                                 TargetState& target,
                                                 const Declined& declined);
  void LogSkipped(const RequestJob& job, const ResponseHead& head);
  void RecordLostAnswer(const RequestJob& job, TargetState& target,
                        const OutcomeUnknown& unknown);
  boost::asio::awaitable<NextStep> AfterOutcomeUnknown(
      RequestJob& job, TargetState& target, const OutcomeUnknown& unknown);
  boost::asio::awaitable<NextStep> AfterResponse(
      RequestJob& job, TargetState& target, const CompleteResponse& response);
  /// Chooses the engine that is to keep a copy of the run, if any.
  void ChooseBackup(RequestJob& job, const TargetState& target);
  std::shared_ptr<TargetState> BackupEngineFor(const RequestJob& job,
                                               const TargetState& target,
                                               double tokens);
  /// Whether the engine can keep a copy of a run of the other one.
  bool CanKeepCopy(const RequestJob& job, TargetState& engine,
                   const TargetState& other, double tokens, Instant now);
  /// Records that the run of the copy has ended.
  void EndCopy(RequestJob& job, bool succeeded);
  /// Whether a silent stream is to be continued from its copy.
  void LimitSilence(const RequestJob& job, TargetExchange& exchange);
  /// The engine that keeps the run's copy; null if it can no longer go on.
  std::shared_ptr<TargetState> EngineOfCopy(const RequestJob& job);
  bool MayContinue(const RequestJob& job);
  /// Prepares the next attempt to continue the run from its copy.
  /// @return nothing if it cannot continue
  boost::asio::awaitable<std::optional<NextStep>> ContinueFromCopy(
      RequestJob& job, const OutcomeUnknown& unknown);
  boost::asio::awaitable<NextStep> AfterContinuationFailed(
      RequestJob& job, std::string_view why);
  /// Whether a request that waits for a target must end its wait.
  bool EndsWait(const RequestJob& job) const;
  void RecordEndedExchange(const RequestJob& job, bool may_be_complete);
  SentAs HowToSend(const RequestJob& job) const;
  boost::asio::awaitable<void> AwaitCrashVerdict(RequestJob& job);
  /// Whether time and number of attempts allow another one.
  bool HasAttemptLeft(const RequestJob& job) const;
  bool MayCrashNextTarget(const RequestJob& job) const;
  bool MayRetry(RequestJob& job, bool may_have_run);
  /// Consumes one retry of the service's budget, if one is left.
  bool ConsumeRetry(const RequestJob& job);
  RetryBudget& RetryBudgetOf(std::string_view service);
  Refusal NoTargetRefusal(const RequestJob& job);
  /// The refusal of a request that some target takes after a time.
  Refusal RefuseUntilAllowed(const RequestJob& job, absl::Duration until);
  /// Whether a target rests that could serve the request otherwise.
  bool AwaitsRest(const RequestJob& job) const;
  void RecordPauses(const RequestJob& job);
  void AbortStream(RequestJob& job);
  boost::asio::awaitable<void> Refuse(RequestJob& job, Refusal refusal);
  boost::asio::awaitable<void> RefuseForMemory(RequestJob& job,
                                               std::string message);
  /// Responds to a request whose response was cut off for lack of memory.
  boost::asio::awaitable<void> EndCutOff(RequestJob& job);
  void RecordOutcome(RequestJob& job, std::string_view outcome, int status);

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaAdmission& quotas;
  FleetChannel& channel;
  StreamOrigins& stream_origins;
  CrashSuspects& crash_suspects;
  TargetCrashDetector& crash_detector;
  TargetPaths& paths;
  PromptCaches& prompt_caches;
  CallerBuffers& caller_buffers;
  const RequestMemory& request_bodies;
  const StoreSyncState& sync_state;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  std::map<std::string, std::unique_ptr<RetryBudget>, std::less<>>
      retry_budgets;
  /// By service.
  std::map<std::string, PacingControl, std::less<>> pacing;
  std::set<std::string, std::less<>> speed_aware_services;
  /// By speed-aware service.
  std::map<std::string, EngineLearner, std::less<>> engine_learners;
  std::map<std::string, PacingTrial, std::less<>> pacing_trials;
  RunBackups backups;
  absl::BitGen random;
  const Instant started;
  int in_flight = 0;
  std::set<RequestJob*> jobs;  ///< the requests that are being forwarded
  std::optional<Instant> shutdown_start;
  std::optional<Instant> shutdown_deadline;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
