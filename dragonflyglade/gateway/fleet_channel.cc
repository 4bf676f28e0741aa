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

// Requests move in and out of targets within some hundred milliseconds, so
// older news says little; faster reports cost processor time for each pair of
// messages.
constexpr absl::Duration kReportEvery = absl::Milliseconds(200);
// An instance without requests has nothing to tell, but must hear of changes.
// In a fleet of 82 instances most are idle, and the holder's work is reports.
constexpr absl::Duration kIdleReportEvery = absl::Milliseconds(500);
// Several orders are mostly answered within some milliseconds of one another;
// a request that waits for an adapter loses no more than this.
constexpr absl::Duration kPushGather = absl::Milliseconds(8);
// Sends of this time are told in one message. Engines read a prompt in some ten
// milliseconds, so older news would send several instances to the same engine.
constexpr absl::Duration kSendsGather = absl::Milliseconds(3);
// Each instance tells all others, so the messages grow with the square of the
// instances that callers are sent to. Larger fleets go by the summaries.
constexpr std::size_t kMostToldOfSends = 24;
constexpr std::size_t kLargestDatagram = 65000;
// How many instances are told of a change in one go, and the pause after that:
// with a configuration of 8 KB, a link of 200 Mbit/s is then half full.
constexpr std::size_t kToldAtOnce = 16;
constexpr absl::Duration kToldPause = absl::Milliseconds(10);
// Reports whose summary is still awaited.
constexpr std::size_t kMostUnanswered = 32;
// News of targets that lack something; more are told in later reports.
constexpr std::size_t kMostLacks = 32;
constexpr absl::Duration kAgeless = absl::Hours(24);

bool IsIdle(const wire::InstanceReport& report) {
  return report.targets.empty() && report.wishes.empty();
}

// Callers are not sent there and it has none: it needs the store's changes and
// nothing else, and so do most instances of a large fleet.
bool StandsBy(const wire::InstanceReport& report) {
  return IsIdle(report) && !report.listed;
}

}  // namespace

FleetChannel::FleetChannel(asio::io_context& context, udp::socket& socket,
                           FleetState& fleet, ModelDemand& demand,
                           QuotaWindows& quotas, QuotaAdmission& desk,
                           ReportAggregator& hub, const LeaderLease& duty,
                           InstanceRecord self, bool first_start,
                           StoreSyncState& news, StoreRelay& relay,
                           Metrics& metrics, Tasks& tasks, Clock clock)
    : context(context),
      socket(socket),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      desk(desk),
      hub(hub),
      duty(duty),
      self(std::move(self)),
      first_start(first_start),
      news(news),
      relay(relay),
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
  this->desk.OnSend(send);
  this->relay.OnSend(send);
  this->relay.OnDigestApplied([this] { this->FollowDuty(); });
  this->news.OnUrgentChange([this] { this->TellUrgent(); });
}

asio::awaitable<void> FleetChannel::Receive() {
  std::string space(kLargestDatagram, '\0');
  while (true) {
    udp::endpoint sender;
    error_code error;
    const std::size_t got = co_await this->socket.async_receive_from(
        asio::buffer(space), sender,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(this->context, kReportEvery);
      continue;
    }
    this->Take(std::string_view(space.data(), got));
  }
}

void FleetChannel::Take(std::string_view datagram) {
  const auto message = DecodeThrift<wire::FleetMessage>(datagram);
  if (!message.has_value()) {
    this->metrics.Count("unreadable_datagrams");
    return;
  }
  if (message->__isset.report) this->TakeReport(message->report);
  if (message->__isset.summary) this->TakeSummary(message->summary);
  if (message->__isset.ask) this->desk.ReceiveAsk(message->ask);
  if (message->__isset.grant) this->desk.ReceiveGrant(message->grant);
  if (message->__isset.note) this->TakeNote(message->note);
  if (message->__isset.store) this->relay.ReceiveDigest(message->store);
  if (message->__isset.store_question) {
    this->relay.ReceiveQuestion(message->store_question);
  }
}

asio::awaitable<void> FleetChannel::Report() {
  while (true) {
    wire::FleetMessage message;
    message.__set_report(this->MakeReport());
    const absl::Duration interval =
        absl::Milliseconds(message.report.interval_ms);
    const std::optional<LeaderRecord> holder = this->fleet.Leader();
    if (holder.has_value()) {
      if (holder->instance.incarnation == this->self.incarnation) {
        this->TakeReport(message.report);
      } else {
        this->Send(message, holder->instance.peers);
      }
    }
    co_await this->wake.Wait(interval);
  }
}

wire::InstanceReport FleetChannel::MakeReport() {
  wire::InstanceReport report;
  report.instance = this->self.name;
  report.incarnation = this->self.incarnation;
  report.address = this->self.peers;
  report.sequence = ++this->sequence;
  // Before the first start of all nothing was spent, so no age matters.
  const absl::Duration age = this->clock.Now() - this->started;
  report.age_ms = absl::ToInt64Milliseconds(this->first_start ? kAgeless : age);
  report.lacks.swap(this->lacks);
  report.refusing.assign(this->refusing.begin(), this->refusing.end());
  this->refusing.clear();
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
  for (const auto& [name, count] : this->demand.Take()) {
    wire::ModelWish wish;
    wish.service_name = name.service;
    wish.model = name.model;
    wish.adapter = name.adapter;
    wish.requests = count.requests;
    wish.work_ms = count.work_ms;
    wish.waiting = count.waiting;
    report.wishes.push_back(std::move(wish));
  }
  const std::map<std::string, double> spent = this->quotas.Spent();
  for (const auto& [workspace, tokens] : spent) {
    wire::WorkspaceSpend spend;
    spend.workspace = workspace;
    spend.tokens = static_cast<std::int64_t>(tokens);
    report.spends.push_back(std::move(spend));
  }
  report.store_revision = static_cast<std::int64_t>(this->news.KnownThrough());
  // An instance without requests must know since when it is listed, too: its
  // part counts by that at the holder.
  this->desk.UpdateParticipants();
  report.listed = this->fleet.IsListed(this->self.name);
  report.listed_ms =
      absl::ToInt64Milliseconds(std::min(kAgeless, this->quotas.ListedFor()));
  report.grants_through = this->desk.SettledThrough();
  report.holdings_of = this->told_by;
  report.holdings_version = this->told_version;
  report.interval_ms = absl::ToInt64Milliseconds(
      IsIdle(report) ? kIdleReportEvery : kReportEvery);
  this->spent_at[this->sequence] = spent;
  if (this->spent_at.size() > kMostUnanswered) {
    this->spent_at.erase(this->spent_at.begin());
  }
  return report;
}

void FleetChannel::TakeReport(const wire::InstanceReport& report) {
  if (!this->duty.Held()) return;
  this->hub.Take(report);
  this->desk.Reported(report);
  bool anyone_waits = false;
  for (const wire::ModelWish& wish : report.wishes) {
    anyone_waits = anyone_waits || wish.waiting > 0;
  }
  if (anyone_waits && this->waiting) this->waiting();
  if (this->on_lack) {
    for (const wire::TargetLack& lack : report.lacks) this->on_lack(lack);
  }
  if (this->on_refusing) {
    for (const std::string& target : report.refusing) this->on_refusing(target);
  }
  this->Answer(report);
}

void FleetChannel::Answer(const wire::InstanceReport& report) {
  if (!StandsBy(report)) {
    this->SendSummary(report);
    return;
  }
  if (report.incarnation == this->self.incarnation) return;
  this->relay.SendDigest(static_cast<std::uint64_t>(report.store_revision),
                         report.address);
}

void FleetChannel::SendSummary(const wire::InstanceReport& report) {
  wire::FleetMessage message;
  wire::FleetSummary summary = this->hub.SummaryFor(report);
  for (wire::WorkspaceSpend& spend : summary.spends) {
    spend.tokens += static_cast<std::int64_t>(
        this->desk.UnreportedGrantTokens(spend.workspace));
  }
  summary.holder = this->self.incarnation;
  summary.fence = static_cast<std::int64_t>(this->duty.Fence());
  summary.store = this->relay.DigestSince(
      static_cast<std::uint64_t>(report.store_revision));
  summary.holdings_version = this->holdings.Version();
  summary.holdings = this->holdings.Since(
      report.holdings_of == this->self.incarnation ? report.holdings_version
                                                   : 0);
  message.__set_summary(std::move(summary));
  if (report.incarnation == this->self.incarnation) {
    this->TakeSummary(message.summary);
  } else {
    this->Send(message, report.address);
  }
}

bool FleetChannel::IsHolder() const {
  const std::optional<LeaderRecord>& holder = this->fleet.Leader();
  return this->duty.Held() && holder.has_value() &&
         holder->instance.incarnation == this->self.incarnation;
}

// A new holder knows nothing until it has everybody's report.
void FleetChannel::FollowDuty() {
  if (this->fleet.LeaderRevision() == this->duty_revision) return;
  this->duty_revision = this->fleet.LeaderRevision();
  this->wake.Notify();
  if (!this->IsHolder()) return;
  this->tasks.Spawn("announce duty", this->AnnounceDuty());
}

// Instances that were led by the holder before would hear of this one only
// when its word has grown old.
asio::awaitable<void> FleetChannel::AnnounceDuty() {
  std::vector<std::string> addresses;
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name != this->self.name) addresses.push_back(record.peers);
  }
  const std::string duty = this->relay.PackLeaderRecord();
  const std::function<void(std::size_t)> tell = [&](std::size_t index) {
    if (!this->IsHolder()) return;
    wire::FleetMessage message;
    message.__set_store(this->relay.DigestOf(duty));
    this->Send(message, addresses[index]);
  };
  co_await this->InParts(addresses.size(), tell);
}

// So that a fleet of hundreds does not keep this instance's requests waiting,
// and a large change does not fill its link, where datagrams are lost. What is
// lost all the same comes with the answer to the next report.
asio::awaitable<void> FleetChannel::InParts(
    std::size_t count, const std::function<void(std::size_t)>& tell) {
  for (std::size_t i = 0; i < count; ++i) {
    tell(i);
    if ((i + 1) % kToldAtOnce == 0) co_await Sleep(this->context, kToldPause);
  }
}

void FleetChannel::TellUrgent() {
  this->FollowDuty();
  if (!this->duty.Held()) {
    this->relay.NotifySubscribers();
    return;
  }
  this->tell_again = true;
  if (this->telling_everyone) return;
  this->telling_everyone = true;
  this->tasks.Spawn("tell everyone", this->TellEveryone());
}

asio::awaitable<void> FleetChannel::TellEveryone() {
  const std::exception_ptr fault =
      co_await CatchException(this->TellReporters());
  this->telling_everyone = false;
  if (fault) std::rethrow_exception(fault);
}

asio::awaitable<void> FleetChannel::TellReporters() {
  while (this->tell_again && this->duty.Held()) {
    this->tell_again = false;
    std::vector<wire::InstanceReport> reporters = this->hub.RecentReports();
    std::stable_partition(
        reporters.begin(), reporters.end(),
        [](const wire::InstanceReport& one) { return !StandsBy(one); });
    const std::function<void(std::size_t)> tell = [&](std::size_t index) {
      this->Answer(reporters[index]);
    };
    co_await this->InParts(reporters.size(), tell);
  }
}

void FleetChannel::SchedulePush() {
  if (this->push_pending) return;
  this->push_pending = true;
  this->tasks.Spawn("push summaries", this->PushGathered());
}

asio::awaitable<void> FleetChannel::PushGathered() {
  co_await Sleep(this->context, kPushGather);
  this->push_pending = false;
  if (!this->duty.Held()) co_return;
  for (const wire::InstanceReport& report : this->hub.RecentReports()) {
    if (!IsIdle(report)) this->SendSummary(report);
  }
}

void FleetChannel::TakeSummary(const wire::FleetSummary& summary) {
  const std::optional<LeaderRecord>& holder = this->fleet.Leader();
  // A holder that was replaced may not know it yet.
  if (!holder.has_value() || holder->instance.incarnation != summary.holder) {
    return;
  }
  // The changes may be of the duty itself, so the holder is not used below.
  const bool own = summary.holder == this->self.incarnation;
  this->TakeUses(summary);
  this->TakeHoldings(summary);
  this->TakeSpends(summary);
  if (!own) this->relay.ReceiveDigest(summary.store);
  this->fleet.Changed().Notify();
}

void FleetChannel::TakeUses(const wire::FleetSummary& summary) {
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
                                   this->TellsSends() ? 0 : unread, now);
    }
  });
}

void FleetChannel::TakeHoldings(const wire::FleetSummary& summary) {
  if (this->told_by != summary.holder) this->told_holdings.clear();
  this->told_by = summary.holder;
  this->told_version = summary.holdings_version;
  std::set<std::string_view> changed;
  for (const wire::TargetHoldings& item : summary.holdings) {
    this->told_holdings[item.target] = item;
    changed.insert(item.target);
  }
  if (summary.holdings_version == 0) return;
  const Instant now = this->clock.Now();
  for (const auto& [id, item] : this->told_holdings) {
    const std::shared_ptr<TargetState> target = this->fleet.Target(id);
    // What was told of a process before this one is of no use.
    if (target == nullptr || target->Record().born_ms != item.born_ms) continue;
    if (changed.count(id) == 0 && target->RefreshPlacement(now)) continue;
    target->SetPlacement(
        std::set<std::string>(item.adapters.begin(), item.adapters.end()),
        std::set<std::string>(item.closing_models.begin(),
                              item.closing_models.end()),
        now);
  }
}

void FleetChannel::TakeSpends(const wire::FleetSummary& summary) {
  const auto own = this->spent_at.find(summary.answers);
  for (const wire::WorkspaceSpend& spend : summary.spends) {
    FleetSpending fleet_spend;
    fleet_spend.total = static_cast<double>(spend.tokens);
    fleet_spend.instances = summary.instances;
    if (own != this->spent_at.end()) {
      const auto mine = own->second.find(spend.workspace);
      if (mine != own->second.end()) fleet_spend.own = mine->second;
    }
    fleet_spend.unknown_shares = summary.unknown_shares;
    fleet_spend.missing_part = summary.missing_part;
    this->quotas.SetFleetSpending(spend.workspace, fleet_spend);
  }
}

bool FleetChannel::TellsSends() const {
  return this->fleet.ListedInstances().size() <= kMostToldOfSends;
}

// The summaries of reports are some hundred milliseconds old. Instances that
// choose by them send their prompts to the same engine until the next one
// comes, and its running streams pause for as long as it reads.
void FleetChannel::BroadcastSentPrompt(const std::string& target,
                                       double prompt_tokens) {
  if (!this->TellsSends()) return;
  const bool first = this->sends.empty();
  this->sends[target] += prompt_tokens;
  if (first) this->tasks.Spawn("tell sends", this->TellSends());
}

asio::awaitable<void> FleetChannel::TellSends() {
  co_await Sleep(this->context, kSendsGather);
  wire::SendNote note;
  for (const auto& [target, tokens] : this->sends) {
    wire::SentPrompts prompts;
    prompts.target = target;
    prompts.tokens = static_cast<std::int64_t>(tokens);
    note.prompts.push_back(std::move(prompts));
  }
  this->sends.clear();
  wire::FleetMessage message;
  message.__set_note(std::move(note));
  for (const InstanceRecord* other : this->fleet.ListedInstances()) {
    if (other->name == this->self.name) continue;
    this->Send(message, other->peers);
  }
}

void FleetChannel::TakeNote(const wire::SendNote& note) {
  const Instant now = this->clock.Now();
  for (const wire::SentPrompts& prompts : note.prompts) {
    const std::shared_ptr<TargetState> target =
        this->fleet.Target(prompts.target);
    if (target == nullptr) continue;
    target->AddSentByOthers(static_cast<double>(prompts.tokens), now);
  }
}

// Told at once: until the target's entry lapses, seconds later, models that are
// there only look served, and nobody loads them elsewhere.
void FleetChannel::ReportConnectionRefused(const std::string& target) {
  const bool first = this->refusing.insert(target).second;
  if (first) this->wake.Notify();
}

void FleetChannel::ReportMissingModel(std::string_view target,
                                      const ModelName& name) {
  if (this->lacks.size() >= kMostLacks) return;
  wire::TargetLack lack;
  lack.target = std::string(target);
  lack.model = name.model;
  lack.adapter = name.adapter;
  this->lacks.push_back(std::move(lack));
}

void FleetChannel::Send(const wire::FleetMessage& message,
                        const std::string& address) {
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.Ok()) return;
  error_code error;
  const udp::endpoint place(
      asio::ip::make_address(endpoint.Value().address, error),
      static_cast<unsigned short>(endpoint.Value().port));
  if (error) return;
  const std::string datagram = EncodeThrift(message);
  this->socket.send_to(asio::buffer(datagram), place, 0, error);
  this->metrics.Count("peer_datagrams",
                      error ? "result=\"failed\"" : "result=\"sent\"");
  this->metrics.Count("peer_bytes", {}, static_cast<double>(datagram.size()));
}

}  // namespace dragonflyglade::gateway
