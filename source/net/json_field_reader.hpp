// Reads typed fields of an untrusted JSON object and records the first error. The caller reads all
// fields and then checks for an error once. docs/design.md 9.4.
#ifndef ANISELINE_NET_JSON_FIELD_READER_HPP
#define ANISELINE_NET_JSON_FIELD_READER_HPP
#include "base/json.hpp"

namespace aniseline {

// Holds a reference to the object, which must outlive the reader. A value that is not an object has
// no fields. A missing field reads as 0, false or empty, and is an error only if it is required.
class JsonFieldReader {
 public:
  enum class Presence : std::uint8_t { optional, required };

  explicit JsonFieldReader(const picojson::value& object) : object(object) {}

  // Returns the field's value; null if the field is missing.
  picojson::value find(const std::string& field) const;
  // Reads a string; a required string must not be empty.
  std::string text(const std::string& field, Presence presence = Presence::optional);
  // Reads a Boolean.
  bool flag(const std::string& field);
  // Reads a whole number from 0 to 2^53.
  std::uint64_t unsignedInteger(const std::string& field, Presence presence = Presence::optional);
  // Reads a whole number and limits it to the largest 32-bit value.
  std::uint32_t unsignedInteger32(const std::string& field, Presence presence = Presence::optional);
  // Reads a 64-bit number, which is written as a string of digits because JSON numbers are exact
  // only up to 53 bits.
  std::uint64_t decimalText(const std::string& field, Presence presence = Presence::optional);
  // Reads a required non-negative number and returns it in thousandths, rounded.
  std::uint32_t thousandths(const std::string& field);

  // Returns the error of the first invalid field, with its path in the object.
  const std::optional<ErrorDetail>& error() const { return firstError; }

 private:
  void reject(const std::string& field, const char* text);

  const picojson::value& object;
  std::optional<ErrorDetail> firstError;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_JSON_FIELD_READER_HPP
