#include "net/worker_protocol.hpp"
#include "base/json.hpp"
#include <cmath>

namespace aniseline {

namespace {

constexpr std::pair<WorkerCall::Kind, const char*> callTargets[] = {
    {WorkerCall::Kind::start, "/v1/run/start"},
    {WorkerCall::Kind::stop, "/v1/run/stop"},
    {WorkerCall::Kind::poll, "/v1/run/look"}};
constexpr std::pair<WorkerReply::Status, const char*> reasons[] = {
    {WorkerReply::Status::fenced, "fence"},
    {WorkerReply::Status::staleRun, "old"},
    {WorkerReply::Status::deadlineExceeded, "late"},
    {WorkerReply::Status::insufficientCapacity, "room"}};
constexpr const char* accountTarget = "/v1/account";
constexpr const char* leaveTarget = "/v1/leave";

// Reads fields and keeps the first fault; what may be missing reads as 0, false or empty.
struct Reading {
  const picojson::value& object;
  std::optional<ErrorDetail> fault{};
  void miss(const std::string& field, const char* text) {
    if (!fault)
      fault = ErrorDetail{"/" + field, text};
  }
  picojson::value find(const std::string& field) const {
    return object.is<picojson::object>() ? object.get(field) : picojson::value();
  }
  std::string text(const std::string& field, bool needed = false) {
    const auto value = find(field);
    if (value.is<std::string>() && !(needed && value.get<std::string>().empty()))
      return value.get<std::string>();
    if (needed || !value.is<picojson::null>())
      miss(field, "must be a string");
    return "";
  }
  bool flag(const std::string& field) {
    const auto value = find(field);
    if (!value.is<bool>() && !value.is<picojson::null>())
      miss(field, "must be true or false");
    return value.is<bool>() && value.get<bool>();
  }
  std::uint64_t whole(const std::string& field, bool needed = false) {
    const auto value = find(field);
    const double number = value.is<double>() ? value.get<double>() : -1;
    if (number >= 0 && number <= 9007199254740992.0 && number == std::floor(number))
      return std::uint64_t(number);
    if (needed || !value.is<picojson::null>())
      miss(field, "must be a whole number from 0 on");
    return 0;
  }
  std::uint32_t narrow(const std::string& field, bool needed = false) {
    return std::uint32_t(std::min<std::uint64_t>(whole(field, needed), 0xffffffffu));
  }
  std::uint64_t digits(const std::string& field, bool needed = false) {  // 64 bits, as a string
    const std::string given = text(field, needed);
    if (given.empty())
      return 0;
    errno = 0;
    const auto number = std::strtoull(given.c_str(), nullptr, 10);
    if (given.find_first_not_of("0123456789") == std::string::npos && !errno)
      return number;
    miss(field, "must be a number of 64 bits written as a string of digits");
    return 0;
  }
  std::uint32_t thousandths(const std::string& field) {
    const auto value = find(field);
    if (value.is<double>() && value.get<double>() >= 0 && value.get<double>() <= 4e6)
      return std::uint32_t(std::llround(value.get<double>() * 1000));
    miss(field, "must be a number from 0 on");
    return 0;
  }
};

picojson::object renderName(const TaskRunId& name) {
  return {{"job", json(name.job.value)},
          {"occurrence", json(name.occurrence)},
          {"step", json(name.stepIndex)},
          {"within", json(name.indexInStep)},
          {"run", json(name.runNumber)}};
}
TaskRunId readName(Reading& reading) {
  TaskRunId name;
  name.job = JobId{reading.text("job", true)};
  name.occurrence = reading.narrow("occurrence");
  name.stepIndex = reading.narrow("step", true);
  name.indexInStep = reading.narrow("within", true);
  name.runNumber = reading.narrow("run", true);
  return name;
}
std::optional<picojson::value> parsed(const std::string& body) {
  picojson::value root;
  if (!parseJson(root, body).empty() || !root.is<picojson::object>())
    return std::nullopt;
  return root;
}
void renderStart(const WorkerCall& call, picojson::object& body) {
  const Order& order = call.order;
  body["attempt"] = json(std::to_string(order.attempt.value));
  body["job"] = json(order.job.value);  // the occurrence's own id, where it is one of a timetable
  body["task"] = json(order.taskIndex);
  body["cores"] = json(order.cores / 1000.0);
  body["memory_mb"] = json(order.memory);
  body["runtime_ms"] = json(order.runtime.milliseconds);
  body["quantum_ms"] = json(order.quantum.milliseconds);
  body["payload"] = json(call.payload);
  if (!call.checkpoint.empty())
    body["saved"] = json(call.checkpoint);
}
Order readStart(Reading& reading, const TaskRunId& name) {
  Order order;
  order.kind = OrderKind::start;
  order.attempt = AttemptNumber{reading.digits("attempt", true)};
  order.job = JobId{reading.text("job", true)};
  order.taskIndex = reading.narrow("task", true);
  order.cores = reading.thousandths("cores");
  order.memory = reading.whole("memory_mb", true);
  order.runtime = Duration{std::int64_t(reading.whole("runtime_ms", true))};
  order.quantum = Duration{std::int64_t(reading.whole("quantum_ms"))};
  order.payload = reading.text("payload");
  order.checkpoint = reading.text("saved");
  order.stepIndex = name.stepIndex;
  order.indexInStep = name.indexInStep;
  order.runNumber = name.runNumber;
  return order;
}

// --- an agent's side ---

HttpRequest renderCall(const WorkerCall& call) {
  picojson::object body{{"life", json(call.workerInstance.value)},
                        {"fence", json(std::to_string(call.fencingTerm.value))}};
  if (call.kind != WorkerCall::Kind::poll)
    body["name"] = json(renderName(call.runId));
  if (call.kind != WorkerCall::Kind::stop && call.leaseDeadline)
    body["deadline_ms"] = json(call.leaseDeadline->milliseconds);
  if (call.kind == WorkerCall::Kind::start)
    renderStart(call, body);
  if (call.kind == WorkerCall::Kind::poll) {
    body["last_seen"] = json(call.confirmedUpTo);
    body["wait_ms"] = json(call.longPollTimeout.milliseconds);
  }
  for (const auto& [kind, target] : callTargets)
    if (kind == call.kind)
      return {"POST", target, json(body).serialize()};
  return {};
}

void readLook(const picojson::value& root, WorkerReply& reply) {
  auto rows = [&](const char* field, auto&& use) {
    const auto& list = root.get(field);
    if (!list.is<picojson::array>())
      return reply.status = WorkerReply::Status::noResponse, void();
    for (const auto& row : list.get<picojson::array>()) {
      Reading reading{row};
      const auto name = reading.find("name");
      Reading nameReading{name};
      const TaskRunId run = readName(nameReading);
      if (nameReading.fault || !use(reading, run) || reading.fault)
        reply.status = WorkerReply::Status::noResponse;  // what can't be read whole tells nothing
    }
  };
  rows("active", [&](Reading& reading, const TaskRunId& run) {
    reply.runningTasks.push_back({run, reading.text("saved")});
    return true;
  });
  rows("ended", [&](Reading& reading, const TaskRunId& run) {
    const auto kind = parseAttemptOutcome(reading.text("kind", true));
    if (kind)
      reply.results.push_back({reading.whole("number", true), run, *kind, reading.text("saved")});
    return kind.has_value();
  });
  reply.complete = !root.get("more").evaluate_as_boolean();
}

WorkerReply readReply(const WorkerCall& call, const Result<HttpResponse, HttpError>& answer) {
  WorkerReply reply;
  if (!answer)
    return reply;
  const auto root = parsed(answer.value().body);
  if (root && root->get("now_ms").is<double>())
    reply.clockReading =
        WorkerTime{clampToInteger<std::int64_t>(root->get("now_ms").get<double>())};
  switch (answer.value().status) {
    case 200:
      break;
    case 400:
      reply.status = WorkerReply::Status::invalidRequest;
      return reply;
    case 410:
      reply.status = WorkerReply::Status::instanceMismatch;
      return reply;
    case 429:
    case 503:
      reply.status = WorkerReply::Status::unavailable;
      return reply;
    case 409:
      reply.status = WorkerReply::Status::insufficientCapacity;
      for (const auto& [kind, reason] : reasons)
        if (root && root->get("reason").is<std::string>() &&
            root->get("reason").get<std::string>() == reason)
          reply.status = kind;
      return reply;
    default:
      return reply;
  }
  if (!root)
    return reply;
  reply.status = WorkerReply::Status::ok;
  if (call.kind == WorkerCall::Kind::poll)
    readLook(*root, reply);
  return reply;
}

std::optional<WorkerProtocol::Notice> hear(const HttpRequest& request) {
  const auto root = parsed(request.body);
  if (request.method != "POST" || !root ||
      (request.target != accountTarget && request.target != leaveTarget))
    return std::nullopt;
  Reading reading{*root};
  WorkerProtocol::Notice word;
  word.account.workerInstance = WorkerId{reading.text("life", true)};
  if (request.target == leaveTarget) {
    word.shuttingDown = true;
    return reading.fault ? std::nullopt : std::optional(word);
  }
  Capacity& capacity = word.account.capacity;
  capacity.cores = reading.thousandths("cores");
  capacity.memory = reading.whole("memory_mb", true);
  capacity.accelerators = reading.narrow("accelerators");
  capacity.zone = ZoneName{reading.text("zone", true)};
  capacity.rack = reading.text("rack");
  capacity.pool = reading.text("pool");
  capacity.enforcesCapacity = reading.flag("guards_room");
  capacity.honoursLeases = capacity.killsOnLeaseExpiry = true;  // the hold ends all by itself
  capacity.supportsSuspend = false;
  if (const auto labels = reading.find("labels"); labels.is<picojson::array>())
    for (const auto& label : labels.get<picojson::array>())
      capacity.labels.push_back(label.to_str());
  word.account.draining = reading.flag("leaving");
  word.account.drainTimeout = Duration{std::int64_t(reading.whole("leave_within_ms"))};
  word.account.clockReading = WorkerTime{std::int64_t(reading.whole("now_ms", true))};
  return reading.fault ? std::nullopt : std::optional(word);
}

}  // namespace

WorkerProtocol jsonWorkerProtocol() {
  return {renderCall, readReply, hear};
}

Result<WorkerCall> decodeWorkerCall(const HttpRequest& request) {
  WorkerCall call;
  auto found = std::find_if(std::begin(callTargets), std::end(callTargets),
                            [&](const auto& known) { return request.target == known.second; });
  if (request.method != "POST" || found == std::end(callTargets))
    return CoreError::at(CoreError::Kind::notFound, "",
                         "there is no " + request.method + " " + request.target);
  call.kind = found->first;
  const auto root = parsed(request.body);
  if (!root)
    return CoreError::at(CoreError::Kind::invalid, "", "the body must be an object in JSON");
  Reading reading{*root};
  call.workerInstance = WorkerId{reading.text("life", true)};
  call.fencingTerm = Term{reading.digits("fence", true)};
  if (!reading.find("deadline_ms").is<picojson::null>())
    call.leaseDeadline = WorkerTime{std::int64_t(reading.whole("deadline_ms"))};
  if (call.kind == WorkerCall::Kind::poll) {
    call.confirmedUpTo = reading.whole("last_seen");
    call.longPollTimeout =
        Duration{std::min<std::int64_t>(10'000, std::int64_t(reading.whole("wait_ms")))};
  } else {
    const auto name = reading.find("name");
    Reading nameReading{name};
    call.runId = readName(nameReading);
    if (nameReading.fault)
      return CoreError::at(CoreError::Kind::invalid, "/name" + nameReading.fault->path,
                           nameReading.fault->text);
  }
  if (call.kind == WorkerCall::Kind::start) {
    call.order = readStart(reading, call.runId);
    call.payload = call.order.payload;
    call.checkpoint = call.order.checkpoint;
  }
  if (reading.fault)
    return CoreError::at(CoreError::Kind::invalid, reading.fault->path, reading.fault->text);
  return call;
}

ApiResponse encodeWorkerReply(const WorkerCall& call, const WorkerReply& reply) {
  picojson::object body;
  if (reply.clockReading)
    body["now_ms"] = json(reply.clockReading->milliseconds);
  auto refuse = [&](int status, const char* error, const std::string& text) {
    body["error"] = json(error);
    body["text"] = json(text);
    return ApiResponse::of(status, body);
  };
  if (reply.status == WorkerReply::Status::instanceMismatch)
    return refuse(410, "gone", "this is another life of the worker");
  for (const auto& [kind, reason] : reasons)
    if (reply.status == kind) {
      body["reason"] = json(reason);
      return refuse(409, "conflict", std::string("turned away: ") + reason);
    }
  if (reply.status == WorkerReply::Status::invalidRequest)
    return refuse(400, "invalid", "can't be carried out");
  if (reply.status != WorkerReply::Status::ok)
    return refuse(503, "not_taken", "not now");
  if (call.kind == WorkerCall::Kind::poll) {
    picojson::array active, ended;
    for (const auto& run : reply.runningTasks)
      active.push_back(json(picojson::object{{"name", json(renderName(run.runId))},
                                             {"saved", json(run.checkpoint)}}));
    for (const auto& run : reply.results)
      ended.push_back(json(picojson::object{{"number", json(run.sequenceNumber)},
                                            {"name", json(renderName(run.runId))},
                                            {"kind", json(name(run.outcome))},
                                            {"saved", json(run.checkpoint)}}));
    body["active"] = json(active);
    body["ended"] = json(ended);
    body["more"] = json(!reply.complete);
  }
  return ApiResponse::of(200, body);
}

HttpRequest encodeRegistration(const WorkerRegistration& account) {
  const Capacity& capacity = account.capacity;
  picojson::object body{
      {"life", json(account.workerInstance.value)},
      {"cores", json(capacity.cores / 1000.0)},
      {"memory_mb", json(capacity.memory)},
      {"accelerators", json(capacity.accelerators)},
      {"zone", json(capacity.zone.value)},
      {"rack", json(capacity.rack)},
      {"guards_room", json(capacity.enforcesCapacity)},
      {"leaving", json(account.draining)},
      {"leave_within_ms", json(account.drainTimeout.milliseconds)},
      {"now_ms", json(account.clockReading ? account.clockReading->milliseconds : 0)}};
  if (!capacity.pool.empty())
    body["pool"] = json(capacity.pool);
  picojson::array labels;
  for (const auto& label : capacity.labels)
    labels.push_back(json(label));
  if (!labels.empty())
    body["labels"] = json(labels);
  return {"POST", accountTarget, json(body).serialize()};
}
HttpRequest encodeShutdownNotice(const WorkerId& life) {
  return {"POST", leaveTarget, json(picojson::object{{"life", json(life.value)}}).serialize()};
}

}  // namespace aniseline
