// Runs the unit tests and prints how many passed and failed, counting only tests that ran.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <iostream>

namespace {

// Counts the tests that ran, because tests excluded by a filter must not count as passed.
class RunCounter : public TestPlugin {
 public:
  RunCounter() : TestPlugin("RunCounter") {}
  void postTestAction(UtestShell& test, TestResult& result) override {
    (void)test;
    (void)result;
    ++ran;
  }
  int ran = 0;
};

}  // namespace

int main(int count, char** values) {
  // Libraries keep some memory until the process exits, which CppUTest would report as leaks. Runs
  // with the address sanitizer find real leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  RunCounter counter;
  TestRegistry::getCurrentRegistry()->installPlugin(&counter);
  const int failed = CommandLineTestRunner::RunAllTests(count, values);
  TestRegistry::getCurrentRegistry()->removePluginByName("RunCounter");
  if (counter.ran > 0)
    std::cout << (counter.ran - failed) << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
