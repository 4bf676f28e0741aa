// Runs the suite that is named on the command line, or all of them.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <signal.h>

#include <iostream>

int main(int argc, char** argv) {
  // Connections that the tests break must not end the test program.
  signal(SIGPIPE, SIG_IGN);
  CppUnit::TestFactoryRegistry& registry =
      argc > 1 ? CppUnit::TestFactoryRegistry::getRegistry(argv[1])
               : CppUnit::TestFactoryRegistry::getRegistry();
  CppUnit::Test* tests = registry.makeTest();
  if (tests->countTestCases() == 0) {
    std::cerr << "no such suite\n";
    return 2;
  }
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(tests);
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
