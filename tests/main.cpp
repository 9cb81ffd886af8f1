// Runs every test; its closing line counts them.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <iostream>

int main(int count, char** values) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();  // libraries keep tables for good; the
                                                         // address sanitizer's run finds leaks
  const int failed = CommandLineTestRunner::RunAllTests(count, values);
  const int total = int(TestRegistry::getCurrentRegistry()->countTests());
  std::cout << (total - failed) << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
