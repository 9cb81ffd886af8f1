// Requests of clients, workers and operators as typed messages, and their parsing from HTTP and
// JSON. Gateways and agents create them and the leader answers them (api_response.hpp).
// docs/api.md, docs/design.md 8.
#ifndef ANISELINE_STATE_API_REQUEST_HPP
#define ANISELINE_STATE_API_REQUEST_HPP
#include "base/json.hpp"
#include "state/api_response.hpp"
#include "state/leader_route.hpp"
#include "state/request_json.hpp"
#include "state/sync_response.hpp"

namespace aniseline {

enum class RequestKind : std::uint8_t {
  submitJob,
  cancelJob,
  showJob,
  listJobs,
  applyConfig,
  showConfig,
  syncWorker,
  workerShutdown,  // sent by the worker itself
  drainWorker,     // sent by an operator
  undrainWorker,
  removeWorker,
  listWorkers,
  showCluster,
  showPlan,
  showCounters,
  replaceController,
  exportState,
  showPhase,
  countPendingJobs,
  readConfig,
  patchConfig,
  listTenants
};
const char* name(RequestKind kind);
/// Reports whether the request changes the configuration.
bool changesConfig(RequestKind kind);

struct ApiRequest {
  RequestKind kind = RequestKind::showCounters;
  std::string targetId;  // id of the job, worker or controller that the request is about
  std::string text;      // text of a configuration or patch, or the queue or state to list
  ConfigVersion baseVersion;
  std::uint64_t limit = 100;  // maximum number of list entries
  Duration drainTimeout{0};
  JobSubmission job;
  SyncReport report;
  // Host and path of a request that came through an ingress route; the current configuration maps
  // them to a queue. docs/design.md 6.6.
  std::string host;
  std::string path;
  std::string packedConfig;      // a packed ClusterConfig, used instead of `text`
  ApiKeyDigest apiKey;           // API key of the client
  Duration clientTimeout{2500};  // how long the client waits; not forwarded
  // The cluster that the request is meant for, as far as the sender knows it.
  ClusterId cluster{};
  bool viaIngress() const { return !path.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& targetId& text& baseVersion& limit& drainTimeout& host& path& packedConfig&
        apiKey;
    // The fields below are sent only with the kinds of request that use them.
    if (kind == RequestKind::submitJob)
      archive& job;
    if (kind == RequestKind::syncWorker)
      archive& report;
    serializeTrailingSection(archive, cluster);
  }
  /// Parses a request of the public interface. The error lists all errors with their paths.
  static Result<ApiRequest> parse(const std::string& method, const std::string& target,
                                  const std::string& body);
};

/// Returns the approximate size of a request in bytes: its texts and payloads, which dominate it.
std::size_t payloadBytes(const ApiRequest& request);

}  // namespace aniseline

#endif  // ANISELINE_STATE_API_REQUEST_HPP
