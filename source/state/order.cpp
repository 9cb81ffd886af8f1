// Names of order kinds on the wire.
#include "state/order.hpp"
#include "base/enum_names.hpp"

namespace aniseline {

namespace {
constexpr const char* orderKindNames[] = {"start", "stage", "go", "hold", "resume", "stop"};
}  // namespace

const char* name(OrderKind kind) {
  return orderKindNames[std::size_t(kind)];
}

std::optional<OrderKind> parseOrderKind(const std::string& text) {
  return enumFromName<OrderKind>(orderKindNames, text);
}

}  // namespace aniseline
