#include "net/client.hpp"
#include "base/json.hpp"

namespace aniseline {

namespace {
std::vector<Address> gatewaysIn(const HttpResponse& told) {
  picojson::value root;
  std::vector<Address> inForce;
  if (told.status != 200 || !parseJson(root, told.body).empty() || !root.is<picojson::object>() ||
      !root.get("gateways").is<picojson::array>())
    return inForce;
  for (const auto& address : root.get("gateways").get<picojson::array>())
    inForce.push_back(Address{address.to_str()});
  return inForce;
}

// What has its own identity or changes nothing may be asked again after a loss: a job by its id and
// content, a cancel by the job's, a config by its base and content. An order about a worker or a
// controller has none: asked again it could undo what another operator said meanwhile, or declare
// gone a worker that has come back.
bool mayRepeat(const HttpRequest& request) {
  return !(request.method == "POST" && (request.target.starts_with("/v1/workers/") ||
                                        request.target.starts_with("/v1/controllers/")));
}
bool surelyNotTaken(const HttpResponse& answer) {
  picojson::value root;
  return parseJson(root, answer.body).empty() && root.is<picojson::object>() &&
         root.get("error").to_str() == "not_taken";
}
}  // namespace

Result<HttpResponse, HttpError> GatewayClient::sendOnce(const HttpRequest& request,
                                                        Duration within) {
  const Address asked = gateways.current(monotonicNow());
  auto result = client.send(asked, request, within);
  if (!result)
    result = HttpError{result.error().kind, asked.value + ": " + result.error().text};
  if (onAttempt)
    onAttempt(request, result);
  if (!result)
    gateways.markFailed(monotonicNow());
  return result;
}

void GatewayClient::refreshGateways() {
  if (!zone || monotonicNow() - refreshedAt < Duration{5000})
    return;
  refreshedAt = monotonicNow();
  // Of the addresses given some may be dead, some controllers, which serve no callers but know who
  // does.
  for (std::size_t tries = 0; tries < (gateways.hasLearned() ? 1 : gateways.seedCount()); ++tries) {
    if (auto told = client.send(gateways.current(refreshedAt),
                                {"GET", "/v1/contacts?zone=" + zone->value, ""}, Duration{500}))
      gateways.update(gatewaysIn(told.value()));
    if (gateways.hasLearned())
      return;
    gateways.markFailed(refreshedAt);
  }
}

Result<HttpResponse, ClientError> GatewayClient::send(const HttpRequest& request, Duration within) {
  const MonotonicTime until = monotonicNow() + within;
  ClientError last{ClientError::Kind::unknown, 0, "no gateway answers", Duration{0}};
  refreshGateways();
  while (monotonicNow() < until) {
    // A gateway that is silent for longer is left for the next, where the request may be repeated;
    // otherwise there is no other answer to wait for.
    const Duration left = until - monotonicNow();
    auto result = sendOnce(request, mayRepeat(request) ? std::min(Duration{1500}, left) : left);
    if (result) {
      if (result.value().status < 400)
        return result.value();
      last = ClientError{result.value().status == 404   ? ClientError::Kind::notFound
                         : result.value().status == 503 ? ClientError::Kind::unknown
                                                        : ClientError::Kind::rejected,
                         result.value().status, result.value().body, result.value().retryAfter};
      if (last.kind != ClientError::Kind::unknown)
        return last;
      if (!mayRepeat(request) && !surelyNotTaken(result.value()))
        return last;
      gateways.markFailed(monotonicNow());
    } else {
      last = ClientError{ClientError::Kind::unknown, 0, result.error().text, Duration{0}};
      if (!mayRepeat(request) && result.error().kind != HttpError::Kind::unreachable)
        return last;
    }
    sleepFor(Duration{std::clamp<std::int64_t>(last.retryAfter.milliseconds, 50, 500)});
  }
  return last;
}

WorkerClient::WorkerClient(EventLoop& loop, WorkerSession::Options options, Incarnation incarnation,
                           std::vector<Address> gateways)
    : loop(loop),
      workerSession(std::move(options), incarnation),
      gatewayDirectory(std::move(gateways), incarnation.value / 2),
      random(incarnation.value) {}

void WorkerClient::deliverEvents() {
  for (const auto& [order, kind] : workerSession.takeConfirmedResults())
    confirmed(order, kind);
  for (const auto& wanted : workerSession.takeCommands())
    effect(wanted);
}

void WorkerClient::attemptEnded(AttemptNumber attempt, bool well) {
  workerSession.onTaskEnded(attempt, well, monotonicNow());
}
void WorkerClient::startDrain(Duration within) {
  workerSession.startDraining(within);
}

void WorkerClient::run(const std::atomic<bool>& stop) {
  // The fibers below use what stands here: this one waits for them at its end.
  std::size_t others = 2;
  // Leases lapse and trials end between syncs too.
  spawn([this, &stop, &others] {
    while (!stop) {
      workerSession.tick(monotonicNow());
      deliverEvents();
      sleepFor(Duration{10});
    }
    --others;
  });
  HttpClient patient(loop);
  HttpClient urgent(loop);
  // While one sync waits for orders a second one tells endings at once.
  spawn([this, &stop, &urgent, &others] {
    while (!stop) {
      if (workerSession.hasUrgentReport() && !partitioned) {
        auto report = workerSession.makeSyncReport(monotonicNow());
        report.longPollTimeout = Duration{0};
        const MonotonicTime sentAt = monotonicNow();
        auto result = urgent.send(
            gatewayDirectory.current(sentAt),
            {"POST", "/v1/workers/" + report.id.value + "/sync", renderSyncReport(report)},
            Duration{1500});
        if (result && result.value().status == 200) {
          if (auto answer = SyncResponse::parse(result.value().body))
            workerSession.onSyncResponse(report.incarnation, answer.value(), sentAt,
                                         monotonicNow());
          deliverEvents();
        } else
          sleepFor(Duration{50});
      }
      sleepFor(Duration{5});
    }
    --others;
  });
  while (!stop) {
    if (partitioned) {
      sleepFor(Duration{20});
      continue;
    }
    gatewayDirectory.update(workerSession.gateways());
    const Address target = gatewayDirectory.current(monotonicNow());
    const auto report = workerSession.makeSyncReport(monotonicNow());
    const MonotonicTime sentAt = monotonicNow();
    auto result = patient.send(
        target, {"POST", "/v1/workers/" + report.id.value + "/sync", renderSyncReport(report)},
        report.longPollTimeout + Duration{300});
    if (partitioned)
      continue;
    if (result && result.value().status == 200) {
      auto answer = SyncResponse::parse(result.value().body);
      if (answer)
        workerSession.onSyncResponse(report.incarnation, answer.value(), sentAt, monotonicNow());
      deliverEvents();
      if (!answer)
        sleepFor(Duration{100});
    } else if (result && result.value().status == 410) {
      workerSession.onReplaced(Incarnation{random.next() | 1});
      deliverEvents();
      incarnationChanged(workerSession.currentIncarnation());
    } else {
      if (result && result.value().status == 409)
        rejected(result.value().body);
      else {
        // The address given may be a controller's, which serves no workers but knows who does.
        if (!gatewayDirectory.hasLearned())
          if (auto told = patient.send(
                  target, {"GET", "/v1/contacts?zone=" + report.capacity.zone.value, ""},
                  Duration{500}))
            gatewayDirectory.update(gatewaysIn(told.value()));
        gatewayDirectory.markFailed(monotonicNow());
      }
      sleepFor(result ? std::max(Duration{20}, result.value().retryAfter) : Duration{20});
    }
  }
  while (others > 0)
    sleepFor(Duration{5});
}

}  // namespace aniseline
