#include "dragonflyglade/gateway/fleet_channel.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <set>
#include <utility>

#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/thrift_codec.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Requests start and end at targets within some hundred milliseconds, so that
// older reports are of little use. A shorter interval costs CPU time for each
// report and its summary.
constexpr absl::Duration kReportInterval = absl::Milliseconds(200);
// Reports of listed instances that the leader answers in a second. More would
// take all of a small machine's time.
constexpr double kMaxReportsPerSecond = 250;
// An instance without requests has nothing to report but must receive changes.
// In a fleet of 82 instances most are idle, and the leader spends its time on
// their reports.
constexpr absl::Duration kIdleReportInterval = absl::Milliseconds(500);
// Engines mostly respond to several orders within a few milliseconds of one
// another, and one push covers them all. A request that waits for an adapter is
// delayed by at most this long.
constexpr absl::Duration kPushDelay = absl::Milliseconds(8);
// The pause after a push is this many times its duration, so that pushes to a
// hundred instances leave the leader time for their reports and questions.
constexpr int kPausePerPushTime = 4;
// Prompts sent within this time go into one message. Engines prefill a prompt
// in some ten milliseconds, so with a longer delay several instances would
// choose the same engine.
constexpr absl::Duration kSentPromptsDelay = absl::Milliseconds(3);
// Each instance notifies all others, so the messages grow with the square of
// the number of instances that callers are sent to. Larger fleets rely on the
// summaries.
constexpr std::size_t kMaxSentPromptRecipients = 24;
constexpr std::size_t kMaxDatagramBytes = 65000;
// A change is sent to this many instances, with a pause after each batch: with
// a configuration of 8 KB, this uses half of a link of 200 Mbit/s.
constexpr std::size_t kRecipientsPerBatch = 16;
constexpr absl::Duration kBatchPause = absl::Milliseconds(10);
// Bound on the reports that are remembered until a summary answers them.
constexpr std::size_t kMaxPendingReports = 32;
// Further ones are left to later reports.
constexpr std::size_t kMaxMissingModelsPerReport = 32;
// Stands for an unlimited age in reports.
constexpr absl::Duration kUnlimitedAge = absl::Hours(24);

bool IsIdle(const wire::InstanceReport& report) {
  return report.targets.empty() && report.wishes.empty();
}

// A standby instance has no requests and gets no callers. It needs the store's
// changes and nothing else, as do most instances of a large fleet.
bool IsStandby(const wire::InstanceReport& report) {
  return IsIdle(report) && !report.listed;
}

}  // namespace

FleetChannel::FleetChannel(
    asio::io_context& context, udp::socket& socket, FleetState& fleet,
    ModelDemand& demand, QuotaWindows& quotas, QuotaAdmission& quota_admission,
    ReportAggregator& aggregator, const LeaderLease& leader_lease,
    InstanceRecord self, bool first_start, StoreSyncState& sync_state,
    StoreRelay& relay, StreamOrigins& stream_origins,
    CrashSuspects& crash_suspects, PromptCaches& prompt_caches,
    Metrics& metrics, Tasks& tasks, Clock clock)
    : context(context),
      socket(socket),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      quota_admission(quota_admission),
      aggregator(aggregator),
      leader_lease(leader_lease),
      self(std::move(self)),
      first_start(first_start),
      sync_state(sync_state),
      relay(relay),
      stream_origins(stream_origins),
      crash_suspects(crash_suspects),
      prompt_caches(prompt_caches),
      cached_parts(prompt_caches, clock),
      statements(fleet, clock),
      metrics(metrics),
      tasks(tasks),
      clock(std::move(clock)),
      started(this->clock.Now()),
      wake(context) {
  this->demand.OnFirstWait([this] { this->wake.Notify(); });
  const auto send = [this](const wire::FleetMessage& message,
                           const std::string& address) {
    this->Send(message, address);
  };
  this->quota_admission.OnSend(send);
  this->relay.OnSend(send);
  this->stream_origins.OnSend(send);
  this->crash_suspects.OnSend(send);
  this->relay.OnDigestApplied([this] { this->CheckLeaderChange(); });
  this->sync_state.OnUrgentChange([this] { this->SendUrgentChanges(); });
}

asio::awaitable<void> FleetChannel::Receive() {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (true) {
    udp::endpoint sender;
    error_code error;
    const std::size_t received_bytes = co_await this->socket.async_receive_from(
        asio::buffer(buffer), sender,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(this->context, kReportInterval);
      continue;
    }
    this->ReceiveDatagram(std::string_view(buffer.data(), received_bytes));
  }
}

void FleetChannel::ReceiveDatagram(std::string_view datagram) {
  const auto message = DecodeThrift<wire::FleetMessage>(datagram);
  if (!message.has_value()) {
    this->metrics.Count("unreadable_datagrams");
    return;
  }
  if (message->__isset.report) this->ReceiveReport(message->report);
  if (message->__isset.summary) this->ReceiveSummary(message->summary);
  if (message->__isset.ask) this->quota_admission.ReceiveAsk(message->ask);
  if (message->__isset.grant)
    this->quota_admission.ReceiveGrant(message->grant);
  if (message->__isset.note) this->ReceiveSendNote(message->note);
  if (message->__isset.rest_note && this->on_rest_note) {
    this->on_rest_note(message->rest_note);
  }
  this->stream_origins.Receive(*message);
  this->crash_suspects.Receive(*message);
  this->relay.Receive(*message);
}

asio::awaitable<void> FleetChannel::Report() {
  while (true) {
    wire::FleetMessage message;
    message.__set_report(this->MakeReport());
    const absl::Duration interval =
        absl::Milliseconds(message.report.interval_ms);
    const std::optional<LeaderRecord> leader = this->fleet.Leader();
    if (leader.has_value()) {
      if (leader->instance.incarnation == this->self.incarnation) {
        this->ReceiveReport(message.report);
      } else {
        this->Send(message, leader->instance.peer_address);
      }
    }
    co_await this->wake.Wait(interval);
  }
}

absl::Duration FleetChannel::ReportInterval() const {
  const auto listed = static_cast<double>(this->fleet.ListedInstances().size());
  return std::clamp(absl::Seconds(listed / kMaxReportsPerSecond),
                    kReportInterval, kIdleReportInterval);
}

wire::InstanceReport FleetChannel::MakeReport() {
  wire::InstanceReport report;
  report.instance = this->self.name;
  report.incarnation = this->self.incarnation;
  report.address = this->self.peer_address;
  report.sequence = ++this->sequence;
  report.sent_ms = absl::ToInt64Milliseconds(this->clock.Now());
  // Nothing can have been spent before the fleet's first start, so that the
  // process's age imposes no limit then.
  const absl::Duration age = this->clock.Now() - this->started;
  report.age_ms =
      absl::ToInt64Milliseconds(this->first_start ? kUnlimitedAge : age);
  report.lacks.swap(this->missing_models);
  report.refusing.assign(this->refusing_targets.begin(),
                         this->refusing_targets.end());
  this->refusing_targets.clear();
  this->fleet.ForEachTarget([&](const TargetState& target) {
    if (target.InFlight() == 0) return;
    wire::TargetUse use;
    use.target = target.Record().id;
    use.requests = target.InFlight();
    use.unread_tokens = static_cast<std::int64_t>(target.UnreadTokens());
    for (const auto& [resident, count] : target.ResidentsInUse()) {
      use.residents.push_back(resident);
    }
    report.targets.push_back(std::move(use));
  });
  for (const auto& [name, count] : this->demand.DrainCounts()) {
    wire::ModelWish model_demand;
    model_demand.service_name = name.service;
    model_demand.model = name.model;
    model_demand.adapter = name.adapter;
    model_demand.requests = count.requests;
    model_demand.work_ms = count.work_ms;
    model_demand.waiting = count.waiting;
    report.wishes.push_back(std::move(model_demand));
  }
  OwnSpending spent{this->quotas.Spent(), this->quotas.SpentTotals()};
  for (const auto& [workspace, tokens] : spent.in_window) {
    wire::WorkspaceSpend spend;
    spend.workspace = workspace;
    spend.tokens = static_cast<std::int64_t>(tokens);
    spend.__set_total(static_cast<std::int64_t>(spent.totals[workspace]));
    const std::optional<double> level =
        this->quotas.FollowedBucketLevel(workspace);
    if (level.has_value())
      spend.__set_bucket_level(static_cast<std::int64_t>(*level));
    report.spends.push_back(std::move(spend));
  }
  this->statements.AddTo(report);
  this->cached_parts.AddTo(report);
  report.store_revision =
      static_cast<std::int64_t>(this->sync_state.KnownThrough());
  // An instance without requests must know for how long it has been listed,
  // too: the leader computes its share from that.
  this->quota_admission.UpdateParticipants();
  report.listed = this->fleet.IsListed(this->self.name);
  report.listed_ms = absl::ToInt64Milliseconds(
      std::min(kUnlimitedAge, this->quotas.ListedFor()));
  report.grants_through = this->quota_admission.SettledThrough();
  report.holdings_of = this->holdings_leader;
  report.holdings_version = this->known_holdings_version;
  report.interval_ms = absl::ToInt64Milliseconds(
      IsIdle(report) ? kIdleReportInterval : this->ReportInterval());
  this->spent_by_report[this->sequence] = std::move(spent);
  if (this->spent_by_report.size() > kMaxPendingReports) {
    this->spent_by_report.erase(this->spent_by_report.begin());
  }
  return report;
}

void FleetChannel::ReceiveReport(const wire::InstanceReport& report) {
  if (!this->leader_lease.IsLeader()) return;
  this->aggregator.AddReport(report);
  this->quota_admission.ReceiveReport(report);
  this->cached_parts.Apply(report);
  bool has_waiting_requests = false;
  for (const wire::ModelWish& model_demand : report.wishes) {
    has_waiting_requests = has_waiting_requests || model_demand.waiting > 0;
  }
  if (has_waiting_requests && this->on_waiting_requests)
    this->on_waiting_requests();
  if (this->on_missing_model) {
    for (const wire::TargetLack& lack : report.lacks)
      this->on_missing_model(lack);
  }
  if (this->on_connection_refused) {
    for (const std::string& target : report.refusing)
      this->on_connection_refused(target);
  }
  if (this->statements.Apply(report)) this->SchedulePush();
  this->RespondToReport({report, this->clock.Now()});
}

void FleetChannel::RespondToReport(const ReceivedReport& received) {
  const wire::InstanceReport& report = received.report;
  if (!IsStandby(report)) {
    this->SendSummary(received);
    return;
  }
  if (report.incarnation == this->self.incarnation) return;
  this->relay.SendDigest(static_cast<std::uint64_t>(report.store_revision),
                         {report.sent_ms, received.at}, report.address);
}

void FleetChannel::SendSummary(const ReceivedReport& received) {
  const wire::InstanceReport& report = received.report;
  wire::FleetMessage message;
  wire::FleetSummary summary = this->aggregator.SummaryFor(report);
  for (wire::WorkspaceSpend& spend : summary.spends) {
    spend.tokens += static_cast<std::int64_t>(
        this->quota_admission.UnreportedGrantTokens(spend.workspace));
  }
  this->quota_admission.AddBucketLevels(summary);
  summary.holder = this->self.incarnation;
  summary.fence = static_cast<std::int64_t>(this->leader_lease.FencingToken());
  summary.store = this->relay.RespondWithDigest(
      static_cast<std::uint64_t>(report.store_revision),
      {report.sent_ms, received.at});
  summary.holdings_version = this->holdings.Version();
  summary.holdings = this->holdings.Since(
      report.holdings_of == this->self.incarnation ? report.holdings_version
                                                   : 0);
  this->statements.AddTo(summary);
  this->cached_parts.AddTo(summary, report);
  message.__set_summary(std::move(summary));
  if (report.incarnation == this->self.incarnation) {
    this->ReceiveSummary(message.summary);
  } else {
    this->Send(message, report.address);
  }
}

bool FleetChannel::IsLeader() const {
  const std::optional<LeaderRecord>& leader = this->fleet.Leader();
  return this->leader_lease.IsLeader() && leader.has_value() &&
         leader->instance.incarnation == this->self.incarnation;
}

// Sends a report as soon as the leader changes: a new leader has no data until
// all instances have reported.
void FleetChannel::CheckLeaderChange() {
  if (this->fleet.LeaderRevision() == this->leader_revision) return;
  this->leader_revision = this->fleet.LeaderRevision();
  this->wake.Notify();
  if (!this->IsLeader()) return;
  this->tasks.Spawn("announce duty", this->AnnounceLeadership());
}

// Without the announcement, instances that get their updates from the previous
// leader learn of this one only when the previous leader's digests are stale.
asio::awaitable<void> FleetChannel::AnnounceLeadership() {
  std::vector<std::string> addresses;
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) addresses.push_back(record.peer_address);
  }
  const std::string leader_record = this->relay.PackLeaderRecord();
  const std::function<void(std::size_t)> send_to = [&](std::size_t index) {
    if (!this->IsLeader()) return;
    wire::FleetMessage message;
    message.__set_store(this->relay.DigestWithChanges(leader_record));
    this->Send(message, addresses[index]);
  };
  co_await this->ForEachPaced(addresses.size(), send_to);
}

// The pauses keep sends to hundreds of instances from delaying this instance's
// requests, and a large change from saturating its link, which loses datagrams.
// What is lost nevertheless is sent again in response to the next report.
asio::awaitable<void> FleetChannel::ForEachPaced(
    std::size_t count, const std::function<void(std::size_t)>& send_to) {
  for (std::size_t i = 0; i < count; ++i) {
    send_to(i);
    if ((i + 1) % kRecipientsPerBatch == 0)
      co_await Sleep(this->context, kBatchPause);
  }
}

void FleetChannel::SendUrgentChanges() {
  this->CheckLeaderChange();
  if (!this->leader_lease.IsLeader()) {
    this->relay.NotifySubscribers();
    return;
  }
  this->notify_again = true;
  if (this->notifying_reporters) return;
  this->notifying_reporters = true;
  this->tasks.Spawn("tell everyone", this->NotifyReporters());
}

asio::awaitable<void> FleetChannel::NotifyReporters() {
  const std::exception_ptr exception =
      co_await CatchException(this->SendToReporters());
  this->notifying_reporters = false;
  if (exception) std::rethrow_exception(exception);
}

asio::awaitable<void> FleetChannel::SendToReporters() {
  while (this->notify_again && this->leader_lease.IsLeader()) {
    this->notify_again = false;
    std::vector<ReceivedReport> reporters = this->aggregator.RecentReports();
    std::stable_partition(
        reporters.begin(), reporters.end(),
        [](const ReceivedReport& one) { return !IsStandby(one.report); });
    const std::function<void(std::size_t)> send_to = [&](std::size_t index) {
      this->RespondToReport(reporters[index]);
    };
    co_await this->ForEachPaced(reporters.size(), send_to);
  }
}

void FleetChannel::SchedulePush() {
  if (this->push_pending) return;
  this->push_pending = true;
  this->tasks.Spawn("push summaries", this->PushSummaries());
}

asio::awaitable<void> FleetChannel::PushSummaries() {
  co_await Sleep(this->context,
                 std::max(kPushDelay, this->next_push - this->clock.Now()));
  this->push_pending = false;
  if (!this->leader_lease.IsLeader()) co_return;
  const Instant start = this->clock.Now();
  for (const ReceivedReport& each : this->aggregator.RecentReports()) {
    if (!IsIdle(each.report)) this->SendSummary(each);
  }
  const Instant end = this->clock.Now();
  this->next_push = end + kPausePerPushTime * (end - start);
}

void FleetChannel::ReceiveSummary(const wire::FleetSummary& summary) {
  const std::optional<LeaderRecord>& leader = this->fleet.Leader();
  // A leader that has been replaced may not know it yet.
  if (!leader.has_value() || leader->instance.incarnation != summary.holder) {
    return;
  }
  // The digest may change the leader's entry, so that the reference leader is
  // not used below.
  const bool own = summary.holder == this->self.incarnation;
  this->ApplyTargetUses(summary);
  this->ApplyHoldings(summary);
  this->ApplyFleetSpends(summary);
  this->statements.Apply(summary);
  this->cached_parts.Apply(summary);
  if (!own) this->relay.ReceiveDigest(summary.store);
  this->fleet.Changed().Notify();
}

void FleetChannel::ApplyTargetUses(const wire::FleetSummary& summary) {
  const Instant now = this->clock.Now();
  std::map<std::string_view, const wire::TargetUse*> uses;
  for (const wire::TargetUse& use : summary.targets) uses[use.target] = &use;
  this->fleet.ForEachTarget([&](TargetState& target) {
    const auto use = uses.find(target.Record().id);
    if (use == uses.end()) {
      target.SetOtherInstancesLoad(0, 0, now);
    } else {
      const auto unread = static_cast<double>(use->second->unread_tokens);
      target.SetOtherInstancesLoad(use->second->requests,
                                   this->BroadcastsSentPrompts() ? 0 : unread,
                                   now);
    }
  });
}

void FleetChannel::ApplyHoldings(const wire::FleetSummary& summary) {
  if (this->holdings_leader != summary.holder) this->known_holdings.clear();
  this->holdings_leader = summary.holder;
  this->known_holdings_version = summary.holdings_version;
  std::set<std::string_view> changed;
  for (const wire::TargetHoldings& item : summary.holdings) {
    this->known_holdings[item.target] = item;
    changed.insert(item.target);
  }
  if (summary.holdings_version == 0) return;
  const Instant now = this->clock.Now();
  for (const auto& [id, item] : this->known_holdings) {
    const std::shared_ptr<TargetState> target = this->fleet.Target(id);
    // Holdings of an earlier process of the target are obsolete.
    if (target == nullptr || target->Record().born_ms != item.born_ms) continue;
    if (changed.count(id) == 0 && target->RefreshPlacement(now)) continue;
    target->SetPlacement(
        std::set<std::string>(item.adapters.begin(), item.adapters.end()),
        std::set<std::string>(item.closing_models.begin(),
                              item.closing_models.end()),
        now);
  }
}

void FleetChannel::ApplyFleetSpends(const wire::FleetSummary& summary) {
  const auto own = this->spent_by_report.find(summary.answers);
  for (const wire::WorkspaceSpend& spend : summary.spends) {
    FleetSpending fleet_spend;
    fleet_spend.total = static_cast<double>(spend.tokens);
    fleet_spend.instances = summary.instances;
    fleet_spend.own_total = this->quotas.SpentTotal(spend.workspace);
    if (own != this->spent_by_report.end()) {
      const auto& [in_window, totals] = own->second;
      const auto mine = in_window.find(spend.workspace);
      if (mine != in_window.end()) fleet_spend.own = mine->second;
      const auto total = totals.find(spend.workspace);
      fleet_spend.own_total = total == totals.end() ? 0 : total->second;
    }
    if (spend.__isset.bucket_level) {
      fleet_spend.bucket_level = static_cast<double>(spend.bucket_level);
    }
    fleet_spend.unknown_shares = summary.unknown_shares;
    fleet_spend.unreported_fraction = summary.missing_part;
    this->quotas.SetFleetSpending(spend.workspace, fleet_spend);
  }
}

bool FleetChannel::BroadcastsSentPrompts() const {
  return this->fleet.ListedInstances().size() <= kMaxSentPromptRecipients;
}

// Summaries are some hundred milliseconds old. Instances that chose targets by
// them alone would send their prompts to the same engine until the next summary
// arrives, and the engine's running streams stall while it prefills.
void FleetChannel::BroadcastSentPrompt(const std::string& target,
                                       double prompt_tokens) {
  if (!this->BroadcastsSentPrompts()) return;
  const bool is_first = this->pending_prompts.empty();
  this->pending_prompts[target] += prompt_tokens;
  if (is_first) this->tasks.Spawn("tell sends", this->SendPromptNote());
}

asio::awaitable<void> FleetChannel::SendPromptNote() {
  co_await Sleep(this->context, kSentPromptsDelay);
  wire::SendNote note;
  for (const auto& [target, tokens] : this->pending_prompts) {
    wire::SentPrompts prompts;
    prompts.target = target;
    prompts.tokens = static_cast<std::int64_t>(tokens);
    note.prompts.push_back(std::move(prompts));
  }
  this->pending_prompts.clear();
  wire::FleetMessage message;
  message.__set_note(std::move(note));
  for (const InstanceRecord* other : this->fleet.ListedInstances()) {
    if (other->name == this->self.name) continue;
    this->Send(message, other->peer_address);
  }
}

void FleetChannel::ReceiveSendNote(const wire::SendNote& note) {
  const Instant now = this->clock.Now();
  for (const wire::SentPrompts& prompts : note.prompts) {
    const std::shared_ptr<TargetState> target =
        this->fleet.Target(prompts.target);
    if (target == nullptr) continue;
    const auto tokens = static_cast<double>(prompts.tokens);
    target->AddSentByOthers(tokens, now);
    this->prompt_caches.RecordOtherTokens(target->Record(), tokens);
  }
}

// Sends a report immediately: the target's entry expires only seconds later,
// and until then models that only this target holds look available, so that the
// leader loads them nowhere else.
void FleetChannel::ReportConnectionRefused(const std::string& target) {
  const bool is_first = this->refusing_targets.insert(target).second;
  if (is_first) this->wake.Notify();
}

void FleetChannel::ReportMissingModel(std::string_view target,
                                      const ModelName& name) {
  if (this->missing_models.size() >= kMaxMissingModelsPerReport) return;
  wire::TargetLack lack;
  lack.target = std::string(target);
  lack.model = name.model;
  lack.adapter = name.adapter;
  this->missing_models.push_back(std::move(lack));
}

void FleetChannel::Send(const wire::FleetMessage& message,
                        const std::string& address) {
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.Ok()) return;
  error_code error;
  const udp::endpoint destination(
      asio::ip::make_address(endpoint.Value().address, error),
      static_cast<unsigned short>(endpoint.Value().port));
  if (error) return;
  const std::string datagram = EncodeThrift(message);
  this->socket.send_to(asio::buffer(datagram), destination, 0, error);
  this->metrics.Count("peer_datagrams",
                      error ? "result=\"failed\"" : "result=\"sent\"");
  this->metrics.Count("peer_bytes", {}, static_cast<double>(datagram.size()));
}

}  // namespace dragonflyglade::gateway
