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

constexpr double kPromptTokens = 600;
constexpr int kStreamTokens = 240;
constexpr int kTokensPerEvent = 6;
const absl::Duration kEventGapObjective = absl::Milliseconds(150);
const absl::Duration kLatencyObjective = absl::Milliseconds(500);
// Interval of the summaries of what all instances sent.
constexpr double kSummaryMs = 200;

// A caller's stream of output events.
struct Stream {
  double arrived_ms = 0;
  int outputs = 0;
  double last_event_ms = 0;
  bool late = false;
};

// Simulates an engine that prefills some waiting prompts in each step. All its
// running streams wait for the prefill.
class SimulatedEngine {
 public:
  void Send(double arrived_ms) { this->waiting.push_back(Stream{arrived_ms}); }

  void RunUntil(double end_ms) {
    while (this->now_ms < end_ms) this->Step();
  }

  int Ended() const { return this->ended; }
  int Late() const { return this->late; }

 private:
  static constexpr double kStepMs = 4.4;
  static constexpr double kStepMsPerStream = 0.02;
  static constexpr double kPrefillRatePerMs = 38;
  static constexpr std::size_t kMaxPromptsPerStep = 6;

  void Step() {
    const std::size_t prefilled =
        std::min(kMaxPromptsPerStep, this->waiting.size());
    this->now_ms +=
        kStepMs + kStepMsPerStream * static_cast<double>(this->running.size()) +
        static_cast<double>(prefilled) * kPromptTokens / kPrefillRatePerMs;
    for (std::size_t i = 0; i < prefilled; ++i) {
      this->running.push_back(this->waiting.front());
      this->waiting.pop_front();
    }
    std::vector<Stream> still_running;
    for (Stream& stream : this->running) {
      this->AddOutput(stream);
      if (stream.outputs < kStreamTokens) {
        still_running.push_back(stream);
        continue;
      }
      this->ended += 1;
      this->late += stream.late ? 1 : 0;
    }
    this->running.swap(still_running);
  }

  void AddOutput(Stream& stream) {
    stream.outputs += 1;
    if (stream.outputs % kTokensPerEvent != 0) return;
    const bool first = stream.outputs == kTokensPerEvent;
    const double elapsed_ms =
        this->now_ms - (first ? stream.arrived_ms : stream.last_event_ms);
    const absl::Duration limit = first ? kLatencyObjective : kEventGapObjective;
    stream.late = stream.late || absl::Milliseconds(elapsed_ms) > limit;
    stream.last_event_ms = this->now_ms;
  }

  double now_ms = 0;
  std::deque<Stream> waiting;
  std::vector<Stream> running;
  int ended = 0;
  int late = 0;
};

enum class LoadInfo { kSummaries, kSendNotices, kSendNoticesAndPacing };

struct Load {
  const char* what;
  int engines;
  double prompts_per_s;  ///< at each engine
};

// Simulates instances that each choose an engine for the prompts they receive.
class SimulatedFleet {
 public:
  SimulatedFleet(const Load& load, LoadInfo load_info)
      : load(load),
        load_info(load_info),
        engines(load.engines),
        sent_tokens(load.engines, LeakyBucket(kPrefillTokensPerMs)),
        paced_tokens(load.engines, LeakyBucket(kPacedPrefillTokensPerMs)),
        summarized_tokens(load.engines, 0),
        sent_since_summary(kInstances, std::vector<double>(load.engines, 0)) {}

  // Returns the percentage of streams that had a late event.
  double Run() {
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(this->load.prompts_per_s *
                                              this->load.engines / 1000);
    double next = gap(random);
    for (double now = 0; now < kRunMs; now += 1) {
      this->Summarize(now);
      for (; next <= now; next += gap(random)) {
        this->pending.push_back({now, static_cast<int>(random() % kInstances)});
      }
      this->SendPending(now);
      for (SimulatedEngine& engine : this->engines) engine.RunUntil(now);
    }
    int ended = 0;
    int late = 0;
    for (const SimulatedEngine& engine : this->engines) {
      ended += engine.Ended();
      late += engine.Late();
    }
    return 100.0 * late / ended;
  }

 private:
  static constexpr int kInstances = 8;
  static constexpr double kRunMs = 60000;

  struct PendingRequest {
    double arrived_ms = 0;
    int instance = 0;
  };

  static Instant At(double ms) { return absl::Milliseconds(ms); }

  void Summarize(double now) {
    if (std::fmod(now, kSummaryMs) != 0) return;
    for (int i = 0; i < this->load.engines; ++i) {
      this->summarized_tokens[i] = this->sent_tokens[i].Level(At(now));
      for (auto& sent : this->sent_since_summary) sent[i] = 0;
    }
  }

  double UnprocessedTokens(int instance, int engine, double now) const {
    return this->load_info == LoadInfo::kSummaries
               ? this->summarized_tokens[engine] +
                     this->sent_since_summary[instance][engine]
               : this->sent_tokens[engine].Level(At(now));
  }

  int Choose(const PendingRequest& request, double now) const {
    std::vector<TargetCandidate> candidates;
    for (int i = 0; i < this->load.engines; ++i) {
      TargetCandidate candidate;
      candidate.slots = 64;
      candidate.unprocessed_prompt_tokens =
          this->UnprocessedTokens(request.instance, i, now);
      candidates.push_back(candidate);
    }
    const TargetChoiceRequest choice_request{kPromptTokens, 0, ""};
    return static_cast<int>(ChooseTarget(choice_request, candidates, 0)->index);
  }

  bool MustDelay(const PendingRequest& request, int engine, double now) const {
    if (this->load_info != LoadInfo::kSendNoticesAndPacing) return false;
    const absl::Duration waited = absl::Milliseconds(now - request.arrived_ms);
    if (waited >= MaxPacingDelay(kLatencyObjective)) return false;
    return PacingDelay(this->paced_tokens[engine].Level(At(now)), kPromptTokens,
                       kEventGapObjective) > absl::ZeroDuration();
  }

  void SendPending(double now) {
    std::vector<PendingRequest> rest;
    for (const PendingRequest& request : this->pending) {
      const int engine = this->Choose(request, now);
      if (this->MustDelay(request, engine, now)) {
        rest.push_back(request);
        continue;
      }
      this->engines[engine].Send(request.arrived_ms);
      this->sent_tokens[engine].Add(kPromptTokens, At(now));
      this->paced_tokens[engine].Add(kPromptTokens, At(now));
      this->sent_since_summary[request.instance][engine] += kPromptTokens;
    }
    this->pending.swap(rest);
  }

  const Load load;
  const LoadInfo load_info;
  std::vector<SimulatedEngine> engines;
  std::vector<LeakyBucket> sent_tokens;
  std::vector<LeakyBucket> paced_tokens;
  std::vector<double> summarized_tokens;
  std::vector<std::vector<double>> sent_since_summary;  ///< by instance
  std::vector<PendingRequest> pending;
};

class PacingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTest);
  CPPUNIT_TEST(ComputesDelays);
  CPPUNIT_TEST(KeepsEventGapsOfStreams);
  CPPUNIT_TEST(DelaysOnlyWherePausesAreLate);
  CPPUNIT_TEST(LeakyBucketDrains);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ComputesDelays() {
    struct DelayCase {
      const char* what;
      double backlog_tokens;
      double prompt_tokens;
      absl::Duration objective;
      bool delayed;
    };
    const std::vector<DelayCase> cases = {
        {"nothing in the backlog", 0, 600, kEventGapObjective, false},
        {"a prompt larger than the limit, alone", 0, 9000, kEventGapObjective,
         false},
        {"a few prompts at once", 600, 600, kEventGapObjective, false},
        {"many prompts at once", 6000, 600, kEventGapObjective, true},
        {"a longer gap allows a larger backlog", 2400, 600,
         3 * kEventGapObjective, false},
        {"no stream has an objective", 90000, 600, absl::InfiniteDuration(),
         false},
    };
    for (const DelayCase& item : cases) {
      const absl::Duration delay =
          PacingDelay(item.backlog_tokens, item.prompt_tokens, item.objective);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.delayed,
                                   delay > absl::ZeroDuration());
    }
  }

  // Failure: streams miss the objective for the gap between events, because an
  // engine prefills several prompts between two events. Instances whose
  // knowledge of the load is some hundred milliseconds old send their prompts
  // to the same engine. Notices of each sent prompt spread the prompts over the
  // engines, and pacing alternates the prefill of prompts that arrive together
  // with the output of the streams.
  void KeepsEventGapsOfStreams() {
    constexpr double kMaxLatePercent = 5;  // 95 of 100 streams are in time
    const std::vector<Load> loads = {
        {"three copies, engines busy half of their time", 3, 25},
        {"six copies, engines busy half of their time", 6, 25},
    };
    for (const Load& load : loads) {
      const double summaries = SimulatedFleet(load, LoadInfo::kSummaries).Run();
      const double notices = SimulatedFleet(load, LoadInfo::kSendNotices).Run();
      const double paced =
          SimulatedFleet(load, LoadInfo::kSendNoticesAndPacing).Run();
      const std::string figures =
          std::string(load.what) + ": late in percent " +
          std::to_string(summaries) + ", with notices to all " +
          std::to_string(notices) + ", with notices and pacing " +
          std::to_string(paced);
      CPPUNIT_ASSERT_MESSAGE(figures, summaries > kMaxLatePercent);
      CPPUNIT_ASSERT_MESSAGE(figures, notices < summaries);
      CPPUNIT_ASSERT_MESSAGE(figures, paced <= kMaxLatePercent);
    }
  }

  // Guards against delays that postpone first outputs although no stream pauses
  // for too long, and against stalls after a calm time in which the limit grew.
  void DelaysOnlyWherePausesAreLate() {
    struct Phase {
      int streams;
      int late_of_hundred;
    };
    struct Case {
      const char* name;
      std::vector<Phase> phases;
      bool delayed;
    };
    const std::vector<Case> cases = {
        {"nothing is known", {}, true},
        {"no stream is late", {{200, 0}}, false},
        {"one in a hundred is late", {{400, 1}}, false},
        {"one in ten is late", {{400, 10}}, true},
        {"a calm time, then one in ten is late", {{200, 0}, {200, 10}}, true},
        {"one in ten was late, then a calm time", {{200, 10}, {400, 0}}, false},
    };
    constexpr double kManyTokens = 10'000;
    for (const Case& item : cases) {
      PacingControl control;
      for (const Phase& phase : item.phases) {
        for (int i = 0; i < phase.streams; ++i) {
          const bool late =
              i % 100 * phase.late_of_hundred % 100 < phase.late_of_hundred;
          control.RecordStream((late ? 1.5 : 0.9) * kEventGapObjective,
                               kEventGapObjective);
        }
      }
      const absl::Duration delay =
          PacingDelay(kManyTokens, kPromptTokens, kEventGapObjective,
                      control.BacklogFactor());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(item.name) + ", late share " +
                                       std::to_string(control.LateShare()),
                                   item.delayed, delay > absl::ZeroDuration());
    }
  }

  void LeakyBucketDrains() {
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
