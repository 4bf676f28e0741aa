#include "dragonflyglade/gateway/quota_admission.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A decision takes one message each way, 1 to 3 ms within a region, plus the
// leader's processing time. The second attempt covers a lost datagram.
constexpr absl::Duration kQueryTimeout = absl::Milliseconds(45);
constexpr int kQueryAttempts = 2;
// After a timeout the leader is not queried for this long. Otherwise each
// request would wait for the timeout while the leader is replaced.
constexpr absl::Duration kLeaderRetryDelay = absl::Milliseconds(400);
// A denial is reused for requests of at least the same size for this long.
// Otherwise each request of a workspace that floods would cost the leader a
// message.
constexpr absl::Duration kDenialCacheTime = absl::Milliseconds(150);
// A new leader receives the reports of all running instances within this time:
// they learn of it within some hundred milliseconds, and their next reports
// follow within half a second.
constexpr absl::Duration kReportsCollectionTime = absl::Seconds(1);
// While the leader cannot be queried, callers that retry sooner are refused
// again, and most retry only once. A leader is replaced within about a second.
constexpr absl::Duration kMinRetryWithoutLeader = absl::Milliseconds(800);

}  // namespace

QuotaAdmission::QuotaAdmission(
    asio::io_context& context, FleetState& fleet,
    QuotaParticipants& participants, QuotaWindows& quotas,
    ReportAggregator& aggregator, const LeaderLease& leader_lease,
    InstanceRecord self, absl::Duration window, Metrics& metrics, EventLog& log,
    Clock clock, TimeOfDay time_of_day, std::function<double()> random)
    : context(context),
      fleet(fleet),
      participants(participants),
      quotas(quotas),
      aggregator(aggregator),
      leader_lease(leader_lease),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(clock),
      time_of_day(std::move(time_of_day)),
      unreported_grants(window, clock),
      buckets(clock),
      refused_callers(clock, std::move(random)) {}

// All processes may have been killed a moment ago. With the spend record, this
// one can spend what is left of the quotas without waiting for a leader. It
// knows from an old record, too, how many others may be doing so: they enter
// themselves at the same time, and until then each would take the whole.
void QuotaAdmission::ApplySpendRecord() {
  const std::optional<SpendRecord>& record = this->fleet.InitialSpendRecord();
  if (this->spend_record_checked || !record.has_value()) return;
  this->spend_record_checked = true;
  const absl::Time now = this->time_of_day();
  const bool recent = IsRecent(*record, now);
  const int listed = CountListedInstances(*record);
  this->quotas.SetParticipantCount(listed);
  if (recent) {
    this->quotas.SetPriorSpending(SpendingByWorkspace(*record),
                                  WasInstanceListed(*record, this->self.name));
  }
  this->log.Write(
      "quota", recent ? "spend record read" : "spend record not used",
      {{"age_ms", now - record->written}, {"listed_instances", listed}});
}

void QuotaAdmission::UpdateParticipants() {
  this->ApplySpendRecord();
  std::vector<std::string_view> names;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    names.push_back(record->name);
  }
  this->participants.UpdateListed(names);
  const int listed = static_cast<int>(names.size());
  this->quotas.SetParticipantCount(listed);
  // An instance that sees no instance in the store, not even itself, has just
  // started; its process's age limits it then.
  this->quotas.SetListed(listed == 0 || this->fleet.IsListed(this->self.name));
}

int QuotaAdmission::SharingInstances() {
  this->UpdateParticipants();
  return this->quotas.ParticipantCount();
}

asio::awaitable<QuotaVerdict> QuotaAdmission::AdmitRequest(
    std::string_view request_id, std::string workspace, QuotaLimit limit,
    double tokens) {
  this->UpdateParticipants();
  QuotaVerdict verdict =
      this->quotas.AdmitWithoutGrant(workspace, limit, tokens);
  if (verdict.admitted) co_return verdict;
  std::string_view by = "part";
  const std::optional<QuotaVerdict> denial =
      this->RecentDenial(workspace, tokens);
  if (denial.has_value()) {
    verdict = *denial;
    by = "holder before";
  } else if (this->MayQueryLeader()) {
    const std::optional<QuotaVerdict> decision =
        co_await this->QueryLeader(workspace, tokens);
    this->metrics.Count("quota_asks", !decision.has_value() ? "answer=\"none\""
                                      : decision->admitted
                                          ? "answer=\"granted\""
                                          : "answer=\"denied\"");
    by = decision.has_value() ? "holder" : "part, holder silent";
    verdict = decision.has_value()
                  ? *decision
                  : this->AdmitWithoutLeader(workspace, limit, tokens);
  } else {
    verdict = this->AdmitWithoutLeader(workspace, limit, tokens);
  }
  if (!verdict.admitted) {
    verdict.retry_after = this->refused_callers.RetryAfter(
        workspace, tokens, verdict.retry_after,
        this->quotas.OwnRefill(workspace, limit));
  }
  this->log.Write("quota", verdict.admitted ? "granted" : "request refused",
                  {{"id", std::string(request_id)},
                   {"workspace", workspace},
                   {"tokens", tokens},
                   {"left", verdict.left},
                   {"by", std::string(by)},
                   {"retry_after_ms", verdict.retry_after}});
  co_return verdict;
}

QuotaVerdict QuotaAdmission::AdmitWithoutLeader(const std::string& workspace,
                                                const QuotaLimit& limit,
                                                double tokens) {
  QuotaVerdict verdict = this->quotas.AdmitFromShare(workspace, limit, tokens);
  if (!verdict.admitted) {
    verdict.retry_after = std::max(verdict.retry_after, kMinRetryWithoutLeader);
  }
  return verdict;
}

bool QuotaAdmission::MayQueryLeader() const {
  if (!this->fleet.Leader().has_value()) return false;
  return !this->leader_unresponsive_since.has_value() ||
         this->clock.Now() - *this->leader_unresponsive_since >
             kLeaderRetryDelay;
}

std::optional<QuotaVerdict> QuotaAdmission::RecentDenial(
    std::string_view workspace, double tokens) const {
  const auto found = this->denials.find(workspace);
  if (found == this->denials.end()) return std::nullopt;
  const absl::Duration remaining = found->second.until - this->clock.Now();
  if (remaining <= absl::ZeroDuration() || tokens < found->second.tokens) {
    return std::nullopt;
  }
  QuotaVerdict verdict;
  verdict.admitted = false;
  verdict.retry_after = remaining;
  return verdict;
}

asio::awaitable<std::optional<QuotaVerdict>> QuotaAdmission::QueryLeader(
    std::string workspace, double tokens) {
  const std::int64_t number = ++this->last_number;
  const std::string address = this->fleet.Leader()->instance.peer_address;
  if (this->fleet.Leader()->instance.incarnation == this->self.incarnation) {
    if (!this->leader_lease.IsLeader()) co_return std::nullopt;
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
  ask.address = this->self.peer_address;
  ask.workspace = workspace;
  ask.tokens = static_cast<std::int64_t>(tokens);
  message.__set_ask(std::move(ask));
  PendingQuery& pending_query =
      this->pending_queries.try_emplace(number, this->context).first->second;
  for (int i = 0; i < kQueryAttempts && !pending_query.verdict.has_value();
       ++i) {
    this->send(message, address);
    co_await pending_query.decided.Wait(kQueryTimeout);
  }
  const std::optional<QuotaVerdict> verdict = pending_query.verdict;
  if (verdict.has_value() && verdict->admitted) {
    this->quotas.RecordGrant(workspace, tokens);
  }
  // A grant that arrives later is ignored, and its tokens are not spent.
  this->pending_queries.erase(number);
  if (!verdict.has_value()) {
    this->leader_unresponsive_since = this->clock.Now();
    co_return std::nullopt;
  }
  this->leader_unresponsive_since.reset();
  if (!verdict->admitted) {
    const Instant until =
        this->clock.Now() + std::min(kDenialCacheTime, verdict->retry_after);
    this->denials[workspace] = {until, tokens};
  }
  co_return verdict;
}

void QuotaAdmission::ReceiveAsk(const wire::QuotaAsk& ask) {
  if (!this->leader_lease.IsLeader()) return;
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

// A new leader that has the reports of one of eight instances would deny tokens
// that are available, and callers that retry at once would be refused again.
bool QuotaAdmission::HasEnoughReports(int reported_instances) {
  const Instant now = this->clock.Now();
  if (this->last_leader_token != this->leader_lease.FencingToken()) {
    this->last_leader_token = this->leader_lease.FencingToken();
    this->leader_since = now;
  }
  const auto listed = static_cast<int>(this->fleet.ListedInstances().size());
  return reported_instances >= listed ||
         now - this->leader_since > kReportsCollectionTime;
}

FleetSpending QuotaAdmission::SpendingOf(const std::string& workspace,
                                         const QuotaLimit& limit) {
  FleetSpending spend = this->aggregator.SpendingOf(workspace);
  spend.total += this->unreported_grants.UnreportedTokens(workspace);
  spend.bucket_level = this->buckets.Level(
      workspace, this->quotas.FleetBucket(limit), spend.unreported_fraction,
      this->quotas.InitialBucketLevel(workspace, limit, spend));
  return spend;
}

std::optional<QuotaVerdict> QuotaAdmission::Decide(const std::string& process,
                                                   std::int64_t number,
                                                   const std::string& workspace,
                                                   double tokens) {
  QuotaVerdict verdict;
  verdict.admitted = false;
  verdict.retry_after = kLeaderRetryDelay;
  const auto config = this->fleet.Config();
  if (config == nullptr) return verdict;
  const auto known = config->workspaces.find(workspace);
  // The asking instance has a newer configuration than this one.
  if (known == config->workspaces.end()) return verdict;
  this->UpdateParticipants();
  const int reported = this->aggregator.SpendingOf(workspace).instances;
  if (!this->HasEnoughReports(reported)) return std::nullopt;
  const FleetSpending spend = this->SpendingOf(workspace, known->second.quota);
  // The response to the first attempt was lost or is on its way.
  if (this->unreported_grants.Contains(process, number)) {
    verdict.admitted = true;
    verdict.retry_after = absl::ZeroDuration();
    return verdict;
  }
  verdict = this->quotas.DecideGrant(known->second.quota, tokens, spend);
  if (verdict.admitted) {
    this->unreported_grants.Add(process, number, workspace, tokens);
    this->buckets.TakeGrant(workspace, tokens);
    return verdict;
  }
  this->log.Write("quota", "denied",
                  {{"workspace", workspace},
                   {"to", process},
                   {"tokens", tokens},
                   {"left", verdict.left},
                   {"spent", spend.total},
                   {"bucket", spend.bucket_level.value_or(0)},
                   {"instances", spend.instances},
                   {"unknown_shares", spend.unknown_shares},
                   {"missing_part", spend.unreported_fraction}});
  return verdict;
}

void QuotaAdmission::ReceiveGrant(const wire::QuotaGrant& grant) {
  const auto& leader = this->fleet.Leader();
  // The new leader does not count what a replaced leader grants.
  if (!leader.has_value() || leader->instance.incarnation != grant.holder) {
    return;
  }
  const auto found = this->pending_queries.find(grant.number);
  if (found == this->pending_queries.end()) return;
  QuotaVerdict verdict;
  verdict.admitted = grant.granted;
  verdict.retry_after = absl::Milliseconds(grant.retry_after_ms);
  verdict.left = static_cast<double>(grant.left);
  found->second.verdict = verdict;
  found->second.decided.Notify();
}

// The spending of an earlier version's process is not known as a total. Its
// grants stay taken out of the buckets.
void QuotaAdmission::ReceiveReport(const wire::InstanceReport& report) {
  std::map<std::string, double, std::less<>> settled =
      this->unreported_grants.MarkReported(report.incarnation,
                                           report.grants_through);
  std::vector<SpentTotal> totals;
  for (const wire::WorkspaceSpend& spend : report.spends) {
    if (spend.__isset.total) {
      totals.push_back({spend.workspace, static_cast<double>(spend.total)});
    } else {
      settled.erase(spend.workspace);
    }
  }
  const SpendingReport spending{report.incarnation, report.sequence,
                                absl::Milliseconds(report.age_ms), totals};
  this->buckets.AddReport(spending, settled);
}

void QuotaAdmission::AddBucketLevels(wire::FleetSummary& summary) {
  const auto config = this->fleet.Config();
  if (config == nullptr || !this->HasEnoughReports(summary.instances)) return;
  for (wire::WorkspaceSpend& spend : summary.spends) {
    const auto known = config->workspaces.find(spend.workspace);
    if (known == config->workspaces.end()) continue;
    const FleetSpending fleet =
        this->SpendingOf(spend.workspace, known->second.quota);
    spend.__set_bucket_level(
        static_cast<std::int64_t>(fleet.bucket_level.value_or(0)));
  }
}

std::int64_t QuotaAdmission::SettledThrough() const {
  return this->pending_queries.empty()
             ? this->last_number
             : this->pending_queries.begin()->first - 1;
}

}  // namespace dragonflyglade::gateway
