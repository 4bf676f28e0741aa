#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/gateway/change_codec.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/thrift_codec.h"
#include "tests/unit/relay_fleet.h"
// After the gateway's headers, which include what Asio's leave out.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace dragonflyglade::gateway {
namespace {

constexpr const char* kConfigKey = kTestConfigKey;
using Fleet = RelayFleet;
// Enough for the relay's timer to run on a busy machine.
constexpr int kMaxRunAttempts = 50;

// A configuration that compresses as well as a real one, whose model entries
// differ little. With 300 models it is as large as that of a site of 224
// models.
std::string Configuration(int models) {
  std::string text;
  for (int i = 0; i < models; ++i) {
    absl::StrAppend(&text, R"({"name":"model-)", i * 7919,
                    R"(","memory_mb":72700.0,"load_s":4.2,"adapters":0,)"
                    R"("adapter_mb":66.0,"warm_s":0.4,"disk_s":0.84},)");
  }
  return text;
}

class StoreRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRelayTest);
  CPPUNIT_TEST(PassesMissingChangesOn);
  CPPUNIT_TEST(SendsChangesToInstancesThatQueried);
  CPPUNIT_TEST(QueriesAnotherRelayIfTheLeaderLosesTheStore);
  CPPUNIT_TEST(AnnouncesANewLeaderWithoutClaimingCompleteness);
  CPPUNIT_TEST(ReadsTheStoreIfTheRelayLacksTheHistory);
  CPPUNIT_TEST(FitsIntoADatagramAlsoWithManyKeys);
  CPPUNIT_TEST(IgnoresInvalidChanges);
  CPPUNIT_TEST(PacksAsManyChangesAsFit);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an old configuration for two seconds, after the relay was
  // killed at a change and is back, and has more than it can keep.
  void ReadsTheStoreIfTheRelayLacksTheHistory() {
    constexpr std::uint64_t kLargeItems = 50;
    constexpr std::size_t kLargeBytes = 100000;
    RelayFleet fleet(2);
    fleet.ApplyRead(1, {Item("k", 4, "known")}, 4);
    RelayFleet::Instance& restarted = *fleet.instances[0];
    std::vector<StoreItem> listing = {Item(kTestConfigKey, 8, "newer")};
    for (std::uint64_t i = 0; i < kLargeItems; ++i) {
      listing.push_back(
          Item(absl::StrCat("large", i), 9 + i, std::string(kLargeBytes, 'x')));
    }
    const std::uint64_t last = listing.back().revision;
    restarted.state.ApplyListing(listing, last);
    restarted.sync_state.RecordRead(last, restarted.state.UrgentRevision());
    RelayFleet::Instance& other = *fleet.instances[1];
    other.relay.ReceiveDigest(restarted.relay.DigestSince(4));
    CPPUNIT_ASSERT(other.sync_state.IsBehind());
    CPPUNIT_ASSERT(other.sync_state.MustReadStore());
    other.sync_state.RecordRead(last, last);
    CPPUNIT_ASSERT(!other.sync_state.MustReadStore());
  }

  // Guards against digests that a restarted relay cannot send, since they list
  // the keys of a fleet of any size.
  void FitsIntoADatagramAlsoWithManyKeys() {
    constexpr std::size_t kMaxDatagramBytes = 65000;
    for (const std::uint64_t keys : {100, 2300, 4000, 23000}) {
      RelayFleet fleet(2);
      fleet.ApplyRead(1, {Item("k", 4, "known")}, 4);
      RelayFleet::Instance& restarted = *fleet.instances[0];
      std::vector<StoreItem> listing = {Item("k", 4, "known")};
      for (std::uint64_t i = 0; i < keys; ++i) {
        listing.push_back(Item(absl::StrCat("key", i), 5 + i, "value"));
      }
      const std::uint64_t last = listing.back().revision;
      restarted.state.ApplyListing(listing, last);
      restarted.sync_state.RecordRead(last, restarted.state.UrgentRevision());
      wire::FleetMessage message;
      message.__set_store(restarted.relay.DigestSince(4));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(keys, " keys"),
                             EncodeThrift(message).size() <= kMaxDatagramBytes);
      RelayFleet::Instance& other = *fleet.instances[1];
      fleet.CatchUp(1, 0);
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(keys, " keys"),
          !other.sync_state.IsBehind() || other.sync_state.MustReadStore());
    }
  }

  // Failure: instances use an old configuration for up to five seconds. A
  // configuration of 39 KB did not fit into a digest of 24 KB, so that no relay
  // passed it on and 295 instances read it from the store at the same time.
  void PassesMissingChangesOn() {
    struct Case {
      std::string name;
      std::vector<StoreItem> items;
      bool caught_up;
      int max_digests;
    };
    constexpr int kModels = 300;
    constexpr int kManyModels = 2000;
    constexpr std::size_t kRandomBytes = 11000;
    const std::vector<Case> cases = {
        {"nothing new", {}, true, 1},
        {"a small change", {Item("k", 2, "v")}, true, 1},
        {"the configuration of a large site",
         {Item(kConfigKey, 2, Configuration(kModels))},
         true,
         1},
        {"a configuration, this one of 2,000 models",
         {Item(kConfigKey, 2, Configuration(kManyModels))},
         true,
         1},
        {"three versions in a row",
         {Item(kConfigKey, 2, Configuration(kModels)),
          Item(kConfigKey, 3, Configuration(kModels + 1)),
          Item(kConfigKey, 4, Configuration(kModels + 2))},
         true,
         1},
        {"changes that need several messages",
         {Item("a", 2, RandomBytes(kRandomBytes, 1)),
          Item("b", 3, RandomBytes(kRandomBytes, 2)),
          Item("c", 4, RandomBytes(kRandomBytes, 3)),
          Item("d", 5, RandomBytes(kRandomBytes, 4))},
         true,
         4},
        {"a change that fits into no message",
         {Item("a", 2, RandomBytes(8 * kRandomBytes, 1))},
         false,
         1},
    };
    for (const Case& item : cases) {
      Fleet fleet(2);
      fleet.ApplyRead(0, {}, 1);
      fleet.ApplyRead(1, {}, 1);
      const std::uint64_t last =
          item.items.empty() ? 1 : item.items.back().revision;
      fleet.ApplyRead(0, item.items, last);
      const int digests = fleet.CatchUp(1, 0);
      const Fleet::Instance& receiver = *fleet.instances[1];
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.caught_up,
                                   !receiver.sync_state.IsBehind());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.caught_up,
                                   receiver.sync_state.KnownThrough() == last);
      CPPUNIT_ASSERT_MESSAGE(item.name, digests <= item.max_digests);
      CPPUNIT_ASSERT_MESSAGE(item.name, receiver.sync_state.HasLiveRelay());
      if (!item.items.empty() && item.items.back().key == kConfigKey) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            item.name, std::uint64_t{item.items.back().value.size()},
            receiver.state.Config()->version);
      }
    }
  }

  // Failure: requests find no leader to ask for quota. While the leader is
  // replaced, instances query the other relays; these must notify them of the
  // new leader at once.
  void SendsChangesToInstancesThatQueried() {
    Fleet fleet(1);
    fleet.ApplyRead(0, {}, 1);
    StoreRelay& relay = fleet.instances[0]->relay;
    wire::StoreQuestion question;
    question.address = "asker";
    question.known = 1;
    relay.ReceiveQuestion(question);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("asker"), fleet.sent[0].address);
    CPPUNIT_ASSERT(fleet.sent[0].message.store.changes.empty());
    fleet.ApplyRead(0, {Item("k", 2, "v")}, 2);
    relay.NotifySubscribers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         fleet.sent[1].message.store.changes_through);
    fleet.time.Advance(absl::Seconds(2));
    relay.NotifySubscribers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.sent.size());
  }

  // Failure: 295 instances read the store at the same time although two other
  // relays are live. The leader loses its connection to the store and goes on
  // sending digests, which become stale.
  void QueriesAnotherRelayIfTheLeaderLosesTheStore() {
    struct Case {
      std::string name;
      absl::Duration age;  ///< of the leader's digest
      bool queries;
    };
    const std::vector<Case> cases = {
        {"the store responds to the leader", absl::Milliseconds(600), false},
        {"it does not", absl::Milliseconds(1300), true},
    };
    for (const Case& item : cases) {
      Fleet fleet(1);
      Fleet::Instance& instance = *fleet.instances[0];
      std::vector<StoreItem> items = {
          Item(std::string(FleetState::kLeaderKey), 1,
               EncodeInstanceRecord(Fleet::Record("i1")))};
      for (std::uint64_t i = 0; i < 80; ++i) {
        // The first one's capacity is too low for a relay.
        InstanceRecord record = Fleet::Record(absl::StrCat("i", i));
        record.capacity = i == 0 ? 0.1 : 1;
        items.push_back(Item(FleetState::InstanceKey(record.name), i + 2,
                             EncodeInstanceRecord(record)));
      }
      fleet.ApplyRead(0, items, 100);
      fleet.time.Advance(absl::Seconds(10));
      boost::asio::co_spawn(fleet.context,
                            instance.relay.QueryRelaysWhileStale(),
                            boost::asio::detached);
      instance.sync_state.ApplyDigest({1, 100, fleet.clock.Now() - item.age});
      const int attempts = item.queries ? kMaxRunAttempts : 1;
      for (int i = 0; i < attempts && fleet.sent.empty(); ++i) {
        fleet.context.run_for(std::chrono::milliseconds(400));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.queries,
                                   !fleet.sent.empty());
      if (!item.queries) continue;
      CPPUNIT_ASSERT(fleet.sent[0].message.__isset.store_question);
      CPPUNIT_ASSERT(instance.state.IsRelayInstance(fleet.sent[0].address));
    }
  }

  // Failure: instances report to a new leader late, or miss changes. They must
  // learn of the new leader at once, and must not take the announcement for
  // complete: it contains no other changes.
  void AnnouncesANewLeaderWithoutClaimingCompleteness() {
    Fleet fleet(2);
    fleet.ApplyRead(0, {}, 1);
    fleet.ApplyRead(1, {}, 1);
    fleet.ApplyRead(
        0,
        {Item("k", 2, "v"), Item(std::string(FleetState::kLeaderKey), 3,
                                 EncodeInstanceRecord(Fleet::Record("i0")))},
        3);
    const Fleet::Instance& receiver = *fleet.instances[1];
    const StoreRelay& leader = fleet.instances[0]->relay;
    fleet.instances[1]->relay.ReceiveDigest(
        leader.DigestWithChanges(leader.PackLeaderRecord()));
    CPPUNIT_ASSERT(receiver.state.Leader().has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i0"),
                         receiver.state.Leader()->instance.name);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, receiver.sync_state.KnownThrough());
    CPPUNIT_ASSERT(receiver.sync_state.IsBehind());
  }

  // Failure: a digest that cannot be decoded changes the instance's state. Any
  // process can send datagrams to the port.
  void IgnoresInvalidChanges() {
    const std::vector<std::string> cases = {
        "x", std::string(100, '\0'), RandomBytes(1000, 1),
        PackChanges(std::vector<StoreEvent>{{Item("k", 2, "v"), false}}, 100)
            .bytes.substr(1)};
    for (const std::string& bytes : cases) {
      Fleet fleet(1);
      fleet.ApplyRead(0, {}, 1);
      wire::StoreDigest digest;
      digest.urgent_revision = 9;
      digest.changes_through = 9;
      digest.changes = bytes;
      fleet.instances[0]->relay.ReceiveDigest(digest);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                           fleet.instances[0]->sync_state.KnownThrough());
      CPPUNIT_ASSERT(!fleet.instances[0]->sync_state.HasLiveRelay());
    }
  }

  void PacksAsManyChangesAsFit() {
    std::vector<StoreEvent> changes;
    for (unsigned i = 0; i < 10; ++i) {
      changes.push_back({Item("k", i + 1, RandomBytes(1000, i)), i % 2 == 1});
    }
    const PackedChanges all = PackChanges(changes, 100000);
    CPPUNIT_ASSERT_EQUAL(changes.size(), all.count);
    const auto unpacked = UnpackChanges(all.bytes);
    CPPUNIT_ASSERT(unpacked.has_value());
    for (std::size_t i = 0; i < changes.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(changes[i].item.value, unpacked->at(i).item.value);
      CPPUNIT_ASSERT_EQUAL(changes[i].deleted, unpacked->at(i).deleted);
    }
    const PackedChanges some = PackChanges(changes, 5000);
    CPPUNIT_ASSERT(some.count > 0 && some.count < changes.size());
    CPPUNIT_ASSERT(some.bytes.size() <= 5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, PackChanges(changes, 100).count);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreRelayTest, "unit-store-relay");

}  // namespace
}  // namespace dragonflyglade::gateway
