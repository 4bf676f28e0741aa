// Measures the decisions on a virtual clock, against their baselines.

#include <fmt/format.h>

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

constexpr int kBadUse = 2;

}  // namespace

int main(int argc, char** argv) {
  MeasureOptions options;
  po::options_description described("options");
  described.add_options()("help", "show this text")(
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
  po::variables_map given;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(described)
                  .positional(positional)
                  .run(),
              given);
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << described;
    return kBadUse;
  }
  const auto& topics = dragonflyglade::MeasureTopics();
  const bool known = given.count("topic") > 0 &&
                     topics.count(given["topic"].as<std::string>()) > 0;
  if (given.count("help") > 0 || !known) {
    std::cerr << "use: dragonflyglade_measure TOPIC [options]\ntopics:";
    for (const auto& [name, topic] : topics) std::cerr << " " << name;
    std::cerr << "\n" << described;
    return given.count("help") > 0 ? 0 : kBadUse;
  }
  topics.at(given["topic"].as<std::string>())(options);
  return 0;
}
