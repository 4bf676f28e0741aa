// The methods of Pipeline that let a second engine keep a copy of a run, and
// continue the run there when its engine is lost.
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/run_backup.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/request_job.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// The machine of an address "IP:PORT"; nothing if it cannot be read.
std::optional<asio::ip::address> MachineOf(std::string_view address) {
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.Ok()) return std::nullopt;
  boost::system::error_code error;
  asio::ip::address machine =
      asio::ip::make_address(endpoint.Value().address, error);
  if (error) return std::nullopt;
  if (machine.is_v6() && machine.to_v6().is_v4_mapped()) {
    return asio::ip::make_address_v4(asio::ip::v4_mapped, machine.to_v6());
  }
  return machine;
}

bool AreOtherMachines(std::string_view one, std::string_view other) {
  const auto machine = MachineOf(one);
  const auto other_machine = MachineOf(other);
  return machine.has_value() && other_machine.has_value() &&
         *machine != *other_machine;
}

BackupCosts CostsOf(const EngineLimits& engine) {
  BackupCosts costs;
  costs.bytes_per_token = engine.kv_bytes;
  costs.link_mbps = engine.link_mbps;
  costs.capacity_tokens = engine.kv_capacity_tokens.value_or(0);
  return costs;
}

BackupRun RunOf(const RequestJob& job) {
  BackupRun run;
  run.prompt_tokens = job.request.use.prompt_tokens;
  run.shared_prefix_tokens = job.SharedTokens();
  run.output_tokens = job.request.use.output_tokens;
  run.may_be_repeated = job.MayReexecute();
  return run;
}

}  // namespace

// The copy's handle is the request's id. A second run of the same request gets
// no copy, since an engine may still hold one of the first run.
void Pipeline::ChooseBackup(RequestJob& job, const TargetState& target) {
  this->EndCopy(job, job.executions == 0);
  if (!this->settings.run_backups || !job.NeedsModel()) return;
  if (job.executions > 0 || job.request.id.empty()) return;
  const auto& engine = job.service->engine;
  if (!engine.has_value() || !engine->backups) return;
  const Instant now = this->clock.Now();
  const BackupRun run = RunOf(job);
  if (!IsBackupWorthwhile(run, CostsOf(*engine))) return;
  if (!this->backups.MayAsk(now)) return;
  const auto backup = this->BackupEngineFor(job, target, run.Tokens());
  if (backup == nullptr) return;
  const TargetRecord& record = backup->Record();
  job.copy = RunCopy{record.id, record.address, record.born_ms, run.Tokens()};
  this->backups.RecordAsked(record.id, run.Tokens(), now);
  this->metrics.Count("run_backups", "event=\"asked\"");
}

std::shared_ptr<TargetState> Pipeline::BackupEngineFor(
    const RequestJob& job, const TargetState& target, double tokens) {
  const Instant now = this->clock.Now();
  std::vector<std::shared_ptr<TargetState>> engines;
  std::vector<TargetCandidate> candidates;
  for (const auto& engine : this->fleet.Targets(job.service->name)) {
    if (!this->CanKeepCopy(job, *engine, target, tokens, now)) continue;
    TargetCandidate candidate;
    candidate.id = engine->Record().id;
    candidate.slots = engine->Record().slots;
    candidate.requests = engine->EstimatedRequests(now);
    candidate.unprocessed_prompt_tokens = engine->EstimatedUnreadTokens(now);
    candidate.same_zone = engine->Record().zone == this->settings.zone;
    candidate.failure_rate = engine->FailureRate();
    candidates.push_back(candidate);
    engines.push_back(engine);
  }
  // The engine with the copy reads nothing, so that its cache does not count.
  const std::optional<TargetChoice> choice =
      ChooseTarget({}, candidates, absl::Uniform<double>(this->random, 0, 1));
  return choice.has_value() ? engines[choice->index] : nullptr;
}

bool Pipeline::CanKeepCopy(const RequestJob& job, TargetState& engine,
                           const TargetState& other, double tokens,
                           Instant now) {
  const TargetRecord& record = engine.Record();
  const TargetRecord& first = other.Record();
  if (record.zone != first.zone || record.version != first.version) {
    return false;
  }
  if (engine.IsAvoided(now) || job.tried.count(record.id) > 0) return false;
  if (!this->CanServe(job, engine, now)) return false;
  if (!AreOtherMachines(record.address, first.address)) return false;
  const int instances = static_cast<int>(this->fleet.ListedInstances().size());
  return this->backups.HasRoom(
      {record.id, record.slots, engine.EstimatedRequests(now)}, tokens,
      CostsOf(*job.service->engine), instances, now);
}

// Engines free the copy of a run that did not succeed some time later.
void Pipeline::EndCopy(RequestJob& job, bool succeeded) {
  if (!job.copy.has_value()) return;
  const absl::Duration kept = job.service->engine->handle_time;
  const Instant now = this->clock.Now();
  this->backups.RecordEnded(job.copy->target, job.copy->tokens,
                            succeeded ? now : now + kept);
  job.copy.reset();
}

// Before its first event an engine may read a long prompt in silence.
void Pipeline::LimitSilence(const RequestJob& job, TargetExchange& exchange) {
  if (!job.copy.has_value() || job.continues_copy) return;
  if (!job.attempt_first_output.has_value()) return;
  if (job.events.LastId().empty()) return;
  const std::optional<absl::Duration> limit =
      SilenceLimit(job.longest_pause, job.service->engine->handle_time);
  exchange.SetSilenceLimit(limit.value_or(absl::InfiniteDuration()));
}

// An engine that was restarted has lost its copies.
std::shared_ptr<TargetState> Pipeline::EngineOfCopy(const RequestJob& job) {
  const Instant now = this->clock.Now();
  std::shared_ptr<TargetState> engine = this->fleet.Target(job.copy->target);
  if (engine == nullptr) return nullptr;
  const TargetRecord& record = engine->Record();
  const bool same_process = record.address == job.copy->address &&
                            record.born_ms == job.copy->born_ms &&
                            record.version == job.target_version;
  if (!same_process || !this->CanServe(job, *engine, now)) return nullptr;
  const bool has_place =
      engine->InFlight() < this->MaxInFlightAtTarget(*job.service) &&
      this->HasRoomAfterRest(*engine, now) &&
      this->HasBrittleRoom(*job.service, *engine, now) &&
      this->UntilTargetAllows(*job.service, *engine, now) <=
          absl::ZeroDuration();
  return has_place ? engine : nullptr;
}

bool Pipeline::MayContinue(const RequestJob& job) {
  if (!this->HasAttemptLeft(job)) return false;
  if (this->EngineOfCopy(job) == nullptr) return false;
  if (this->MayCrashNextTarget(job)) return false;
  return this->ConsumeRetry(job);
}

asio::awaitable<std::optional<Pipeline::NextStep>> Pipeline::ContinueFromCopy(
    RequestJob& job, const OutcomeUnknown& unknown) {
  if (!job.copy.has_value()) co_return std::nullopt;
  LostRun run;
  run.answered = !unknown.connection_ended && !unknown.silent;
  run.timed_out = unknown.timed_out;
  run.continued = job.continued;
  run.ended_by_engine = unknown.closed_by_peer && job.uses_own_path;
  run.isolated = this->paths.IsIsolated(job.service->name);
  run.has_output = job.connection.StreamStarted();
  run.has_last_event = !job.events.LastId().empty();
  run.may_be_repeated = job.MayReexecute();
  const std::optional<absl::Duration> delay = DelayBeforeContinuation(run);
  const bool continues = delay.has_value() && !job.events.OutOfOrder();
  job.exchange->Abort("the engine is lost");
  if (continues && *delay > absl::ZeroDuration()) {
    co_await Sleep(this->context, *delay);
  }
  if (job.connection.IsDisconnected()) {
    this->RecordOutcome(job, "caller left", 0);
    co_return NextStep::kDone;
  }
  if (!continues || !this->MayContinue(job)) {
    job.continues_copy = false;
    this->EndCopy(job, false);
    co_return std::nullopt;
  }
  this->metrics.Count("run_backups", "event=\"used\"");
  this->log.Write("request", "continues from copy",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"backup", job.copy->target},
                   {"last_event", job.events.LastId()},
                   {"why", unknown.why}});
  job.continues_copy = true;
  job.continued = true;
  co_return NextStep::kTryAnother;
}

// The first engine may have run the request, so that only a request that may be
// repeated goes to another engine.
asio::awaitable<Pipeline::NextStep> Pipeline::AfterContinuationFailed(
    RequestJob& job, std::string_view why) {
  this->metrics.Count("run_backups", "event=\"refused\"");
  this->log.Write("request", "not continued",
                  {{"id", job.request.id},
                   {"backup", job.target},
                   {"last_event", job.events.LastId()},
                   {"why", std::string(why)}});
  job.continues_copy = false;
  this->EndCopy(job, false);
  if (this->MayRetry(job, true)) co_return NextStep::kTryAnother;
  Refusal refusal =
      MakeRefusal(RefusalCode::kTargetLost, "the target broke off");
  co_await this->Refuse(job, std::move(refusal));
  co_return NextStep::kDone;
}

}  // namespace dragonflyglade::gateway
