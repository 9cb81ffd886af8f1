// Implements recovery, quarantine and the choice of an identity.
#include "daemons/controller_storage.hpp"
#include "net/log.hpp"
#include <random>

namespace aniseline {

namespace {

RecoveredState stateWithoutDisk() {
  std::random_device device;
  return {ControllerId{"no-disk-" + std::to_string(device())}, {}};
}

DiskResult<RecoveredState> openAndLoad(DataFolder& folder) {
  auto identity = folder.open();
  if (!identity)
    return identity.error();
  auto records = folder.load();
  if (!records)
    return records.error();
  return RecoveredState{std::move(identity.value()), std::move(records.value())};
}

}  // namespace

void logDiskError(std::string_view event, const DiskError& error) {
  const bool corrupt = error.isCorruption();
  log(LogLevel::error, event,
      {{"code", json(corrupt ? "corruption" : "system_error")},
       {"file", json(error.file)},
       {"error", json(error.message())}});
}

std::optional<RecoveredState> ControllerStorage::recover() {
  if (!isPersistent())
    return stateWithoutDisk();
  auto recovered = openAndLoad(folder);
  if (recovered) {
    recoverCluster(recovered.value());
    return std::move(recovered.value());
  }
  logDiskError(log_events::dataFolderOpenFailed, recovered.error());
  if (!recovered.error().isCorruption())
    return std::nullopt;
  auto newState = beginAsNewIdentity();
  if (newState) {
    recoverCluster(*newState);
    log(LogLevel::warning, log_events::newIdentityAfterCorruption,
        {{"identity", json(newState->identity.value)}});
  }
  return newState;
}

// The folder of an older version records no cluster, and its records may name none.
void ControllerStorage::recoverCluster(const RecoveredState& recovered) {
  auto recorded = folder.readCluster();
  if (!recorded)
    logDiskError(log_events::dataFolderOpenFailed, recorded.error());
  else
    knownCluster = recorded.value();
  clusterIsDurable = recorded && !isAbsent(knownCluster);
  for (const auto& record : recovered.records)
    if (isAbsent(knownCluster))
      knownCluster = record.cluster;
  everKnewCluster =
      !recorded || !isAbsent(knownCluster) || !recovered.records.empty() || folder.hasQuarantined();
}

void ControllerStorage::rememberCluster(const ClusterId& cluster) {
  if (isAbsent(cluster) || (cluster == knownCluster && clusterIsDurable))
    return;
  knownCluster = cluster;
  everKnewCluster = true;
  clusterIsDurable = true;
  if (!isPersistent())
    return;
  if (auto written = folder.writeCluster(cluster); !written) {
    logDiskError(log_events::diskWriteFailed, written.error());
    clusterIsDurable = false;
  }
}

std::optional<RecoveredState> ControllerStorage::beginAsNewIdentity() {
  if (auto quarantined = folder.quarantine(); !quarantined) {
    logDiskError(log_events::dataFolderQuarantineFailed, quarantined.error());
    return std::nullopt;
  }
  auto identity = folder.openLocked();
  if (!identity) {
    logDiskError(log_events::dataFolderOpenFailed, identity.error());
    return std::nullopt;
  }
  return RecoveredState{std::move(identity.value()), {}};
}

}  // namespace aniseline
