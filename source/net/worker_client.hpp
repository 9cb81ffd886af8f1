// Keeps a worker that calls gateways in sync with the leader. docs/api.md 3, 4.
#ifndef ANISELINE_NET_WORKER_CLIENT_HPP
#define ANISELINE_NET_WORKER_CLIENT_HPP
#include "agent/worker_session.hpp"
#include "gateway/peer_directory.hpp"
#include "net/http_client.hpp"

namespace aniseline {

// Runs a WorkerSession over HTTP. The program connects its handlers to the signals. All members
// must be called, and all handlers run, on the thread that calls `run`.
class WorkerClient {
 public:
  WorkerClient(EventLoop& loop, WorkerSession::Options options, Incarnation incarnation,
               std::vector<Address> gateways);

  // A command that the worker has to carry out now.
  boost::signals2::signal<void(const TaskCommand&)> command;
  // The leader has declared the former incarnation gone; the worker continues with this one.
  boost::signals2::signal<void(Incarnation)> incarnationChanged;
  // The leader has confirmed the result of an order's task, so the result may be published now.
  boost::signals2::signal<void(const Order&, AttemptOutcome)> confirmed;
  // The leader has rejected a sync, for example because another process has this worker id. The
  // argument is the leader's error text.
  boost::signals2::signal<void(const std::string&)> rejected;

  // Syncs until `stop` is set.
  void run(const std::atomic<bool>& stop);
  // Reports that a task has ended by itself.
  void attemptEnded(AttemptNumber attempt, bool succeeded);
  // Stops taking new work; running tasks may continue for `timeout`.
  void startDrain(Duration timeout);
  // For tests by users of the library: while this is set, nothing is sent.
  bool partitioned = false;
  const WorkerSession& session() const { return workerSession; }

 private:
  void deliverEvents();
  void tickUntil(const std::atomic<bool>& stop);
  void syncUrgentUntil(const std::atomic<bool>& stop);
  void sync(HttpClient& client);
  void onFailedSync(HttpClient& client, const Result<HttpResponse, HttpError>& answer,
                    const Address& gateway, const SyncReport& report);
  void refreshGateways(HttpClient& client, const Address& gateway, const ZoneName& zone);

  EventLoop& loop;
  WorkerSession workerSession;
  PeerDirectory gatewayDirectory;
  Random random;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WORKER_CLIENT_HPP
