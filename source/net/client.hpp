// libaniseline: the library for callers' and workers' programs. docs/api.md 4.
#pragma once
#include "net/http.hpp"
#include "gateway/peer_directory.hpp"
#include "agent/worker_session.hpp"

namespace aniseline {

struct ClientError {
  enum class Kind { rejected, unknown, missing } kind = Kind::unknown;
  int status = 0;
  std::string text;
  Duration retryAfter{0};
};

// Asks through any of several gateways; goes on to the next when one is silent or not able.
class Caller {
 public:
  // With a zone it learns the gateways in force, its own zone's first; the ones given may all be
  // replaced meanwhile.
  Caller(Loop& loop, std::vector<Address> gateways, std::optional<ZoneName> zone = std::nullopt)
      : client(loop), contacts(std::move(gateways), 0), zone(std::move(zone)) {}
  // One try at one gateway.
  Result<HttpResponse, HttpError> once(const HttpRequest& request, Duration within);
  // Tries until there is an answer other than `unknown`, or the time is over. What may not be
  // repeated is sent again only while it surely was not taken; else it ends as unknown.
  Result<HttpResponse, ClientError> ask(const HttpRequest& request, Duration within);
  Result<HttpResponse, ClientError> submit(const JobSubmission& job, Duration within) {
    return ask({"POST", "/v1/jobs", renderJob(job)}, within);
  }
  Result<HttpResponse, ClientError> cancel(const JobId& job, Duration within) {
    return ask({"DELETE", "/v1/jobs/" + job.value, ""}, within);
  }
  Result<HttpResponse, ClientError> show(const JobId& job, Duration within) {
    return ask({"GET", "/v1/jobs/" + job.value, ""}, within);
  }
  std::function<void(const HttpRequest&, const Result<HttpResponse, HttpError>&)> witness;

 private:
  HttpClient client;
  void learn();
  PeerDirectory contacts;
  std::optional<ZoneName> zone;
  MonotonicTime learnedAt{-1'000'000};
};

// Keeps a worker in touch and drives its hand; the program connects its slots to the signals.
class WorkerClient {
 public:
  WorkerClient(Loop& loop, WorkerSession::Options options, Incarnation incarnation,
               std::vector<Address> gateways);
  boost::signals2::signal<void(const HandEffect&)> effect;
  boost::signals2::signal<void(Incarnation)> began;
  boost::signals2::signal<void(const Order&, EndingKind)> confirmed;
  boost::signals2::signal<void(const std::string&)>
      rejected;  // the centre's words, as when another process has this id
  void run(const std::atomic<bool>& stop);  // the syncing fiber
  void ended(AttemptNumber attempt, bool well);
  void leave(Duration within);
  // A cut for tests of the library's users: while set nothing is sent.
  bool cut = false;
  const WorkerSession& hand() const { return core; }

 private:
  void deliver();
  Loop& loop;
  WorkerSession core;
  PeerDirectory contacts;
  Random random;
};

}  // namespace aniseline
