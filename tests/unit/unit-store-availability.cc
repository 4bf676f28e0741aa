#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/store_availability.h"
#include "tests/unit/relay_fleet.h"

namespace dragonflyglade::gateway {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
constexpr absl::Duration kReadInterval = absl::Milliseconds(500);
constexpr absl::Duration kRelayCheckInterval = absl::Milliseconds(250);
constexpr absl::Duration kEnd = absl::Seconds(24);
constexpr absl::Duration kCutBegin = absl::Seconds(6);
constexpr absl::Duration kCutEnd = absl::Seconds(11);
// The rules take two seconds from the store's acknowledgement to the last
// request. Others hold for a link only some time after it is back.
constexpr absl::Duration kMaxTimeKnown = absl::Seconds(2);
constexpr absl::Duration kLinkRecovery = absl::Seconds(3);
// Running targets register again within this time after the store recovers;
// one that is missing for longer has left.
constexpr absl::Duration kReregistration = absl::Seconds(2);

absl::Duration Seconds(double value) { return absl::Seconds(value); }

constexpr const char* kTargetKey = "targets/t";
constexpr int kInstances = 3;
constexpr int kSubject = 0;
constexpr int kLeader = 1;

/// What is cut off from kCutBegin on.
struct Cut {
  bool own_link = false;             ///< of the subject, to the store
  bool own_peers = false;            ///< of the subject, to the other instances
  bool store = false;                ///< the store, for all; until kCutEnd
  absl::Duration own_end = kCutEnd;  ///< of the subject's cuts

  std::string Name() const {
    return absl::StrCat("own link: ", this->own_link,
                        ", peers: ", this->own_peers, ", store: ", this->store,
                        ", until ", absl::FormatDuration(this->own_end));
  }
};

/// A change of the target's entry.
struct EntryChange {
  absl::Duration at;
  bool present = false;
};

/// Instances that read a store or rely on its leader, as StoreWatcher does, on
/// a virtual clock.
class StoreFleet {
 public:
  StoreFleet(Cut cut, int leader, std::optional<absl::Duration> leader_dies,
             std::vector<EntryChange> changes)
      : cut(cut),
        leader(leader),
        leader_dies(leader_dies),
        changes(std::move(changes)) {
    this->Write(Item(
        std::string(FleetState::kLeaderKey), 0,
        EncodeInstanceRecord(RelayFleet::Record(RelayFleet::Name(leader)))));
    for (int i = 0; i < kInstances; ++i) {
      const InstanceRecord record = RelayFleet::Record(RelayFleet::Name(i));
      this->Write(Item(FleetState::InstanceKey(record.name), 0,
                       EncodeInstanceRecord(record)));
    }
    this->Write(Item(kTargetKey, 0, "entry"));
    for (int i = 0; i < kInstances; ++i) {
      this->fleet.instances[i]->state.ApplyListing({}, 0);
      this->Read(i);
    }
  }

  /// One step of time.
  void Advance() {
    this->fleet.time.Advance(kStep);
    const absl::Duration now = this->Now();
    for (const EntryChange& change : this->changes) {
      if (change.at > now - kStep && change.at <= now) this->Apply(change);
    }
    for (int i = 0; i < kInstances; ++i) this->Act(i);
    this->Deliver();
  }

  absl::Duration Now() const { return this->fleet.clock.Now(); }

  bool SubjectKnowsTarget() const {
    return this->fleet.instances[kSubject]->state.Target("t") != nullptr;
  }

 private:
  bool IsDue(absl::Duration interval) const {
    return absl::Trunc(this->Now(), interval) == this->Now();
  }
  bool IsCutUntil(absl::Duration end) const {
    return this->Now() > kCutBegin && this->Now() <= end;
  }
  bool IsAlive(int instance) const {
    return instance != this->leader || !this->leader_dies.has_value() ||
           this->Now() < *this->leader_dies;
  }
  bool ReachesStore(int instance) const {
    if (this->cut.store && this->IsCutUntil(kCutEnd)) return false;
    return !(this->cut.own_link && instance == kSubject &&
             this->IsCutUntil(this->cut.own_end));
  }
  bool ReachesPeers(int instance) const {
    return !(this->cut.own_peers && instance == kSubject &&
             this->IsCutUntil(this->cut.own_end));
  }

  void Write(StoreItem item) {
    item.revision = ++this->revision;
    this->history.push_back({std::move(item), false});
  }

  void Apply(const EntryChange& change) {
    this->Write(Item(kTargetKey, 0, "entry"));
    this->history.back().deleted = !change.present;
  }

  void Read(int instance) {
    RelayFleet::Instance& reader = *this->fleet.instances[instance];
    reader.sync_state.RecordResponse();
    const std::uint64_t read = reader.sync_state.ReadThrough();
    for (const StoreEvent& event : this->history) {
      if (event.item.revision <= read) continue;
      if (event.deleted) {
        reader.state.ApplyDeleted(event.item.key, event.item.revision);
      } else {
        reader.state.Apply(event.item);
      }
    }
    reader.sync_state.RecordRead(this->revision, reader.state.UrgentRevision());
  }

  void Act(int instance) {
    if (!this->IsAlive(instance)) return;
    RelayFleet::Instance& actor = *this->fleet.instances[instance];
    actor.state.RemoveMissingTargets();
    const bool relies_on_relay = instance != this->leader &&
                                 actor.sync_state.HasLiveRelay() &&
                                 !actor.sync_state.MustReadStore();
    // An instance that loses its relay reads at once.
    const bool must_read =
        !relies_on_relay &&
        (this->relied_on_relay[instance] || this->IsDue(kReadInterval));
    this->relied_on_relay[instance] = relies_on_relay;
    if (must_read) this->ReadIfReachable(instance);
    if (instance == this->leader && this->IsDue(kReadInterval)) {
      for (int i = 0; i < kInstances; ++i) this->SendDigest(instance, i);
    }
    if (this->IsDue(kRelayCheckInterval)) actor.relay.CheckRelays();
  }

  void ReadIfReachable(int instance) {
    if (this->ReachesStore(instance)) {
      this->Read(instance);
    } else {
      this->fleet.instances[instance]->sync_state.RecordReadFailure();
    }
  }

  // The response to a report that was sent a step before.
  void SendDigest(int from, int to) {
    if (from == to || !this->ReachesPeers(to) || !this->ReachesPeers(from)) {
      return;
    }
    RelayFleet::Instance& receiver = *this->fleet.instances[to];
    const RequestTime report{absl::ToInt64Milliseconds(this->Now() - kStep),
                             this->Now()};
    receiver.relay.ReceiveDigest(
        this->fleet.instances[from]->relay.RespondWithDigest(
            receiver.sync_state.KnownThrough(), report));
  }

  void Deliver() {
    while (!this->fleet.sent.empty()) {
      const RelayFleet::Sent next = std::move(this->fleet.sent.front());
      this->fleet.sent.pop_front();
      for (int i = 0; i < kInstances; ++i) {
        if (RelayFleet::Name(i) != next.address || !this->IsAlive(i)) continue;
        const bool of_subject =
            i == kSubject ||
            (next.message.__isset.store_question &&
             next.message.store_question.address == RelayFleet::Name(kSubject));
        if (of_subject && !this->ReachesPeers(kSubject)) continue;
        this->fleet.instances[i]->relay.Receive(next.message);
      }
    }
  }

  const Cut cut;
  const int leader;
  const std::optional<absl::Duration> leader_dies;
  const std::vector<EntryChange> changes;
  RelayFleet fleet{kInstances};
  std::array<bool, kInstances> relied_on_relay{};
  std::vector<StoreEvent> history;
  std::uint64_t revision = 0;
};

class StoreAvailabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreAvailabilityTest);
  CPPUNIT_TEST(FindsOutagesByAllEvidence);
  CPPUNIT_TEST(TakesNoChangeOfRelayForAnOutage);
  CPPUNIT_TEST(DropsTargetsThatLeftWhileOnlyItsLinkWasDown);
  CPPUNIT_TEST(KeepsTargetsWhoseEntriesExpiredInAnOutage);
  CPPUNIT_TEST_SUITE_END();

  // Guards against taking the loss of an own link for an outage of the store,
  // and against an outage that is prolonged by what comes after it.
  void FindsOutagesByAllEvidence() {
    struct Case {
      std::string name;
      std::vector<StoreUptime> evidence;
      std::optional<absl::Duration> outage_end;
    };
    const auto at = [](double time) {
      return StoreUptime{Seconds(time), Seconds(time)};
    };
    const std::vector<Case> cases = {
        {"no response", {}, std::nullopt},
        {"the first response", {at(9)}, std::nullopt},
        {"responses without a gap", {at(1), at(3), at(5)}, std::nullopt},
        {"a gap too short for entries to expire",
         {at(1), at(3.3)},
         std::nullopt},
        {"an outage", {at(1), at(4)}, Seconds(4)},
        {"further responses do not prolong it",
         {at(1), at(4), at(5), at(6)},
         Seconds(4)},
        {"the latest of two", {at(1), at(4), at(9)}, Seconds(9)},
        {"others had responses all the time",
         {at(1), at(4), {Seconds(0), Seconds(3.5)}},
         std::nullopt},
        {"others had responses before the own ones failed",
         {at(1), at(9), {Seconds(0), Seconds(4)}},
         Seconds(9)},
        {"others say when it ended",
         {at(1), at(9), {Seconds(7), Seconds(8.5)}},
         Seconds(7)},
        {"others had a response in the middle",
         {at(1), at(5), at(3)},
         std::nullopt},
        {"a time that ends before it begins",
         {at(1), at(9), {Seconds(8), Seconds(2)}},
         Seconds(9)},
    };
    for (const Case& item : cases) {
      StoreAvailability availability(kTestHeartbeat);
      for (const StoreUptime& seen : item.evidence) {
        availability.RecordUptime(seen);
      }
      const std::optional<StoreOutage> outage = availability.LastOutage();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.outage_end.has_value(),
                                   outage.has_value());
      if (!outage.has_value()) continue;
      CPPUNIT_ASSERT_MESSAGE(item.name, outage->end == *item.outage_end);
      CPPUNIT_ASSERT_MESSAGE(item.name, availability.MayLackEntries(
                                            outage->end + kReregistration));
      CPPUNIT_ASSERT_MESSAGE(
          item.name, !availability.MayLackEntries(outage->end + kLinkRecovery));
    }
  }

  // Guards against an outage at each change of the leader where targets renew
  // their entries often, or where the setting is zero.
  void TakesNoChangeOfRelayForAnOutage() {
    for (const absl::Duration heartbeat :
         {absl::ZeroDuration(), Seconds(0.3), Seconds(1.2), Seconds(5)}) {
      StoreAvailability availability(heartbeat);
      availability.RecordUptime({Seconds(1), Seconds(3)});
      availability.RecordUptime({Seconds(4.9), Seconds(4.9)});
      CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(heartbeat),
                             !availability.LastOutage().has_value());
    }
  }

  // Guards against requests to targets whose entries are gone, after an
  // instance alone was cut off from the store and then lost its leader.
  void DropsTargetsThatLeftWhileOnlyItsLinkWasDown() {
    const std::vector<std::optional<absl::Duration>> leader_deaths = {
        std::nullopt, Seconds(5.8), Seconds(8), Seconds(11.2), Seconds(14)};
    const std::vector<absl::Duration> removals = {
        Seconds(5.9),  Seconds(8.5),  Seconds(11.1), Seconds(11.4),
        Seconds(14.5), Seconds(15.4), Seconds(16),   Seconds(18)};
    for (const Cut& cut :
         {Cut{true, false, false}, Cut{true, true, false},
          // The subject reads the store before it checks its relays.
          Cut{true, true, false, kCutEnd + Seconds(0.3)}}) {
      for (const int leader : {kLeader, kSubject}) {
        for (const auto& dies : leader_deaths) {
          if (leader == kSubject && dies.has_value()) continue;
          for (const absl::Duration removed_at : removals) {
            StoreFleet fleet(cut, leader, dies, {{removed_at, false}});
            this->CheckLatestRemoval(
                fleet, cut, removed_at,
                absl::StrCat(cut.Name(), ", leader: ", leader, ", dies: ",
                             absl::FormatDuration(dies.value_or(kEnd)),
                             ", removed: ", absl::FormatDuration(removed_at)));
          }
        }
      }
    }
  }

  void CheckLatestRemoval(StoreFleet& fleet, const Cut& cut,
                          absl::Duration removed_at, const std::string& name) {
    absl::Duration last_known;
    while (fleet.Now() < kEnd) {
      fleet.Advance();
      if (fleet.SubjectKnowsTarget()) last_known = fleet.Now();
    }
    const bool removed_around_cut =
        removed_at >= kCutBegin - kMaxTimeKnown && removed_at <= cut.own_end;
    const absl::Duration bound = removed_around_cut
                                     ? cut.own_end + kLinkRecovery
                                     : removed_at + kMaxTimeKnown;
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat(name, ", known until ", absl::FormatDuration(last_known)),
        last_known <= bound);
  }

  // Guards against refusals of requests while running targets register again
  // after an outage of the store, whoever sees the store return first.
  void KeepsTargetsWhoseEntriesExpiredInAnOutage() {
    const std::vector<std::optional<absl::Duration>> leader_deaths = {
        std::nullopt, Seconds(5.8), Seconds(8), Seconds(11.2), Seconds(14)};
    const absl::Duration expired_at = kCutEnd - kStep;
    for (const Cut& cut : {Cut{false, false, true}, Cut{true, true, true},
                           // A relay sees the end of the outage first.
                           Cut{true, false, true, kCutEnd + kReregistration},
                           Cut{true, true, true, kCutEnd + kReregistration}}) {
      for (const int leader : {kLeader, kSubject}) {
        for (const auto& dies : leader_deaths) {
          if (leader == kSubject && dies.has_value()) continue;
          for (const bool comes_back : {false, true}) {
            std::vector<EntryChange> changes = {{expired_at, false}};
            if (comes_back) {
              changes.push_back({kCutEnd + kReregistration, true});
            }
            StoreFleet fleet(cut, leader, dies, changes);
            this->CheckKnownTime(
                fleet, comes_back,
                absl::StrCat(cut.Name(), ", leader: ", leader, ", dies: ",
                             absl::FormatDuration(dies.value_or(kEnd)),
                             ", comes back: ", comes_back));
          }
        }
      }
    }
  }

  void CheckKnownTime(StoreFleet& fleet, bool comes_back,
                      const std::string& name) {
    while (fleet.Now() < kEnd) {
      fleet.Advance();
      const bool must_know =
          comes_back || fleet.Now() <= kCutEnd + kReregistration;
      const bool must_not_know =
          !comes_back && fleet.Now() > kCutEnd + 2 * kReregistration;
      const std::string message =
          absl::StrCat(name, ", at ", absl::FormatDuration(fleet.Now()));
      if (must_know)
        CPPUNIT_ASSERT_MESSAGE(message, fleet.SubjectKnowsTarget());
      if (must_not_know) {
        CPPUNIT_ASSERT_MESSAGE(message, !fleet.SubjectKnowsTarget());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreAvailabilityTest,
                                      "unit-store-availability");

}  // namespace
}  // namespace dragonflyglade::gateway
