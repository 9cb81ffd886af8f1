// Runs every test; its closing line counts those that ran.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <iostream>

namespace {

// Filters leave tests out: what did not run has not passed.
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
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();  // libraries keep tables for good; the
                                                         // address sanitizer's run finds leaks
  RunCounter counter;
  TestRegistry::getCurrentRegistry()->installPlugin(&counter);
  const int failed = CommandLineTestRunner::RunAllTests(count, values);
  TestRegistry::getCurrentRegistry()->removePluginByName("RunCounter");
  if (counter.ran > 0)
    std::cout << (counter.ran - failed) << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
