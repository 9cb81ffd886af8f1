// What callers, workers and operators ask, typed, and what they are told. docs/api.md,
// docs/design.md 8.
#ifndef ANISELINE_STATE_API_REQUEST_HPP
#define ANISELINE_STATE_API_REQUEST_HPP
#include "state/worker.hpp"

namespace aniseline {

enum class RequestKind : std::uint8_t {
  submitJob,
  cancelJob,
  showJob,
  listJobs,
  applyConfig,
  showConfig,
  syncWorker,
  workerShutdown,
  drainWorker,
  undrainWorker,
  removeWorker,
  listWorkers,
  showCluster,
  showPlan,
  showCounters,
  replaceController,
  exportState,
  showPhase,
  countOpenJobs,
  readConfig
};
const char* name(RequestKind kind);

struct ApiRequest {
  RequestKind kind = RequestKind::showCounters;
  std::string targetId;  // the job, worker or controller named in the target
  std::string text;      // a config's text, a queue or state to list
  ConfigVersion baseVersion;
  std::uint64_t limit = 100;
  Duration drainTimeout{0};
  JobSubmission job;
  SyncReport report;
  std::string host, path;  // of one that came by an entrance; the config in force says which queue
                           // that is. docs/design.md 6.6
  std::string packedConfig;  // a packed ClusterConfig that an adapter has read, in place of a text
  Duration clientTimeout{2500};  // how long whoever asks will wait; not sent on
  bool viaIngress() const { return !path.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& targetId& text& baseVersion& limit& drainTimeout& host& path& packedConfig;
    // What only some requests carry is not sent with the others.
    if (kind == RequestKind::submitJob)
      archive& job;
    if (kind == RequestKind::syncWorker)
      archive& report;
  }
  // Turns a request of the outer interface into a typed request, or names every fault in it.
  static Result<ApiRequest> parse(const std::string& method, const std::string& target,
                                  const std::string& body);
};

struct ApiResponse {
  int status = 200;
  std::string body;
  Duration retryAfter{0};
  std::string errorKind;  // of an error, as in the body
  std::string phase;      // a job's phase, for who wants no more
  std::uint64_t openJobCount = 0;
  bool notLeader = false;  // nothing was done; ask the leader named here
  Address leader;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& status& body& retryAfter& errorKind& phase& openJobCount& notLeader& leader;
  }
  static ApiResponse of(int status, const picojson::object& body);
  static ApiResponse error(int status, const std::string& kind, const std::string& text,
                           Duration retryAfter = Duration{0});
  static ApiResponse fromError(const CoreError& error);
  static ApiResponse outcomeUnknown(const std::string& text);
  static ApiResponse notApplied(const std::string& text);  // surely nothing was done: ask again
};

// A gateway as others reach it.
struct GatewayEndpoint {
  Address address;
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& address& zone;
  }
};
// Addresses as a process of a zone had best try them: its own zone's first, each asker beginning
// elsewhere.
std::vector<Address> orderedByZonePreference(const std::vector<GatewayEndpoint>& contacts,
                                             const ZoneName& zone, std::uint64_t spread);

// What gateways hold of the cluster: the way to the leader. docs/design.md 9.2.
struct LeaderRoute {
  Term term;
  Address leader;
  std::vector<Address> controllers;
  std::vector<GatewayEndpoint> gateways;  // for workers and callers
  ConfigVersion config;
  std::vector<QueueName>
      priorityQueues;  // queues whose submissions are let in last to be turned away
  // Takes what another process tells, unless it is older; a config's version never slips back.
  // docs/design.md 6.5.
  bool mergeNewer(LeaderRoute told) {
    if (told.term < term)
      return false;
    told.config = std::max(told.config, config);
    if (told.leader.value.empty() && told.term == term)
      told.leader = leader;
    *this = std::move(told);
    return true;
  }
  // Of the room for requests a fifth is kept for urgent submissions and for all that is no
  // submission. docs/design.md 10.
  bool admits(const ApiRequest& request, std::size_t underWay, std::size_t most) const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& leader& controllers& gateways& config& priorityQueues;
  }
};

// What a request holds of memory, in texts and payloads; beside these it is small.
std::size_t payloadBytes(const ApiRequest& request);

bool admitsRequest(RequestKind kind, bool plain, std::size_t underWay, std::size_t most);

// JSON of a worker's sync, both ways.
std::string renderSyncReport(const SyncReport& report);
std::string renderJobSubmission(const JobSubmission& job);
struct SyncResponse {
  Term term;
  std::vector<Order> orders;
  std::vector<AttemptNumber> confirmedAttempts;
  Duration lease{3000};
  std::vector<Address> gateways;
  std::uint32_t finalResultCount =
      0;                    // so many of the report's named endings, from the first on, are final
  OrderNumber ordersAfter;  // of an agent's: the orders are all that are open past this one;
                            // earlier ones were in another answer
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& orders& confirmedAttempts& lease& finalResultCount& ordersAfter;
  }
  picojson::object render() const;
  static Result<SyncResponse> parse(const std::string& body);
};

inline picojson::value json(const std::string& text) {
  return picojson::value(text);
}
inline picojson::value json(const char* text) {
  return picojson::value(std::string(text));
}
inline picojson::value json(bool flag) {
  return picojson::value(flag);
}
template <class Number>
requires(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>) picojson::value
    json(Number number) {
  return picojson::value(double(number));
}
inline picojson::value json(picojson::object object) {
  return picojson::value(std::move(object));
}
inline picojson::value json(picojson::array array) {
  return picojson::value(std::move(array));
}

}  // namespace aniseline

#endif  // ANISELINE_STATE_API_REQUEST_HPP
