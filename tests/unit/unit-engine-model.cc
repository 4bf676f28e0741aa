#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/engine_learner.h"
#include "dragonflyglade/decision/engine_model.h"
#include "dragonflyglade/decision/prompt_rate.h"

namespace dragonflyglade {
namespace {

const StreamObjective kStream{absl::Milliseconds(400), 5};

// An engine that got prompts of the size lately.
EngineLoad Prefilling(double tokens_per_ms, double typical_tokens) {
  EngineLoad load;
  load.slots = 64;
  load.prompt_tokens_per_ms = tokens_per_ms;
  load.typical_prompt_tokens = typical_tokens;
  return load;
}

EngineLoad Slow(EngineLoad load, double slowness) {
  load.slowness = slowness;
  return load;
}

EngineFigures Figures(double prefill_tokens_per_ms, double running_request_ms,
                      double waiting_request_ms) {
  EngineFigures figures;
  figures.prefill_tokens_per_ms = prefill_tokens_per_ms;
  figures.running_request_ms = running_request_ms;
  figures.waiting_request_ms = waiting_request_ms;
  return figures;
}

class EngineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelTest);
  CPPUNIT_TEST(AveragesPrompts);
  CPPUNIT_TEST(PredictsLateGaps);
  CPPUNIT_TEST(LearnsDelays);
  CPPUNIT_TEST(LearnsStepTime);
  CPPUNIT_TEST(LimitsWhatItLearns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a rate that stays high after the prompts have ended.
  void AveragesPrompts() {
    PromptRate rate;
    const Instant start = absl::Hours(1);
    CPPUNIT_ASSERT_EQUAL(0.0, rate.TokensPerMs(start));
    CPPUNIT_ASSERT_EQUAL(0.0, rate.TypicalTokens());
    Instant now = start;
    for (; now < start + absl::Seconds(10); now += absl::Milliseconds(100)) {
      rate.Add(1000, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, rate.TokensPerMs(now), 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, rate.TypicalTokens(), 1);
    rate.Add(9000, now);
    CPPUNIT_ASSERT(rate.TypicalTokens() > 3000);
    CPPUNIT_ASSERT(rate.TokensPerMs(now + absl::Seconds(5)) < 1);
  }

  // Guards against streams that are sent where their gaps are too long, and
  // against engines that are avoided although their gaps are short.
  void PredictsLateGaps() {
    struct GapCase {
      const char* what;
      EngineLoad load;
      double output_tokens;
      double min_chance;
      double max_chance;
    };
    const std::vector<GapCase> cases = {
        {"no prompts", Prefilling(0, 0), 200, 0, 0},
        {"short prompts", Prefilling(10, 600), 200, 0, 0.01},
        {"long prompts", Prefilling(20, 12000), 200, 0.9, 1},
        {"a stream of one event", Prefilling(20, 12000), 5, 0, 0},
        {"few events", Prefilling(5, 12000), 20, 0, 0.1},
        {"more short prompts than are prefilled", Prefilling(40, 600), 200,
         0.05, 1},
        {"medium prompts", Prefilling(10, 6000), 200, 0, 0.3},
        {"medium prompts at a slow engine", Slow(Prefilling(10, 6000), 2), 200,
         0.5, 1},
    };
    for (const GapCase& item : cases) {
      const EngineFigures figures;
      const GapPrediction gaps(figures, item.load, kStream);
      const double chance = gaps.LateChance(item.output_tokens);
      const std::string text =
          std::string(item.what) + ": " + std::to_string(chance);
      CPPUNIT_ASSERT_MESSAGE(text, chance >= item.min_chance);
      CPPUNIT_ASSERT_MESSAGE(text, chance <= item.max_chance);
      const double gap_ms = gaps.LongestGapMs(item.output_tokens);
      CPPUNIT_ASSERT_MESSAGE(text, gap_ms >= 30 * item.load.slowness);
      CPPUNIT_ASSERT_MESSAGE(text, gap_ms <= 400 * item.load.slowness);
    }
  }

  // Guards against predictions that are wrong by seconds, and against a lower
  // bound above the delays.
  void LearnsDelays() {
    struct SpeedCase {
      const char* what;
      EngineFigures truth;
    };
    const std::vector<SpeedCase> cases = {
        {"as the start", EngineFigures()},
        {"a faster prefill", Figures(80, 1.5, 30)},
        {"a slower prefill", Figures(12, 1.5, 30)},
        {"a slot becomes free sooner", Figures(40, 1, 8)},
        {"all slower", Figures(15, 4, 60)},
    };
    for (const SpeedCase& item : cases) {
      this->CheckLearning(item.what, item.truth);
    }
  }

  // Guards against a time of a step that long prompts have an effect on.
  void LearnsStepTime() {
    EngineLearner learner;
    for (int i = 0; i < 400; ++i) {
      EnginePrediction prediction;
      const GapPrediction gaps(learner.Figures(), prediction.load, kStream);
      prediction.longest_gap_ms = gaps.LongestGapMs(200);
      learner.RecordLongestGap(prediction, kStream, absl::Milliseconds(60));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12, learner.Figures().step_ms, 1);
  }

  // Guards against figures that false answers move without a bound.
  void LimitsWhatItLearns() {
    for (const absl::Duration delay :
         {absl::ZeroDuration(), absl::Seconds(-1), absl::Hours(1),
          absl::InfiniteDuration()}) {
      EngineLearner learner;
      for (int i = 0; i < 5000; ++i) {
        EnginePrediction prediction;
        prediction.load = Prefilling(5, 600);
        prediction.load.requests = 80;
        prediction.prompt_tokens = 3000;
        prediction.first_output_ms = FirstOutputMs(
            learner.Figures(), prediction.load, prediction.prompt_tokens);
        prediction.longest_gap_ms = 50;
        learner.RecordFirstOutput(prediction, delay);
        learner.RecordLongestGap(prediction, kStream, delay);
      }
      const EngineFigures start;
      const EngineFigures& learnt = learner.Figures();
      const auto check = [](double figure, double begin) {
        CPPUNIT_ASSERT(figure >= begin / 10.001 && figure <= begin * 10.001);
      };
      check(learnt.prefill_tokens_per_ms, start.prefill_tokens_per_ms);
      check(learnt.running_request_ms, start.running_request_ms);
      check(learnt.waiting_request_ms, start.waiting_request_ms);
      check(learnt.step_ms, start.step_ms);
      CPPUNIT_ASSERT(learner.LowerBound() >= 0.1);
      CPPUNIT_ASSERT(learner.LowerBound() <= 1);
    }
  }

 private:
  // Checks the aims for predictions of a second and more.
  void CheckLearning(const char* what, const EngineFigures& truth) {
    constexpr int kAnswers = 3000;
    std::mt19937 random(5);
    std::lognormal_distribution<double> noise(0, 0.2);
    EngineLearner learner;
    std::vector<double> errors_ms;
    std::vector<double> ratios;
    int below = 0;
    for (int i = 0; i < kAnswers; ++i) {
      EnginePrediction prediction;
      prediction.load.slots = 64;
      prediction.load.requests = static_cast<double>(random() % 100);
      prediction.load.unprocessed_prompt_tokens =
          static_cast<double>(random() % 60000);
      prediction.load.slowness = random() % 4 == 0 ? 2 : 1;
      prediction.prompt_tokens = 500 + static_cast<double>(random() % 8000);
      prediction.first_output_ms = FirstOutputMs(
          learner.Figures(), prediction.load, prediction.prompt_tokens);
      const double outcome_ms =
          noise(random) *
          FirstOutputMs(truth, prediction.load, prediction.prompt_tokens);
      if (i > kAnswers / 2 && prediction.first_output_ms >= 1000) {
        errors_ms.push_back(outcome_ms - prediction.first_output_ms);
        ratios.push_back(outcome_ms / prediction.first_output_ms);
        below += ratios.back() < learner.LowerBound() ? 1 : 0;
      }
      learner.RecordFirstOutput(prediction, absl::Milliseconds(outcome_ms));
    }
    std::sort(errors_ms.begin(), errors_ms.end());
    std::sort(ratios.begin(), ratios.end());
    const std::size_t count = ratios.size();
    const std::string text =
        std::string(what) + ": median error " +
        std::to_string(errors_ms[count / 2]) + " ms, p10 and p90 " +
        std::to_string(ratios[count / 10]) + " and " +
        std::to_string(ratios[count * 9 / 10]) + ", below the bound " +
        std::to_string(below) + " of " + std::to_string(count);
    CPPUNIT_ASSERT_MESSAGE(text, std::abs(errors_ms[count / 2]) <= 250);
    CPPUNIT_ASSERT_MESSAGE(text, ratios[count / 10] >= 0.5);
    CPPUNIT_ASSERT_MESSAGE(text, ratios[count * 9 / 10] <= 2);
    CPPUNIT_ASSERT_MESSAGE(text, 5 * below <= static_cast<int>(count));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EngineModelTest, "unit-engine-model");

}  // namespace
}  // namespace dragonflyglade
