// Tests of the checksum against known values and an independent implementation.
#include "base/checksum.hpp"
#include <boost/crc.hpp>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ChecksumTests){};

TEST(ChecksumTests, hasTheStandardCheckValue) {
  LONGS_EQUAL(0xcbf43926, checksum("123456789"));
  LONGS_EQUAL(0, checksum(""));
}

// Stored data and frames of earlier versions were written with Boost's implementation.
TEST(ChecksumTests, equalsThatOfEarlierVersionsForEveryLengthAndAlignment) {
  std::mt19937 random(1);
  std::string bytes(600, '\0');
  for (char& byte : bytes)
    byte = char(random());
  for (std::size_t start = 0; start < 9; ++start) {
    for (std::size_t length = 0; start + length <= bytes.size(); length += 1 + length / 8) {
      boost::crc_32_type expected;
      expected.process_bytes(bytes.data() + start, length);
      LONGS_EQUAL(expected.checksum(), checksum(std::string_view(bytes).substr(start, length)));
    }
  }
}
