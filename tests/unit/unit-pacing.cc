#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/leaky_bucket.h"
#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {
namespace {

constexpr double kPrompt = 600;   // tokens
constexpr int kOutputs = 240;     // tokens of a stream
constexpr int kEventOutputs = 6;  // tokens of an event
const absl::Duration kPause = absl::Milliseconds(150);
const absl::Duration kFirst = absl::Milliseconds(500);
// How old the others' counts are that come with summaries.
constexpr double kSummaryMs = 200;

// What a caller sees of its stream.
struct Stream {
  double asked_ms = 0;
  int outputs = 0;
  double last_event_ms = 0;
  bool late = false;
};

// An engine that reads waiting prompts in pieces between the steps of its
// running streams: whatever it reads in a step, all its streams wait for.
class PlayedEngine {
 public:
  void Send(double asked_ms) { this->waiting.push_back(Stream{asked_ms}); }

  void RunUntil(double end_ms) {
    while (this->now_ms < end_ms) this->Step();
  }

  int Ended() const { return this->ended; }
  int Late() const { return this->late; }

 private:
  static constexpr double kStepMs = 4.4;
  static constexpr double kStepMsOfStream = 0.02;
  static constexpr double kReadsPerMs = 38;
  static constexpr std::size_t kReadAtOnce = 6;  // prompts

  void Step() {
    const std::size_t read = std::min(kReadAtOnce, this->waiting.size());
    this->now_ms +=
        kStepMs + kStepMsOfStream * static_cast<double>(this->running.size()) +
        static_cast<double>(read) * kPrompt / kReadsPerMs;
    for (std::size_t i = 0; i < read; ++i) {
      this->running.push_back(this->waiting.front());
      this->waiting.pop_front();
    }
    std::vector<Stream> going_on;
    for (Stream& stream : this->running) {
      this->AddOutput(stream);
      if (stream.outputs < kOutputs) {
        going_on.push_back(stream);
        continue;
      }
      this->ended += 1;
      this->late += stream.late ? 1 : 0;
    }
    this->running.swap(going_on);
  }

  void AddOutput(Stream& stream) {
    stream.outputs += 1;
    if (stream.outputs % kEventOutputs != 0) return;
    const bool first = stream.outputs == kEventOutputs;
    const double since =
        this->now_ms - (first ? stream.asked_ms : stream.last_event_ms);
    const absl::Duration most = first ? kFirst : kPause;
    stream.late = stream.late || absl::Milliseconds(since) > most;
    stream.last_event_ms = this->now_ms;
  }

  double now_ms = 0;
  std::deque<Stream> waiting;
  std::vector<Stream> running;
  int ended = 0;
  int late = 0;
};

enum class Knowledge { kSummaries, kToldOfSends, kToldAndPaced };

struct Load {
  const char* what;
  int engines;
  double prompts_per_s;  ///< at each engine
};

// Instances that each choose an engine for each prompt that comes to them.
class PlayedFleet {
 public:
  PlayedFleet(const Load& load, Knowledge knowledge)
      : load(load),
        knowledge(knowledge),
        engines(load.engines),
        told(load.engines, LeakyBucket(kPrefillTokensPerMs)),
        pace(load.engines, LeakyBucket(kPacedPrefillTokensPerMs)),
        summary(load.engines, 0),
        since_summary(kInstances, std::vector<double>(load.engines, 0)) {}

  // The part of the streams that were late, in percent.
  double Play() {
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(this->load.prompts_per_s *
                                              this->load.engines / 1000);
    double next = gap(random);
    for (double now = 0; now < kPlayMs; now += 1) {
      this->Summarise(now);
      for (; next <= now; next += gap(random)) {
        this->held.push_back({now, static_cast<int>(random() % kInstances)});
      }
      this->SendHeld(now);
      for (PlayedEngine& engine : this->engines) engine.RunUntil(now);
    }
    int ended = 0;
    int late = 0;
    for (const PlayedEngine& engine : this->engines) {
      ended += engine.Ended();
      late += engine.Late();
    }
    return 100.0 * late / ended;
  }

 private:
  static constexpr int kInstances = 8;
  static constexpr double kPlayMs = 60000;

  struct Held {
    double asked_ms = 0;
    int instance = 0;
  };

  static Instant At(double ms) { return absl::Milliseconds(ms); }

  void Summarise(double now) {
    if (std::fmod(now, kSummaryMs) != 0) return;
    for (int i = 0; i < this->load.engines; ++i) {
      this->summary[i] = this->told[i].Level(At(now));
      for (auto& own : this->since_summary) own[i] = 0;
    }
  }

  double Unread(int instance, int engine, double now) const {
    return this->knowledge == Knowledge::kSummaries
               ? this->summary[engine] + this->since_summary[instance][engine]
               : this->told[engine].Level(At(now));
  }

  int Choose(const Held& request, double now) const {
    std::vector<TargetCandidate> candidates;
    for (int i = 0; i < this->load.engines; ++i) {
      TargetCandidate candidate;
      candidate.slots = 64;
      candidate.unread_tokens = this->Unread(request.instance, i, now);
      candidates.push_back(candidate);
    }
    const TargetChoiceRequest wanted{kPrompt, 0, ""};
    return static_cast<int>(ChooseTarget(wanted, candidates, 0)->index);
  }

  bool MustWait(const Held& request, int engine, double now) const {
    if (this->knowledge != Knowledge::kToldAndPaced) return false;
    const absl::Duration waited = absl::Milliseconds(now - request.asked_ms);
    if (waited >= MaxPacingDelay(kFirst)) return false;
    return PacingDelay(this->pace[engine].Level(At(now)), kPrompt, kPause) >
           absl::ZeroDuration();
  }

  void SendHeld(double now) {
    std::vector<Held> rest;
    for (const Held& request : this->held) {
      const int engine = this->Choose(request, now);
      if (this->MustWait(request, engine, now)) {
        rest.push_back(request);
        continue;
      }
      this->engines[engine].Send(request.asked_ms);
      this->told[engine].Add(kPrompt, At(now));
      this->pace[engine].Add(kPrompt, At(now));
      this->since_summary[request.instance][engine] += kPrompt;
    }
    this->held.swap(rest);
  }

  const Load load;
  const Knowledge knowledge;
  std::vector<PlayedEngine> engines;
  std::vector<LeakyBucket> told;
  std::vector<LeakyBucket> pace;
  std::vector<double> summary;
  std::vector<std::vector<double>> since_summary;  ///< by instance
  std::vector<Held> held;
};

class PacingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTest);
  CPPUNIT_TEST(HoldsByTable);
  CPPUNIT_TEST(StreamsKeepTheirPauses);
  CPPUNIT_TEST(ReadsInTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsByTable() {
    struct HoldCase {
      const char* what;
      double waiting;
      double own;
      absl::Duration pause;
      bool held;
    };
    const std::vector<HoldCase> cases = {
        {"nothing waits", 0, 600, kPause, false},
        {"a prompt larger than the bound, alone", 0, 9000, kPause, false},
        {"a few prompts at once", 600, 600, kPause, false},
        {"a crowd", 6000, 600, kPause, true},
        {"a larger pause bears more", 2400, 600, 3 * kPause, false},
        {"no stream there minds", 90000, 600, absl::InfiniteDuration(), false},
    };
    for (const HoldCase& item : cases) {
      const absl::Duration hold =
          PacingDelay(item.waiting, item.own, item.pause);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.held,
                                   hold > absl::ZeroDuration());
    }
  }

  // Callers' streams stand still for longer than they bear when an engine
  // reads several prompts between two events. Instances that know only what
  // others had there some hundred milliseconds ago send their prompts to the
  // same engine; told of each send, they spread them; paced, those that come
  // together are read in turn with the streams.
  void StreamsKeepTheirPauses() {
    constexpr double kLateAtMost = 5;  // percent: 95 in 100 are in time
    const std::vector<Load> loads = {
        {"three copies, half of their time", 3, 25},
        {"six copies, half of their time", 6, 25},
    };
    for (const Load& load : loads) {
      const double before = PlayedFleet(load, Knowledge::kSummaries).Play();
      const double told = PlayedFleet(load, Knowledge::kToldOfSends).Play();
      const double paced = PlayedFleet(load, Knowledge::kToldAndPaced).Play();
      const std::string figures =
          std::string(load.what) + ": late in percent " +
          std::to_string(before) + ", told " + std::to_string(told) +
          ", paced " + std::to_string(paced);
      CPPUNIT_ASSERT_MESSAGE(figures, before > kLateAtMost);
      CPPUNIT_ASSERT_MESSAGE(figures, told < before);
      CPPUNIT_ASSERT_MESSAGE(figures, paced <= kLateAtMost);
    }
  }

  void ReadsInTurn() {
    LeakyBucket queue(30);
    queue.Add(3000, absl::Milliseconds(1000));
    queue.Add(600, absl::Milliseconds(1010));
    CPPUNIT_ASSERT_EQUAL(3300.0, queue.Level(absl::Milliseconds(1010)));
    CPPUNIT_ASSERT_EQUAL(300.0, queue.Level(absl::Milliseconds(1110)));
    CPPUNIT_ASSERT_EQUAL(0.0, queue.Level(absl::Milliseconds(1200)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PacingTest, "unit-pacing");

}  // namespace
}  // namespace dragonflyglade
