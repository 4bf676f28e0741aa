#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "dragonflyglade/gateway/change_parts.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "tests/unit/relay_fleet.h"

namespace dragonflyglade::gateway {
namespace {

// Large enough for a second relay instance.
constexpr int kInstances = 45;
constexpr std::uint64_t kFirstRevision = 100;
constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(250);
constexpr absl::Duration kPartCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration kReportInterval = absl::Milliseconds(500);
// Within which a change of the configuration must be in force.
constexpr absl::Duration kConfigBound = absl::Seconds(2);

// What happens to the configuration and to the messages that carry it.
struct Case {
  std::string name;
  std::size_t bytes = 0;        ///< of the configuration, compressed
  std::set<int> readers = {0};  ///< all others are refused by the store
  int versions = 1;             ///< sent one after the other
  absl::Duration version_interval = absl::Milliseconds(300);
  int lost_in_ten = 0;  ///< datagrams
  /// Between changes of other keys; zero: none.
  absl::Duration other_changes = absl::ZeroDuration();
  /// These send and receive nothing from a time on.
  std::set<int> silent = {};
  absl::Duration silent_from = absl::InfiniteDuration();
  /// How long the store has refused all but the readers.
  absl::Duration refused_for = absl::ZeroDuration();
};

// A fleet with a leader (instance 0) and one more relay instance (1) whose
// configuration changes. Nothing is read from the store but by the readers of
// the case.
class ChangingFleet {
 public:
  explicit ChangingFleet(const Case& test_case)
      : test_case(test_case), fleet(kInstances) {
    std::vector<StoreItem> items = {
        Item(std::string(FleetState::kLeaderKey), 1,
             EncodeInstanceRecord(RelayFleet::Record("i0")))};
    for (int i = 0; i < kInstances; ++i) {
      InstanceRecord record = RelayFleet::Record(RelayFleet::Name(i));
      record.capacity = i < 2 ? 1 : 0.1;
      items.push_back(Item(FleetState::InstanceKey(record.name),
                           static_cast<std::uint64_t>(i) + 2,
                           EncodeInstanceRecord(record)));
    }
    items.push_back(Item(kTestConfigKey, kFirstRevision, "first"));
    this->fleet.time.Advance(absl::Seconds(100));
    for (int i = 0; i < kInstances; ++i) {
      this->fleet.ApplyRead(i, items, kFirstRevision);
    }
    this->RunFor(absl::Seconds(1));
    this->refused = test_case.refused_for > absl::ZeroDuration();
    this->RunFor(test_case.refused_for);
    this->refused = true;
  }

  /// Plays the changes until the bound of the last one.
  void Play() {
    for (int i = 0; i < this->test_case.versions; ++i) {
      if (i > 0) this->RunFor(this->test_case.version_interval);
      this->revision += 1;
      const std::size_t bytes =
          this->test_case.bytes + static_cast<std::size_t>(i);
      this->config = Item(kTestConfigKey, this->revision,
                          RandomBytes(bytes, static_cast<unsigned>(i)));
      for (const int reader : this->test_case.readers) {
        this->fleet.ApplyRead(reader, {this->config}, this->revision);
      }
      this->started = this->fleet.clock.Now();
      this->SendDigests();
    }
    this->RunFor(kConfigBound);
  }

  /// Part messages, lost ones included.
  int PartsSent() const { return this->parts_sent; }

  /// The instances that are not silent and serve by an older version.
  std::string Stale() const {
    std::string stale;
    for (int i = 0; i < kInstances; ++i) {
      if (this->test_case.silent.count(i) > 0) continue;
      const auto config = this->fleet.instances[i]->state.Config();
      if (config->version == this->config.value.size()) continue;
      absl::StrAppend(&stale, " ", RelayFleet::Name(i));
    }
    return stale;
  }

 private:
  bool IsSilent(int instance) const {
    return this->started != absl::ZeroDuration() &&
           this->fleet.clock.Now() - this->started >=
               this->test_case.silent_from &&
           this->test_case.silent.count(instance) > 0;
  }

  bool Reads(int instance) const {
    return !this->refused || this->test_case.readers.count(instance) > 0;
  }

  // Reads that nothing has changed. An instance that the store refuses tries to
  // read unless a relay is live.
  void ReadStore(int instance) {
    RelayFleet::Instance& reader = *this->fleet.instances[instance];
    if (this->Reads(instance)) {
      reader.sync_state.RecordRead(this->revision,
                                   reader.state.UrgentRevision());
    } else if (!reader.sync_state.HasLiveRelay() ||
               reader.sync_state.MustReadStore()) {
      reader.sync_state.RecordReadFailure();
    }
  }

  void RunFor(absl::Duration time) {
    const Instant end = this->fleet.clock.Now() + time;
    while (this->fleet.clock.Now() < end) this->Step();
  }

  void Step() {
    this->fleet.time.Advance(kStep);
    const absl::Duration now = this->fleet.clock.Now();
    const auto is_due = [now](absl::Duration interval) {
      return interval > absl::ZeroDuration() &&
             absl::Floor(now, interval) == now;
    };
    if (is_due(this->test_case.other_changes)) this->ChangeOtherKey();
    for (int i = 0; i < kInstances; ++i) {
      if (this->IsSilent(i)) continue;
      RelayFleet::Instance& instance = *this->fleet.instances[i];
      if (is_due(kReportInterval)) this->ReadStore(i);
      if (is_due(kCheckInterval)) instance.relay.CheckRelays();
      if (is_due(kPartCheckInterval)) instance.relay.RequestMissingParts();
      instance.relay.SendDueParts();
    }
    if (is_due(kReportInterval) && !this->IsSilent(0)) this->SendDigests();
    this->Deliver();
  }

  void ChangeOtherKey() {
    this->revision += 1;
    for (const int reader : this->test_case.readers) {
      this->fleet.ApplyRead(reader, {Item("other", this->revision, "value")},
                            this->revision);
    }
  }

  // The leader responds to reports, and at once if it reads a change.
  void SendDigests() {
    for (int i = 1; i < kInstances; ++i) {
      this->fleet.instances[0]->relay.SendDigest(
          this->fleet.instances[i]->sync_state.KnownThrough(),
          this->fleet.RequestNow(), RelayFleet::Name(i));
    }
  }

  void Deliver() {
    while (!this->fleet.sent.empty()) {
      const RelayFleet::Sent sent = std::move(this->fleet.sent.front());
      this->fleet.sent.pop_front();
      const int to = std::stoi(sent.address.substr(1));
      if (sent.message.__isset.change_part) this->parts_sent += 1;
      const bool lost =
          static_cast<int>(this->random() % 10) < this->test_case.lost_in_ten;
      if (lost || this->IsSilent(to)) continue;
      this->fleet.instances[to]->relay.Receive(sent.message);
    }
  }

  const Case& test_case;
  RelayFleet fleet;
  std::uint64_t revision = kFirstRevision;
  StoreItem config;
  Instant started = absl::ZeroDuration();  ///< of the last version
  bool refused = false;
  int parts_sent = 0;
  std::mt19937 random{1};
};

class LargeChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeChangesTest);
  CPPUNIT_TEST(ReachInstancesThatCannotReadTheStore);
  CPPUNIT_TEST(AreNotSentAgainWithEachChange);
  CPPUNIT_TEST(ForeignPartsAndRequestsHaveNoEffect);
  CPPUNIT_TEST_SUITE_END();

  // Guards against serving by a configuration that was replaced long ago.
  void ReachInstancesThatCannotReadTheStore() {
    constexpr std::size_t kSmall = 2000;
    constexpr std::size_t kLarge = 80000;
    constexpr std::size_t kLargest = 150000;  // of a text of one megabyte
    const absl::Duration second = absl::Seconds(1);
    const std::vector<Case> cases = {
        {"a small configuration", kSmall},
        {"one of 4,200 routes", kLarge},
        {"the largest that the store takes", kLargest},
        {.name = "three datagrams in ten are lost",
         .bytes = kLarge,
         .lost_in_ten = 3},
        {.name = "other keys change meanwhile",
         .bytes = kLarge,
         .other_changes = absl::Milliseconds(50)},
        {.name = "version after version", .bytes = kLarge, .versions = 5},
        {.name = "the leader falls silent",
         .bytes = kLarge,
         .readers = {0, 1},
         .silent = {0},
         .silent_from = absl::Milliseconds(20)},
        {.name = "all relay instances fall silent",
         .bytes = kLarge,
         .readers = {0, 1},
         .silent = {0, 1},
         .silent_from = absl::Milliseconds(60)},
        {.name = "the store refuses a relay instance",
         .bytes = kLarge,
         .readers = {1, 2},
         .refused_for = 5 * second},
        {.name = "the store refuses all relay instances",
         .bytes = kLarge,
         .readers = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
         .refused_for = 5 * second},
    };
    std::string failures;
    for (const Case& item : cases) {
      ChangingFleet fleet(item);
      fleet.Play();
      const std::string stale = fleet.Stale();
      if (!stale.empty())
        absl::StrAppend(&failures, item.name, ":", stale, "\n");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against a saturated link of the leader.
  void AreNotSentAgainWithEachChange() {
    constexpr int kParts = 5;
    const Case item = {.name = "other keys change meanwhile",
                       .bytes = 80000,
                       .other_changes = absl::Milliseconds(50)};
    ChangingFleet fleet(item);
    fleet.Play();
    CPPUNIT_ASSERT_EQUAL(std::string(), fleet.Stale());
    // Some are requested from a second instance while the leader is busy.
    CPPUNIT_ASSERT(fleet.PartsSent() <= 2 * kParts * (kInstances - 1));
  }

  // Guards against changes that the store does not contain.
  void ForeignPartsAndRequestsHaveNoEffect() {
    const StoreEvent change{
        Item(kTestConfigKey, kFirstRevision, RandomBytes(40000, 1)), false};
    const PackedChange packed(change);
    RelayFleet fleet(2);
    fleet.ApplyRead(0, {change.item}, kFirstRevision);
    fleet.ApplyRead(1, {}, 1);
    StoreRelay& receiver = fleet.instances[1]->relay;
    receiver.ReceiveDigest(fleet.instances[0]->relay.DigestSince(1));
    const auto checksum = static_cast<std::int64_t>(packed.Checksum());
    const auto receive_part = [&](std::int64_t of, std::int32_t number,
                                  const std::string& bytes) {
      wire::ChangePart part;
      part.checksum = of;
      part.number = number;
      part.bytes = bytes;
      wire::FleetMessage message;
      message.__set_change_part(part);
      receiver.Receive(message);
    };
    receive_part(checksum, -1, "x");
    receive_part(checksum, 1000, "x");
    receive_part(checksum + 1, 0, std::string(packed.Part(0)));
    for (std::int32_t i = 0; i < 3; ++i) receive_part(checksum, i, "foreign");
    CPPUNIT_ASSERT(fleet.instances[1]->state.Config() == nullptr);
    // The right parts still complete the change.
    for (std::int32_t i = 0; i < 3; ++i) {
      receive_part(checksum, i,
                   std::string(packed.Part(static_cast<std::size_t>(i))));
    }
    CPPUNIT_ASSERT(fleet.instances[1]->state.Config() != nullptr);
    CPPUNIT_ASSERT_EQUAL(kFirstRevision,
                         fleet.instances[1]->sync_state.KnownThrough());

    fleet.sent.clear();
    wire::PartRequest request;
    request.address = "i1";
    request.key = kTestConfigKey;
    request.revision = static_cast<std::int64_t>(kFirstRevision);
    request.checksum = checksum;
    request.parts = {-1, 3, 1000000};
    wire::FleetMessage message;
    message.__set_part_request(request);
    fleet.instances[0]->relay.Receive(message);
    request.parts = {0};
    request.checksum += 1;
    message.__set_part_request(request);
    fleet.instances[0]->relay.Receive(message);
    fleet.time.Advance(absl::Seconds(1));
    fleet.instances[0]->relay.SendDueParts();
    CPPUNIT_ASSERT(fleet.sent.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LargeChangesTest, "unit-large-changes");

}  // namespace
}  // namespace dragonflyglade::gateway
