// libaniseline: the library for callers' and workers' programs. docs/api.md 4.
#ifndef ANISELINE_NET_CLIENT_HPP
#define ANISELINE_NET_CLIENT_HPP
#include "net/http.hpp"
#include "gateway/peer_directory.hpp"
#include "agent/worker_session.hpp"

namespace aniseline {

struct ClientError {
  enum class Kind { rejected, unknown, notFound } kind = Kind::unknown;
  int status = 0;
  std::string text;
  Duration retryAfter{0};
};

// Asks through any of several gateways; goes on to the next when one is silent or not able.
class GatewayClient {
 public:
  // With a zone it learns the gateways in force, its own zone's first; the ones given may all be
  // replaced meanwhile.
  GatewayClient(EventLoop& loop, std::vector<Address> gateways,
                std::optional<ZoneName> zone = std::nullopt)
      : client(loop), gateways(std::move(gateways), 0), zone(std::move(zone)) {}
  // One try at one gateway.
  Result<HttpResponse, HttpError> sendOnce(const HttpRequest& request, Duration within);
  // Tries until there is an answer other than `unknown`, or the time is over. What may not be
  // repeated is sent again only while it surely was not taken; else it ends as unknown.
  Result<HttpResponse, ClientError> send(const HttpRequest& request, Duration within);
  Result<HttpResponse, ClientError> submitJob(const JobSubmission& job, Duration within) {
    return send({"POST", "/v1/jobs", renderJobSubmission(job)}, within);
  }
  Result<HttpResponse, ClientError> cancelJob(const JobId& job, Duration within) {
    return send({"DELETE", "/v1/jobs/" + job.value, ""}, within);
  }
  Result<HttpResponse, ClientError> showJob(const JobId& job, Duration within) {
    return send({"GET", "/v1/jobs/" + job.value, ""}, within);
  }
  std::function<void(const HttpRequest&, const Result<HttpResponse, HttpError>&)> onAttempt;

 private:
  HttpClient client;
  void refreshGateways();
  PeerDirectory gateways;
  std::optional<ZoneName> zone;
  MonotonicTime refreshedAt{-1'000'000};
};

// Keeps a worker in touch and drives its hand; the program connects its slots to the signals.
class WorkerClient {
 public:
  WorkerClient(EventLoop& loop, WorkerSession::Options options, Incarnation incarnation,
               std::vector<Address> gateways);
  boost::signals2::signal<void(const TaskCommand&)> effect;
  boost::signals2::signal<void(Incarnation)> incarnationChanged;
  boost::signals2::signal<void(const Order&, AttemptOutcome)> confirmed;
  boost::signals2::signal<void(const std::string&)>
      rejected;  // the centre's words, as when another process has this id
  void run(const std::atomic<bool>& stop);  // the syncing fiber
  void attemptEnded(AttemptNumber attempt, bool well);
  void startDrain(Duration within);
  // A cut for tests of the library's users: while set nothing is sent.
  bool partitioned = false;
  const WorkerSession& session() const { return workerSession; }

 private:
  void deliverEvents();
  EventLoop& loop;
  WorkerSession workerSession;
  PeerDirectory gatewayDirectory;
  Random random;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_CLIENT_HPP
