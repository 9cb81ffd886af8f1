// Operators' configurations: taken, refused, or acknowledged again. docs/design.md 6.1.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::handleConfig(PendingRequest& record) {
  auto parsed = record.request.parsedConfig.empty()
                    ? ClusterConfig::parse(record.request.text)
                    : unpack<ClusterConfig>(record.request.parsedConfig);
  if (!parsed)
    return decide(record, ApiResponse::from(parsed.error()), false);
  const ConfigVersion current = speculative().config.version;
  ClusterConfig config = std::move(parsed.value());
  auto taken = [](ConfigVersion version) {
    return ApiResponse::of(200, {{"version", json(version.value)}});
  };
  if ((record.request.baseVersion.next() == current || config.version == current) &&
      current.value && config.text == speculative().config.text)
    return decide(record, taken(current), false);
  if (record.request.baseVersion != current) {
    ApiResponse answer =
        ApiResponse::of(409, {{"error", json("conflict")},
                              {"text", json("config " + std::to_string(current.value) +
                                            " is newer than the one this is based on")},
                              {"version", json(current.value)}});
    return decide(record, answer, false);
  }
  if (config.version.value && config.version <= current)
    return decide(record,
                  ApiResponse::from(CoreError::at(
                      CoreError::Kind::invalid, "/version",
                      "must be above the current one, " + std::to_string(current.value))),
                  false);
  if (!config.version.value)
    config.version = current.next();
  append(ConfigCommitted{config});
  decide(record, taken(config.version), true);
  emitLogEvent("config taken", {{"version", json(config.version.value)}});
}

}  // namespace aniseline
