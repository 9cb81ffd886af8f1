// Reads typed fields of a JSON object that came from outside and keeps the first error. The
// caller reads all fields and asks for the error once. docs/design.md 9.4.
#ifndef ANISELINE_NET_JSON_FIELD_READER_HPP
#define ANISELINE_NET_JSON_FIELD_READER_HPP
#include "base/json.hpp"

namespace aniseline {

// Refers to the object, which has to outlive it. A value that is no object has no fields. A field
// that is missing reads as 0, false or empty; that is an error only where it is required.
class JsonFieldReader {
 public:
  enum class Presence : std::uint8_t { optional, required };

  explicit JsonFieldReader(const picojson::value& object) : object(object) {}

  // The field's value; null if there is none.
  picojson::value find(const std::string& field) const;
  // A string; a required one must not be empty.
  std::string text(const std::string& field, Presence presence = Presence::optional);
  bool flag(const std::string& field);
  // A whole number from 0 to 2^53.
  std::uint64_t whole(const std::string& field, Presence presence = Presence::optional);
  // The same, cut off at the largest value of 32 bits.
  std::uint32_t whole32(const std::string& field, Presence presence = Presence::optional);
  // A number of 64 bits, which stands as a string of digits because JSON's numbers hold 53.
  std::uint64_t digits(const std::string& field, Presence presence = Presence::optional);
  // A required number from 0 on, in thousandths, rounded.
  std::uint32_t thousandths(const std::string& field);

  // The first field that was not of its type, by its path in the object.
  const std::optional<ErrorDetail>& error() const { return firstError; }

 private:
  void reject(const std::string& field, const char* text);

  const picojson::value& object;
  std::optional<ErrorDetail> firstError;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_JSON_FIELD_READER_HPP
