#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/gateway/report_aggregator.h"

namespace dragonflyglade::gateway {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(8);
// An age that imposes no limit.
constexpr std::int64_t kUnlimitedAgeMs = 86400000;

wire::InstanceReport Report(const std::string& instance,
                            const std::string& process = "1") {
  wire::InstanceReport report;
  report.instance = instance;
  report.incarnation = instance + "/" + process;
  report.sequence = 1;
  report.interval_ms = 200;
  report.listed = true;
  report.age_ms = kUnlimitedAgeMs;
  report.listed_ms = kUnlimitedAgeMs;
  return report;
}

wire::InstanceReport Spent(wire::InstanceReport report, std::int64_t tokens) {
  wire::WorkspaceSpend spend;
  spend.workspace = "w";
  spend.tokens = tokens;
  report.spends.push_back(spend);
  return report;
}

wire::InstanceReport Following(wire::InstanceReport report,
                               std::int64_t bucket_level) {
  report = Spent(std::move(report), 10);
  report.spends.back().__set_bucket_level(bucket_level);
  return report;
}

wire::InstanceReport Aged(wire::InstanceReport report, std::int64_t age_ms,
                          std::int64_t listed_ms) {
  report.age_ms = age_ms;
  report.listed_ms = listed_ms;
  return report;
}

wire::InstanceReport Unlisted(wire::InstanceReport report) {
  report.listed = false;
  return report;
}

struct SpendCase {
  std::string name;
  std::vector<wire::InstanceReport> reports;
  double total;
  int instances;
  double unknown_shares;
  double missing_part = 0;  ///< with "a" and "b" listed from the start
};

class ReportAggregatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportAggregatorTest);
  CPPUNIT_TEST(SumsUpSpending);
  CPPUNIT_TEST(MergesTheSpendRecord);
  CPPUNIT_TEST(RecordsSpendingDespiteNamesThatAreNotUtf8);
  CPPUNIT_TEST(SummarizesTheRequestsOfOtherInstances);
  CPPUNIT_TEST(KeepsSumsUpToDate);
  CPPUNIT_TEST(StatesWhatUnreportingInstancesFollow);
  CPPUNIT_TEST(EstimatesDemandInTheFirstSecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reserve that is too small: unless all instances that do
  // not report stated the bucket level that they follow, any of them may spend
  // its share of the window.
  void StatesWhatUnreportingInstancesFollow() {
    struct LevelCase {
      std::string name;
      std::vector<wire::InstanceReport> reports;  ///< before the absence
      std::optional<double> level;
      absl::Duration absence;
    };
    const absl::Duration absence = absl::Seconds(2);
    const std::vector<LevelCase> cases = {
        {"both state a level",
         {Following(Report("a"), 100), Following(Report("b"), 300)},
         300.0,
         absence},
        {"one states none",
         {Following(Report("a"), 100), Spent(Report("b"), 10)},
         std::nullopt,
         absence},
        {"one never reported",
         {Following(Report("a"), 100)},
         std::nullopt,
         absl::InfiniteDuration()},
    };
    for (const LevelCase& item : cases) {
      ManualClock manual;
      QuotaParticipants participants(kWindow, Clock(&manual));
      participants.UpdateListed(std::vector<std::string_view>{"a", "b"});
      ReportAggregator aggregator(participants, kWindow, Clock(&manual));
      for (const wire::InstanceReport& report : item.reports) {
        aggregator.AddReport(report);
      }
      manual.Advance(absence);
      const FleetSpending spend = aggregator.SpendingOf("w");
      CPPUNIT_ASSERT_MESSAGE(item.name, item.level == spend.unreported_level);
      CPPUNIT_ASSERT_MESSAGE(item.name, item.absence == spend.unreported_for);
    }
  }

  // Guards against sums that differ from the reports, since each report changes
  // them only by what is new in it.
  void KeepsSumsUpToDate() {
    constexpr int kInstances = 12;
    constexpr int kTargets = 6;
    std::mt19937 random(3);
    ManualClock manual;
    QuotaParticipants participants(kWindow, Clock(&manual));
    ReportAggregator aggregator(participants, kWindow, Clock(&manual));
    std::map<std::string, wire::InstanceReport> newest;
    for (int step = 0; step < 500; ++step) {
      manual.Advance(absl::Milliseconds(random() % 20));
      const std::string name = absl::StrCat("i", random() % kInstances);
      wire::InstanceReport report =
          Spent(Report(name), static_cast<std::int64_t>(random() % 1000));
      report.sequence = step + 1;
      report.listed = random() % 4 != 0;
      for (int target = 0; target < kTargets; ++target) {
        if (random() % 2 == 0) continue;
        wire::TargetUse use;
        use.target = absl::StrCat("t", target);
        use.requests = static_cast<int>(random() % 5);
        use.unread_tokens = static_cast<std::int64_t>(random() % 100);
        report.targets.push_back(use);
      }
      newest[name] = report;
      aggregator.AddReport(report);
      ReportAggregator fresh(participants, kWindow, Clock(&manual));
      for (const auto& [instance, last] : newest) fresh.AddReport(last);
      const wire::FleetSummary sums = aggregator.SummaryFor(report);
      const wire::FleetSummary expected = fresh.SummaryFor(report);
      CPPUNIT_ASSERT(sums.spends == expected.spends);
      CPPUNIT_ASSERT(sums.targets == expected.targets);
      CPPUNIT_ASSERT_EQUAL(expected.answers, sums.answers);
      CPPUNIT_ASSERT_EQUAL(expected.instances, sums.instances);
    }
  }

  // Two failures. First, too much is spent: a network partition separates three
  // of eight instances, and the larger side lists weaker ones in their place.
  // If these count like the three, that side assumes that it has the whole
  // quota; both sides together ran 4,071,922 tokens of 4,040,330 in a window
  // while a workspace flooded. Second, too little is admitted: when the store
  // rejects a third of the fleet, those instances leave the list but go on
  // reporting. If quota is kept back for them, requests of all workspaces are
  // refused.
  void SumsUpSpending() {
    const double half = 1 - std::pow(0.5, 1.5);
    const std::vector<SpendCase> cases = {
        {"no reports", {}, 0, 0, 0, 1},
        {"two from the start",
         {Spent(Report("a"), 10), Spent(Report("b"), 5)},
         15,
         2,
         0},
        {"callers are not sent to one of them, but it spends",
         {Spent(Report("a"), 10), Unlisted(Spent(Report("b"), 5))},
         15,
         1,
         0},
        {"one that just joined, in place of one that does not report",
         {Report("a"), Aged(Report("c"), kUnlimitedAgeMs, 0)},
         0,
         2,
         0,
         0.5},
        {"one that just joined, in place of one that reports",
         {Report("a"), Unlisted(Report("b")),
          Aged(Report("c"), kUnlimitedAgeMs, 0)},
         0,
         2,
         0},
        {"a restarted process whose earlier spending is not known",
         {Report("a"), Aged(Report("b"), 0, kUnlimitedAgeMs)},
         0,
         2,
         1},
        {"a restarted process whose earlier spending was reported",
         {Report("a"), Spent(Report("b"), 7),
          Aged(Report("b", "2"), 0, kUnlimitedAgeMs)},
         7,
         3,
         0},
        {"a restarted process of known spending that has just joined",
         {Report("a"), Report("b"), Aged(Report("b", "2"), 0, 0)},
         0,
         3,
         0},
        {"a restarted process of which half a window is known",
         {Report("a"), Aged(Report("b"), 4000, kUnlimitedAgeMs)},
         0,
         2,
         half},
    };
    for (const SpendCase& item : cases) {
      ManualClock manual;
      QuotaParticipants participants(kWindow, Clock(&manual));
      participants.UpdateListed(std::vector<std::string_view>{"a", "b"});
      ReportAggregator aggregator(participants, kWindow, Clock(&manual));
      for (const wire::InstanceReport& report : item.reports)
        aggregator.AddReport(report);
      const FleetSpending spend = aggregator.SpendingOf("w");
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.name, item.missing_part,
                                           spend.unreported_fraction, 1e-9);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.total, spend.total);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.instances, spend.instances);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.name, item.unknown_shares,
                                           spend.unknown_shares, 1e-9);
    }
  }

  // Failure: after all processes were killed, callers of workspaces far inside
  // their quotas are refused for seconds, since a new leader does not know what
  // was spent and counts all shares as spent. It must continue from the
  // previous leader's record of each process's spending.
  void MergesTheSpendRecord() {
    ManualClock manual;
    const QuotaParticipants participants(kWindow, Clock(&manual));
    ReportAggregator previous(participants, kWindow, Clock(&manual));
    previous.AddReport(Spent(Report("a"), 800));
    previous.AddReport(Spent(Report("b"), 400));
    SpendRecord record;
    record.processes = previous.SpendingByProcess();
    const std::string written = EncodeSpendRecord(record);

    ReportAggregator aggregator(participants, kWindow, Clock(&manual));
    aggregator.AddReport(Aged(Report("a", "2"), 0, kUnlimitedAgeMs));
    aggregator.AddReport(Spent(Report("b"), 500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, aggregator.SpendingOf("w").unknown_shares,
                                 1e-9);
    aggregator.MergeSpendRecord(DecodeSpendRecord(written).Value());
    const FleetSpending spend = aggregator.SpendingOf("w");
    CPPUNIT_ASSERT_EQUAL(800 * (1 + kUnrecordedSpendingShare) + 500,
                         spend.total);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, spend.unknown_shares, 1e-9);
    CPPUNIT_ASSERT_EQUAL(2, spend.instances);
    manual.Advance(kWindow + absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, aggregator.SpendingOf("w").total);
  }

  // Failure: spending is never recorded again after a report with an instance
  // name that is not UTF-8, which any process can send.
  void RecordsSpendingDespiteNamesThatAreNotUtf8() {
    ManualClock manual;
    const QuotaParticipants participants(kWindow, Clock(&manual));
    ReportAggregator aggregator(participants, kWindow, Clock(&manual));
    aggregator.AddReport(Spent(Report("a"), 800));
    aggregator.AddReport(Spent(Report("b\xff"), 400));
    SpendRecord record;
    record.processes = aggregator.SpendingByProcess();
    const Result<SpendRecord> read =
        DecodeSpendRecord(EncodeSpendRecord(record));
    CPPUNIT_ASSERT(read.Ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.Value().processes.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{800},
                         read.Value().processes[0].tokens.at("w"));
  }

  void SummarizesTheRequestsOfOtherInstances() {
    ManualClock manual;
    const QuotaParticipants participants(kWindow, Clock(&manual));
    ReportAggregator aggregator(participants, kWindow, Clock(&manual));
    std::vector<wire::InstanceReport> reports;
    for (const int requests : {3, 4}) {
      wire::InstanceReport report = Report(std::to_string(requests));
      wire::TargetUse use;
      use.target = "t";
      use.requests = requests;
      use.unread_tokens = std::int64_t{100} * requests;
      report.targets.push_back(use);
      reports.push_back(report);
      aggregator.AddReport(report);
    }
    const wire::FleetSummary first = aggregator.SummaryFor(reports[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.targets.size());
    CPPUNIT_ASSERT_EQUAL(4, first.targets[0].requests);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400}, first.targets[0].unread_tokens);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, first.answers);
    CPPUNIT_ASSERT_EQUAL(3,
                         aggregator.SummaryFor(reports[1]).targets[0].requests);
  }

  // Failure: a new leader unloads models that are in demand. Its average of the
  // demand starts at zero, so that they look idle; it unloaded four copies in
  // its first second.
  void EstimatesDemandInTheFirstSecond() {
    ManualClock manual;
    const QuotaParticipants participants(kWindow, Clock(&manual));
    ReportAggregator aggregator(participants, kWindow, Clock(&manual));
    wire::InstanceReport report = Report("a");
    wire::ModelWish model_demand;
    model_demand.service_name = "s";
    model_demand.model = "m";
    model_demand.work_ms = 100;  // half an engine over the interval of 200 ms
    report.wishes.push_back(model_demand);
    for (int i = 0; i < 10; ++i) {
      aggregator.AddReport(report);
      report.sequence += 1;
      manual.Advance(absl::Milliseconds(200));
    }
    const auto demand = aggregator.Demand();
    const auto model = demand.find(ModelName{"s", "m", ""});
    CPPUNIT_ASSERT(model != demand.end());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, model->second.level.average, 0.05);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReportAggregatorTest, "unit-report-hub");

}  // namespace
}  // namespace dragonflyglade::gateway
