// Checks the type and range of each field.
#include "net/json_field_reader.hpp"
#include <cmath>

namespace aniseline {

namespace {
constexpr double maxExactInteger = 9007199254740992.0;  // 2^53; doubles are exact up to here
constexpr std::uint64_t maxUnsigned32 = 0xffffffffU;
constexpr double maxBeforeThousandths = 4e6;  // the value in thousandths has to fit into 32 bits
}  // namespace

void JsonFieldReader::reject(const std::string& field, const char* text) {
  if (!firstError)
    firstError = ErrorDetail{"/" + field, text};
}

picojson::value JsonFieldReader::find(const std::string& field) const {
  return object.is<picojson::object>() ? object.get(field) : picojson::value();
}

std::string JsonFieldReader::text(const std::string& field, Presence presence) {
  const bool required = presence == Presence::required;
  const auto value = find(field);
  if (value.is<std::string>() && !(required && value.get<std::string>().empty()))
    return value.get<std::string>();
  if (required || !value.is<picojson::null>())
    reject(field, "must be a string");
  return "";
}

bool JsonFieldReader::flag(const std::string& field) {
  const auto value = find(field);
  if (!value.is<bool>() && !value.is<picojson::null>())
    reject(field, "must be true or false");
  return value.is<bool>() && value.get<bool>();
}

std::uint64_t JsonFieldReader::unsignedInteger(const std::string& field, Presence presence) {
  const auto value = find(field);
  const double number = value.is<double>() ? value.get<double>() : -1;
  if (number >= 0 && number <= maxExactInteger && number == std::floor(number))
    return std::uint64_t(number);
  if (presence == Presence::required || !value.is<picojson::null>())
    reject(field, "must be a whole number of at least 0");
  return 0;
}

std::uint32_t JsonFieldReader::unsignedInteger32(const std::string& field, Presence presence) {
  return std::uint32_t(std::min(unsignedInteger(field, presence), maxUnsigned32));
}

std::uint64_t JsonFieldReader::decimalText(const std::string& field, Presence presence) {
  const std::string given = text(field, presence);
  if (given.empty())
    return 0;
  errno = 0;
  const auto number = std::strtoull(given.c_str(), nullptr, 10);
  if (given.find_first_not_of("0123456789") == std::string::npos && errno == 0)
    return number;
  reject(field, "must be a 64-bit number written as a string of digits");
  return 0;
}

std::uint32_t JsonFieldReader::thousandths(const std::string& field) {
  const auto value = find(field);
  const double number = value.is<double>() ? value.get<double>() : -1;
  if (number >= 0 && number <= maxBeforeThousandths)
    return std::uint32_t(std::llround(number * 1000));
  reject(field, "must be a number from 0 to 4000000");
  return 0;
}

}  // namespace aniseline
