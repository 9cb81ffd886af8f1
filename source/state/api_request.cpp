// Routing and parsing of HTTP requests to the public interface.
#include "state/api_request.hpp"
#include "base/json_reader.hpp"

namespace aniseline {

const char* name(RequestKind kind) {
  static constexpr const char* names[] = {
      "submit",  "cancel",      "show-job",     "list-jobs", "apply-config", "show-config",
      "sync",    "leave",       "drain",        "undrain",   "declare-gone", "workers",
      "cluster", "plan",        "counters",     "replace",   "export",       "phase",
      "waiting", "read-config", "patch-config", "tenants"};
  return names[std::size_t(kind)];
}

bool changesConfig(RequestKind kind) {
  return kind == RequestKind::applyConfig || kind == RequestKind::patchConfig;
}

std::size_t payloadBytes(const ApiRequest& request) {
  std::size_t bytes = request.text.size() + request.packedConfig.size() + request.path.size() +
                      request.job.payload.size();
  for (const auto& step : request.job.steps) {
    for (const auto& task : step.tasks)
      bytes += sizeof task + task.payload.size();
  }
  return bytes;
}

namespace {

constexpr std::uint64_t maxListLimit = 1000;
constexpr std::int64_t defaultDrainTimeout = 30'000;  // milliseconds
constexpr std::int64_t maxDrainTimeout = 86'400'000;  // milliseconds: a day

/// The parsed target of a request line, such as /v1/jobs/ID/phase?limit=10.
struct RequestTarget {
  std::string path;
  std::vector<std::string> segments;  // segments of the path, without empty ones
  std::map<std::string, std::string> query;

  explicit RequestTarget(const std::string& target) : path(target.substr(0, target.find('?'))) {
    std::istringstream pathStream(path);
    for (std::string segment; std::getline(pathStream, segment, '/');) {
      if (!segment.empty())
        segments.push_back(segment);
    }
    if (path.size() == target.size())
      return;
    std::istringstream queryStream(target.substr(path.size() + 1));
    for (std::string pair; std::getline(queryStream, pair, '&');) {
      const auto separator = pair.find('=');
      query[pair.substr(0, separator)] =
          separator == std::string::npos ? "" : pair.substr(separator + 1);
    }
  }
  std::string segment(std::size_t index) const {
    return index < segments.size() ? segments[index] : "";
  }
};

struct Route {
  RequestKind kind;
  bool hasBody = false;
};

// Routes keyed by method, resource, "/*" in place of an id, and action. docs/api.md.
const std::map<std::string, Route>& routes() {
  static const std::map<std::string, Route> all = {
      {"POST jobs", {RequestKind::submitJob, true}},
      {"DELETE jobs/*", {RequestKind::cancelJob}},
      {"GET jobs/*", {RequestKind::showJob}},
      {"GET jobs", {RequestKind::listJobs}},
      {"PUT config", {RequestKind::applyConfig, true}},
      {"PATCH config", {RequestKind::patchConfig, true}},
      {"GET config", {RequestKind::showConfig}},
      {"POST workers/*/sync", {RequestKind::syncWorker, true}},
      {"POST workers/*/leave", {RequestKind::workerShutdown}},
      {"POST workers/*/drain", {RequestKind::drainWorker}},
      {"POST workers/*/undrain", {RequestKind::undrainWorker}},
      {"POST workers/*/gone", {RequestKind::removeWorker}},
      {"GET workers", {RequestKind::listWorkers}},
      {"GET tenants", {RequestKind::listTenants}},
      {"GET cluster", {RequestKind::showCluster}},
      {"GET plan", {RequestKind::showPlan}},
      {"GET counters", {RequestKind::showCounters}},
      {"POST controllers/*/replace", {RequestKind::replaceController}},
      {"GET state", {RequestKind::exportState}},
      {"GET jobs/*/phase", {RequestKind::showPhase}},
  };
  return all;
}

const Route* findRoute(const std::string& method, const RequestTarget& target) {
  constexpr std::size_t maxSegments = 4;  // version, resource, id, action
  if (target.segments.size() > maxSegments)
    return nullptr;
  const bool isVersion1 = target.segments.size() > 1 && target.segments[0] == "v1";
  std::string pattern = method + " " + (isVersion1 ? target.segments[1] : "");
  if (!target.segment(2).empty())
    pattern += "/*";
  if (!target.segment(3).empty())
    pattern += "/" + target.segment(3);
  auto found = routes().find(pattern);
  return found == routes().end() ? nullptr : &found->second;
}

void readQuery(std::map<std::string, std::string> query, ApiRequest& request) {
  if (query.count("state"))
    request.text = query["state"];
  if (query.count("limit"))
    request.limit =
        std::min<std::uint64_t>(maxListLimit, std::strtoull(query["limit"].c_str(), nullptr, 10));
  request.drainTimeout = Duration{defaultDrainTimeout};
  if (query.count("within_ms"))
    request.drainTimeout = Duration{std::clamp<std::int64_t>(
        std::strtoll(query["within_ms"].c_str(), nullptr, 10), 0, maxDrainTimeout)};
}

// Reads a configuration update. `textField` is the field of the body that contains the
// configuration or the patch.
void readConfigUpdate(const picojson::value& root, const char* textField, ApiRequest& request,
                      std::vector<ErrorDetail>& errors) {
  using Presence = JsonObjectReader::Presence;
  JsonObjectReader fields(root, "", errors);
  request.baseVersion = ConfigVersion{fields.unsignedInteger("based_on", Presence::required)};
  if (const auto* text = fields.find(textField, Presence::required))
    request.text = text->serialize();
}

void readBody(const picojson::value& root, ApiRequest& request, std::vector<ErrorDetail>& errors) {
  if (request.kind == RequestKind::submitJob)
    request.job = parseJobSubmission(root, errors);
  if (request.kind == RequestKind::syncWorker)
    request.report = parseSyncReport(root, request.targetId, errors);
  if (request.kind == RequestKind::applyConfig)
    readConfigUpdate(root, "config", request, errors);
  if (request.kind == RequestKind::patchConfig)
    readConfigUpdate(root, "patch", request, errors);
}

}  // namespace

Result<ApiRequest> ApiRequest::parse(const std::string& method, const std::string& target,
                                     const std::string& body) {
  const RequestTarget parsedTarget(target);
  const Route* route = findRoute(method, parsedTarget);
  if (!route)
    return CoreError::at(CoreError::Kind::notFound, "",
                         "there is no " + method + " " + parsedTarget.path);
  ApiRequest request;
  request.kind = route->kind;
  request.targetId = parsedTarget.segment(2);
  readQuery(parsedTarget.query, request);
  if (!route->hasBody)
    return request;
  if (isNestedTooDeeply(body))
    return CoreError::at(CoreError::Kind::invalid, "", "the body is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, body, true);
  if (!parseError.empty())
    return CoreError::at(CoreError::Kind::invalid, "", "the body is not JSON: " + parseError);
  std::vector<ErrorDetail> errors;
  readBody(root, request, errors);
  if (!errors.empty())
    return CoreError{CoreError::Kind::invalid, std::move(errors)};
  return request;
}

}  // namespace aniseline
