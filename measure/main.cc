// Benchmark program: simulates the decision classes on a virtual clock,
// compares them with baseline algorithms, and prints one result a line.

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "measure/topics.h"

namespace {

namespace po = boost::program_options;
using dragonflyglade::MeasureOptions;

constexpr int kUsageErrorExitCode = 2;

// Rejects an option value that the topic does not support. Without this check
// the value would filter out every run, and the program would print nothing and
// exit with success.
bool IsKnown(const char* option, const std::string& value,
             const std::vector<std::string>& known) {
  if (value.empty()) return true;
  if (std::find(known.begin(), known.end(), value) != known.end()) return true;
  std::cerr << option << ": no such value for this topic: " << value
            << "\nknown:";
  for (const std::string& item : known) std::cerr << " " << item;
  std::cerr << (known.empty() ? " none\n" : "\n");
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  MeasureOptions options;
  po::options_description descriptions("options");
  descriptions.add_options()("help", "show this text")(
      "topic", po::value<std::string>(), "what to measure")(
      "seed", po::value<std::uint64_t>(&options.seed)->default_value(1),
      "of all random choices")(
      "instances", po::value<std::size_t>(&options.instances)->default_value(0),
      "0: the usual sizes")("skew", po::value<std::string>(&options.skew),
                            "even, skewed or moving; all if not given")(
      "baseline", po::value<std::string>(&options.baseline),
      "only this way of doing it");
  po::positional_options_description positional;
  positional.add("topic", 1);
  po::variables_map arguments;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(descriptions)
                  .positional(positional)
                  .run(),
              arguments);
    po::notify(arguments);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << descriptions;
    return kUsageErrorExitCode;
  }
  const auto& topics = dragonflyglade::MeasureTopics();
  const bool known = arguments.count("topic") > 0 &&
                     topics.count(arguments["topic"].as<std::string>()) > 0;
  if (arguments.count("help") > 0 || !known) {
    std::cerr << "use: dragonflyglade_measure TOPIC [options]\ntopics:";
    for (const auto& [name, topic] : topics) std::cerr << " " << name;
    std::cerr << "\n" << descriptions;
    return arguments.count("help") > 0 ? 0 : kUsageErrorExitCode;
  }
  const auto& topic = topics.at(arguments["topic"].as<std::string>());
  if (!IsKnown("--skew", options.skew, topic.skews)) return kUsageErrorExitCode;
  if (!IsKnown("--baseline", options.baseline, topic.baselines)) {
    return kUsageErrorExitCode;
  }
  topic.run(options);
  return 0;
}
