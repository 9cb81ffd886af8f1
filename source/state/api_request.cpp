#include "state/api_request.hpp"
#include "base/json.hpp"
#include <cmath>

namespace aniseline {

const char* name(RequestKind kind) {
  static const char* const names[] = {
      "submit",   "cancel",  "show-job", "list-jobs",    "apply-config", "show-config", "sync",
      "leave",    "drain",   "undrain",  "declare-gone", "workers",      "cluster",     "plan",
      "counters", "replace", "export",   "phase",        "waiting",      "read-config"};
  return names[std::size_t(kind)];
}

bool LeaderRoute::admits(const ApiRequest& request, std::size_t underWay, std::size_t most) const {
  return admitsRequest(
      request.kind,
      request.kind == RequestKind::submitJob &&
          !std::count(priorityQueues.begin(), priorityQueues.end(), request.job.queue),
      underWay, most);
}
std::vector<Address> orderedByZonePreference(const std::vector<GatewayEndpoint>& contacts,
                                             const ZoneName& zone, std::uint64_t spread) {
  std::vector<Address> near, far;
  for (const auto& contact : contacts)
    (contact.zone == zone ? near : far).push_back(contact.address);
  for (auto* some : {&near, &far})
    if (!some->empty())
      std::rotate(some->begin(), some->begin() + std::ptrdiff_t(spread % some->size()),
                  some->end());
  near.insert(near.end(), far.begin(), far.end());
  return near;
}
std::size_t payloadBytes(const ApiRequest& request) {
  std::size_t bytes = request.text.size() + request.packedConfig.size() + request.path.size() +
                      request.job.payload.size();
  for (const auto& step : request.job.steps)
    for (const auto& task : step.tasks)
      bytes += sizeof task + task.payload.size();
  return bytes;
}

bool admitsRequest(RequestKind kind, bool plain, std::size_t underWay, std::size_t most) {
  if (kind == RequestKind::syncWorker)
    return true;  // as many as there are workers, and without them nothing ends
  return underWay < (plain ? most - most / 5 : most);
}

ApiResponse ApiResponse::of(int status, const picojson::object& body) {
  ApiResponse answer;
  answer.status = status;
  answer.body = picojson::value(body).serialize();
  return answer;
}
ApiResponse ApiResponse::error(int status, const std::string& kind, const std::string& text,
                               Duration retryAfter) {
  ApiResponse answer = of(status, {{"error", json(kind)}, {"text", json(text)}});
  answer.retryAfter = retryAfter;
  answer.errorKind = kind;
  return answer;
}
ApiResponse ApiResponse::outcomeUnknown(const std::string& text) {
  return error(503, "unknown", text, Duration{500});
}
ApiResponse ApiResponse::notApplied(const std::string& text) {
  return error(503, "not_taken", text + "; nothing was taken, ask again", Duration{300});
}
ApiResponse ApiResponse::fromError(const CoreError& error) {
  int status = 400;
  const char* kind = "invalid";
  Duration retryAfter{0};
  switch (error.kind) {
    case CoreError::Kind::invalid:
      break;
    case CoreError::Kind::conflict:
      status = 409, kind = "conflict";
      break;
    case CoreError::Kind::overloaded:
      status = 429, kind = "overloaded", retryAfter = Duration{1000};
      break;
    case CoreError::Kind::notFound:
      status = 404, kind = "missing";
      break;
    case CoreError::Kind::outcomeUnknown:
      status = 503, kind = "unknown", retryAfter = Duration{500};
      break;
    case CoreError::Kind::gone:
      status = 410, kind = "gone";
      break;
  }
  picojson::array details;
  for (const auto& detail : error.details)
    details.push_back(
        json(picojson::object{{"path", json(detail.path)}, {"text", json(detail.text)}}));
  ApiResponse answer =
      of(status, {{"error", json(kind)}, {"text", json(error.text())}, {"details", json(details)}});
  answer.retryAfter = retryAfter;
  answer.errorKind = kind;
  return answer;
}

namespace {

// Strict reading of a body: each field is of its kind and none is unknown.
struct Fields {
  std::string path;
  std::vector<ErrorDetail>& faults;
  const picojson::object* object = nullptr;
  std::set<std::string> asked;
  Fields(const picojson::value& value, std::string given, std::vector<ErrorDetail>& faults)
      : path(std::move(given)), faults(faults) {
    if (value.is<picojson::object>())
      object = &value.get<picojson::object>();
    else
      faults.push_back({path, "must be an object"});
  }
  ~Fields() {
    if (object)
      for (const auto& [field, value] : *object)
        if (!asked.count(field))
          faults.push_back({path + "/" + field, "is not a known field"});
  }
  const picojson::value* find(const std::string& field, bool needed = false) {
    asked.insert(field);
    if (!object)
      return nullptr;
    auto found = object->find(field);
    if (found != object->end())
      return &found->second;
    if (needed)
      faults.push_back({path + "/" + field, "is missing"});
    return nullptr;
  }
  std::string words(const std::string& field, bool needed = false) {
    const auto* value = find(field, needed);
    if (!value)
      return "";
    if (value->is<std::string>())
      return value->get<std::string>();
    faults.push_back({path + "/" + field, "must be a string"});
    return "";
  }
  bool flag(const std::string& field) {
    const auto* value = find(field);
    if (!value)
      return false;
    if (value->is<bool>())
      return value->get<bool>();
    faults.push_back({path + "/" + field, "must be true or false"});
    return false;
  }
  std::uint64_t whole(const std::string& field, bool needed, std::uint64_t otherwise = 0) {
    const auto* value = find(field, needed);
    if (!value)
      return otherwise;
    const double number = value->is<double>() ? value->get<double>() : -1;
    if (number >= 0 && number <= 9007199254740992.0 && number == std::floor(number))
      return std::uint64_t(number);
    faults.push_back({path + "/" + field, "must be a whole number from 0 on"});
    return otherwise;
  }
  std::uint32_t thousandths(const std::string& field,
                            bool needed) {  // a number with up to three decimals
    const auto* value = find(field, needed);
    if (!value)
      return needed ? 1 : 0;
    const double number = value->is<double>() ? value->get<double>() * 1000 : -1;
    if (number >= 0 && number <= 4e9 && std::abs(number - std::round(number)) < 1e-4)
      return std::uint32_t(std::llround(number));
    faults.push_back(
        {path + "/" + field, "must be a number from 0 on with at most three decimals"});
    return needed ? 1 : 0;
  }
  std::uint64_t number(const std::string& field,
                       bool needed) {  // 64 bits, as decimal digits in a string
    const std::string text = words(field, needed);
    if (text.empty())
      return 0;
    if (text.size() <= 20 && text.find_first_not_of("0123456789") == std::string::npos) {
      errno = 0;
      const auto parsed = std::strtoull(text.c_str(), nullptr, 10);
      if (errno == 0)
        return parsed;
    }
    faults.push_back(
        {path + "/" + field, "must be a number of 64 bits written as a string of digits"});
    return 0;
  }
  const picojson::array* list(const std::string& field, bool needed = false) {
    const auto* value = find(field, needed);
    if (!value)
      return nullptr;
    if (value->is<picojson::array>())
      return &value->get<picojson::array>();
    faults.push_back({path + "/" + field, "must be a list"});
    return nullptr;
  }
};

std::uint32_t narrow(std::uint64_t number) {
  return std::uint32_t(std::min<std::uint64_t>(number, 0xffffffffu));
}
Duration spanOf(std::uint64_t number) {
  return Duration{std::int64_t(std::min<std::uint64_t>(number, 1ull << 53))};
}

JobSubmission parseJob(const picojson::value& root, std::vector<ErrorDetail>& faults) {
  JobSubmission job;
  Fields fields(root, "", faults);
  job.id = JobId{fields.words("id", true)};
  job.queue = QueueName{fields.words("queue", true)};
  job.payload = fields.words("payload");
  std::size_t total = 0;
  if (const auto* steps = fields.list("steps", true))
    for (std::size_t place = 0; place < steps->size() && place < 1000; ++place) {
      Fields step((*steps)[place], "/steps/" + std::to_string(place), faults);
      StepRequest request;
      request.name = step.words("name");
      if (request.name.empty())
        request.name = std::to_string(place);
      request.gang = step.flag("gang");
      request.requirements.requiredLabel = step.words("label");
      request.requirements.preferredRack = step.words("near");
      request.requirements.maxPerWorker = narrow(step.whole("apart", false));
      request.requirements.sameRack = step.flag("same_rack");
      request.requirements.redundant = step.flag("redundant");
      request.requirements.longRunning = step.flag("lasts");
      request.requirements.checkpointed = step.flag("saves");
      if (const auto* after = step.list("after"))
        for (const auto& before : *after) {
          if (before.is<std::string>())
            request.dependencies.push_back(before.get<std::string>());
          else
            faults.push_back({step.path + "/after", "must hold names of steps"});
        }
      if (const auto* tasks = step.list("tasks", true))
        for (std::size_t within = 0; within < tasks->size() && total <= 2000; ++within) {
          Fields task((*tasks)[within], step.path + "/tasks/" + std::to_string(within), faults);
          TaskRequest taskRequest;
          taskRequest.cores = task.thousandths("cores", true);
          taskRequest.memory = task.whole("memory_mb", true, 1);
          taskRequest.runtime = spanOf(task.whole("runtime_ms", true, 1));
          taskRequest.accelerators = narrow(task.whole("accelerators", false));
          taskRequest.payload = task.words("payload");
          const auto count = task.whole("count", false, 1);
          if (count < 1 || count > 2000)
            faults.push_back({task.path + "/count", "must be from 1 to 2000"});
          else
            for (std::uint64_t copy = 0; copy < count && total <= 2000; ++copy, ++total)
              request.tasks.push_back(taskRequest);
        }
      job.steps.push_back(std::move(request));
    }
  if (const auto* timetable = fields.find("timetable")) {
    Fields timed(*timetable, "/timetable", faults);
    job.timetable.firstStart = ClusterTime{spanOf(timed.whole("first_ms", true)).milliseconds};
    if (job.timetable.firstStart.milliseconds == 0)
      faults.push_back({"/timetable/first_ms", "must be a calendar time above 0"});
    job.timetable.interval = spanOf(timed.whole("every_ms", false));
    job.timetable.count = narrow(timed.whole("count", false, 1));
  }
  if (faults.empty())
    faults = job.validate();
  return job;
}

SyncReport parseReport(const picojson::value& root, const std::string& id,
                       std::vector<ErrorDetail>& faults) {
  SyncReport report;
  report.id = WorkerId{id};
  if (id.empty() || id.size() > 64)
    faults.push_back({"", "a worker's id holds 1 to 64 characters"});
  Fields fields(root, "", faults);
  report.incarnation = Incarnation{fields.number("incarnation", true)};
  if (!report.incarnation.value)
    faults.push_back({"/incarnation", "must not be 0"});
  report.capacity.cores = fields.thousandths("cores", true);
  report.capacity.memory = fields.whole("memory_mb", true);
  if (!report.capacity.cores || report.capacity.cores > 65'536'000)
    faults.push_back({"/cores", "must be from 0.001 to 65536"});
  if (!report.capacity.memory || report.capacity.memory > 1'000'000'000)
    faults.push_back({"/memory_mb", "must be from 1 to 1000000000"});
  report.capacity.zone = ZoneName{fields.words("zone")};
  report.capacity.rack = fields.words("rack");
  report.capacity.honoursLeases = fields.flag("honours_leases");
  report.capacity.enforcesCapacity = fields.flag("guards_room");
  report.capacity.accelerators = narrow(fields.whole("accelerators", false));
  report.capacity.pool = fields.words("pool");
  if (const auto* labels = fields.list("labels"))
    for (const auto& label : *labels) {
      if (label.is<std::string>())
        report.capacity.labels.push_back(label.get<std::string>());
      else
        faults.push_back({"/labels", "must hold strings"});
    }
  report.lastAppliedOrder = OrderNumber{fields.number("last_order", true)};
  report.draining = fields.flag("leaving");
  report.drainTimeout = spanOf(fields.whole("leave_within_ms", false));
  report.longPollTimeout = spanOf(std::min<std::uint64_t>(fields.whole("wait_ms", false), 2000));
  if (const auto* endings = fields.list("endings"))
    for (std::size_t place = 0; place < endings->size() && place < 10'000; ++place) {
      Fields ending((*endings)[place], "/endings/" + std::to_string(place), faults);
      const auto attempt = ending.number("attempt", true);
      const auto kind = parseAttemptOutcome(ending.words("kind", true));
      if (!kind)
        faults.push_back({ending.path + "/kind", "is not a known kind of ending"});
      else
        report.results.push_back({AttemptNumber{attempt}, *kind});
    }
  return report;
}

}  // namespace

Result<ApiRequest> ApiRequest::parse(const std::string& method, const std::string& target,
                                     const std::string& body) {
  auto fail = [](CoreError::Kind kind, std::string path, std::string text) {
    return CoreError::at(kind, std::move(path), std::move(text));
  };
  std::string path = target.substr(0, target.find('?'));
  std::map<std::string, std::string> query;
  if (path.size() < target.size()) {
    std::istringstream stream(target.substr(path.size() + 1));
    for (std::string pair; std::getline(stream, pair, '&');)
      query[pair.substr(0, pair.find('='))] =
          pair.find('=') == std::string::npos ? "" : pair.substr(pair.find('=') + 1);
  }
  std::vector<std::string> parts;
  {
    std::istringstream stream(path);
    for (std::string part; std::getline(stream, part, '/');)
      if (!part.empty())
        parts.push_back(part);
  }
  const std::string noun = parts.size() > 1 && parts[0] == "v1" ? parts[1] : "";
  const std::string id = parts.size() > 2 ? parts[2] : "";
  const std::string verb = parts.size() > 3 ? parts[3] : "";
  ApiRequest request;
  request.targetId = id;
  bool wantsBody = false;
  const std::string shape =
      method + " " + noun + (id.empty() ? "" : "/*") + (verb.empty() ? "" : "/" + verb);
  static const std::map<std::string, std::pair<RequestKind, bool>> shapes = {
      {"POST jobs", {RequestKind::submitJob, true}},
      {"DELETE jobs/*", {RequestKind::cancelJob, false}},
      {"GET jobs/*", {RequestKind::showJob, false}},
      {"GET jobs", {RequestKind::listJobs, false}},
      {"PUT config", {RequestKind::applyConfig, true}},
      {"GET config", {RequestKind::showConfig, false}},
      {"POST workers/*/sync", {RequestKind::syncWorker, true}},
      {"POST workers/*/leave", {RequestKind::workerShutdown, false}},
      {"POST workers/*/drain", {RequestKind::drainWorker, false}},
      {"POST workers/*/undrain", {RequestKind::undrainWorker, false}},
      {"POST workers/*/gone", {RequestKind::removeWorker, false}},
      {"GET workers", {RequestKind::listWorkers, false}},
      {"GET cluster", {RequestKind::showCluster, false}},
      {"GET plan", {RequestKind::showPlan, false}},
      {"GET counters", {RequestKind::showCounters, false}},
      {"POST controllers/*/replace", {RequestKind::replaceController, false}},
      {"GET state", {RequestKind::exportState, false}},
      {"GET jobs/*/phase", {RequestKind::showPhase, false}},
  };
  auto found = parts.size() <= 4 ? shapes.find(shape) : shapes.end();
  if (found == shapes.end())
    return fail(CoreError::Kind::notFound, "", "there is no " + method + " " + path);
  request.kind = found->second.first;
  wantsBody = found->second.second;
  if (query.count("state"))
    request.text = query["state"];
  if (query.count("limit"))
    request.limit =
        std::min<std::uint64_t>(1000, std::strtoull(query["limit"].c_str(), nullptr, 10));
  request.drainTimeout = Duration{30'000};
  if (query.count("within_ms"))
    request.drainTimeout = Duration{std::min<std::int64_t>(
        86'400'000,
        std::max<std::int64_t>(0, std::strtoll(query["within_ms"].c_str(), nullptr, 10)))};
  if (!wantsBody)
    return request;
  if (nestedTooDeep(body))
    return fail(CoreError::Kind::invalid, "", "the body is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, body, true);
  if (!parseError.empty())
    return fail(CoreError::Kind::invalid, "", "the body is not JSON: " + parseError);
  std::vector<ErrorDetail> faults;
  if (request.kind == RequestKind::submitJob)
    request.job = parseJob(root, faults);
  if (request.kind == RequestKind::syncWorker)
    request.report = parseReport(root, id, faults);
  if (request.kind == RequestKind::applyConfig) {
    Fields fields(root, "", faults);
    request.baseVersion = ConfigVersion{fields.whole("based_on", true)};
    if (const auto* config = fields.find("config", true))
      request.text = config->serialize();
  }
  if (!faults.empty())
    return CoreError{CoreError::Kind::invalid, std::move(faults)};
  return request;
}

std::string renderSyncReport(const SyncReport& report) {
  picojson::array endings;
  for (const auto& ending : report.results)
    endings.push_back(json(picojson::object{{"attempt", json(std::to_string(ending.attempt.value))},
                                            {"kind", json(name(ending.outcome))}}));
  picojson::object shown{{"incarnation", json(std::to_string(report.incarnation.value))},
                         {"cores", json(report.capacity.cores / 1000.0)},
                         {"memory_mb", json(report.capacity.memory)},
                         {"zone", json(report.capacity.zone.value)},
                         {"rack", json(report.capacity.rack)},
                         {"honours_leases", json(report.capacity.honoursLeases)},
                         {"guards_room", json(report.capacity.enforcesCapacity)},
                         {"last_order", json(std::to_string(report.lastAppliedOrder.value))},
                         {"leaving", json(report.draining)},
                         {"leave_within_ms", json(report.drainTimeout.milliseconds)},
                         {"wait_ms", json(report.longPollTimeout.milliseconds)},
                         {"endings", json(endings)}};
  if (report.capacity.accelerators)
    shown["accelerators"] = json(report.capacity.accelerators);
  if (!report.capacity.pool.empty())
    shown["pool"] = json(report.capacity.pool);
  if (!report.capacity.labels.empty()) {
    picojson::array labels;
    for (const auto& label : report.capacity.labels)
      labels.push_back(json(label));
    shown["labels"] = json(labels);
  }
  return json(shown).serialize();
}

std::string renderJobSubmission(const JobSubmission& job) {
  picojson::array steps;
  for (const auto& step : job.steps) {
    picojson::array tasks, after;
    for (const auto& before : step.dependencies)
      after.push_back(json(before));
    for (const auto& task : step.tasks) {
      picojson::object shown{{"cores", json(task.cores / 1000.0)},
                             {"memory_mb", json(task.memory)},
                             {"runtime_ms", json(task.runtime.milliseconds)}};
      if (!task.payload.empty())
        shown["payload"] = json(task.payload);
      if (task.accelerators)
        shown["accelerators"] = json(task.accelerators);
      tasks.push_back(json(shown));
    }
    picojson::object shownStep{{"name", json(step.name)},
                               {"gang", json(step.gang)},
                               {"after", json(after)},
                               {"tasks", json(tasks)}};
    if (!step.requirements.requiredLabel.empty())
      shownStep["label"] = json(step.requirements.requiredLabel);
    if (!step.requirements.preferredRack.empty())
      shownStep["near"] = json(step.requirements.preferredRack);
    if (step.requirements.maxPerWorker)
      shownStep["apart"] = json(step.requirements.maxPerWorker);
    for (const auto& [field, flag] : {std::pair{"same_rack", step.requirements.sameRack},
                                      {"redundant", step.requirements.redundant},
                                      {"lasts", step.requirements.longRunning},
                                      {"saves", step.requirements.checkpointed}})
      if (flag)
        shownStep[field] = json(flag);
    steps.push_back(json(shownStep));
  }
  picojson::object shown{
      {"id", json(job.id.value)}, {"queue", json(job.queue.value)}, {"steps", json(steps)}};
  if (!job.payload.empty())
    shown["payload"] = json(job.payload);
  if (job.hasTimetable())
    shown["timetable"] =
        json(picojson::object{{"first_ms", json(job.timetable.firstStart.milliseconds)},
                              {"every_ms", json(job.timetable.interval.milliseconds)},
                              {"count", json(job.timetable.count)}});
  return json(shown).serialize();
}

picojson::object SyncResponse::render() const {
  picojson::array listed, ended, known;
  for (const auto& order : orders) {
    picojson::object shown{{"number", json(std::to_string(order.number.value))},
                           {"kind", json(name(order.kind))},
                           {"attempt", json(std::to_string(order.attempt.value))}};
    if (order.kind == OrderKind::start || order.kind == OrderKind::stage) {
      shown["job"] = json(order.job.value);
      shown["task"] = json(order.taskIndex);
      shown["cores"] = json(order.cores / 1000.0);
      shown["memory_mb"] = json(order.memory);
      shown["runtime_ms"] = json(order.runtime.milliseconds);
      if (order.quantum.milliseconds)
        shown["quantum_ms"] = json(order.quantum.milliseconds);
      if (!order.payload.empty())
        shown["payload"] = json(order.payload);
    }
    listed.push_back(json(shown));
  }
  for (const auto& attempt : confirmedAttempts)
    ended.push_back(json(std::to_string(attempt.value)));
  for (const auto& address : gateways)
    known.push_back(json(address.value));
  return {{"term", json(std::to_string(term.value))},
          {"orders", json(listed)},
          {"confirmed", json(ended)},
          {"lease_ms", json(lease.milliseconds)},
          {"gateways", json(known)}};
}

Result<SyncResponse> SyncResponse::parse(const std::string& body) {
  if (nestedTooDeep(body))
    return CoreError::at(CoreError::Kind::invalid, "", "the answer is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, body);
  if (!parseError.empty())
    return CoreError::at(CoreError::Kind::invalid, "", "the answer is not JSON: " + parseError);
  std::vector<ErrorDetail> faults;
  SyncResponse answer;
  {
    Fields fields(root, "", faults);
    answer.term = Term{fields.number("term", true)};
    answer.lease = spanOf(fields.whole("lease_ms", true));
    if (const auto* orders = fields.list("orders", true))
      for (std::size_t place = 0; place < orders->size(); ++place) {
        Fields shown((*orders)[place], "/orders/" + std::to_string(place), faults);
        Order order;
        order.number = OrderNumber{shown.number("number", true)};
        const auto kind = parseOrderKind(shown.words("kind", true));
        if (!kind)
          faults.push_back({shown.path + "/kind", "is not a known kind of order"});
        else
          order.kind = *kind;
        order.attempt = AttemptNumber{shown.number("attempt", true)};
        order.job = JobId{shown.words("job")};
        order.taskIndex = narrow(shown.whole("task", false));
        order.cores = shown.thousandths("cores", false);
        order.memory = shown.whole("memory_mb", false);
        order.runtime = spanOf(shown.whole("runtime_ms", false));
        order.quantum = spanOf(shown.whole("quantum_ms", false));
        order.payload = shown.words("payload");
        answer.orders.push_back(std::move(order));
      }
    if (const auto* confirmed = fields.list("confirmed", true))
      for (const auto& attempt : *confirmed)
        if (attempt.is<std::string>())
          answer.confirmedAttempts.push_back(
              AttemptNumber{std::strtoull(attempt.get<std::string>().c_str(), nullptr, 10)});
    if (const auto* gateways = fields.list("gateways"))
      for (const auto& address : *gateways)
        if (address.is<std::string>())
          answer.gateways.push_back(Address{address.get<std::string>()});
  }
  if (!faults.empty())
    return CoreError{CoreError::Kind::invalid, std::move(faults)};
  return answer;
}

}  // namespace aniseline
