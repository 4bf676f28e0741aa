#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "dragonflyglade/decision/fair_queue.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kAge = absl::Seconds(5);
constexpr int kAgedTurns = 4;

QueueEntry Entry(std::uint64_t id, const char* workspace,
                 RequestClass request_class, double cost = 1,
                 const char* group = "m", Instant arrived = Instant()) {
  return QueueEntry{id, workspace, request_class, cost, group, arrived};
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(ClassesGoInOrder);
  CPPUNIT_TEST(AFloodDelaysOnlyItself);
  CPPUNIT_TEST(CostCountsNotRequests);
  CPPUNIT_TEST(IdlenessSavesNoTurns);
  CPPUNIT_TEST(BatchIsLateButServed);
  CPPUNIT_TEST(ABusyGroupHoldsUpNobodyElse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClassesGoInOrder() {
    FairQueue queue(kAge, kAgedTurns);
    queue.Push(Entry(1, "a", RequestClass::kBatch));
    queue.Push(Entry(2, "a", RequestClass::kChat));
    queue.Push(Entry(3, "a", RequestClass::kUrgent));
    for (const std::uint64_t id : {3, 2, 1}) {
      CPPUNIT_ASSERT_EQUAL(id, queue.Pop(Instant())->id);
    }
    CPPUNIT_ASSERT(!queue.Pop(Instant()).has_value());
  }

  // One workspace has a hundred requests waiting when another one's first
  // request comes. That one is served next but one, not last.
  void AFloodDelaysOnlyItself() {
    FairQueue queue(kAge, kAgedTurns);
    for (std::uint64_t i = 0; i < 100; ++i) {
      queue.Push(Entry(i, "flood", RequestClass::kChat));
    }
    for (int i = 0; i < 10; ++i) queue.Pop(Instant());
    queue.Push(Entry(1000, "quiet", RequestClass::kChat));
    queue.Push(Entry(1001, "quiet", RequestClass::kChat));
    int turns = 0;
    int quiet = 0;
    while (quiet < 2) {
      ++turns;
      if (queue.Pop(Instant())->workspace == "quiet") ++quiet;
    }
    CPPUNIT_ASSERT(turns <= 4);
  }

  void CostCountsNotRequests() {
    FairQueue queue(kAge, kAgedTurns);
    for (std::uint64_t i = 0; i < 50; ++i) {
      queue.Push(Entry(i, "large", RequestClass::kChat, 10));
      queue.Push(Entry(100 + i, "small", RequestClass::kChat, 1));
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 44; ++i) {
      const QueueEntry entry = *queue.Pop(Instant());
      served[entry.workspace] += entry.cost;
    }
    CPPUNIT_ASSERT(std::abs(served["large"] - served["small"]) <= 10);
  }

  void IdlenessSavesNoTurns() {
    FairQueue queue(kAge, kAgedTurns);
    for (std::uint64_t i = 0; i < 50; ++i) {
      queue.Push(Entry(i, "busy", RequestClass::kChat));
    }
    for (int i = 0; i < 20; ++i) queue.Pop(Instant());
    for (std::uint64_t i = 100; i < 150; ++i) {
      queue.Push(Entry(i, "late", RequestClass::kChat));
    }
    int late = 0;
    for (int i = 0; i < 10; ++i) {
      if (queue.Pop(Instant())->workspace == "late") ++late;
    }
    CPPUNIT_ASSERT(late >= 4 && late <= 6);
  }

  // Chat never stops coming. A batch letter that waited past the age limit
  // takes one of every few turns.
  void BatchIsLateButServed() {
    FairQueue queue(kAge, kAgedTurns);
    for (std::uint64_t i = 0; i < 100; ++i) {
      queue.Push(Entry(i, "a", RequestClass::kChat));
    }
    queue.Push(Entry(1000, "b", RequestClass::kBatch));
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(queue.Pop(absl::Seconds(1))->id != 1000);
    }
    int turns = 0;
    while (queue.Pop(absl::Seconds(6))->id != 1000) ++turns;
    CPPUNIT_ASSERT(turns <= kAgedTurns);
  }

  void ABusyGroupHoldsUpNobodyElse() {
    FairQueue queue(kAge, kAgedTurns);
    queue.Push(Entry(1, "a", RequestClass::kUrgent, 1, "busy"));
    queue.Push(Entry(2, "a", RequestClass::kUrgent, 1, "busy"));
    queue.Push(Entry(3, "a", RequestClass::kChat, 1, "free"));
    int asked = 0;
    const auto placed = queue.PopFirstDispatchable(
        Instant(), [&asked](const QueueEntry& entry) {
          ++asked;
          return entry.group == "free";
        });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, placed->id);
    CPPUNIT_ASSERT_EQUAL(2, asked);
    CPPUNIT_ASSERT(queue.Remove(2));
    CPPUNIT_ASSERT(!queue.Remove(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.Size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FairQueueTest, "unit-fair-queue");

}  // namespace
}  // namespace dragonflyglade
