#include "net/gateway_client.hpp"
#include "base/json.hpp"
#include "net/contacts.hpp"
#include "net/http_status.hpp"

namespace aniseline {

namespace {

constexpr Duration refreshInterval{5000};
constexpr Duration refreshTimeout{500};
// A gateway that is silent for longer is left for the next.
constexpr Duration repeatableAttemptTimeout{1500};
constexpr std::int64_t minRetryDelayMilliseconds = 50;
constexpr std::int64_t maxRetryDelayMilliseconds = 500;

// What has its own identity or changes nothing may be asked again after a loss: a job by its id and
// content, a cancel by the job's, a config by its base and content. An order about a worker or a
// controller has none: asked again it could undo what another operator said meanwhile, or declare
// gone a worker that has come back.
bool isRepeatable(const HttpRequest& request) {
  return !(request.method == "POST" && (request.target.starts_with("/v1/workers/") ||
                                        request.target.starts_with("/v1/controllers/")));
}

bool surelyNotApplied(const HttpResponse& answer) {
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
  // Of the addresses given some may be dead, some controllers, which serve no callers but know who
  // does.
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
  ClientError last{ClientError::Kind::unknown, 0, "no gateway answers", Duration{0}};
  refreshGateways();
  while (monotonicNow() < deadline) {
    // What can't be repeated has no other answer to wait for.
    const Duration left = deadline - monotonicNow();
    auto result = sendOnce(request, repeatable ? std::min(repeatableAttemptTimeout, left) : left);
    if (result) {
      if (result.value().status < http_status::badRequest)
        return result.value();
      last = errorFrom(result.value());
      if (last.kind != ClientError::Kind::unknown)
        return last;
      if (!repeatable && !surelyNotApplied(result.value()))
        return last;
      gateways.markFailed(monotonicNow());
    } else {
      last = ClientError{ClientError::Kind::unknown, 0, result.error().text, Duration{0}};
      if (!repeatable && result.error().kind != HttpError::Kind::unreachable)
        return last;
    }
    sleepFor(Duration{std::clamp(last.retryAfter.milliseconds, minRetryDelayMilliseconds,
                                 maxRetryDelayMilliseconds)});
  }
  return last;
}

}  // namespace aniseline
