#include "dragonflyglade/gateway/target_crash_detector.h"

#include <algorithm>
#include <map>
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
// A process that was started again has its entry within this time.
constexpr absl::Duration kRestartTime = absl::Seconds(2);
// A target in the same region accepts or refuses within milliseconds.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(400);
// A target that does not answer the probe is given up earlier by its requests.
constexpr absl::Duration kMaxVerdictTime = absl::Milliseconds(200);

}  // namespace

TargetCrashDetector::TargetCrashDetector(
    asio::io_context& context, const WireFormat& wire, FleetState& fleet,
    FleetChannel& channel, TargetPaths& paths, CrashSuspects& crash_suspects,
    Metrics& metrics, EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      wire(wire),
      fleet(fleet),
      channel(channel),
      paths(paths),
      crash_suspects(crash_suspects),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(std::move(clock)) {}

// A target that is leaving ends its process at some moment, whatever it runs.
void TargetCrashDetector::RecordEnded(const TargetCrash& process,
                                      EndedExchange exchange) {
  const std::shared_ptr<TargetState> state = this->fleet.Target(process.target);
  if (state == nullptr || state->IsLeaving()) return;
  auto& examination = this->examined[{process.target, process.born_ms}];
  const bool is_first = examination == nullptr;
  if (is_first) examination = std::make_shared<Examination>(this->context);
  examination->ended.push_back(std::move(exchange));
  if (!is_first) return;
  this->tasks.Spawn("examine target", this->Examine(state, process));
}

asio::awaitable<bool> TargetCrashDetector::AwaitVerdict(TargetCrash process,
                                                        std::string digest) {
  const auto found = this->examined.find({process.target, process.born_ms});
  if (found == this->examined.end()) co_return true;
  const std::shared_ptr<Examination> examination = found->second;
  const Instant until = this->clock.Now() + kMaxVerdictTime;
  while (!examination->is_done && this->clock.Now() < until) {
    co_await examination->done.Wait(until - this->clock.Now());
  }
  if (examination->withheld.count(digest) == 0) co_return true;
  const Suspect request{SuspectKind::kRequest, std::move(digest)};
  co_await this->crash_suspects.judge.Judge(request);
  co_return false;
}

asio::awaitable<void> TargetCrashDetector::Examine(
    std::shared_ptr<TargetState> target, TargetCrash process) {
  co_await Sleep(this->context, kGatherTime);
  const Verdict verdict = co_await this->Probe(*target, process.born_ms);
  const auto found = this->examined.find({process.target, process.born_ms});
  const std::shared_ptr<Examination> examination = found->second;
  this->examined.erase(found);
  if (verdict == Verdict::kCrashed) {
    co_await this->HandleCrash(*target, process, *examination);
  } else if (verdict == Verdict::kLives &&
             this->HandleLives(process, *examination) > 0) {
    this->tasks.Spawn("examine target again",
                      this->RecheckLater(target, process, examination));
  }
  examination->is_done = true;
  examination->done.Notify();
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

// A part crashes the target when it begins to answer, a request at any moment.
asio::awaitable<void> TargetCrashDetector::HandleCrash(
    TargetState& target, const TargetCrash& crash, Examination& examination) {
  std::set<std::string> parts;
  std::vector<std::string> beginning;
  std::set<std::string> digests;
  std::map<std::string, SentAs> requests;
  for (const EndedExchange& exchange : examination.ended) {
    digests.insert(exchange.digest);
    SentAs& sent_as = requests[exchange.digest];
    sent_as = std::max(sent_as, exchange.sent_as);
    if (!exchange.was_beginning) continue;
    beginning.push_back(exchange.request_id);
    for (const PromptPart& part : exchange.shared_parts) parts.insert(part.id);
  }
  this->metrics.Count("target_crashes");
  this->log.Write("targets", "crashed",
                  {{"target", crash.target},
                   {"born_ms", crash.born_ms},
                   {"requests", static_cast<int>(examination.ended.size())},
                   {"beginning", absl::StrJoin(beginning, ",")},
                   {"digests", absl::StrJoin(digests, ",")},
                   {"prompt_parts", absl::StrJoin(parts, ",")}});
  this->crash_suspects.reports.ReportParts(crash, parts);
  if (target.Record().born_ms == crash.born_ms) {
    this->channel.ReportConnectionRefused(crash.target);
    target.RecordResult(TargetResult::kUnreachable, this->clock.Now());
  }
  // Until their owners have answered.
  examination.withheld = std::move(digests);
  examination.withheld = co_await this->crash_suspects.reports.ReportRequests(
      crash, std::move(requests));
}

int TargetCrashDetector::HandleLives(const TargetCrash& process,
                                     const Examination& examination) {
  int lost = 0;
  CrashJudge& judge = this->crash_suspects.judge;
  for (const EndedExchange& exchange : examination.ended) {
    if (exchange.may_be_complete) {
      judge.RecordSurvival(exchange.shared_parts, process.version);
      judge.RecordSurvival(exchange.digest, process.version);
    } else {
      lost += 1;
    }
  }
  if (lost == 0) return lost;
  this->log.Write("targets", "broke off and lives",
                  {{"target", process.target}, {"requests", lost}});
  return lost;
}

// A process that was started again at once accepts connections as the one
// before did. Its entry tells them apart.
asio::awaitable<void> TargetCrashDetector::RecheckLater(
    std::shared_ptr<TargetState> target, TargetCrash process,
    std::shared_ptr<Examination> examination) {
  co_await Sleep(this->context, kRestartTime);
  if (target->IsLeaving()) co_return;
  if (target->Record().born_ms == process.born_ms) co_return;
  co_await this->HandleCrash(*target, process, *examination);
}

}  // namespace dragonflyglade::gateway
