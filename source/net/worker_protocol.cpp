#include "net/worker_protocol.hpp"
#include "base/json.hpp"
#include <cmath>

namespace aniseline {

namespace {

constexpr std::pair<WorkerCall::Kind, const char*> callTargets[] = {
    {WorkerCall::Kind::start, "/v1/run/start"},
    {WorkerCall::Kind::stop, "/v1/run/stop"},
    {WorkerCall::Kind::look, "/v1/run/look"}};
constexpr std::pair<WorkerReply::Kind, const char*> reasons[] = {
    {WorkerReply::Kind::fenced, "fence"},
    {WorkerReply::Kind::old, "old"},
    {WorkerReply::Kind::late, "late"},
    {WorkerReply::Kind::room, "room"}};
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

picojson::object renderName(const RunName& name) {
  return {{"job", json(name.job.value)},
          {"occurrence", json(name.occurrence)},
          {"step", json(name.step)},
          {"within", json(name.within)},
          {"run", json(name.run)}};
}
RunName readName(Reading& reading) {
  RunName name;
  name.job = JobId{reading.text("job", true)};
  name.occurrence = reading.narrow("occurrence");
  name.step = reading.narrow("step", true);
  name.within = reading.narrow("within", true);
  name.run = reading.narrow("run", true);
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
  body["task"] = json(order.task);
  body["cores"] = json(order.cores / 1000.0);
  body["memory_mb"] = json(order.memory);
  body["runtime_ms"] = json(order.runtime.milliseconds);
  body["quantum_ms"] = json(order.quantum.milliseconds);
  body["payload"] = json(call.payload);
  if (!call.saved.empty())
    body["saved"] = json(call.saved);
}
Order readStart(Reading& reading, const RunName& name) {
  Order order;
  order.kind = OrderKind::start;
  order.attempt = AttemptNumber{reading.digits("attempt", true)};
  order.job = JobId{reading.text("job", true)};
  order.task = reading.narrow("task", true);
  order.cores = reading.thousandths("cores");
  order.memory = reading.whole("memory_mb", true);
  order.runtime = Duration{std::int64_t(reading.whole("runtime_ms", true))};
  order.quantum = Duration{std::int64_t(reading.whole("quantum_ms"))};
  order.payload = reading.text("payload");
  order.saved = reading.text("saved");
  order.step = name.step;
  order.within = name.within;
  order.run = name.run;
  return order;
}

// --- an agent's side ---

HttpRequest renderCall(const WorkerCall& call) {
  picojson::object body{{"life", json(call.life.value)},
                        {"fence", json(std::to_string(call.fence.value))}};
  if (call.kind != WorkerCall::Kind::look)
    body["name"] = json(renderName(call.name));
  if (call.kind != WorkerCall::Kind::stop && call.deadline)
    body["deadline_ms"] = json(call.deadline->milliseconds);
  if (call.kind == WorkerCall::Kind::start)
    renderStart(call, body);
  if (call.kind == WorkerCall::Kind::look) {
    body["last_seen"] = json(call.lastSeen);
    body["wait_ms"] = json(call.wait.milliseconds);
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
      return reply.kind = WorkerReply::Kind::lost, void();
    for (const auto& row : list.get<picojson::array>()) {
      Reading reading{row};
      const auto name = reading.find("name");
      Reading nameReading{name};
      const RunName run = readName(nameReading);
      if (nameReading.fault || !use(reading, run) || reading.fault)
        reply.kind = WorkerReply::Kind::lost;  // what can't be read whole tells nothing
    }
  };
  rows("active", [&](Reading& reading, const RunName& run) {
    reply.active.push_back({run, reading.text("saved")});
    return true;
  });
  rows("ended", [&](Reading& reading, const RunName& run) {
    const auto kind = endingKind(reading.text("kind", true));
    if (kind)
      reply.ended.push_back({reading.whole("number", true), run, *kind, reading.text("saved")});
    return kind.has_value();
  });
  reply.whole = !root.get("more").evaluate_as_boolean();
}

WorkerReply readReply(const WorkerCall& call, const Result<HttpResponse, HttpError>& answer) {
  WorkerReply reply;
  if (!answer)
    return reply;
  const auto root = parsed(answer.value().body);
  if (root && root->get("now_ms").is<double>())
    reply.clock = WorkerTime{wholeOf<std::int64_t>(root->get("now_ms").get<double>())};
  switch (answer.value().status) {
    case 200:
      break;
    case 400:
      reply.kind = WorkerReply::Kind::invalid;
      return reply;
    case 410:
      reply.kind = WorkerReply::Kind::otherLife;
      return reply;
    case 429:
    case 503:
      reply.kind = WorkerReply::Kind::sick;
      return reply;
    case 409:
      reply.kind = WorkerReply::Kind::room;
      for (const auto& [kind, reason] : reasons)
        if (root && root->get("reason").is<std::string>() &&
            root->get("reason").get<std::string>() == reason)
          reply.kind = kind;
      return reply;
    default:
      return reply;
  }
  if (!root)
    return reply;
  reply.kind = WorkerReply::Kind::done;
  if (call.kind == WorkerCall::Kind::look)
    readLook(*root, reply);
  return reply;
}

std::optional<WorkerProtocol::Word> hear(const HttpRequest& request) {
  const auto root = parsed(request.body);
  if (request.method != "POST" || !root ||
      (request.target != accountTarget && request.target != leaveTarget))
    return std::nullopt;
  Reading reading{*root};
  WorkerProtocol::Word word;
  word.account.life = WorkerId{reading.text("life", true)};
  if (request.target == leaveTarget) {
    word.left = true;
    return reading.fault ? std::nullopt : std::optional(word);
  }
  Capacity& capacity = word.account.capacity;
  capacity.cores = reading.thousandths("cores");
  capacity.memory = reading.whole("memory_mb", true);
  capacity.accelerators = reading.narrow("accelerators");
  capacity.zone = ZoneName{reading.text("zone", true)};
  capacity.rack = reading.text("rack");
  capacity.pool = reading.text("pool");
  capacity.guardsRoom = reading.flag("guards_room");
  capacity.honoursLeases = capacity.lapses = true;  // the hold ends all by itself
  capacity.pauses = false;
  if (const auto labels = reading.find("labels"); labels.is<picojson::array>())
    for (const auto& label : labels.get<picojson::array>())
      capacity.labels.push_back(label.to_str());
  word.account.leaving = reading.flag("leaving");
  word.account.leaveWithin = Duration{std::int64_t(reading.whole("leave_within_ms"))};
  word.account.clock = WorkerTime{std::int64_t(reading.whole("now_ms", true))};
  return reading.fault ? std::nullopt : std::optional(word);
}

}  // namespace

WorkerProtocol workerProtocol() {
  return {renderCall, readReply, hear};
}

Result<WorkerCall> readWorkerCall(const HttpRequest& request) {
  WorkerCall call;
  auto found = std::find_if(std::begin(callTargets), std::end(callTargets),
                            [&](const auto& known) { return request.target == known.second; });
  if (request.method != "POST" || found == std::end(callTargets))
    return CoreError::at(CoreError::Kind::missing, "",
                         "there is no " + request.method + " " + request.target);
  call.kind = found->first;
  const auto root = parsed(request.body);
  if (!root)
    return CoreError::at(CoreError::Kind::invalid, "", "the body must be an object in JSON");
  Reading reading{*root};
  call.life = WorkerId{reading.text("life", true)};
  call.fence = Term{reading.digits("fence", true)};
  if (!reading.find("deadline_ms").is<picojson::null>())
    call.deadline = WorkerTime{std::int64_t(reading.whole("deadline_ms"))};
  if (call.kind == WorkerCall::Kind::look) {
    call.lastSeen = reading.whole("last_seen");
    call.wait = Duration{std::min<std::int64_t>(10'000, std::int64_t(reading.whole("wait_ms")))};
  } else {
    const auto name = reading.find("name");
    Reading nameReading{name};
    call.name = readName(nameReading);
    if (nameReading.fault)
      return CoreError::at(CoreError::Kind::invalid, "/name" + nameReading.fault->path,
                           nameReading.fault->text);
  }
  if (call.kind == WorkerCall::Kind::start) {
    call.order = readStart(reading, call.name);
    call.payload = call.order.payload;
    call.saved = call.order.saved;
  }
  if (reading.fault)
    return CoreError::at(CoreError::Kind::invalid, reading.fault->path, reading.fault->text);
  return call;
}

ApiResponse writeWorkerReply(const WorkerCall& call, const WorkerReply& reply) {
  picojson::object body;
  if (reply.clock)
    body["now_ms"] = json(reply.clock->milliseconds);
  auto refuse = [&](int status, const char* error, const std::string& text) {
    body["error"] = json(error);
    body["text"] = json(text);
    return ApiResponse::of(status, body);
  };
  if (reply.kind == WorkerReply::Kind::otherLife)
    return refuse(410, "gone", "this is another life of the worker");
  for (const auto& [kind, reason] : reasons)
    if (reply.kind == kind) {
      body["reason"] = json(reason);
      return refuse(409, "conflict", std::string("turned away: ") + reason);
    }
  if (reply.kind == WorkerReply::Kind::invalid)
    return refuse(400, "invalid", "can't be carried out");
  if (reply.kind != WorkerReply::Kind::done)
    return refuse(503, "not_taken", "not now");
  if (call.kind == WorkerCall::Kind::look) {
    picojson::array active, ended;
    for (const auto& run : reply.active)
      active.push_back(
          json(picojson::object{{"name", json(renderName(run.name))}, {"saved", json(run.saved)}}));
    for (const auto& run : reply.ended)
      ended.push_back(json(picojson::object{{"number", json(run.number)},
                                            {"name", json(renderName(run.name))},
                                            {"kind", json(name(run.kind))},
                                            {"saved", json(run.saved)}}));
    body["active"] = json(active);
    body["ended"] = json(ended);
    body["more"] = json(!reply.whole);
  }
  return ApiResponse::of(200, body);
}

HttpRequest writeAccount(const WorkerAccount& account) {
  const Capacity& capacity = account.capacity;
  picojson::object body{{"life", json(account.life.value)},
                        {"cores", json(capacity.cores / 1000.0)},
                        {"memory_mb", json(capacity.memory)},
                        {"accelerators", json(capacity.accelerators)},
                        {"zone", json(capacity.zone.value)},
                        {"rack", json(capacity.rack)},
                        {"guards_room", json(capacity.guardsRoom)},
                        {"leaving", json(account.leaving)},
                        {"leave_within_ms", json(account.leaveWithin.milliseconds)},
                        {"now_ms", json(account.clock ? account.clock->milliseconds : 0)}};
  if (!capacity.pool.empty())
    body["pool"] = json(capacity.pool);
  picojson::array labels;
  for (const auto& label : capacity.labels)
    labels.push_back(json(label));
  if (!labels.empty())
    body["labels"] = json(labels);
  return {"POST", accountTarget, json(body).serialize()};
}
HttpRequest writeLeave(const WorkerId& life) {
  return {"POST", leaveTarget, json(picojson::object{{"life", json(life.value)}}).serialize()};
}

}  // namespace aniseline
