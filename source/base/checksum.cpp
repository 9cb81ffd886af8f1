// Computes CRC-32 by slices of eight bytes: one table lookup for each byte, but without a
// dependency of each lookup on the one before.
#include "base/checksum.hpp"
#include <array>
#include <cstddef>

namespace aniseline {

namespace {

constexpr std::uint32_t reflectedPolynomial = 0xedb88320;
constexpr std::size_t sliceBytes = 8;
using Table = std::array<std::uint32_t, 256>;

// tables[k][byte] is the remainder of the byte followed by k zero bytes.
constexpr std::array<Table, sliceBytes> makeTables() {
  std::array<Table, sliceBytes> tables{};
  for (std::uint32_t byte = 0; byte < 256; ++byte) {
    std::uint32_t remainder = byte;
    for (int bit = 0; bit < 8; ++bit)
      remainder = (remainder >> 1) ^ ((remainder & 1) ? reflectedPolynomial : 0);
    tables[0][byte] = remainder;
  }
  for (std::size_t slice = 1; slice < sliceBytes; ++slice) {
    for (std::size_t byte = 0; byte < 256; ++byte) {
      const std::uint32_t previous = tables[slice - 1][byte];
      tables[slice][byte] = (previous >> 8) ^ tables[0][previous & 0xff];
    }
  }
  return tables;
}

constexpr std::array<Table, sliceBytes> tables = makeTables();

// Assembles the number from its bytes, so that the result does not depend on the byte order of the
// machine.
std::uint32_t littleEndian(const unsigned char* bytes) {
  return std::uint32_t(bytes[0]) | std::uint32_t(bytes[1]) << 8 | std::uint32_t(bytes[2]) << 16 |
         std::uint32_t(bytes[3]) << 24;
}

std::uint32_t addSlice(std::uint32_t remainder, const unsigned char* bytes) {
  const std::uint32_t low = remainder ^ littleEndian(bytes);
  const std::uint32_t high = littleEndian(bytes + 4);
  return tables[7][low & 0xff] ^ tables[6][(low >> 8) & 0xff] ^ tables[5][(low >> 16) & 0xff] ^
         tables[4][low >> 24] ^ tables[3][high & 0xff] ^ tables[2][(high >> 8) & 0xff] ^
         tables[1][(high >> 16) & 0xff] ^ tables[0][high >> 24];
}

}  // namespace

std::uint32_t checksum(std::string_view bytes) {
  const auto* next = reinterpret_cast<const unsigned char*>(bytes.data());
  std::size_t left = bytes.size();
  std::uint32_t remainder = 0xffffffff;
  for (; left >= sliceBytes; left -= sliceBytes, next += sliceBytes)
    remainder = addSlice(remainder, next);
  for (; left > 0; --left, ++next)
    remainder = (remainder >> 8) ^ tables[0][(remainder ^ *next) & 0xff];
  return ~remainder;
}

}  // namespace aniseline
