// Decides which requests may be repeated, and retries them across gateways.
#include "net/gateway_client.hpp"
#include "base/json.hpp"
#include "net/contacts.hpp"
#include "net/http_status.hpp"

namespace aniseline {

namespace {

constexpr Duration refreshInterval{5000};
constexpr Duration refreshTimeout{500};
// A repeatable request moves on to the next gateway after this time without a response.
constexpr Duration repeatableAttemptTimeout{1500};
constexpr std::int64_t minRetryDelayMilliseconds = 50;
constexpr std::int64_t maxRetryDelayMilliseconds = 500;

// Reports whether a request may be sent again after a lost connection. This holds for requests that
// change nothing or are idempotent: a submission is identified by the job's id and content, a
// cancellation by the job's id, a config by its base version and content. An operator's command
// about a worker or a controller has no such identity: repeating it could undo what another
// operator did in the meantime, or declare a worker gone that has come back.
bool isRepeatable(const HttpRequest& request) {
  return !(request.method == "POST" && (request.target.starts_with("/v1/workers/") ||
                                        request.target.starts_with("/v1/controllers/")));
}

// Reports whether the response says that the request was not applied.
bool isKnownNotApplied(const HttpResponse& answer) {
  picojson::value root;
  return parseJson(root, answer.body).empty() && root.is<picojson::object>() &&
         root.get("error").to_str() == "not_taken";
}

ClientError errorFrom(const HttpResponse& answer) {
  const auto kind = answer.status == http_status::notFound ? ClientError::Kind::notFound
                    : answer.status == http_status::serviceUnavailable
                        ? ClientError::Kind::unknown
                        : ClientError::Kind::rejected;
  return ClientError{kind, answer.status, answer.body, answer.retryAfter};
}

}  // namespace

Result<HttpResponse, HttpError> GatewayClient::sendOnce(const HttpRequest& request,
                                                        Duration timeout) {
  const Address gateway = gateways.current(monotonicNow());
  auto result = client.send(gateway, request, timeout);
  if (!result)
    result = HttpError{result.error().kind, gateway.value + ": " + result.error().text};
  if (onAttempt)
    onAttempt(request, result);
  if (!result)
    gateways.markFailed(monotonicNow());
  return result;
}

void GatewayClient::refreshGateways() {
  if (!zone || monotonicNow() - refreshedAt < refreshInterval)
    return;
  refreshedAt = monotonicNow();
  // Some of the configured addresses may be dead, others may be controllers, which do not serve
  // callers but know the gateways.
  const std::size_t attempts = gateways.hasDiscoveredPeers() ? 1 : gateways.seedCount();
  for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
    const auto answer =
        client.send(gateways.current(refreshedAt), {"GET", "/v1/contacts?zone=" + zone->value, ""},
                    refreshTimeout);
    if (answer)
      gateways.update(gatewaysIn(answer.value()));
    if (gateways.hasDiscoveredPeers())
      return;
    gateways.markFailed(refreshedAt);
  }
}

Result<HttpResponse, ClientError> GatewayClient::send(const HttpRequest& request,
                                                      Duration timeout) {
  const MonotonicTime deadline = monotonicNow() + timeout;
  const bool repeatable = isRepeatable(request);
  ClientError lastError{ClientError::Kind::unknown, 0, "no gateway answered", Duration{0}};
  refreshGateways();
  while (monotonicNow() < deadline) {
    // A request that must not be repeated gets all of the remaining time for its only attempt.
    const Duration remaining = deadline - monotonicNow();
    auto result =
        sendOnce(request, repeatable ? std::min(repeatableAttemptTimeout, remaining) : remaining);
    if (result) {
      if (result.value().status < http_status::badRequest)
        return result.value();
      lastError = errorFrom(result.value());
      if (lastError.kind != ClientError::Kind::unknown)
        return lastError;
      if (!repeatable && !isKnownNotApplied(result.value()))
        return lastError;
      gateways.markFailed(monotonicNow());
    } else {
      lastError = ClientError{ClientError::Kind::unknown, 0, result.error().text, Duration{0}};
      if (!repeatable && result.error().kind != HttpError::Kind::unreachable)
        return lastError;
    }
    sleepFor(Duration{std::clamp(lastError.retryAfter.milliseconds, minRetryDelayMilliseconds,
                                 maxRetryDelayMilliseconds)});
  }
  return lastError;
}

}  // namespace aniseline
