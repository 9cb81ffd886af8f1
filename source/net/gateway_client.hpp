// Calls of callers and operators to the cluster, through any of its gateways. docs/api.md 4.
#ifndef ANISELINE_NET_GATEWAY_CLIENT_HPP
#define ANISELINE_NET_GATEWAY_CLIENT_HPP
#include "gateway/peer_directory.hpp"
#include "net/http_client.hpp"

namespace aniseline {

struct ClientError {
  enum class Kind {
    rejected,  // surely not done
    unknown,   // it may have been done
    notFound
  } kind = Kind::unknown;
  int status = 0;  // of HTTP; 0: no answer came
  std::string text;
  Duration retryAfter{0};
};

// Asks through any of several gateways; goes on to the next when one is silent or not able. For the
// fibers of one thread, one call at a time.
class GatewayClient {
 public:
  // With a zone it learns the gateways in force, its own zone's first; the ones given may all be
  // replaced meanwhile.
  GatewayClient(EventLoop& loop, std::vector<Address> gateways,
                std::optional<ZoneName> zone = std::nullopt)
      : client(loop), gateways(std::move(gateways), 0), zone(std::move(zone)) {}

  // One attempt at one gateway.
  Result<HttpResponse, HttpError> sendOnce(const HttpRequest& request, Duration timeout);
  // Tries until there is an answer other than `unknown`, or the time is over. What may not be
  // repeated is sent again only while it surely was not taken; else it ends as unknown.
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

  // Called after every attempt, with what came of it; for histories.
  std::function<void(const HttpRequest&, const Result<HttpResponse, HttpError>&)> onAttempt;

 private:
  void refreshGateways();

  HttpClient client;
  PeerDirectory gateways;
  std::optional<ZoneName> zone;
  MonotonicTime refreshedAt{-1'000'000};  // long before the clock's start
};

}  // namespace aniseline

#endif  // ANISELINE_NET_GATEWAY_CLIENT_HPP
