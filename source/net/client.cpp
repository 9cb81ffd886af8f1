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

Result<HttpResponse, HttpError> Caller::once(const HttpRequest& request, Duration within) {
  const Address asked = contacts.current(monotonicNow());
  auto result = client.ask(asked, request, within);
  if (!result)
    result = HttpError{result.error().kind, asked.value + ": " + result.error().text};
  if (witness)
    witness(request, result);
  if (!result)
    contacts.failed(monotonicNow());
  return result;
}

void Caller::learn() {
  if (!zone || monotonicNow() - learnedAt < Duration{5000})
    return;
  learnedAt = monotonicNow();
  // Of the addresses given some may be dead, some controllers, which serve no callers but know who
  // does.
  for (std::size_t tries = 0; tries < (contacts.knowsMore() ? 1 : contacts.seedCount()); ++tries) {
    if (auto told = client.ask(contacts.current(learnedAt),
                               {"GET", "/v1/contacts?zone=" + zone->value, ""}, Duration{500}))
      contacts.learn(gatewaysIn(told.value()));
    if (contacts.knowsMore())
      return;
    contacts.failed(learnedAt);
  }
}

Result<HttpResponse, ClientError> Caller::ask(const HttpRequest& request, Duration within) {
  const MonotonicTime until = monotonicNow() + within;
  ClientError last{ClientError::Kind::unknown, 0, "no gateway answers", Duration{0}};
  learn();
  while (monotonicNow() < until) {
    // A gateway that is silent for longer is left for the next, where the request may be repeated;
    // otherwise there is no other answer to wait for.
    const Duration left = until - monotonicNow();
    auto result = once(request, mayRepeat(request) ? std::min(Duration{1500}, left) : left);
    if (result) {
      if (result.value().status < 400)
        return result.value();
      last = ClientError{result.value().status == 404   ? ClientError::Kind::missing
                         : result.value().status == 503 ? ClientError::Kind::unknown
                                                        : ClientError::Kind::rejected,
                         result.value().status, result.value().body, result.value().retryAfter};
      if (last.kind != ClientError::Kind::unknown)
        return last;
      if (!mayRepeat(request) && !surelyNotTaken(result.value()))
        return last;
      contacts.failed(monotonicNow());
    } else {
      last = ClientError{ClientError::Kind::unknown, 0, result.error().text, Duration{0}};
      if (!mayRepeat(request) && result.error().kind != HttpError::Kind::unreachable)
        return last;
    }
    pause(Duration{std::clamp<std::int64_t>(last.retryAfter.milliseconds, 50, 500)});
  }
  return last;
}

WorkerClient::WorkerClient(Loop& loop, WorkerSession::Options options, Incarnation incarnation,
                           std::vector<Address> gateways)
    : loop(loop),
      core(std::move(options), incarnation),
      contacts(std::move(gateways), incarnation.value / 2),
      random(incarnation.value) {}

void WorkerClient::deliver() {
  for (const auto& [order, kind] : core.takeConfirmed())
    confirmed(order, kind);
  for (const auto& wanted : core.takeEffects())
    effect(wanted);
}

void WorkerClient::ended(AttemptNumber attempt, bool well) {
  core.ended(attempt, well, monotonicNow());
}
void WorkerClient::leave(Duration within) {
  core.leave(within);
}

void WorkerClient::run(const std::atomic<bool>& stop) {
  // The fibers below use what stands here: this one waits for them at its end.
  std::size_t others = 2;
  // Leases lapse and trials end between syncs too.
  spawn([this, &stop, &others] {
    while (!stop) {
      core.tick(monotonicNow());
      deliver();
      pause(Duration{10});
    }
    --others;
  });
  HttpClient patient(loop);
  HttpClient urgent(loop);
  // While one sync waits for orders a second one tells endings at once.
  spawn([this, &stop, &urgent, &others] {
    while (!stop) {
      if (core.urgent() && !cut) {
        auto report = core.report(monotonicNow());
        report.wait = Duration{0};
        const MonotonicTime sentAt = monotonicNow();
        auto result =
            urgent.ask(contacts.current(sentAt),
                       {"POST", "/v1/workers/" + report.id.value + "/sync", renderReport(report)},
                       Duration{1500});
        if (result && result.value().status == 200) {
          if (auto answer = SyncResponse::parse(result.value().body))
            core.answered(report.incarnation, answer.value(), sentAt, monotonicNow());
          deliver();
        } else
          pause(Duration{50});
      }
      pause(Duration{5});
    }
    --others;
  });
  while (!stop) {
    if (cut) {
      pause(Duration{20});
      continue;
    }
    contacts.learn(core.gateways());
    const Address target = contacts.current(monotonicNow());
    const auto report = core.report(monotonicNow());
    const MonotonicTime sentAt = monotonicNow();
    auto result = patient.ask(
        target, {"POST", "/v1/workers/" + report.id.value + "/sync", renderReport(report)},
        report.wait + Duration{300});
    if (cut)
      continue;
    if (result && result.value().status == 200) {
      auto answer = SyncResponse::parse(result.value().body);
      if (answer)
        core.answered(report.incarnation, answer.value(), sentAt, monotonicNow());
      deliver();
      if (!answer)
        pause(Duration{100});
    } else if (result && result.value().status == 410) {
      core.replaced(Incarnation{random.next() | 1});
      deliver();
      began(core.currentIncarnation());
    } else {
      if (result && result.value().status == 409)
        rejected(result.value().body);
      else {
        // The address given may be a controller's, which serves no workers but knows who does.
        if (!contacts.knowsMore())
          if (auto told = patient.ask(
                  target, {"GET", "/v1/contacts?zone=" + report.capacity.zone.value, ""},
                  Duration{500}))
            contacts.learn(gatewaysIn(told.value()));
        contacts.failed(monotonicNow());
      }
      pause(result ? std::max(Duration{20}, result.value().retryAfter) : Duration{20});
    }
  }
  while (others > 0)
    pause(Duration{5});
}

}  // namespace aniseline
