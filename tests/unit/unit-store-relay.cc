#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/gateway/change_codec.h"
#include "dragonflyglade/gateway/store_relay.h"
// After the gateway's headers, which include what Asio's leave out.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace dragonflyglade::gateway {
namespace {

constexpr const char* kConfigKey = "configuration";
// So many that a busy machine gets round to it.
constexpr int kManyLooks = 50;

std::string NoiseOf(std::size_t bytes, unsigned seed) {
  std::mt19937 random(seed);
  std::string text(bytes, '\0');
  for (char& c : text) c = static_cast<char>(random());
  return text;
}

// As large as that of a site of 224 models: each line like the one before.
std::string Configuration(int models) {
  std::string text;
  for (int i = 0; i < models; ++i) {
    absl::StrAppend(&text, R"({"name":"model-)", i * 7919,
                    R"(","memory_mb":72700.0,"load_s":4.2,"adapters":0,)"
                    R"("adapter_mb":66.0,"warm_s":0.4,"disk_s":0.84},)");
  }
  return text;
}

StoreItem Item(const std::string& key, std::uint64_t revision,
               std::string value) {
  return {key, std::move(value), revision, 0};
}

WireFormat TestWire() {
  WireFormat wire;
  wire.config_key = kConfigKey;
  wire.targets_prefix = "targets/";
  wire.decode_config = [](std::string_view text) -> Result<GatewayConfig> {
    GatewayConfig config;
    config.version = text.size();
    return config;
  };
  return wire;
}

// Instances that hand on what one of them read, with no network between.
class Fleet {
 public:
  struct Instance {
    Instance(Fleet& fleet, const std::string& name)
        : state(fleet.context, fleet.wire, fleet.clock, fleet.log),
          news(fleet.context, fleet.clock),
          relay(fleet.context, state, news, Record(name), fleet.metrics,
                fleet.log, fleet.clock) {
      this->relay.OnSend(
          [&fleet](const wire::FleetMessage& message, const std::string& to) {
            fleet.Send(message, to);
          });
    }
    FleetState state;
    StoreSyncState news;
    StoreRelay relay;
  };

  explicit Fleet(int count) {
    for (int i = 0; i < count; ++i) {
      this->instances.push_back(
          std::make_unique<Instance>(*this, absl::StrCat("i", i)));
    }
  }

  static InstanceRecord Record(const std::string& name) {
    InstanceRecord record;
    record.name = name;
    record.zone = "a";
    record.peers = name;
    record.incarnation = name;
    record.capacity = 1;
    return record;
  }

  /// The instance reads these from the store.
  void Reads(int instance, const std::vector<StoreItem>& items,
             std::uint64_t revision) {
    Instance& reader = *this->instances[instance];
    if (!this->listed) reader.state.ApplyListing({}, 0);
    for (const StoreItem& item : items) reader.state.Apply(item);
    reader.news.Read(revision, reader.state.UrgentRevision());
  }

  /// One gets another's digest, as often as it has more to give.
  /// @return how many it took
  int Catches(int instance, int from) {
    Instance& asker = *this->instances[instance];
    int digests = 0;
    std::uint64_t known = 0;
    do {
      known = asker.news.KnownThrough();
      asker.relay.ReceiveDigest(
          this->instances[from]->relay.DigestSince(known));
      digests += 1;
    } while (asker.news.KnownThrough() > known && asker.news.IsBehind());
    return digests;
  }

  void Send(const wire::FleetMessage& message, const std::string& address) {
    this->sent.push_back({message, address});
  }

  struct Sent {
    wire::FleetMessage message;
    std::string address;
  };

  boost::asio::io_context context;
  ManualClock time;
  const Clock clock{&this->time};
  Metrics metrics;
  EventLog log{"relay", this->clock};
  const WireFormat wire = TestWire();
  const bool listed = false;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<Sent> sent;
};

class StoreRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRelayTest);
  CPPUNIT_TEST(HandsOnWhatAnInstanceLacks);
  CPPUNIT_TEST(AnswersWhoAsksAndTellsThemOfChanges);
  CPPUNIT_TEST(AsksAnotherWhileTheHolderHearsNoStore);
  CPPUNIT_TEST(TellsOfANewHolderAndClaimsNoMore);
  CPPUNIT_TEST(DropsBytesThatAreNoChanges);
  CPPUNIT_TEST(PacksAsManyChangesAsFit);
  CPPUNIT_TEST_SUITE_END();

  // No configuration of 39 KB was ever handed on, since a message took 24 KB:
  // each of 295 instances read it from the store at once, and some served by
  // the version before for five seconds.
  void HandsOnWhatAnInstanceLacks() {
    struct Case {
      std::string name;
      std::vector<StoreItem> items;
      bool caught_up;
      int digests;  ///< at most
    };
    constexpr int kModels = 300;
    constexpr int kManyModels = 2000;
    constexpr std::size_t kNoise = 20000;
    const std::vector<Case> cases = {
        {"nothing new", {}, true, 1},
        {"a small change", {Item("k", 2, "v")}, true, 1},
        {"the configuration of a large site",
         {Item(kConfigKey, 2, Configuration(kModels))},
         true,
         1},
        {"one of 2,000 models",
         {Item(kConfigKey, 2, Configuration(kManyModels))},
         true,
         1},
        {"three versions in a row",
         {Item(kConfigKey, 2, Configuration(kModels)),
          Item(kConfigKey, 3, Configuration(kModels + 1)),
          Item(kConfigKey, 4, Configuration(kModels + 2))},
         true,
         1},
        {"more than a message takes",
         {Item("a", 2, NoiseOf(kNoise, 1)), Item("b", 3, NoiseOf(kNoise, 2)),
          Item("c", 4, NoiseOf(kNoise, 3))},
         true,
         4},
        {"a change that no message takes",
         {Item("a", 2, NoiseOf(4 * kNoise, 1))},
         false,
         1},
    };
    for (const Case& item : cases) {
      Fleet fleet(2);
      fleet.Reads(0, {}, 1);
      fleet.Reads(1, {}, 1);
      const std::uint64_t last =
          item.items.empty() ? 1 : item.items.back().revision;
      fleet.Reads(0, item.items, last);
      const int digests = fleet.Catches(1, 0);
      const Fleet::Instance& caught = *fleet.instances[1];
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.caught_up,
                                   !caught.news.IsBehind());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.caught_up,
                                   caught.news.KnownThrough() == last);
      CPPUNIT_ASSERT_MESSAGE(item.name, digests <= item.digests);
      CPPUNIT_ASSERT_MESSAGE(item.name, caught.news.HasLiveRelay());
      if (!item.items.empty() && item.items.back().key == kConfigKey) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            item.name, std::uint64_t{item.items.back().value.size()},
            caught.state.Config()->version);
      }
    }
  }

  // While the holder of the duty is replaced, whoever asked a follower of the
  // store must hear of the next holder at once, or requests find no sums.
  void AnswersWhoAsksAndTellsThemOfChanges() {
    Fleet fleet(1);
    fleet.Reads(0, {}, 1);
    StoreRelay& relay = fleet.instances[0]->relay;
    wire::StoreQuestion question;
    question.address = "asker";
    question.known = 1;
    relay.ReceiveQuestion(question);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("asker"), fleet.sent[0].address);
    CPPUNIT_ASSERT(fleet.sent[0].message.store.changes.empty());
    fleet.Reads(0, {Item("k", 2, "v")}, 2);
    relay.NotifySubscribers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         fleet.sent[1].message.store.changes_through);
    fleet.time.Advance(absl::Seconds(2));
    relay.NotifySubscribers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.sent.size());
  }

  // The holder is cut off from the store and goes on speaking. Its word grows
  // old, and 295 instances turned to the store although two others follow it.
  void AsksAnotherWhileTheHolderHearsNoStore() {
    struct Case {
      std::string name;
      absl::Duration age;  ///< of the holder's word
      bool asks;
    };
    const std::vector<Case> cases = {
        {"it hears the store", absl::Milliseconds(600), false},
        {"it does not", absl::Milliseconds(1300), true},
    };
    for (const Case& item : cases) {
      Fleet fleet(1);
      Fleet::Instance& instance = *fleet.instances[0];
      std::vector<StoreItem> items = {
          Item(std::string(FleetState::kLeaderKey), 1,
               EncodeInstanceRecord(Fleet::Record("i1")))};
      for (std::uint64_t i = 0; i < 80; ++i) {
        // The first one is too weak to follow the store for others.
        InstanceRecord record = Fleet::Record(absl::StrCat("i", i));
        record.capacity = i == 0 ? 0.1 : 1;
        items.push_back(Item(FleetState::InstanceKey(record.name), i + 2,
                             EncodeInstanceRecord(record)));
      }
      fleet.Reads(0, items, 100);
      fleet.time.Advance(absl::Seconds(10));
      boost::asio::co_spawn(fleet.context,
                            instance.relay.QueryRelaysWhileStale(),
                            boost::asio::detached);
      instance.news.Told({1, 100, fleet.clock.Now() - item.age});
      const int looks = item.asks ? kManyLooks : 1;
      for (int i = 0; i < looks && fleet.sent.empty(); ++i) {
        fleet.context.run_for(std::chrono::milliseconds(400));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.asks, !fleet.sent.empty());
      if (!item.asks) continue;
      CPPUNIT_ASSERT(fleet.sent[0].message.__isset.store_question);
      CPPUNIT_ASSERT(instance.state.IsRelayInstance(fleet.sent[0].address));
    }
  }

  // Instances must report to a new holder at once, and must not take what came
  // with that news for all that there is.
  void TellsOfANewHolderAndClaimsNoMore() {
    Fleet fleet(2);
    fleet.Reads(0, {}, 1);
    fleet.Reads(1, {}, 1);
    fleet.Reads(
        0,
        {Item("k", 2, "v"), Item(std::string(FleetState::kLeaderKey), 3,
                                 EncodeInstanceRecord(Fleet::Record("i0")))},
        3);
    const Fleet::Instance& told = *fleet.instances[1];
    const StoreRelay& holder = fleet.instances[0]->relay;
    fleet.instances[1]->relay.ReceiveDigest(
        holder.DigestOf(holder.PackLeaderRecord()));
    CPPUNIT_ASSERT(told.state.Leader().has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i0"), told.state.Leader()->instance.name);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, told.news.KnownThrough());
    CPPUNIT_ASSERT(told.news.IsBehind());
  }

  // Anybody can send to the port; what cannot be read must change nothing.
  void DropsBytesThatAreNoChanges() {
    const std::vector<std::string> cases = {
        "x", std::string(100, '\0'), NoiseOf(1000, 1),
        PackChanges(std::vector<StoreEvent>{{Item("k", 2, "v"), false}}, 100)
            .bytes.substr(1)};
    for (const std::string& bytes : cases) {
      Fleet fleet(1);
      fleet.Reads(0, {}, 1);
      wire::StoreDigest digest;
      digest.urgent_revision = 9;
      digest.changes_through = 9;
      digest.changes = bytes;
      fleet.instances[0]->relay.ReceiveDigest(digest);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                           fleet.instances[0]->news.KnownThrough());
      CPPUNIT_ASSERT(!fleet.instances[0]->news.HasLiveRelay());
    }
  }

  void PacksAsManyChangesAsFit() {
    std::vector<StoreEvent> changes;
    for (unsigned i = 0; i < 10; ++i) {
      changes.push_back({Item("k", i + 1, NoiseOf(1000, i)), i % 2 == 1});
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
