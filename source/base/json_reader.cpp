// Type checks and error messages of the JSON object reader.
#include "base/json_reader.hpp"

namespace aniseline {

namespace {
// 2^53: a double represents no larger integers exactly
constexpr double maxExactInteger = 9007199254740992.0;
constexpr double maxThousandths = 4e9;        // below 2^32
constexpr double roundingTolerance = 1e-4;    // in thousandths
constexpr std::size_t maxDecimalDigits = 20;  // of a 64-bit number
}  // namespace

JsonObjectReader::JsonObjectReader(const picojson::value& value, std::string path,
                                   std::vector<ErrorDetail>& errors)
    : path(std::move(path)), errors(errors) {
  if (value.is<picojson::object>())
    fields = &value.get<picojson::object>();
  else
    addError("", "must be an object");
}

JsonObjectReader::~JsonObjectReader() {
  if (!fields)
    return;
  for (const auto& [field, value] : *fields) {
    if (!requestedFields.count(field))
      errors.push_back({path + "/" + field, "is not a known field"});
  }
}

std::string JsonObjectReader::pathOf(const std::string& field) const {
  return field.empty() ? path : path + "/" + field;
}

void JsonObjectReader::addError(const std::string& field, const std::string& text) {
  errors.push_back({pathOf(field), text});
}

const picojson::value* JsonObjectReader::find(const std::string& field, Presence presence) {
  requestedFields.insert(field);
  if (!fields)
    return nullptr;
  auto found = fields->find(field);
  if (found != fields->end())
    return &found->second;
  if (presence == Presence::required)
    addError(field, "is missing");
  return nullptr;
}

const picojson::array* JsonObjectReader::list(const std::string& field, Presence presence) {
  const auto* value = find(field, presence);
  if (!value)
    return nullptr;
  if (value->is<picojson::array>())
    return &value->get<picojson::array>();
  addError(field, "must be a list");
  return nullptr;
}

const picojson::object* JsonObjectReader::object(const std::string& field) {
  const auto* value = find(field);
  if (!value)
    return nullptr;
  if (value->is<picojson::object>())
    return &value->get<picojson::object>();
  addError(field, "must be an object");
  return nullptr;
}

std::vector<std::string> JsonObjectReader::texts(const std::string& field,
                                                 const char* elementError) {
  std::vector<std::string> read;
  const auto* elements = list(field);
  if (!elements)
    return read;
  for (const auto& element : *elements) {
    if (element.is<std::string>())
      read.push_back(element.get<std::string>());
    else
      addError(field, elementError);
  }
  return read;
}

std::string JsonObjectReader::text(const std::string& field, Presence presence) {
  const auto* value = find(field, presence);
  if (!value)
    return "";
  if (value->is<std::string>())
    return value->get<std::string>();
  addError(field, "must be a string");
  return "";
}

bool JsonObjectReader::flag(const std::string& field) {
  bool value = false;
  readFlag(field, value);
  return value;
}

std::uint64_t JsonObjectReader::unsignedInteger(const std::string& field, Presence presence,
                                                std::uint64_t fallback) {
  const auto* value = find(field, presence);
  if (!value)
    return fallback;
  const double number = value->is<double>() ? value->get<double>() : -1;
  if (number >= 0 && number <= maxExactInteger && number == std::floor(number))
    return std::uint64_t(number);
  addError(field, "must be a non-negative integer");
  return fallback;
}

std::uint32_t JsonObjectReader::unsignedInteger32(const std::string& field, Presence presence,
                                                  std::uint64_t fallback) {
  constexpr std::uint64_t highest = std::numeric_limits<std::uint32_t>::max();
  return std::uint32_t(std::min(unsignedInteger(field, presence, fallback), highest));
}

Duration JsonObjectReader::duration(const std::string& field, Presence presence,
                                    std::uint64_t fallback) {
  return Duration{std::int64_t(unsignedInteger(field, presence, fallback))};
}

std::uint32_t JsonObjectReader::thousandths(const std::string& field, Presence presence) {
  const std::uint32_t fallback = presence == Presence::required ? 1 : 0;
  const auto* value = find(field, presence);
  if (!value)
    return fallback;
  const double number = value->is<double>() ? value->get<double>() * 1000 : -1;
  if (number >= 0 && number <= maxThousandths &&
      std::abs(number - std::round(number)) < roundingTolerance)
    return std::uint32_t(std::llround(number));
  addError(field, "must be a non-negative number with at most three decimals");
  return fallback;
}

std::uint64_t JsonObjectReader::decimalText(const std::string& field, Presence presence) {
  const std::string digits = text(field, presence);
  if (digits.empty())
    return 0;
  if (digits.size() <= maxDecimalDigits &&
      digits.find_first_not_of("0123456789") == std::string::npos) {
    errno = 0;
    const auto parsed = std::strtoull(digits.c_str(), nullptr, 10);
    if (errno == 0)
      return parsed;
  }
  addError(field, "must be a 64-bit number written as a string of digits");
  return 0;
}

void JsonObjectReader::readText(const std::string& field, std::string& target) {
  const auto* value = find(field);
  if (!value)
    return;
  if (!value->is<std::string>())
    return addError(field, "must be a string");
  target = value->get<std::string>();
}

void JsonObjectReader::readFlag(const std::string& field, bool& target) {
  const auto* value = find(field);
  if (!value)
    return;
  if (!value->is<bool>())
    return addError(field, "must be true or false");
  target = value->get<bool>();
}

void JsonObjectReader::readReal(const std::string& field, double& target, double minimum,
                                double maximum) {
  const auto* value = find(field);
  if (!value)
    return;
  if (!value->is<double>() || value->get<double>() < minimum || value->get<double>() > maximum)
    return addError(field, "must be a number from " + std::to_string(minimum) + " to " +
                               std::to_string(maximum));
  target = value->get<double>();
}

std::optional<double> JsonObjectReader::integerWithin(const std::string& field, double minimum,
                                                      double maximum) {
  const auto* value = find(field);
  if (!value)
    return std::nullopt;
  const double number = value->is<double>() ? value->get<double>() : 0.5;
  if (number != std::floor(number)) {
    addError(field, "must be an integer");
    return std::nullopt;
  }
  if (number < minimum || number > maximum) {
    addError(field, "must be from " + std::to_string((long long)minimum) + " to " +
                        std::to_string((long long)maximum));
    return std::nullopt;
  }
  return number;
}

}  // namespace aniseline
