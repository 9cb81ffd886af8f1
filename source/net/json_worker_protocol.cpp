// Implements the messages of the JSON worker protocol, grouped into calls, replies and notices.
#include "net/json_worker_protocol.hpp"
#include "net/http_status.hpp"
#include "net/json_field_reader.hpp"

namespace aniseline {

namespace {

using CallKind = WorkerCall::Kind;
using ReplyStatus = WorkerReply::Status;
using Presence = JsonFieldReader::Presence;

constexpr std::pair<CallKind, const char*> callTargets[] = {{CallKind::start, "/v1/run/start"},
                                                            {CallKind::stop, "/v1/run/stop"},
                                                            {CallKind::poll, "/v1/run/look"}};
// The reasons for which a worker rejects a call, as sent in the field `reason` with status 409.
constexpr std::pair<ReplyStatus, const char*> rejectionReasons[] = {
    {ReplyStatus::fenced, "fence"},
    {ReplyStatus::staleRun, "old"},
    {ReplyStatus::deadlineExceeded, "late"},
    {ReplyStatus::insufficientCapacity, "room"}};
constexpr const char* registrationTarget = "/v1/account";
constexpr const char* shutdownTarget = "/v1/leave";
// The longest time that a worker keeps a poll open, even if the call asks for more.
constexpr std::int64_t maxLongPollMilliseconds = 10'000;

std::optional<picojson::value> parseObject(const std::string& body) {
  picojson::value root;
  if (!parseJson(root, body).empty() || !root.is<picojson::object>())
    return std::nullopt;
  return root;
}
CoreError invalid(const std::string& path, const std::string& text) {
  return CoreError::at(CoreError::Kind::invalid, path, text);
}

// --- the identity of a run ---

picojson::object encodeRunId(const TaskRunId& runId) {
  return {{"job", json(runId.job.value)},
          {"occurrence", json(runId.occurrence)},
          {"step", json(runId.stepIndex)},
          {"within", json(runId.indexInStep)},
          {"run", json(runId.runNumber)}};
}
TaskRunId decodeRunId(JsonFieldReader& reader) {
  TaskRunId runId;
  runId.job = JobId{reader.text("job", Presence::required)};
  runId.occurrence = reader.unsignedInteger32("occurrence");
  runId.stepIndex = reader.unsignedInteger32("step", Presence::required);
  runId.indexInStep = reader.unsignedInteger32("within", Presence::required);
  runId.runNumber = reader.unsignedInteger32("run", Presence::required);
  return runId;
}

// --- calls ---

void encodeStart(const WorkerCall& call, picojson::object& body) {
  const Order& order = call.order;
  body["attempt"] = json(std::to_string(order.attempt.value));
  body["job"] = json(order.job.value);  // for an occurrence of a timetable, the occurrence's own id
  body["task"] = json(order.taskIndex);
  body["cores"] = json(order.cores / 1000.0);
  body["memory_mb"] = json(order.memory);
  body["runtime_ms"] = json(order.runtime.milliseconds);
  body["quantum_ms"] = json(order.quantum.milliseconds);
  body["payload"] = json(call.payload);
  if (!call.checkpoint.empty())
    body["saved"] = json(call.checkpoint);
}
Order decodeStart(JsonFieldReader& reader, const TaskRunId& runId) {
  Order order;
  order.kind = OrderKind::start;
  order.attempt = AttemptNumber{reader.decimalText("attempt", Presence::required)};
  order.job = JobId{reader.text("job", Presence::required)};
  order.taskIndex = reader.unsignedInteger32("task", Presence::required);
  order.cores = reader.thousandths("cores");
  order.memory = reader.unsignedInteger("memory_mb", Presence::required);
  order.runtime = Duration{std::int64_t(reader.unsignedInteger("runtime_ms", Presence::required))};
  order.quantum = Duration{std::int64_t(reader.unsignedInteger("quantum_ms"))};
  order.payload = reader.text("payload");
  order.checkpoint = reader.text("saved");
  order.stepIndex = runId.stepIndex;
  order.indexInStep = runId.indexInStep;
  order.runNumber = runId.runNumber;
  return order;
}

HttpRequest encodeCall(const WorkerCall& call) {
  picojson::object body{{"life", json(call.workerInstance.value)},
                        {"fence", json(std::to_string(call.fencingTerm.value))}};
  if (call.kind != CallKind::poll)
    body["name"] = json(encodeRunId(call.runId));
  if (call.kind != CallKind::stop && call.leaseDeadline)
    body["deadline_ms"] = json(call.leaseDeadline->milliseconds);
  if (call.kind == CallKind::start)
    encodeStart(call, body);
  if (call.kind == CallKind::poll) {
    body["last_seen"] = json(call.confirmedUpTo);
    body["wait_ms"] = json(call.longPollTimeout.milliseconds);
  }
  for (const auto& [kind, target] : callTargets) {
    if (kind == call.kind)
      return {"POST", target, json(body).serialize()};
  }
  return {};
}

// --- replies ---

// Passes each row of a list to `decodeRow`, which reports whether the row is valid. Returns false
// if there is no such list or a row is invalid.
template <class DecodeRow>
bool decodeRows(const picojson::value& root, const char* field, DecodeRow&& decodeRow) {
  const auto& list = root.get(field);
  if (!list.is<picojson::array>())
    return false;
  bool valid = true;
  for (const auto& row : list.get<picojson::array>()) {
    JsonFieldReader reader(row);
    const auto name = reader.find("name");
    JsonFieldReader nameReader(name);
    const TaskRunId runId = decodeRunId(nameReader);
    valid = !nameReader.error() && decodeRow(reader, runId) && !reader.error() && valid;
  }
  return valid;
}

// Reads the running tasks and the results in the response to a poll. If any part is invalid, the
// whole response counts as missing.
void decodePollAnswer(const picojson::value& root, WorkerReply& reply) {
  const bool runningValid =
      decodeRows(root, "active", [&](JsonFieldReader& reader, const TaskRunId& runId) {
        reply.runningTasks.push_back({runId, reader.text("saved")});
        return true;
      });
  const bool resultsValid =
      decodeRows(root, "ended", [&](JsonFieldReader& reader, const TaskRunId& runId) {
        const auto outcome = parseAttemptOutcome(reader.text("kind", Presence::required));
        if (outcome)
          reply.results.push_back({reader.unsignedInteger("number", Presence::required), runId,
                                   *outcome, reader.text("saved")});
        return outcome.has_value();
      });
  if (!runningValid || !resultsValid)
    reply.status = ReplyStatus::noResponse;
  reply.complete = !root.get("more").evaluate_as_boolean();
}

ReplyStatus rejectionStatus(const std::optional<picojson::value>& root) {
  if (root && root->get("reason").is<std::string>()) {
    for (const auto& [status, reason] : rejectionReasons) {
      if (root->get("reason").get<std::string>() == reason)
        return status;
    }
  }
  return ReplyStatus::insufficientCapacity;
}

ReplyStatus replyStatus(int httpStatus, const std::optional<picojson::value>& root) {
  switch (httpStatus) {
    case http_status::ok:
      return root ? ReplyStatus::ok : ReplyStatus::noResponse;
    case http_status::badRequest:
      return ReplyStatus::invalidRequest;
    case http_status::gone:
      return ReplyStatus::instanceMismatch;
    case http_status::tooManyRequests:
    case http_status::serviceUnavailable:
      return ReplyStatus::unavailable;
    case http_status::conflict:
      return rejectionStatus(root);
    default:
      return ReplyStatus::noResponse;
  }
}

WorkerReply decodeReply(const WorkerCall& call, const Result<HttpResponse, HttpError>& answer) {
  WorkerReply reply;
  if (!answer)
    return reply;
  const auto root = parseObject(answer.value().body);
  if (root && root->get("now_ms").is<double>())
    reply.clockReading =
        WorkerTime{clampToInteger<std::int64_t>(root->get("now_ms").get<double>())};
  reply.status = replyStatus(answer.value().status, root);
  if (reply.status == ReplyStatus::ok && call.kind == CallKind::poll)
    decodePollAnswer(*root, reply);
  return reply;
}

// --- notices ---

Capacity decodeCapacity(JsonFieldReader& reader) {
  Capacity capacity;
  capacity.cores = reader.thousandths("cores");
  capacity.memory = reader.unsignedInteger("memory_mb", Presence::required);
  capacity.accelerators = reader.unsignedInteger32("accelerators");
  capacity.zone = ZoneName{reader.text("zone", Presence::required)};
  capacity.rack = reader.text("rack");
  capacity.pool = reader.text("pool");
  capacity.enforcesCapacity = reader.flag("guards_room");
  // A worker of this protocol ends its runs by itself when their lease expires.
  capacity.honoursLeases = true;
  capacity.killsOnLeaseExpiry = true;
  capacity.supportsSuspend = false;
  if (const auto labels = reader.find("labels"); labels.is<picojson::array>()) {
    for (const auto& label : labels.get<picojson::array>())
      capacity.labels.push_back(label.to_str());
  }
  return capacity;
}

std::optional<WorkerProtocol::Notice> decodeNotice(const HttpRequest& request) {
  const auto root = parseObject(request.body);
  const bool shuttingDown = request.target == shutdownTarget;
  if (request.method != "POST" || !root || (request.target != registrationTarget && !shuttingDown))
    return std::nullopt;
  JsonFieldReader reader(*root);
  WorkerProtocol::Notice notice;
  WorkerRegistration& registration = notice.registration;
  registration.workerInstance = WorkerId{reader.text("life", Presence::required)};
  notice.shuttingDown = shuttingDown;
  if (!shuttingDown) {
    registration.capacity = decodeCapacity(reader);
    registration.draining = reader.flag("leaving");
    registration.drainTimeout = Duration{std::int64_t(reader.unsignedInteger("leave_within_ms"))};
    registration.clockReading =
        WorkerTime{std::int64_t(reader.unsignedInteger("now_ms", Presence::required))};
  }
  return reader.error() ? std::nullopt : std::optional(notice);
}

picojson::object encodePollAnswer(const WorkerReply& reply) {
  picojson::array running;
  for (const auto& task : reply.runningTasks)
    running.push_back(json(picojson::object{{"name", json(encodeRunId(task.runId))},
                                            {"saved", json(task.checkpoint)}}));
  picojson::array results;
  for (const auto& result : reply.results)
    results.push_back(json(picojson::object{{"number", json(result.sequenceNumber)},
                                            {"name", json(encodeRunId(result.runId))},
                                            {"kind", json(name(result.outcome))},
                                            {"saved", json(result.checkpoint)}}));
  return {{"active", json(running)}, {"ended", json(results)}, {"more", json(!reply.complete)}};
}

}  // namespace

WorkerProtocol jsonWorkerProtocol() {
  return {encodeCall, decodeReply, decodeNotice};
}

Result<WorkerCall> decodeWorkerCall(const HttpRequest& request) {
  const auto* found =
      std::find_if(std::begin(callTargets), std::end(callTargets),
                   [&](const auto& known) { return request.target == known.second; });
  if (request.method != "POST" || found == std::end(callTargets))
    return CoreError::at(CoreError::Kind::notFound, "",
                         "there is no " + request.method + " " + request.target);
  const auto root = parseObject(request.body);
  if (!root)
    return invalid("", "the body must be a JSON object");
  WorkerCall call;
  call.kind = found->first;
  JsonFieldReader reader(*root);
  call.workerInstance = WorkerId{reader.text("life", Presence::required)};
  call.fencingTerm = Term{reader.decimalText("fence", Presence::required)};
  if (!reader.find("deadline_ms").is<picojson::null>())
    call.leaseDeadline = WorkerTime{std::int64_t(reader.unsignedInteger("deadline_ms"))};
  if (call.kind == CallKind::poll) {
    call.confirmedUpTo = reader.unsignedInteger("last_seen");
    call.longPollTimeout = Duration{
        std::min(maxLongPollMilliseconds, std::int64_t(reader.unsignedInteger("wait_ms")))};
  } else {
    const auto name = reader.find("name");
    JsonFieldReader nameReader(name);
    call.runId = decodeRunId(nameReader);
    if (nameReader.error())
      return invalid("/name" + nameReader.error()->path, nameReader.error()->text);
  }
  if (call.kind == CallKind::start) {
    call.order = decodeStart(reader, call.runId);
    call.payload = call.order.payload;
    call.checkpoint = call.order.checkpoint;
  }
  if (reader.error())
    return invalid(reader.error()->path, reader.error()->text);
  return call;
}

ApiResponse encodeWorkerReply(const WorkerCall& call, const WorkerReply& reply) {
  picojson::object body;
  if (reply.status == ReplyStatus::ok && call.kind == CallKind::poll)
    body = encodePollAnswer(reply);
  if (reply.clockReading)
    body["now_ms"] = json(reply.clockReading->milliseconds);
  auto reject = [&](int status, const char* error, const std::string& text) {
    body["error"] = json(error);
    body["text"] = json(text);
    return ApiResponse::of(status, body);
  };
  for (const auto& [status, reason] : rejectionReasons) {
    if (reply.status != status)
      continue;
    body["reason"] = json(reason);
    return reject(http_status::conflict, "conflict",
                  std::string("the call was rejected; reason: ") + reason);
  }
  switch (reply.status) {
    case ReplyStatus::ok:
      return ApiResponse::of(http_status::ok, body);
    case ReplyStatus::instanceMismatch:
      return reject(http_status::gone, "gone", "the call is for another instance of the worker");
    case ReplyStatus::invalidRequest:
      return reject(http_status::badRequest, "invalid", "the worker can't carry out this call");
    default:
      return reject(http_status::serviceUnavailable, "not_taken",
                    "the worker can't accept calls at the moment");
  }
}

HttpRequest encodeRegistration(const WorkerRegistration& registration) {
  const Capacity& capacity = registration.capacity;
  const auto& clock = registration.clockReading;
  picojson::object body{{"life", json(registration.workerInstance.value)},
                        {"cores", json(capacity.cores / 1000.0)},
                        {"memory_mb", json(capacity.memory)},
                        {"accelerators", json(capacity.accelerators)},
                        {"zone", json(capacity.zone.value)},
                        {"rack", json(capacity.rack)},
                        {"guards_room", json(capacity.enforcesCapacity)},
                        {"leaving", json(registration.draining)},
                        {"leave_within_ms", json(registration.drainTimeout.milliseconds)},
                        {"now_ms", json(clock ? clock->milliseconds : 0)}};
  if (!capacity.pool.empty())
    body["pool"] = json(capacity.pool);
  picojson::array labels;
  for (const auto& label : capacity.labels)
    labels.push_back(json(label));
  if (!labels.empty())
    body["labels"] = json(labels);
  return {"POST", registrationTarget, json(body).serialize()};
}

HttpRequest encodeShutdownNotice(const WorkerId& instance) {
  return {"POST", shutdownTarget,
          json(picojson::object{{"life", json(instance.value)}}).serialize()};
}

}  // namespace aniseline
