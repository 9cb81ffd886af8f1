// Identifies each order by its digest and the version it is based on.
#include "checker/config_order_checker.hpp"

namespace aniseline {

namespace {
std::string identityOf(const HistoryEvent& event) {
  return "the config " + event.digest + " on " + std::to_string(event.baseVersion);
}
}  // namespace

std::optional<std::string> ConfigOrderChecker::observe(const HistoryEvent& event) {
  if (event.digest.empty())
    return observeUnidentified(event);
  const std::string identity = identityOf(event);
  auto [found, isNew] = orders.try_emplace(identity);
  if (isNew)
    found->second.newestWhenFirstSent = newestVersion;
  switch (event.kind) {
    case HistoryEvent::Kind::configAcknowledged:
      return onAcknowledged(event, found->second);
    case HistoryEvent::Kind::configRejected:
      return onRejected(event, found->second);
    default:
      return std::nullopt;
  }
}

std::optional<std::string> ConfigOrderChecker::observeUnidentified(const HistoryEvent& event) {
  if (event.kind != HistoryEvent::Kind::configAcknowledged)
    return std::nullopt;
  const std::uint64_t before = std::exchange(newestVersion, std::max(newestVersion, event.version));
  if (event.version > before)
    return std::nullopt;
  return "config " + std::to_string(event.version) + " was acknowledged after " +
         std::to_string(before);
}

std::optional<std::string> ConfigOrderChecker::onAcknowledged(const HistoryEvent& event,
                                                              Order& order) {
  const std::string identity = identityOf(event);
  const std::string version = std::to_string(event.version);
  newestVersion = std::max(newestVersion, event.version);
  if (order.rejected)
    return identity + " was acknowledged after it was rejected";
  if (order.version && order.version != event.version)
    return identity + " was acknowledged as " + std::to_string(order.version) + " and as " +
           version;
  order.version = event.version;
  const auto versionOwner = orderByVersion.try_emplace(event.version, identity).first;
  if (versionOwner->second != identity)
    return versionOwner->second + " and " + identity + " were both acknowledged as " + version;
  const auto baseOwner = orderByBase.try_emplace(event.baseVersion, identity).first;
  if (baseOwner->second != identity)
    return baseOwner->second + " and " + identity + " were both acknowledged";
  if (event.version <= order.newestWhenFirstSent)
    return identity + " was acknowledged as " + version + " although it was first sent after " +
           std::to_string(order.newestWhenFirstSent) + " was acknowledged";
  return std::nullopt;
}

std::optional<std::string> ConfigOrderChecker::onRejected(const HistoryEvent& event, Order& order) {
  order.rejected = true;
  if (order.version)
    return identityOf(event) + " was rejected after it was acknowledged as " +
           std::to_string(order.version);
  return std::nullopt;
}

}  // namespace aniseline
