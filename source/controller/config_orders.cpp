// Operators' configurations: taken, refused, or acknowledged again. docs/design.md 6.1.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::handleConfig(PendingRequest& record) {
  auto parsed = record.request.packedConfig.empty()
                    ? ClusterConfig::parse(record.request.text)
                    : unpack<ClusterConfig>(record.request.packedConfig);
  if (!parsed)
    return respondWhenCommitted(record, ApiResponse::fromError(parsed.error()), false);
  const ConfigVersion base = record.request.baseVersion;
  const ConfigVersion current = speculative().config().version;
  ConfigCommitted event(std::move(parsed.value()));
  ConfigVersion& version = event.config.version;
  auto taken = [](ConfigVersion number) {
    return ApiResponse::of(200, {{"version", json(number.value)}});
  };
  // One that was taken is acknowledged again, whatever came after it: its answer may have been
  // lost.
  const auto before = speculative().configHistory().find({version, base, event.digest});
  if (before.outcome == ConfigHistory::Outcome::applied)
    return respondWhenCommitted(record, taken(before.version), false);
  if (before.outcome == ConfigHistory::Outcome::tooOld)
    return respondWhenCommitted(
        record,
        ApiResponse::outcomeUnknown("this order is older than those that are kept: whether it "
                                    "was taken is not known any more"),
        false);
  if (base != current) {
    const ApiResponse conflict =
        ApiResponse::of(409, {{"error", json("conflict")},
                              {"text", json("config " + std::to_string(current.value) +
                                            " is newer than the one this is based on")},
                              {"version", json(current.value)}});
    return respondWhenCommitted(record, conflict, false);
  }
  if (version.value && version <= current)
    return respondWhenCommitted(
        record,
        ApiResponse::fromError(
            CoreError::at(CoreError::Kind::invalid, "/version",
                          "must be above the current one, " + std::to_string(current.value))),
        false);
  if (!version.value)
    version = current.next();
  const ApiResponse answer = taken(version);
  emitLogEvent("config taken", {{"version", json(version.value)}});
  append(std::move(event));
  respondWhenCommitted(record, answer, true);
}

}  // namespace aniseline
