// Version checks, parsing and acceptance of configuration updates. docs/design.md 6.1.
#include "controller/config_service.hpp"
#include "state/config_patch.hpp"

namespace aniseline {

namespace {

ApiResponse acceptedResponse(ConfigVersion version) {
  return ApiResponse::of(200, {{"version", json(version.value)}});
}

// An update that was accepted is acknowledged again, even after later updates, because the first
// response may have been lost.
std::optional<ApiResponse> responseToKnownUpdate(const ConfigUpdate& update,
                                                 const ConfigHistory& history) {
  const auto previous = history.find(update);
  switch (previous.outcome) {
    case ConfigHistory::Outcome::applied:
      return acceptedResponse(previous.version);
    case ConfigHistory::Outcome::tooOld:
      return ApiResponse::outcomeUnknown(
          "this update is older than the stored history of updates; whether it was applied is no "
          "longer known");
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
                    "must be greater than the current version, " + std::to_string(current.value)));
}

// Returns the response to an update that must not be logged: it has been applied before, or its
// versions do not allow it.
std::optional<ApiResponse> responseWithoutChange(const ConfigUpdate& update,
                                                 const ClusterState& state) {
  const ConfigVersion current = state.config().version;
  if (auto known = responseToKnownUpdate(update, state.configHistory()))
    return known;
  if (update.baseVersion != current)
    return conflictResponse(current);
  if (update.version.value && update.version <= current)
    return versionTooLowResponse(current);
  return std::nullopt;
}

RequestDecision accept(ConfigCommitted event, ConfigVersion current) {
  ConfigVersion& version = event.config.version;
  if (!version.value)
    version = current.next();
  ApiResponse response = acceptedResponse(version);
  return {std::move(response), std::move(event)};
}

RequestDecision reject(const CoreError& error) {
  return {ApiResponse::fromError(error), std::nullopt};
}

}  // namespace

RequestDecision decideConfigUpdate(const ApiRequest& request, const ClusterState& state) {
  auto parsed = request.packedConfig.empty() ? ClusterConfig::parse(request.text)
                                             : unpack<ClusterConfig>(request.packedConfig);
  if (!parsed)
    return reject(parsed.error());
  ConfigCommitted event(std::move(parsed.value()));
  const ConfigUpdate update{event.config.version, request.baseVersion, event.digest};
  if (auto answer = responseWithoutChange(update, state))
    return {std::move(*answer), std::nullopt};
  return accept(std::move(event), state.config().version);
}

// The patch is applied to the configuration at the end of the leader's log. The resulting event is
// appended at that same position, so no other update can come in between.
RequestDecision decideConfigPatch(const ApiRequest& request, const ClusterState& state,
                                  const ConfigParser& parse) {
  const auto patch = ConfigPatch::parse(request.text);
  if (!patch)
    return reject(patch.error());
  const TextDigest digest = ConfigPatch::digestOf(request.text);
  const ConfigUpdate update{patch.value().version(), request.baseVersion, digest};
  if (auto answer = responseWithoutChange(update, state))
    return {std::move(*answer), std::nullopt};
  const auto patchedText = patch.value().applyTo(state.config().text);
  if (!patchedText)
    return reject(patchedText.error());
  auto config = parse(patchedText.value());
  if (!config)
    return reject(config.error());
  ConfigCommitted event(std::move(config.value()));
  event.digest = digest;
  return accept(std::move(event), state.config().version);
}

}  // namespace aniseline
