#include "checker/config_orders.hpp"

namespace aniseline {

namespace {
std::string identityOf(const HistoryEvent& event) {
  return "the config " + event.digest + " on " + std::to_string(event.base);
}
}  // namespace

std::optional<std::string> ConfigOrderChecker::see(const HistoryEvent& event) {
  if (event.digest.empty())
    return withoutIdentity(event);
  const std::string identity = identityOf(event);
  auto [place, isNew] = orders.try_emplace(identity);
  if (isNew)
    place->second.newestAtFirst = newest;
  switch (event.kind) {
    case HistoryEvent::Kind::configAcknowledged:
      return acknowledged(event, place->second);
    case HistoryEvent::Kind::configRefused:
      return refused(event, place->second);
    default:
      return std::nullopt;
  }
}

std::optional<std::string> ConfigOrderChecker::withoutIdentity(const HistoryEvent& event) {
  if (event.kind != HistoryEvent::Kind::configAcknowledged)
    return std::nullopt;
  const std::uint64_t before = std::exchange(newest, std::max(newest, event.version));
  if (event.version > before)
    return std::nullopt;
  return "config " + std::to_string(event.version) + " was acknowledged after " +
         std::to_string(before);
}

std::optional<std::string> ConfigOrderChecker::acknowledged(const HistoryEvent& event,
                                                            Order& order) {
  const std::string identity = identityOf(event);
  const std::string version = std::to_string(event.version);
  newest = std::max(newest, event.version);
  if (order.refused)
    return identity + " was acknowledged after it was refused";
  if (order.version && order.version != event.version)
    return identity + " was acknowledged as " + std::to_string(order.version) + " and as " +
           version;
  order.version = event.version;
  const auto ofVersion = orderOfVersion.try_emplace(event.version, identity).first;
  if (ofVersion->second != identity)
    return ofVersion->second + " and " + identity + " were both acknowledged as " + version;
  const auto ofBase = orderOfBase.try_emplace(event.base, identity).first;
  if (ofBase->second != identity)
    return ofBase->second + " and " + identity + " were both acknowledged";
  if (event.version <= order.newestAtFirst)
    return identity + " was acknowledged as " + version + " though it was first sent after " +
           std::to_string(order.newestAtFirst) + " was acknowledged";
  return std::nullopt;
}

std::optional<std::string> ConfigOrderChecker::refused(const HistoryEvent& event, Order& order) {
  order.refused = true;
  if (order.version)
    return identityOf(event) + " was refused after it was acknowledged as " +
           std::to_string(order.version);
  return std::nullopt;
}

}  // namespace aniseline
