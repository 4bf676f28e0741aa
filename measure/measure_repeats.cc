#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "dragonflyglade/gateway/request_digest.h"
#include "measure/model/request_crash_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kDraws = 20;

struct Scenario {
  std::string name;
  RequestCrashOptions options;
};

void PrintResults(const std::string& name, const RequestCrashOptions& options,
                  std::uint64_t first_seed) {
  RequestCrashResult sum;
  int most_ended = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    RequestCrashOptions drawn = options;
    drawn.seed = first_seed + draw;
    const RequestCrashResult result = RequestCrashFleet(drawn).Run();
    sum.ended += result.ended;
    sum.sent_after += result.sent_after;
    sum.held += result.held;
    sum.sound += result.sound;
    sum.served += result.served;
    sum.bytes += result.bytes;
    most_ended = std::max(most_ended, result.ended);
  }
  PrintFigure(name + ".ended", static_cast<double>(sum.ended) / kDraws, "");
  PrintFigure(name + ".most_ended", most_ended, "");
  PrintFigure(name + ".sent_after_third", sum.sent_after, "in all draws");
  PrintFigure(name + ".sound_held", sum.held, "in all draws");
  PrintFigure(name + ".served", static_cast<double>(sum.served) / sum.sound,
              "share");
  PrintFigure(name + ".bytes", sum.bytes / kDraws / options.instances,
              "B an instance");
}

std::vector<Scenario> Scenarios(bool holds_back) {
  RequestCrashOptions at_once;
  at_once.holds_back = holds_back;
  RequestCrashOptions later = at_once;
  later.pause = absl::Seconds(2);
  RequestCrashOptions two = later;
  two.bad_callers = 2;
  RequestCrashOptions eight = later;
  eight.bad_callers = 8;
  RequestCrashOptions in_middle = later;
  in_middle.in_middle = true;
  RequestCrashOptions killed = later;
  killed.kills_all = true;
  RequestCrashOptions none = at_once;
  none.bad_callers = 0;
  RequestCrashOptions domain = none;
  domain.domain_share = 1.0 / 3;
  RequestCrashOptions all_end = none;
  all_end.domain_share = 1;
  return {{"at_once", at_once},     {"after_2s", later},
          {"two_callers", two},     {"eight_callers", eight},
          {"in_middle", in_middle}, {"all_killed", killed},
          {"none", none},           {"third_ends", domain},
          {"all_end", all_end}};
}

void PrintDigestTimes() {
  constexpr int kRepeats = 200;
  for (const std::size_t bytes : {800u, 18000u, 4u << 20}) {
    gateway::CallerRequest request;
    request.method = "POST";
    request.path_and_query = "/v1/answer";
    request.body = std::make_shared<const std::string>(bytes, 'x');
    const absl::Time start = absl::Now();
    std::size_t digits = 0;
    for (int i = 0; i < kRepeats; ++i) {
      digits += gateway::DigestOf(request, "workspace").size();
    }
    const absl::Duration each = (absl::Now() - start) / kRepeats;
    if (digits == 0) return;
    PrintFigure(fmt::format("repeats.digest.{}_bytes", bytes),
                absl::ToDoubleMicroseconds(each), "us");
  }
}

}  // namespace

void MeasureRepeats(const MeasureOptions& options) {
  const std::vector<int> sizes =
      options.instances > 0
          ? std::vector<int>{static_cast<int>(options.instances)}
          : std::vector<int>{6, 82, 300};
  PrintDigestTimes();
  for (const int size : sizes) {
    for (const char* policy : {"nothing", "held_back"}) {
      if (!options.baseline.empty() && options.baseline != policy) continue;
      for (Scenario& scenario : Scenarios(policy == std::string("held_back"))) {
        scenario.options.instances = size;
        PrintResults(
            fmt::format("repeats.{}.{}.{}", size, policy, scenario.name),
            scenario.options, options.seed);
      }
    }
  }
}

}  // namespace dragonflyglade
