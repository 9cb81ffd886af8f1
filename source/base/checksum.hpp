// The checksum of frames on the wire and of records on disk.
#ifndef ANISELINE_BASE_CHECKSUM_HPP
#define ANISELINE_BASE_CHECKSUM_HPP
#include <cstdint>
#include <string_view>

namespace aniseline {

// Returns the CRC-32 (ISO 3309, reflected polynomial 0xedb88320) of the bytes.
std::uint32_t checksum(std::string_view bytes);

}  // namespace aniseline

#endif  // ANISELINE_BASE_CHECKSUM_HPP
