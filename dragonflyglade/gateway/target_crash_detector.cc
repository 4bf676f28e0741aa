#include "dragonflyglade/gateway/target_crash_detector.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>

#include "absl/strings/str_join.h"
#include "dragonflyglade/gateway/target_exchange.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// The connections to a process that ends are closed within this time.
constexpr absl::Duration kGatherTime = absl::Milliseconds(15);
// A target in the same region accepts or refuses within milliseconds.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(400);

}  // namespace

TargetCrashDetector::TargetCrashDetector(
    asio::io_context& context, const WireFormat& wire, FleetState& fleet,
    FleetChannel& channel, TargetPaths& paths, CrashingParts& crashing_parts,
    Metrics& metrics, EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      wire(wire),
      fleet(fleet),
      channel(channel),
      paths(paths),
      crashing_parts(crashing_parts),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(std::move(clock)) {}

// A target that is leaving ends its process at some moment, whatever it runs.
void TargetCrashDetector::RecordEnded(const TargetRecord& target,
                                      EndedExchange exchange) {
  const std::shared_ptr<TargetState> state = this->fleet.Target(target.id);
  if (state == nullptr || state->IsLeaving()) return;
  if (state->Record().born_ms != target.born_ms) return;
  const TargetProcess process(target.id, target.born_ms);
  const bool is_first = this->examined.count(process) == 0;
  this->examined[process].push_back(std::move(exchange));
  if (is_first) this->tasks.Spawn("examine target", this->Examine(state));
}

asio::awaitable<void> TargetCrashDetector::Examine(
    std::shared_ptr<TargetState> target) {
  const TargetRecord& record = target->Record();
  const TargetCrash process{record.id, record.born_ms, record.version};
  co_await Sleep(this->context, kGatherTime);
  const Verdict verdict = co_await this->Probe(*target, process.born_ms);
  const auto found = this->examined.find({process.target, process.born_ms});
  const std::vector<EndedExchange> ended = std::move(found->second);
  this->examined.erase(found);
  if (verdict == Verdict::kCrashed) {
    this->HandleCrash(*target, process, ended);
  } else if (verdict == Verdict::kLives) {
    this->HandleLives(process, ended);
  }
}

// One lost answer, or a connection that was reset, proves nothing, nor does an
// entry that is gone: it may have expired.
asio::awaitable<TargetCrashDetector::Verdict> TargetCrashDetector::Probe(
    TargetState& target, std::int64_t born_ms) {
  if (target.IsLeaving()) co_return Verdict::kUnknown;
  if (target.Record().born_ms != born_ms) co_return Verdict::kCrashed;
  const TargetPath path = this->paths.PathTo(target);
  const bool tunneled = std::holds_alternative<TunnelPath>(path);
  TargetExchange exchange(this->context,
                          tunneled ? target.tunnels : target.connections,
                          this->wire, this->clock);
  if (tunneled) this->paths.Use(path, target, exchange);
  const std::string address = target.Record().address;
  const std::optional<NotSent> failure = co_await exchange.OpenConnection(
      address, this->clock.Now() + kProbeTimeout);
  if (!failure.has_value()) co_return Verdict::kLives;
  const bool refused = failure->connect_error == ConnectError::kRefused;
  co_return refused ? Verdict::kCrashed : Verdict::kUnknown;
}

void TargetCrashDetector::HandleCrash(TargetState& target,
                                      const TargetCrash& crash,
                                      const std::vector<EndedExchange>& ended) {
  std::set<std::string> suspects;
  std::vector<std::string> requests;
  std::vector<std::string> digests;
  for (const EndedExchange& exchange : ended) {
    digests.push_back(exchange.digest);
    if (!exchange.was_beginning) continue;
    requests.push_back(exchange.request_id);
    for (const PromptPart& part : exchange.shared_parts) {
      suspects.insert(part.id);
    }
  }
  this->metrics.Count("target_crashes");
  this->log.Write("targets", "crashed",
                  {{"target", crash.target},
                   {"born_ms", crash.born_ms},
                   {"requests", static_cast<int>(ended.size())},
                   {"beginning", absl::StrJoin(requests, ",")},
                   {"digests", absl::StrJoin(digests, ",")},
                   {"prompt_parts", absl::StrJoin(suspects, ",")}});
  this->crashing_parts.RecordCrash(crash, suspects);
  this->channel.ReportConnectionRefused(crash.target);
  if (target.Record().born_ms == crash.born_ms) {
    target.RecordResult(TargetResult::kUnreachable, this->clock.Now());
  }
}

void TargetCrashDetector::HandleLives(const TargetCrash& process,
                                      const std::vector<EndedExchange>& ended) {
  int lost = 0;
  for (const EndedExchange& exchange : ended) {
    if (exchange.may_be_complete) {
      this->crashing_parts.RecordSurvival(exchange.shared_parts,
                                          process.version);
    } else {
      lost += 1;
    }
  }
  if (lost == 0) return;
  this->log.Write("targets", "broke off and lives",
                  {{"target", process.target}, {"requests", lost}});
}

}  // namespace dragonflyglade::gateway
