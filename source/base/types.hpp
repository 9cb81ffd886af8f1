// Types used throughout the project: ids, times, errors, packing to bytes, and seeded random
// numbers. Precompiled for the whole tree. docs/design.md 2.
#ifndef ANISELINE_BASE_TYPES_HPP
#define ANISELINE_BASE_TYPES_HPP
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/outcome.hpp>
#include <boost/serialization/deque.hpp>
#include <boost/serialization/map.hpp>
#include <boost/serialization/set.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/utility.hpp>
#include <boost/serialization/vector.hpp>
#include <boost/signals2/signal.hpp>
#include <boost/variant.hpp>

#include "base/archive.hpp"
#include "base/checksum.hpp"

namespace aniseline {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// Base of the id types: each kind of id or version is a type of its own. docs/design.md 2.1.
template <class Tag, class Value = std::uint64_t>
struct StrongId {
  Value value{};
  StrongId() = default;
  explicit StrongId(Value initialValue) : value(std::move(initialValue)) {}
  auto operator<=>(const StrongId&) const = default;
  bool operator==(const StrongId&) const = default;
  StrongId next() const requires std::is_integral_v<Value> { return StrongId{value + 1}; }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& value;
  }
};

using Term = StrongId<struct TermTag>;
using LogIndex = StrongId<struct LogIndexTag>;
using DiskVersion = StrongId<struct DiskVersionTag>;
using ConfigVersion = StrongId<struct ConfigVersionTag>;
using OrderNumber = StrongId<struct OrderNumberTag>;
using AttemptNumber = StrongId<struct AttemptNumberTag>;
using PlanNumber = StrongId<struct PlanNumberTag>;
using RoundNumber = StrongId<struct RoundNumberTag>;
using RequestNumber = StrongId<struct RequestNumberTag>;
using Incarnation = StrongId<struct IncarnationTag>;
using JobId = StrongId<struct JobIdTag, std::string>;
using QueueName = StrongId<struct QueueNameTag, std::string>;
using WorkerId = StrongId<struct WorkerIdTag, std::string>;
using ControllerId = StrongId<struct ControllerIdTag, std::string>;
using ClusterId = StrongId<struct ClusterIdTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
using Address = StrongId<struct AddressTag, std::string>;

// Reports whether there is nothing to serialize, which is the case for a cluster that was
// bootstrapped before clusters had ids, and for a process that knows no cluster.
inline bool isAbsent(const ClusterId& id) {
  return id.value.empty();
}
// Reports whether both ids are known and name different clusters. docs/design.md 3.8.
inline bool areDifferentClusters(const ClusterId& left, const ClusterId& right) {
  return !isAbsent(left) && !isAbsent(right) && left != right;
}

// A length of time in milliseconds.
struct Duration {
  std::int64_t milliseconds = 0;
  Duration() = default;
  explicit constexpr Duration(std::int64_t initialValue) : milliseconds(initialValue) {}
  auto operator<=>(const Duration&) const = default;
  bool operator==(const Duration&) const = default;
  Duration operator+(Duration other) const { return Duration{milliseconds + other.milliseconds}; }
  Duration operator-(Duration other) const { return Duration{milliseconds - other.milliseconds}; }
  double hours() const { return double(milliseconds) / 3'600'000.0; }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& milliseconds;
  }
};

// A point in time; the tag makes times of different clocks distinct types.
template <class Clock>
struct TimePoint {
  std::int64_t milliseconds = 0;
  TimePoint() = default;
  explicit constexpr TimePoint(std::int64_t initialValue) : milliseconds(initialValue) {}
  auto operator<=>(const TimePoint&) const = default;
  bool operator==(const TimePoint&) const = default;
  TimePoint operator+(Duration span) const { return TimePoint{milliseconds + span.milliseconds}; }
  TimePoint operator-(Duration span) const { return TimePoint{milliseconds - span.milliseconds}; }
  Duration operator-(TimePoint other) const { return Duration{milliseconds - other.milliseconds}; }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& milliseconds;
  }
};
using MonotonicTime = TimePoint<struct MonotonicClock>;  // the monotonic clock of one process
// the calendar clock of one machine, never trusted alone
using WallTime = TimePoint<struct WallClock>;
using ClusterTime =
    TimePoint<struct ClusterClock>;  // the clock agreed by the controllers, docs/design.md 3.6

// Errors of the core layer. Outer layers convert their own errors to these. docs/design.md 2.3.
struct ErrorDetail {
  std::string path;
  std::string text;
};
struct CoreError {
  enum class Kind { invalid, conflict, overloaded, notFound, outcomeUnknown, gone };
  Kind kind = Kind::invalid;
  std::vector<ErrorDetail> details;
  static CoreError at(Kind kind, std::string path, std::string text) {
    return CoreError{kind, {ErrorDetail{std::move(path), std::move(text)}}};
  }
  std::string text() const {
    std::string all;
    for (const auto& detail : details) {
      if (!all.empty())
        all += "; ";
      all += detail.path.empty() ? detail.text : detail.path + ": " + detail.text;
    }
    return all;
  }
};
template <class Value, class Error = CoreError>
using Result = outcome::unchecked<Value, Error>;

// Serializes a value to bytes. The format version is checked once per file and once per frame, not
// in each record. docs/design.md 9.3.
template <class Value>
std::string pack(const Value& value) {
  OutputArchive archive;
  archive << value;
  return std::move(archive.bytes);
}

// Deserializes bytes whose checksum has already been verified. Malformed bytes give an error
// instead of an exception.
template <class Value>
Result<Value> unpack(std::string_view bytes) {
  try {
    InputArchive archive(bytes);
    Value value;
    archive >> value;
    return value;
  } catch (const std::exception& error) {
    return CoreError::at(CoreError::Kind::invalid, "",
                         std::string("unreadable record: ") + error.what());
  }
}

// Reports whether a JSON text is nested deeper than `maxDepth`. The JSON parser is recursive, so
// such texts are rejected before parsing.
inline bool isNestedTooDeeply(std::string_view text, int maxDepth = 32) {
  int depth = 0;
  bool inString = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (inString) {
      if (character == '\\')
        ++index;
      else if (character == '"')
        inString = false;
    } else if (character == '"')
      inString = true;
    else if (character == '[' || character == '{') {
      if (++depth > maxDepth)
        return true;
    } else if (character == ']' || character == '}')
      --depth;
  }
  return false;
}

// The splitmix64 generator: for a given seed its numbers are the same on every machine.
struct Random {
  std::uint64_t state;
  explicit Random(std::uint64_t seed) : state(seed) {}
  std::uint64_t next() {
    std::uint64_t mixed = (state += 0x9e3779b97f4a7c15ull);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ull;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebull;
    return mixed ^ (mixed >> 31);
  }
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return low + std::int64_t(next() % std::uint64_t(high - low + 1));
  }
  bool chance(double probability) {
    return double(next() >> 11) / 9007199254740992.0 < probability;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_BASE_TYPES_HPP
