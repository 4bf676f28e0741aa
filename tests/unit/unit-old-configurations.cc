#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "tests/unit/relay_fleet.h"

namespace dragonflyglade::gateway {
namespace {

constexpr std::uint64_t kFirstRevision = 100;
constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(250);
constexpr absl::Duration kReadInterval = absl::Milliseconds(500);
// Within which a change of the configuration must be in force.
constexpr absl::Duration kConfigBound = absl::Seconds(2);
constexpr int kRelay = 0;

// How the messages of the relay travel to the others.
struct DelayCase {
  std::string name;
  absl::Duration delay;  ///< of each datagram, in the order of sending
  /// By how much the delay grows in a second.
  absl::Duration growth = absl::ZeroDuration();
  bool followers_read = true;  ///< whether the store serves the others
};

// A relay that reads each change at once, and followers that get the changes
// from it, or read the store if they know that the relay does not serve them.
class FollowingFleet {
 public:
  FollowingFleet(int count, const DelayCase& delay)
      : delay(delay), fleet(count) {
    this->items.push_back(Item(std::string(FleetState::kLeaderKey), 1,
                               EncodeInstanceRecord(RelayFleet::Record("i0"))));
    for (int i = 0; i < count; ++i) {
      const InstanceRecord record = RelayFleet::Record(RelayFleet::Name(i));
      this->items.push_back(Item(FleetState::InstanceKey(record.name),
                                 static_cast<std::uint64_t>(i) + 2,
                                 EncodeInstanceRecord(record)));
    }
    this->items.push_back(Item(kTestConfigKey, kFirstRevision, "first"));
    this->fleet.time.Advance(absl::Seconds(100));
    for (int i = 0; i < count; ++i) {
      this->List(i);
      this->fleet.instances[i]->relay.OnSend(
          [this, i](const wire::FleetMessage& message, const std::string& to) {
            this->Send(i, message, to);
          });
    }
  }

  /// Reads the whole store as a process does that has just started.
  void List(int instance) {
    RelayFleet::Instance& reader = *this->fleet.instances[instance];
    reader.state.ApplyListing(this->items, this->revision);
    reader.sync_state.RecordRead(this->revision, reader.state.UrgentRevision());
  }

  /// Replaces the relay's process by a new one.
  void RestartRelay() {
    this->fleet.instances[kRelay] =
        std::make_unique<RelayFleet::Instance>(this->fleet, "i0");
    this->fleet.instances[kRelay]->relay.OnSend(
        [this](const wire::FleetMessage& message, const std::string& to) {
          this->Send(kRelay, message, to);
        });
    this->relay_lives = true;
    this->List(kRelay);
  }
  void StopRelay() { this->relay_lives = false; }

  /// Writes a new version of the configuration.
  void ChangeConfig() {
    this->revision += 1;
    StoreItem& config = this->items.back();
    config.value += "+";
    config.revision = this->revision;
    this->changes.push_back({config.value.size(), this->fleet.clock.Now()});
    if (!this->relay_lives) return;
    RelayFleet::Instance& relay = *this->fleet.instances[kRelay];
    relay.state.Apply(config);
    relay.sync_state.RecordRead(this->revision, relay.state.UrgentRevision());
    relay.relay.NotifySubscribers();
  }

  /// Removes an instance's entry from the store.
  void RemoveEntry(const std::string& name) {
    this->revision += 1;
    std::erase_if(this->items, [&](const StoreItem& item) {
      return item.key == FleetState::InstanceKey(name);
    });
  }

  void RunFor(absl::Duration time) {
    const Instant end = this->fleet.clock.Now() + time;
    while (this->fleet.clock.Now() < end) this->Step();
  }

  RelayFleet::Instance& At(int index) { return *this->fleet.instances[index]; }

  /// For how long at the most a follower has served by a configuration that
  /// was replaced.
  absl::Duration LongestLag() const { return this->longest_lag; }

 private:
  struct Change {
    std::uint64_t version = 0;
    Instant at;
  };
  struct InFlight {
    RelayFleet::Sent sent;
    Instant due;
  };

  void Send(int from, const wire::FleetMessage& message,
            const std::string& to) {
    const Instant now = this->fleet.clock.Now();
    absl::Duration time = absl::ZeroDuration();
    if (from == kRelay) {
      time = this->delay.delay +
             absl::ToDoubleSeconds(now - this->started) * this->delay.growth;
    }
    this->in_flight.push_back({{message, to}, now + time});
  }

  void Step() {
    this->fleet.time.Advance(kStep);
    const auto is_due = [now = this->fleet.clock.Now()](absl::Duration every) {
      return absl::Floor(now, every) == now;
    };
    for (int i = 0; i < static_cast<int>(this->fleet.instances.size()); ++i) {
      if (i == kRelay && !this->relay_lives) continue;
      RelayFleet::Instance& instance = this->At(i);
      if (is_due(kReadInterval)) this->ReadStore(i);
      if (is_due(kCheckInterval)) instance.relay.CheckRelays();
    }
    this->Deliver();
    this->Measure();
  }

  void ReadStore(int index) {
    RelayFleet::Instance& instance = this->At(index);
    const bool relies_on_relay = instance.sync_state.HasLiveRelay() &&
                                 !instance.sync_state.MustReadStore();
    if (index != kRelay && relies_on_relay) return;
    if (index != kRelay && !this->delay.followers_read) {
      instance.sync_state.RecordReadFailure();
      return;
    }
    for (const StoreItem& item : this->items) instance.state.Apply(item);
    instance.sync_state.RecordRead(this->revision,
                                   instance.state.UrgentRevision());
  }

  void Deliver() {
    const Instant now = this->fleet.clock.Now();
    std::deque<InFlight> waiting;
    waiting.swap(this->in_flight);
    for (InFlight& message : waiting) {
      if (message.due > now) {
        this->in_flight.push_back(std::move(message));
        continue;
      }
      const int to = std::stoi(message.sent.address.substr(1));
      if (to == kRelay && !this->relay_lives) continue;
      this->At(to).relay.Receive(message.sent.message);
    }
  }

  void Measure() {
    const Instant now = this->fleet.clock.Now();
    for (std::size_t i = 1; i < this->fleet.instances.size(); ++i) {
      const std::uint64_t version =
          this->fleet.instances[i]->state.Config()->version;
      const auto missed = std::find_if(
          this->changes.begin(), this->changes.end(),
          [&](const Change& one) { return one.version > version; });
      if (missed == this->changes.end()) continue;
      this->longest_lag = std::max(this->longest_lag, now - missed->at);
    }
  }

  const DelayCase delay;
  RelayFleet fleet;
  Instant started = absl::Seconds(100);
  std::vector<StoreItem> items;  ///< of the store; the configuration is last
  std::uint64_t revision = kFirstRevision;
  std::vector<Change> changes;
  std::deque<InFlight> in_flight;
  bool relay_lives = true;
  absl::Duration longest_lag = absl::ZeroDuration();
};

class OldConfigurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OldConfigurationsTest);
  CPPUNIT_TEST(DigestsThatArriveLateDoNotCountAsYoung);
  CPPUNIT_TEST(ARestartedRelayBringsOthersUpToDate);
  CPPUNIT_TEST_SUITE_END();

  // Guards against serving by old configurations while digests are delayed.
  void DigestsThatArriveLateDoNotCountAsYoung() {
    constexpr int kVersions = 12;
    const absl::Duration ms = absl::Milliseconds(1);
    const std::vector<DelayCase> cases = {
        {"in time", absl::ZeroDuration()},
        {"half a second late", 500 * ms},
        {"a second late", 1000 * ms},
        {"two seconds late", 2000 * ms},
        {"three seconds late", 3000 * ms},
        {"ten seconds late", 10000 * ms},
        {"later and later", absl::ZeroDuration(), 400 * ms},
    };
    std::string failures;
    for (const DelayCase& item : cases) {
      for (const absl::Duration pause : {100 * ms, 400 * ms, 800 * ms}) {
        FollowingFleet fleet(3, item);
        fleet.RunFor(absl::Seconds(11));
        for (int i = 0; i < kVersions; ++i) {
          fleet.ChangeConfig();
          fleet.RunFor(pause);
        }
        fleet.RunFor(kConfigBound);
        if (fleet.LongestLag() <= kConfigBound) continue;
        absl::StrAppend(&failures, item.name, ", a version each ",
                        absl::FormatDuration(pause), ": ",
                        absl::FormatDuration(fleet.LongestLag()), "\n");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against old configurations at instances that the store refuses,
  // while the only relay does not know what changed before it was restarted.
  void ARestartedRelayBringsOthersUpToDate() {
    constexpr int kInstances = 5;
    constexpr const char* kGone = "i3";
    struct Case {
      std::string name;
      absl::Duration down;  ///< how long the relay is down
      int changes;          ///< of the configuration meanwhile
    };
    const absl::Duration ms = absl::Milliseconds(1);
    const std::vector<Case> cases = {
        {"one change", 500 * ms, 1},
        {"many changes", 500 * ms, 20},
        {"down for a second", 1000 * ms, 1},
    };
    for (const Case& item : cases) {
      FollowingFleet fleet(kInstances, {.name = item.name,
                                        .delay = absl::ZeroDuration(),
                                        .followers_read = false});
      fleet.RunFor(absl::Seconds(3));
      fleet.StopRelay();
      for (int i = 0; i < item.changes; ++i) fleet.ChangeConfig();
      fleet.RemoveEntry(kGone);
      fleet.RunFor(item.down);
      fleet.RestartRelay();
      fleet.RunFor(2 * kConfigBound);
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(item.name, ": ",
                       absl::FormatDuration(fleet.LongestLag())),
          fleet.LongestLag() <= kConfigBound);
      for (int i = 0; i < kInstances; ++i) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            item.name, std::size_t{0},
            fleet.At(i).state.Instances().count(kGone));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, std::size_t{kInstances - 1},
                                     fleet.At(i).state.Instances().size());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OldConfigurationsTest,
                                      "unit-old-configurations");

}  // namespace
}  // namespace dragonflyglade::gateway
