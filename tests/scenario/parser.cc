#include <fmt/format.h>
#include <fmt/ranges.h>

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>
#include <map>
#include <set>

#include "tests/scenario/scenario.h"

BOOST_FUSION_ADAPT_STRUCT(dragonflyglade::ScenarioArgument, name, comparison,
                          value)

namespace dragonflyglade {
namespace {

namespace x3 = boost::spirit::x3;

// The syntax of one verb's command line.
struct VerbRule {
  std::size_t min_words;
  std::size_t max_words;
  std::set<std::string> arguments;
  std::set<std::string> last_words;  ///< allowed last words; empty: any
};

const std::map<std::string, VerbRule>& Verbs() {
  static const auto& verbs = *new std::map<std::string, VerbRule>{
      {"fleet",
       {0,
        0,
        {"instances", "engines", "ledgers", "fenced", "keep", "rate", "burst",
         "token_delay_ms", "fresh_ms", "preloaded", "periods"},
        {}}},
      {"key", {1, 1, {"workspace"}, {}}},
      {"withdraw", {1, 1, {}, {}}},
      {"load", {1, 1, {"kind", "key", "callers", "pause_ms"}, {}}},
      {"calls", {2, 2, {}, {}}},
      {"stop", {1, 1, {"good", "refused", "unknown", "failed", "calls"}, {}}},
      {"kill", {1, 1, {}, {}}},
      {"pause", {1, 1, {}, {}}},
      {"resume", {1, 1, {}, {}}},
      {"term", {1, 1, {}, {}}},
      {"ended", {1, 1, {"code"}, {}}},
      {"unlist", {1, 1, {}, {}}},
      {"start", {1, 1, {}, {}}},
      {"ready", {0, 0, {}, {}}},
      {"mark", {1, 1, {}, {}}},
      {"since", {1, 1, {}, {}}},
      {"kv",
       {1,
        1,
        {"count", "ms"},
        {"out", "back", "slow", "lose", "silence", "lapse"}}},
      {"list", {1, 1, {"ms"}, {"lag", "out", "back"}}},
      {"link", {2, 2, {}, {"cut", "heal", "silence"}}},
      {"target",
       {2,
        2,
        {"after", "times"},
        {"cut", "heal", "silence", "mute", "speak", "refuse", "accept",
         "leaving", "break", "restart"}}},
      {"ledger", {1, 1, {"count", "ms"}, {"lose", "slow"}}},
      {"race", {0, 0, {"operators"}, {}}},
      {"apply", {3, 3, {}, {}}},
      {"stream", {2, 2, {"tokens", "on"}, {}}},
      {"ends", {1, 1, {"error", "whole"}, {}}},
      {"call", {3, 3, {"status", "code", "ran", "on", "body"}, {}}},
      {"status", {2, 2, {"on"}, {}}},
      {"check", {1, 2, {}, {}}},
  };
  return verbs;
}

struct Line {
  std::vector<std::string> words;
  std::vector<ScenarioArgument> arguments;
};

const auto kNameChar = x3::alnum | x3::char_("_");
const auto kWordChar = x3::graph - x3::char_("=<>");
const auto kWord = x3::rule<struct WordTag, std::string>("a word") =
    x3::lexeme[+kWordChar];
const auto kComparison =
    x3::rule<struct ComparisonTag, std::string>("=, >= or <=") =
        x3::string(">=") | x3::string("<=") | x3::string("=");
const auto kArgument =
    x3::rule<struct ArgumentTag, ScenarioArgument>("name=value") =
        x3::lexeme[(+kNameChar >> kComparison) > +x3::graph];

// Parses a whole line. On an error `first` is the position of the first
// character that does not match.
bool ParseLine(std::string_view text, Line& line, std::size_t& first) {
  auto begin = text.begin();
  const auto add_word = [&line](auto& context) {
    line.words.push_back(x3::_attr(context));
  };
  const auto add_argument = [&line](auto& context) {
    line.arguments.push_back(x3::_attr(context));
  };
  bool matched = false;
  try {
    matched = x3::phrase_parse(begin, text.end(),
                               +(kArgument[add_argument] | kWord[add_word]),
                               x3::blank);
  } catch (const x3::expectation_failure<std::string_view::iterator>& error) {
    first = static_cast<std::size_t>(error.where() - text.begin());
    return false;
  }
  first = static_cast<std::size_t>(begin - text.begin());
  return matched && begin == text.end();
}

Failure SyntaxFailure(std::string_view file, int line,
                      std::string_view expected, std::string_view found) {
  return MakeFailure(Errc::kInvalidArgument, "read scenario",
                     fmt::format("{}:{}", file, line),
                     fmt::format("expected {}; found '{}'", expected, found));
}

Result<ScenarioCommand> CheckLine(std::string_view file, int number,
                                  const Line& line) {
  std::vector<std::string> verbs;
  for (const auto& [verb, rule] : Verbs()) verbs.push_back(verb);
  if (line.words.empty() || Verbs().count(line.words.front()) == 0) {
    return SyntaxFailure(file, number,
                         fmt::format("one of {}", fmt::join(verbs, ", ")),
                         line.words.empty() ? "" : line.words.front());
  }
  ScenarioCommand command;
  command.line = number;
  command.verb = line.words.front();
  command.words.assign(line.words.begin() + 1, line.words.end());
  command.arguments = line.arguments;
  const VerbRule& rule = Verbs().at(command.verb);
  const std::size_t words = command.words.size();
  if (words < rule.min_words || words > rule.max_words) {
    return SyntaxFailure(file, number,
                         fmt::format("{} to {} words after {}", rule.min_words,
                                     rule.max_words, command.verb),
                         fmt::format("{} words", words));
  }
  const bool restricted = !rule.last_words.empty();
  if (restricted && rule.last_words.count(command.words.back()) == 0) {
    return SyntaxFailure(
        file, number,
        fmt::format("one of {}", fmt::join(rule.last_words, ", ")),
        command.words.back());
  }
  for (const ScenarioArgument& argument : command.arguments) {
    if (rule.arguments.count(argument.name) > 0) continue;
    return SyntaxFailure(
        file, number,
        fmt::format("only {} after {}", fmt::join(rule.arguments, ", "),
                    command.verb),
        argument.name);
  }
  return command;
}

}  // namespace

std::string ScenarioCommand::Value(std::string_view name,
                                   std::string_view default_value) const {
  for (const ScenarioArgument& argument : this->arguments) {
    if (argument.name == name) return argument.value;
  }
  return std::string(default_value);
}

double ScenarioCommand::Number(std::string_view name,
                               double default_value) const {
  const std::string value = this->Value(name, "");
  return value.empty() ? default_value : std::stod(value);
}

Result<std::vector<ScenarioCommand>> ParseScenario(std::string_view file,
                                                   std::string_view text) {
  std::vector<ScenarioCommand> commands;
  int number = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line_text = text.substr(0, end);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    ++number;
    const std::size_t start = line_text.find_first_not_of(" \t");
    if (start == std::string_view::npos || line_text[start] == '#') continue;
    Line line;
    std::size_t error_position = 0;
    if (!ParseLine(line_text, line, error_position)) {
      return SyntaxFailure(
          file, number,
          fmt::format("words and name=value at column {}", error_position + 1),
          line_text.substr(error_position));
    }
    Result<ScenarioCommand> command = CheckLine(file, number, line);
    if (!command.Ok()) return command.Error();
    commands.push_back(std::move(command.Value()));
  }
  return commands;
}

}  // namespace dragonflyglade
