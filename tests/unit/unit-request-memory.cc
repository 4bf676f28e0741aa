#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/request_head_size.h"
#include "dragonflyglade/gateway/request_memory.h"

namespace dragonflyglade::gateway {
namespace {

constexpr std::size_t kLimit = 8000;
constexpr std::size_t kSmall = 100;
constexpr absl::Duration kTime = absl::Seconds(10);

/// What has come of a body of 7,000 bytes when another one needs its room.
struct LateCase {
  const char* what;
  absl::Duration elapsed;
  std::size_t received;
  absl::Duration since_last;  ///< since the last bytes came
  bool is_ended;
};

struct HeadSizeCase {
  std::string bytes;
  std::size_t at_least;
};

class RequestMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestMemoryTest);
  CPPUNIT_TEST(ReservesRoomForSmallOnes);
  CPPUNIT_TEST(EndsWhatIsLateWhenOthersNeedItsRoom);
  CPPUNIT_TEST(EndsNothingInVain);
  CPPUNIT_TEST(EndsTheOldestFirst);
  CPPUNIT_TEST(EstimatesHeads);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReservesRoomForSmallOnes() {
    RequestMemory::Hold large(this->memory);
    CPPUNIT_ASSERT(large.GrowTo(7000));
    RequestMemory::Hold other(this->memory);
    CPPUNIT_ASSERT(!other.GrowTo(kSmall + 1));
    CPPUNIT_ASSERT(other.GrowTo(kSmall));
    large.Release();
    CPPUNIT_ASSERT_EQUAL(kSmall, this->memory.Bytes());
  }

  // Guards against callers that state a large body and do not send it, and
  // against the end of bodies that come as they should.
  void EndsWhatIsLateWhenOthersNeedItsRoom() {
    const absl::Duration ms = absl::Milliseconds(1);
    const std::vector<LateCase> cases = {
        {"has just begun", 100 * ms, 0, 100 * ms, false},
        {"nothing came", 600 * ms, 0, 600 * ms, true},
        {"a byte came", 600 * ms, 1, 10 * ms, true},
        {"it comes in time", 600 * ms, 500, 10 * ms, false},
        {"it comes too slowly", absl::Seconds(5), 3000, 10 * ms, true},
        {"most of it came, then nothing", absl::Seconds(2), 6900, 600 * ms,
         true},
        {"most of it came", absl::Seconds(9), 6900, 10 * ms, false},
    };
    for (const LateCase& item : cases) {
      RequestMemory::Hold body(this->memory);
      CPPUNIT_ASSERT(body.GrowTo(7000));
      int ended = 0;
      RequestMemory::Arrival arrival(body, kTime, [&ended] { ended += 1; });
      this->clock.Advance(item.elapsed - item.since_last);
      arrival.Record(item.received);
      this->clock.Advance(item.since_last);
      RequestMemory::Hold other(this->memory);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.is_ended,
                                   other.GrowTo(1000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.is_ended,
                                   arrival.WasEnded());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.is_ended ? 1 : 0, ended);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what,
                                   std::size_t{item.is_ended ? 1000u : 7000u},
                                   this->memory.Bytes());
    }
  }

  // Guards against bodies that are ended although that makes no room.
  void EndsNothingInVain() {
    RequestMemory::Hold kept(this->memory);
    CPPUNIT_ASSERT(kept.GrowTo(6000));
    RequestMemory::Hold body(this->memory);
    CPPUNIT_ASSERT(body.GrowTo(1000));
    RequestMemory::Arrival arrival(body, kTime, [] {});
    this->clock.Advance(absl::Seconds(1));
    RequestMemory::Hold other(this->memory);
    CPPUNIT_ASSERT(!other.GrowTo(2000));
    CPPUNIT_ASSERT(!arrival.WasEnded());
  }

  void EndsTheOldestFirst() {
    RequestMemory::Hold first(this->memory);
    RequestMemory::Hold second(this->memory);
    CPPUNIT_ASSERT(first.GrowTo(3000));
    CPPUNIT_ASSERT(second.GrowTo(3000));
    RequestMemory::Arrival older(first, kTime, [] {});
    RequestMemory::Arrival newer(second, kTime, [] {});
    this->clock.Advance(absl::Seconds(1));
    RequestMemory::Hold other(this->memory);
    CPPUNIT_ASSERT(other.GrowTo(2000));
    CPPUNIT_ASSERT(older.WasEnded());
    CPPUNIT_ASSERT(!newer.WasEnded());
  }

  // Guards against short fields that count as their text only.
  void EstimatesHeads() {
    for (const HeadSizeCase& item :
         {HeadSizeCase{"", 0}, HeadSizeCase{"a:\r\na:\r\n", 128},
          HeadSizeCase{std::string(5000, 'x'), 5000}}) {
      RequestHeadSize size;
      size.Add(item.bytes);
      CPPUNIT_ASSERT(size.Bytes() >= item.at_least);
    }
  }

 private:
  ManualClock clock;
  RequestMemory memory{[] { return kLimit; }, kSmall, Clock(&this->clock)};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestMemoryTest, "unit-request-memory");

}  // namespace
}  // namespace dragonflyglade::gateway
