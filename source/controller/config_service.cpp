// Operators' configurations: accepted, rejected, or acknowledged again.
// docs/design.md 6.1.
#include "controller/config_service.hpp"

namespace aniseline {

namespace {

ApiResponse acceptedResponse(ConfigVersion version) {
  return ApiResponse::of(200, {{"version", json(version.value)}});
}

// An order that was accepted is acknowledged again, whatever came after it: its
// response may have been lost.
std::optional<ApiResponse> responseToKnownOrder(const ConfigUpdate& order,
                                                const ConfigHistory& history) {
  const auto before = history.find(order);
  switch (before.outcome) {
    case ConfigHistory::Outcome::applied:
      return acceptedResponse(before.version);
    case ConfigHistory::Outcome::tooOld:
      return ApiResponse::outcomeUnknown(
          "this order is older than those that are kept: whether it was taken is "
          "not known any "
          "more");
    case ConfigHistory::Outcome::notApplied:
      return std::nullopt;
  }
  return std::nullopt;
}

ApiResponse conflictResponse(ConfigVersion current) {
  return ApiResponse::of(409, {{"error", json("conflict")},
                               {"text", json("config " + std::to_string(current.value) +
                                             " is newer than the one this is based on")},
                               {"version", json(current.value)}});
}

ApiResponse versionTooLowResponse(ConfigVersion current) {
  return ApiResponse::fromError(
      CoreError::at(CoreError::Kind::invalid, "/version",
                    "must be above the current one, " + std::to_string(current.value)));
}

}  // namespace

RequestDecision decideConfigOrder(const ApiRequest& request, const ClusterState& state) {
  auto parsed = request.packedConfig.empty() ? ClusterConfig::parse(request.text)
                                             : unpack<ClusterConfig>(request.packedConfig);
  if (!parsed)
    return {ApiResponse::fromError(parsed.error()), std::nullopt};
  const ConfigVersion base = request.baseVersion;
  const ConfigVersion current = state.config().version;
  ConfigCommitted event(std::move(parsed.value()));
  ConfigVersion& version = event.config.version;
  if (auto known = responseToKnownOrder({version, base, event.digest}, state.configHistory()))
    return {std::move(*known), std::nullopt};
  if (base != current)
    return {conflictResponse(current), std::nullopt};
  if (version.value && version <= current)
    return {versionTooLowResponse(current), std::nullopt};
  if (!version.value)
    version = current.next();
  ApiResponse response = acceptedResponse(version);
  return {std::move(response), std::move(event)};
}

}  // namespace aniseline
