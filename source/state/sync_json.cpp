// JSON encoding and decoding of sync reports and sync responses.
#include "base/json_reader.hpp"
#include "state/request_json.hpp"
#include "state/sync_response.hpp"

namespace aniseline {

namespace {

using Presence = JsonObjectReader::Presence;

constexpr std::size_t maxWorkerIdLength = 64;
constexpr std::uint32_t maxCores = 65'536'000;      // thousandths of a core
constexpr std::uint64_t maxMemory = 1'000'000'000;  // MB
constexpr std::size_t maxResultsRead = 10'000;  // far more attempts than a worker runs at a time
constexpr Duration maxLongPollTimeout{2000};

Capacity readCapacity(JsonObjectReader& fields) {
  Capacity capacity;
  capacity.cores = fields.thousandths("cores", Presence::required);
  capacity.memory = fields.unsignedInteger("memory_mb", Presence::required);
  if (!capacity.cores || capacity.cores > maxCores)
    fields.addError("cores", "must be from 0.001 to 65536");
  if (!capacity.memory || capacity.memory > maxMemory)
    fields.addError("memory_mb", "must be from 1 to 1000000000");
  capacity.zone = ZoneName{fields.text("zone")};
  capacity.rack = fields.text("rack");
  capacity.honoursLeases = fields.flag("honours_leases");
  capacity.enforcesCapacity = fields.flag("guards_room");
  capacity.accelerators = fields.unsignedInteger32("accelerators", Presence::optional);
  capacity.pool = fields.text("pool");
  capacity.labels = fields.texts("labels", "must contain strings");
  return capacity;
}

void readResults(JsonObjectReader& fields, std::vector<ErrorDetail>& errors,
                 std::vector<AttemptResult>& results) {
  const auto* entries = fields.list("endings");
  for (std::size_t index = 0; entries && index < std::min(entries->size(), maxResultsRead);
       ++index) {
    JsonObjectReader result((*entries)[index], "/endings/" + std::to_string(index), errors);
    const AttemptNumber attempt{result.decimalText("attempt", Presence::required)};
    const auto outcome = parseAttemptOutcome(result.text("kind", Presence::required));
    if (outcome)
      results.push_back({attempt, *outcome});
    else
      result.addError("kind", "is not a known kind of ending");
  }
}

Order readOrder(const picojson::value& value, std::size_t index, std::vector<ErrorDetail>& errors) {
  JsonObjectReader fields(value, "/orders/" + std::to_string(index), errors);
  Order order;
  order.number = OrderNumber{fields.decimalText("number", Presence::required)};
  if (const auto kind = parseOrderKind(fields.text("kind", Presence::required)))
    order.kind = *kind;
  else
    fields.addError("kind", "is not a known kind of order");
  order.attempt = AttemptNumber{fields.decimalText("attempt", Presence::required)};
  order.job = JobId{fields.text("job")};
  order.taskIndex = fields.unsignedInteger32("task", Presence::optional);
  order.cores = fields.thousandths("cores", Presence::optional);
  order.memory = fields.unsignedInteger("memory_mb", Presence::optional);
  order.runtime = fields.duration("runtime_ms", Presence::optional);
  order.quantum = fields.duration("quantum_ms", Presence::optional);
  order.payload = fields.text("payload");
  return order;
}

picojson::value renderOrder(const Order& order) {
  picojson::object rendered{{"number", json(std::to_string(order.number.value))},
                            {"kind", json(name(order.kind))},
                            {"attempt", json(std::to_string(order.attempt.value))}};
  if (order.kind == OrderKind::start || order.kind == OrderKind::stage) {
    rendered["job"] = json(order.job.value);
    rendered["task"] = json(order.taskIndex);
    rendered["cores"] = json(order.cores / 1000.0);
    rendered["memory_mb"] = json(order.memory);
    rendered["runtime_ms"] = json(order.runtime.milliseconds);
    if (order.quantum.milliseconds)
      rendered["quantum_ms"] = json(order.quantum.milliseconds);
    if (!order.payload.empty())
      rendered["payload"] = json(order.payload);
  }
  return json(rendered);
}

SyncResponse readResponse(const picojson::value& root, std::vector<ErrorDetail>& errors) {
  SyncResponse response;
  JsonObjectReader fields(root, "", errors);
  response.term = Term{fields.decimalText("term", Presence::required)};
  response.lease = fields.duration("lease_ms", Presence::required);
  if (const auto* orders = fields.list("orders", Presence::required)) {
    for (std::size_t index = 0; index < orders->size(); ++index)
      response.orders.push_back(readOrder((*orders)[index], index, errors));
  }
  if (const auto* confirmed = fields.list("confirmed", Presence::required)) {
    for (const auto& attempt : *confirmed) {
      if (attempt.is<std::string>())
        response.confirmedAttempts.push_back(
            AttemptNumber{std::strtoull(attempt.get<std::string>().c_str(), nullptr, 10)});
    }
  }
  if (const auto* gateways = fields.list("gateways")) {
    for (const auto& address : *gateways) {
      if (address.is<std::string>())
        response.gateways.push_back(Address{address.get<std::string>()});
    }
  }
  return response;
}

}  // namespace

SyncReport parseSyncReport(const picojson::value& root, const std::string& id,
                           std::vector<ErrorDetail>& errors) {
  SyncReport report;
  report.id = WorkerId{id};
  if (id.empty() || id.size() > maxWorkerIdLength)
    errors.push_back({"", "a worker id must have 1 to 64 characters"});
  JsonObjectReader fields(root, "", errors);
  report.incarnation = Incarnation{fields.decimalText("incarnation", Presence::required)};
  if (!report.incarnation.value)
    fields.addError("incarnation", "must not be 0");
  report.capacity = readCapacity(fields);
  report.lastAppliedOrder = OrderNumber{fields.decimalText("last_order", Presence::required)};
  report.draining = fields.flag("leaving");
  report.drainTimeout = fields.duration("leave_within_ms", Presence::optional);
  report.longPollTimeout =
      std::min(fields.duration("wait_ms", Presence::optional), maxLongPollTimeout);
  readResults(fields, errors, report.results);
  return report;
}

std::string renderSyncReport(const SyncReport& report) {
  picojson::array results;
  for (const auto& result : report.results)
    results.push_back(json(picojson::object{{"attempt", json(std::to_string(result.attempt.value))},
                                            {"kind", json(name(result.outcome))}}));
  const Capacity& capacity = report.capacity;
  picojson::object rendered{{"incarnation", json(std::to_string(report.incarnation.value))},
                            {"cores", json(capacity.cores / 1000.0)},
                            {"memory_mb", json(capacity.memory)},
                            {"zone", json(capacity.zone.value)},
                            {"rack", json(capacity.rack)},
                            {"honours_leases", json(capacity.honoursLeases)},
                            {"guards_room", json(capacity.enforcesCapacity)},
                            {"last_order", json(std::to_string(report.lastAppliedOrder.value))},
                            {"leaving", json(report.draining)},
                            {"leave_within_ms", json(report.drainTimeout.milliseconds)},
                            {"wait_ms", json(report.longPollTimeout.milliseconds)},
                            {"endings", json(results)}};
  if (capacity.accelerators)
    rendered["accelerators"] = json(capacity.accelerators);
  if (!capacity.pool.empty())
    rendered["pool"] = json(capacity.pool);
  if (!capacity.labels.empty()) {
    picojson::array labels;
    for (const auto& label : capacity.labels)
      labels.push_back(json(label));
    rendered["labels"] = json(labels);
  }
  return json(rendered).serialize();
}

picojson::object SyncResponse::render() const {
  picojson::array renderedOrders;
  for (const auto& order : orders)
    renderedOrders.push_back(renderOrder(order));
  picojson::array confirmed;
  for (const auto& attempt : confirmedAttempts)
    confirmed.push_back(json(std::to_string(attempt.value)));
  picojson::array addresses;
  for (const auto& address : gateways)
    addresses.push_back(json(address.value));
  return {{"term", json(std::to_string(term.value))},
          {"orders", json(renderedOrders)},
          {"confirmed", json(confirmed)},
          {"lease_ms", json(lease.milliseconds)},
          {"gateways", json(addresses)}};
}

Result<SyncResponse> SyncResponse::parse(const std::string& body) {
  if (isNestedTooDeeply(body))
    return CoreError::at(CoreError::Kind::invalid, "", "the response is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, body);
  if (!parseError.empty())
    return CoreError::at(CoreError::Kind::invalid, "", "the response is not JSON: " + parseError);
  std::vector<ErrorDetail> errors;
  SyncResponse response = readResponse(root, errors);
  if (!errors.empty())
    return CoreError{CoreError::Kind::invalid, std::move(errors)};
  return response;
}

}  // namespace aniseline
