// Sends the requests of callers and operators to the cluster through any of its gateways.
// docs/api.md 4.
#ifndef ANISELINE_NET_GATEWAY_CLIENT_HPP
#define ANISELINE_NET_GATEWAY_CLIENT_HPP
#include "gateway/peer_directory.hpp"
#include "net/http_client.hpp"

namespace aniseline {

struct ClientError {
  enum class Kind {
    rejected,  // the request was not applied
    unknown,   // the request may have been applied
    notFound
  } kind = Kind::unknown;
  int status = 0;  // the HTTP status; 0 if there was no response
  std::string text;
  Duration retryAfter{0};
};

// Sends requests through one of several gateways and moves on to the next when a gateway does not
// answer or is unavailable. Used by fibers of one thread, one call at a time.
class GatewayClient {
 public:
  // With a zone, the client regularly fetches the current gateways, with those of its own zone
  // first, so it keeps working when all of the given gateways have been replaced.
  GatewayClient(EventLoop& loop, std::vector<Address> gateways,
                std::optional<ZoneName> zone = std::nullopt)
      : client(loop), gateways(std::move(gateways), 0), zone(std::move(zone)) {}

  // Makes one attempt at one gateway.
  Result<HttpResponse, HttpError> sendOnce(const HttpRequest& request, Duration timeout);
  // Tries until there is an outcome other than `unknown` or the timeout expires. A request that
  // must not be repeated is sent again only if it certainly was not applied; otherwise the call
  // ends as unknown.
  Result<HttpResponse, ClientError> send(const HttpRequest& request, Duration timeout);

  Result<HttpResponse, ClientError> submitJob(const JobSubmission& job, Duration timeout) {
    return send({"POST", "/v1/jobs", renderJobSubmission(job)}, timeout);
  }
  Result<HttpResponse, ClientError> cancelJob(const JobId& job, Duration timeout) {
    return send({"DELETE", "/v1/jobs/" + job.value, ""}, timeout);
  }
  Result<HttpResponse, ClientError> showJob(const JobId& job, Duration timeout) {
    return send({"GET", "/v1/jobs/" + job.value, ""}, timeout);
  }

  // Called after every attempt with its result, so that the program can record a history.
  std::function<void(const HttpRequest&, const Result<HttpResponse, HttpError>&)> onAttempt;

 private:
  void refreshGateways();

  HttpClient client;
  PeerDirectory gateways;
  std::optional<ZoneName> zone;
  // Initially long before the clock's start, so that the first call refreshes.
  MonotonicTime refreshedAt{-1'000'000};
};

}  // namespace aniseline

#endif  // ANISELINE_NET_GATEWAY_CLIENT_HPP
