#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/pacing_trial.h"

namespace dragonflyglade {
namespace {

struct TrialCase {
  const char* what;
  double late_without_delays;
  double late_with_delays;
  bool delays;  ///< at most engines
};

class PacingTrialTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTrialTest);
  CPPUNIT_TEST(DelaysOnlyWhereItHelps);
  CPPUNIT_TEST(DelaysUntilEnoughIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against delays where gaps are too long whatever the delay, or short
  // without one, and against none where they help.
  void DelaysOnlyWhereItHelps() {
    const std::vector<TrialCase> cases = {
        {"late whatever the delay", 0.9, 0.9, false},
        {"in time without a delay", 0.01, 0.01, false},
        {"hardly better", 0.3, 0.28, false},
        {"worse with delays", 0.2, 0.4, false},
        {"far better", 0.6, 0.1, true},
    };
    for (const TrialCase& item : cases) {
      PacingTrial trial;
      std::mt19937 random(3);
      std::uniform_real_distribution<double> draw(0, 1);
      // The finding at the end, and how often it was another one before.
      int delayed = 0;
      constexpr int kStreams = 20000;
      int judged = 0;
      for (int i = 0; i < kStreams; ++i) {
        const std::string engine =
            Engine(static_cast<int>(random() % kEngines));
        const bool delays = trial.Delays(engine);
        const double late_share =
            delays ? item.late_with_delays : item.late_without_delays;
        trial.RecordStream(engine, draw(random) < late_share);
        if (i < kStreams / 4) continue;
        judged += 1;
        delayed += delays ? 1 : 0;
      }
      const double share = static_cast<double>(delayed) / judged;
      const std::string text =
          std::string(item.what) + ": delayed " + std::to_string(share);
      CPPUNIT_ASSERT_MESSAGE(text, item.delays ? share > 0.7 : share < 0.3);
    }
  }

  // Guards against streams that are late at the start of an instance, and
  // against instances that compare different engines.
  void DelaysUntilEnoughIsKnown() {
    const PacingTrial one;
    const PacingTrial other;
    int delayed = 0;
    for (int i = 0; i < kEngines; ++i) {
      CPPUNIT_ASSERT_EQUAL(one.Delays(Engine(i)), other.Delays(Engine(i)));
      delayed += one.Delays(Engine(i)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(delayed > kEngines * 3 / 4 && delayed < kEngines);
  }

 private:
  static constexpr int kEngines = 90;

  static std::string Engine(int number) {
    return "engine-" + std::to_string(number);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PacingTrialTest, "unit-pacing-trial");

}  // namespace
}  // namespace dragonflyglade
