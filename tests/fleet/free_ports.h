#ifndef DRAGONFLYGLADE_TESTS_FLEET_FREE_PORTS_H_
#define DRAGONFLYGLADE_TESTS_FLEET_FREE_PORTS_H_

namespace dragonflyglade {

/// Where this test begins to search for free ports. Tests that run at the same
/// time begin at different ports, all below those that the system hands out.
int FirstTestPort();

/// The first of `count` consecutive ports that are free now; advances `from`
/// past them.
int FreePorts(int count, int& from);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_FREE_PORTS_H_
