#include "dragonflyglade/gateway/quota_admission.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An answer takes a message each way, 1 to 3 ms in a region, and the holder's
// turn. The second try covers a lost datagram.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(45);
constexpr int kAskTries = 2;
// A holder that did not answer is not asked for this long, so that requests
// are not held for the timeout one by one while it is replaced.
constexpr absl::Duration kSilence = absl::Milliseconds(400);
// A refusal answers for requests of the same size for this long: a workspace
// that floods would otherwise cost the holder a message each.
constexpr absl::Duration kDenialHolds = absl::Milliseconds(150);
// A new holder has the report of whoever is alive within this time: news of it
// takes some hundred milliseconds, and the next report half a second more.
constexpr absl::Duration kReportsComeIn = absl::Seconds(1);
// While nobody sums up, callers that come back sooner meet the same shortage,
// and most come back once. A holder is replaced within about a second.
constexpr absl::Duration kHolderReturns = absl::Milliseconds(800);

}  // namespace

QuotaAdmission::QuotaAdmission(asio::io_context& context, FleetState& fleet,
                               QuotaParticipants& owners, QuotaWindows& quotas,
                               ReportAggregator& hub, const LeaderLease& duty,
                               InstanceRecord self, absl::Duration window,
                               Metrics& metrics, EventLog& log, Clock clock,
                               TimeOfDay time_of_day)
    : context(context),
      fleet(fleet),
      owners(owners),
      quotas(quotas),
      hub(hub),
      duty(duty),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(clock),
      time_of_day(std::move(time_of_day)),
      ledger(window, clock) {}

// All processes may have been killed a moment ago. By the record, this one need
// not wait for a holder to spend what is known to be left.
void QuotaAdmission::TakeOverSpending() {
  const std::optional<SpendRecord>& before = this->fleet.InitialSpendRecord();
  if (this->looked_before || !before.has_value()) return;
  this->looked_before = true;
  const absl::Time now = this->time_of_day();
  const bool recent = IsRecent(*before, now);
  if (recent) {
    this->quotas.SetPriorSpending(SpendingByWorkspace(*before),
                                  WasListed(*before, this->self.name));
  }
  this->log.Write("quota", recent ? "spending read" : "record too old",
                  {{"age_ms", now - before->written}});
}

void QuotaAdmission::UpdateParticipants() {
  this->TakeOverSpending();
  std::vector<std::string_view> names;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    names.push_back(record->name);
  }
  this->owners.Follow(names);
  const int listed = static_cast<int>(names.size());
  this->quotas.SetParticipantCount(listed);
  // An instance that sees nobody in the store, itself included, is at its
  // start; the age of its process limits it then.
  this->quotas.SetListed(listed == 0 || this->fleet.IsListed(this->self.name));
}

asio::awaitable<QuotaVerdict> QuotaAdmission::Take(std::string_view request_id,
                                                   std::string workspace,
                                                   QuotaLimit limit,
                                                   double tokens) {
  this->UpdateParticipants();
  QuotaVerdict verdict =
      this->quotas.AdmitWithoutGrant(workspace, limit, tokens);
  if (verdict.admitted) co_return verdict;
  std::string_view by = "part";
  const std::optional<QuotaVerdict> before =
      this->DeniedBefore(workspace, tokens);
  if (before.has_value()) {
    verdict = *before;
    by = "holder before";
  } else if (this->MayAsk()) {
    const std::optional<QuotaVerdict> answer =
        co_await this->Ask(workspace, tokens);
    this->metrics.Count("quota_asks", !answer.has_value() ? "answer=\"none\""
                                      : answer->admitted  ? "answer=\"granted\""
                                                         : "answer=\"denied\"");
    by = answer.has_value() ? "holder" : "part, holder silent";
    verdict = answer.has_value() ? *answer
                                 : this->TakeUnheard(workspace, limit, tokens);
  } else {
    verdict = this->TakeUnheard(workspace, limit, tokens);
  }
  this->log.Write("quota", verdict.admitted ? "granted" : "short",
                  {{"id", std::string(request_id)},
                   {"workspace", workspace},
                   {"tokens", tokens},
                   {"left", verdict.left},
                   {"by", std::string(by)},
                   {"retry_after_ms", verdict.retry_after}});
  co_return verdict;
}

QuotaVerdict QuotaAdmission::TakeUnheard(const std::string& workspace,
                                         const QuotaLimit& limit,
                                         double tokens) {
  QuotaVerdict verdict = this->quotas.Take(workspace, limit, tokens);
  if (!verdict.admitted) {
    verdict.retry_after = std::max(verdict.retry_after, kHolderReturns);
  }
  return verdict;
}

bool QuotaAdmission::MayAsk() const {
  if (!this->fleet.Leader().has_value()) return false;
  return !this->silent_since.has_value() ||
         this->clock.Now() - *this->silent_since > kSilence;
}

std::optional<QuotaVerdict> QuotaAdmission::DeniedBefore(
    std::string_view workspace, double tokens) const {
  const auto found = this->denials.find(workspace);
  if (found == this->denials.end()) return std::nullopt;
  const absl::Duration rest = found->second.until - this->clock.Now();
  if (rest <= absl::ZeroDuration() || tokens < found->second.tokens) {
    return std::nullopt;
  }
  QuotaVerdict verdict;
  verdict.admitted = false;
  verdict.retry_after = rest;
  return verdict;
}

asio::awaitable<std::optional<QuotaVerdict>> QuotaAdmission::Ask(
    std::string workspace, double tokens) {
  const std::int64_t number = ++this->last_number;
  const std::string address = this->fleet.Leader()->instance.peers;
  if (this->fleet.Leader()->instance.incarnation == this->self.incarnation) {
    if (!this->duty.Held()) co_return std::nullopt;
    const std::optional<QuotaVerdict> verdict =
        this->Decide(this->self.incarnation, number, workspace, tokens);
    const bool granted = verdict.has_value() && verdict->admitted;
    if (granted) this->quotas.RecordGrant(workspace, tokens);
    co_return verdict;
  }
  wire::FleetMessage message;
  wire::QuotaAsk ask;
  ask.number = number;
  ask.incarnation = this->self.incarnation;
  ask.address = this->self.peers;
  ask.workspace = workspace;
  ask.tokens = static_cast<std::int64_t>(tokens);
  message.__set_ask(std::move(ask));
  Open& open = this->open.try_emplace(number, this->context).first->second;
  for (int i = 0; i < kAskTries && !open.verdict.has_value(); ++i) {
    this->send(message, address);
    co_await open.answered.Wait(kAskTimeout);
  }
  const std::optional<QuotaVerdict> verdict = open.verdict;
  if (verdict.has_value() && verdict->admitted) {
    this->quotas.RecordGrant(workspace, tokens);
  }
  // An answer that comes later finds nobody and is not spent.
  this->open.erase(number);
  if (!verdict.has_value()) {
    this->silent_since = this->clock.Now();
    co_return std::nullopt;
  }
  this->silent_since.reset();
  if (!verdict->admitted) {
    const Instant until =
        this->clock.Now() + std::min(kDenialHolds, verdict->retry_after);
    this->denials[workspace] = {until, tokens};
  }
  co_return verdict;
}

void QuotaAdmission::ReceiveAsk(const wire::QuotaAsk& ask) {
  if (!this->duty.Held()) return;
  const std::optional<QuotaVerdict> verdict =
      this->Decide(ask.incarnation, ask.number, ask.workspace,
                   static_cast<double>(ask.tokens));
  if (!verdict.has_value()) return;
  wire::FleetMessage message;
  wire::QuotaGrant grant;
  grant.holder = this->self.incarnation;
  grant.number = ask.number;
  grant.granted = verdict->admitted;
  grant.retry_after_ms = absl::ToInt64Milliseconds(verdict->retry_after);
  grant.left = static_cast<std::int64_t>(verdict->left);
  message.__set_grant(std::move(grant));
  this->send(message, ask.address);
}

// A new holder that has heard one of eight instances would deny what is owed,
// and callers that come back at once would be refused again.
bool QuotaAdmission::HearsReports(const FleetSpending& spend) {
  const Instant now = this->clock.Now();
  if (this->duty_fence != this->duty.Fence()) {
    this->duty_fence = this->duty.Fence();
    this->duty_since = now;
  }
  const auto listed = static_cast<int>(this->fleet.ListedInstances().size());
  return spend.instances >= listed || now - this->duty_since > kReportsComeIn;
}

std::optional<QuotaVerdict> QuotaAdmission::Decide(const std::string& process,
                                                   std::int64_t number,
                                                   const std::string& workspace,
                                                   double tokens) {
  QuotaVerdict verdict;
  verdict.admitted = false;
  verdict.retry_after = kSilence;
  const auto config = this->fleet.Config();
  if (config == nullptr) return verdict;
  const auto known = config->workspaces.find(workspace);
  // The asking instance follows a version that is not known here yet.
  if (known == config->workspaces.end()) return verdict;
  this->UpdateParticipants();
  FleetSpending spend = this->hub.SpendingOf(workspace);
  if (!this->HearsReports(spend)) return std::nullopt;
  spend.total += this->ledger.Open(workspace);
  verdict = this->quotas.Grant(known->second.quota, tokens, spend);
  if (verdict.admitted) {
    this->ledger.Add(process, number, workspace, tokens);
    return verdict;
  }
  this->log.Write("quota", "denied",
                  {{"workspace", workspace},
                   {"to", process},
                   {"tokens", tokens},
                   {"left", verdict.left},
                   {"spent", spend.total},
                   {"instances", spend.instances},
                   {"unknown_shares", spend.unknown_shares},
                   {"missing_part", spend.missing_part}});
  return verdict;
}

void QuotaAdmission::ReceiveGrant(const wire::QuotaGrant& grant) {
  const auto& holder = this->fleet.Leader();
  // What a holder grants that was replaced is in nobody's sums.
  if (!holder.has_value() || holder->instance.incarnation != grant.holder) {
    return;
  }
  const auto found = this->open.find(grant.number);
  if (found == this->open.end()) return;
  QuotaVerdict verdict;
  verdict.admitted = grant.granted;
  verdict.retry_after = absl::Milliseconds(grant.retry_after_ms);
  verdict.left = static_cast<double>(grant.left);
  found->second.verdict = verdict;
  found->second.answered.Notify();
}

void QuotaAdmission::Reported(const wire::InstanceReport& report) {
  this->ledger.Reported(report.incarnation, report.grants_through);
}

std::int64_t QuotaAdmission::SettledThrough() const {
  return this->open.empty() ? this->last_number : this->open.begin()->first - 1;
}

}  // namespace dragonflyglade::gateway
