#ifndef DRAGONFLYGLADE_TESTS_UNIT_SPENDING_BY_STEPS_H_
#define DRAGONFLYGLADE_TESTS_UNIT_SPENDING_BY_STEPS_H_

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

namespace dragonflyglade {

/// A uniformly distributed random number from least to most, both included.
inline int Between(std::mt19937& random, int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

/// The highest spending in any window.
/// @param spent spending in each step
/// @param steps number of steps in a window
inline double MostInAWindow(const std::vector<double>& spent,
                            std::size_t steps) {
  double most = 0;
  for (std::size_t first = 0; first < spent.size(); ++first) {
    double sum = 0;
    const std::size_t end = std::min(spent.size(), first + steps);
    for (std::size_t i = first; i < end; ++i) sum += spent[i];
    most = std::max(most, sum);
  }
  return most;
}

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_UNIT_SPENDING_BY_STEPS_H_
