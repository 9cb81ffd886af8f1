// Sends syncs to gateways, retries failed ones, and emits the session's events as signals.
#include "net/worker_client.hpp"
#include "net/contacts.hpp"
#include "net/http_status.hpp"

namespace aniseline {

namespace {

constexpr Duration tickInterval{10};
constexpr Duration urgentCheckInterval{5};
constexpr Duration urgentSyncTimeout{1500};
constexpr Duration urgentRetryDelay{50};
constexpr Duration partitionedPollInterval{20};
constexpr Duration unreadableAnswerDelay{100};
constexpr Duration minRetryDelay{20};
constexpr Duration contactsTimeout{500};
// The time allowed for transmission, in addition to the long poll timeout of a sync.
constexpr Duration syncTransitTime{300};

HttpRequest syncRequest(const SyncReport& report) {
  return {"POST", "/v1/workers/" + report.id.value + "/sync", renderSyncReport(report)};
}

}  // namespace

WorkerClient::WorkerClient(EventLoop& loop, WorkerSession::Options options, Incarnation incarnation,
                           std::vector<Address> gateways)
    : loop(loop),
      workerSession(std::move(options), incarnation),
      gatewayDirectory(std::move(gateways), incarnation.value / 2),
      random(incarnation.value) {}

void WorkerClient::deliverEvents() {
  for (const auto& [order, outcome] : workerSession.takeConfirmedResults())
    confirmed(order, outcome);
  for (const auto& nextCommand : workerSession.takeCommands())
    command(nextCommand);
}

void WorkerClient::attemptEnded(AttemptNumber attempt, bool succeeded) {
  workerSession.onTaskEnded(attempt, succeeded, monotonicNow());
}

void WorkerClient::startDrain(Duration timeout) {
  workerSession.startDraining(timeout);
}

void WorkerClient::run(const std::atomic<bool>& stop) {
  // The fibers refer to local variables, so this function waits for them before it returns.
  std::size_t runningFibers = 2;
  spawn([this, &stop, &runningFibers] {
    tickUntil(stop);
    --runningFibers;
  });
  spawn([this, &stop, &runningFibers] {
    syncUrgentUntil(stop);
    --runningFibers;
  });
  HttpClient client(loop);
  while (!stop) {
    if (partitioned)
      sleepFor(partitionedPollInterval);
    else
      sync(client);
  }
  while (runningFibers > 0)
    sleepFor(Duration{5});
}

// Advances the session's clock regularly, because leases expire and trials end between syncs too.
void WorkerClient::tickUntil(const std::atomic<bool>& stop) {
  while (!stop) {
    workerSession.tick(monotonicNow());
    deliverEvents();
    sleepFor(tickInterval);
  }
}

// Reports results at once in a second sync while the first one is waiting for orders.
void WorkerClient::syncUrgentUntil(const std::atomic<bool>& stop) {
  HttpClient client(loop);
  for (; !stop; sleepFor(urgentCheckInterval)) {
    if (!workerSession.hasUrgentReport() || partitioned)
      continue;
    auto report = workerSession.makeSyncReport(monotonicNow());
    report.longPollTimeout = Duration{0};
    const MonotonicTime sentAt = monotonicNow();
    const auto answer =
        client.send(gatewayDirectory.current(sentAt), syncRequest(report), urgentSyncTimeout);
    if (!answer || answer.value().status != http_status::ok) {
      sleepFor(urgentRetryDelay);
      continue;
    }
    if (auto response = SyncResponse::parse(answer.value().body))
      workerSession.onSyncResponse(report.incarnation, response.value(), sentAt, monotonicNow());
    deliverEvents();
  }
}

void WorkerClient::sync(HttpClient& client) {
  gatewayDirectory.update(workerSession.gateways());
  const Address gateway = gatewayDirectory.current(monotonicNow());
  const auto report = workerSession.makeSyncReport(monotonicNow());
  const MonotonicTime sentAt = monotonicNow();
  const auto answer =
      client.send(gateway, syncRequest(report), report.longPollTimeout + syncTransitTime);
  if (partitioned)
    return;
  if (!answer || answer.value().status != http_status::ok)
    return onFailedSync(client, answer, gateway, report);
  const auto response = SyncResponse::parse(answer.value().body);
  if (response)
    workerSession.onSyncResponse(report.incarnation, response.value(), sentAt, monotonicNow());
  deliverEvents();
  if (!response)
    sleepFor(unreadableAnswerDelay);
}

void WorkerClient::onFailedSync(HttpClient& client, const Result<HttpResponse, HttpError>& answer,
                                const Address& gateway, const SyncReport& report) {
  const int status = answer ? answer.value().status : 0;
  if (status == http_status::gone) {
    workerSession.onReplaced(Incarnation{random.next() | 1});
    deliverEvents();
    incarnationChanged(workerSession.currentIncarnation());
    return;
  }
  if (status == http_status::conflict)
    rejected(answer.value().body);
  else {
    if (!gatewayDirectory.hasDiscoveredPeers())
      refreshGateways(client, gateway, report.capacity.zone);
    gatewayDirectory.markFailed(monotonicNow());
  }
  sleepFor(answer ? std::max(minRetryDelay, answer.value().retryAfter) : minRetryDelay);
}

// The configured address may be that of a controller, which does not serve workers but knows the
// gateways.
void WorkerClient::refreshGateways(HttpClient& client, const Address& gateway,
                                   const ZoneName& zone) {
  const auto answer =
      client.send(gateway, {"GET", "/v1/contacts?zone=" + zone.value, ""}, contactsTimeout);
  if (answer)
    gatewayDirectory.update(gatewaysIn(answer.value()));
}

}  // namespace aniseline
