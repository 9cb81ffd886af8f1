// What callers, workers and operators request, as typed messages; and their
// reading from HTTP and JSON. Gateways and agents make them, the leader answers
// them (api_response.hpp). docs/api.md, docs/design.md 8.
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
  workerShutdown,  // by the worker itself
  drainWorker,     // by an operator
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
/// Whether it is an operator's order about the configuration.
bool changesConfig(RequestKind kind);

struct ApiRequest {
  RequestKind kind = RequestKind::showCounters;
  std::string targetId;  // of the job, worker or controller that the request is about
  std::string text;      // of a configuration or a patch of it, or the queue or state to list
  ConfigVersion baseVersion;
  std::uint64_t limit = 100;  // entries of a list
  Duration drainTimeout{0};
  JobSubmission job;
  SyncReport report;
  // Of a request that came through an ingress route; the configuration in force
  // maps them to a queue. docs/design.md 6.6.
  std::string host;
  std::string path;
  std::string packedConfig;      // a packed ClusterConfig, in place of a text
  ApiKeyDigest apiKey;           // of the client
  Duration clientTimeout{2500};  // how long the client waits; not forwarded
  bool viaIngress() const { return !path.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& targetId& text& baseVersion& limit& drainTimeout& host& path& packedConfig&
        apiKey;
    // What only some kinds carry is not sent with the others.
    if (kind == RequestKind::submitJob)
      archive& job;
    if (kind == RequestKind::syncWorker)
      archive& report;
  }
  /// Reads a request of the public interface. The error names every fault in
  /// it.
  static Result<ApiRequest> parse(const std::string& method, const std::string& target,
                                  const std::string& body);
};

/// The size of a request's texts and payloads in bytes; beside these it is
/// small.
std::size_t payloadBytes(const ApiRequest& request);

}  // namespace aniseline

#endif  // ANISELINE_STATE_API_REQUEST_HPP
