#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/report_aggregator.h"

namespace dragonflyglade::gateway {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(8);
constexpr std::int64_t kAlways = 86400000;  // milliseconds: longer than any

wire::InstanceReport Report(const std::string& instance,
                            const std::string& process = "1") {
  wire::InstanceReport report;
  report.instance = instance;
  report.incarnation = instance + "/" + process;
  report.sequence = 1;
  report.interval_ms = 200;
  report.listed = true;
  report.age_ms = kAlways;
  report.listed_ms = kAlways;
  return report;
}

wire::InstanceReport Spent(wire::InstanceReport report, std::int64_t tokens) {
  wire::WorkspaceSpend spend;
  spend.workspace = "w";
  spend.tokens = tokens;
  report.spends.push_back(spend);
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
  double missing_part = 0;  ///< with "a" and "b" in the list from the start
};

class ReportHubTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportHubTest);
  CPPUNIT_TEST(SumsUpWhatIsSpent);
  CPPUNIT_TEST(TakesOverWhatWasSpent);
  CPPUNIT_TEST(KeepsWhatWasSpentBesideNamesThatAreNoText);
  CPPUNIT_TEST(TellsEachWhatOthersHave);
  CPPUNIT_TEST(KnowsDemandFromItsFirstSecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A workspace floods while a partition leaves three of eight instances on
  // their own. The larger side lists weaker ones in their place. Counted like
  // the three, they made the side believe that it had the whole quota, and
  // both sides together ran 4,071,922 tokens of 4,040,330 in a window. Where
  // those that left the list go on reporting, nothing is kept for them: of a
  // fleet that the store turned a third of away, all workspaces were refused.
  void SumsUpWhatIsSpent() {
    const double half = 1 - std::pow(0.5, 1.5);
    const std::vector<SpendCase> cases = {
        {"nobody", {}, 0, 0, 0, 1},
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
        {"one that just joined, in place of one that is not heard",
         {Report("a"), Aged(Report("c"), kAlways, 0)},
         0,
         2,
         0,
         0.5},
        {"one that just joined, in place of one that reports",
         {Report("a"), Unlisted(Report("b")), Aged(Report("c"), kAlways, 0)},
         0,
         2,
         0},
        {"a new process whose past is not known",
         {Report("a"), Aged(Report("b"), 0, kAlways)},
         0,
         2,
         1},
        {"a new process whose past was reported",
         {Report("a"), Spent(Report("b"), 7),
          Aged(Report("b", "2"), 0, kAlways)},
         7,
         3,
         0},
        {"its past is known, and it just joined",
         {Report("a"), Report("b"), Aged(Report("b", "2"), 0, 0)},
         0,
         3,
         0},
        {"a new process of which half a window is known",
         {Report("a"), Aged(Report("b"), 4000, kAlways)},
         0,
         2,
         half},
    };
    for (const SpendCase& item : cases) {
      ManualClock manual;
      QuotaParticipants owners(kWindow, Clock(&manual));
      owners.Follow(std::vector<std::string_view>{"a", "b"});
      ReportAggregator hub(owners, kWindow, Clock(&manual));
      for (const wire::InstanceReport& report : item.reports) hub.Take(report);
      const FleetSpending spend = hub.SpendingOf("w");
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.name, item.missing_part,
                                           spend.missing_part, 1e-9);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.total, spend.total);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.instances, spend.instances);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.name, item.unknown_shares,
                                           spend.unknown_shares, 1e-9);
    }
  }

  // All processes are killed, and callers of workspaces far inside their
  // quotas were refused for seconds: nobody knew what had been spent, so a new
  // holder took all parts for spent. It goes on from the record of the holder
  // before, in which each process's spending stands.
  void TakesOverWhatWasSpent() {
    ManualClock manual;
    const QuotaParticipants owners(kWindow, Clock(&manual));
    ReportAggregator before(owners, kWindow, Clock(&manual));
    before.Take(Spent(Report("a"), 800));
    before.Take(Spent(Report("b"), 400));
    SpendRecord record;
    record.processes = before.SpendingByProcess();
    const std::string written = EncodeSpendRecord(record);

    ReportAggregator hub(owners, kWindow, Clock(&manual));
    hub.Take(Aged(Report("a", "2"), 0, kAlways));
    hub.Take(Spent(Report("b"), 500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, hub.SpendingOf("w").unknown_shares, 1e-9);
    hub.TakeOver(DecodeSpendRecord(written).Value());
    const FleetSpending spend = hub.SpendingOf("w");
    CPPUNIT_ASSERT_EQUAL(800 * (1 + kUnrecordedSpendingShare) + 500,
                         spend.total);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, spend.unknown_shares, 1e-9);
    CPPUNIT_ASSERT_EQUAL(2, spend.instances);
    manual.Advance(kWindow + absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, hub.SpendingOf("w").total);
  }

  // Anybody can send a report; a name in it ended the recording for good.
  void KeepsWhatWasSpentBesideNamesThatAreNoText() {
    ManualClock manual;
    const QuotaParticipants owners(kWindow, Clock(&manual));
    ReportAggregator hub(owners, kWindow, Clock(&manual));
    hub.Take(Spent(Report("a"), 800));
    hub.Take(Spent(Report("b\xff"), 400));
    SpendRecord record;
    record.processes = hub.SpendingByProcess();
    const Result<SpendRecord> read =
        DecodeSpendRecord(EncodeSpendRecord(record));
    CPPUNIT_ASSERT(read.Ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.Value().processes.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{800},
                         read.Value().processes[0].tokens.at("w"));
  }

  void TellsEachWhatOthersHave() {
    ManualClock manual;
    const QuotaParticipants owners(kWindow, Clock(&manual));
    ReportAggregator hub(owners, kWindow, Clock(&manual));
    std::vector<wire::InstanceReport> reports;
    for (const int requests : {3, 4}) {
      wire::InstanceReport report = Report(std::to_string(requests));
      wire::TargetUse use;
      use.target = "t";
      use.requests = requests;
      use.unread_tokens = std::int64_t{100} * requests;
      report.targets.push_back(use);
      reports.push_back(report);
      hub.Take(report);
    }
    const wire::FleetSummary first = hub.SummaryFor(reports[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.targets.size());
    CPPUNIT_ASSERT_EQUAL(4, first.targets[0].requests);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400}, first.targets[0].unread_tokens);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, first.answers);
    CPPUNIT_ASSERT_EQUAL(3, hub.SummaryFor(reports[1]).targets[0].requests);
  }

  // A new holder of the placing duty has no past. With an average that begins
  // at nothing it took models in demand for idle, and took four of their
  // copies away in its first second.
  void KnowsDemandFromItsFirstSecond() {
    ManualClock manual;
    const QuotaParticipants owners(kWindow, Clock(&manual));
    ReportAggregator hub(owners, kWindow, Clock(&manual));
    wire::InstanceReport report = Report("a");
    wire::ModelWish wish;
    wish.service_name = "s";
    wish.model = "m";
    wish.work_ms = 100;  // half an engine over the interval of 200 ms
    report.wishes.push_back(wish);
    for (int i = 0; i < 10; ++i) {
      hub.Take(report);
      report.sequence += 1;
      manual.Advance(absl::Milliseconds(200));
    }
    const auto demand = hub.Demand();
    const auto model = demand.find(ModelName{"s", "m", ""});
    CPPUNIT_ASSERT(model != demand.end());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, model->second.load, 0.05);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReportHubTest, "unit-report-hub");

}  // namespace
}  // namespace dragonflyglade::gateway
